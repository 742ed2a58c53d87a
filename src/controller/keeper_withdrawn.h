/* The ids of withdrawn jobs at a keeper, and their way to all entries and
   keepers.  The leader sends them to all keepers and to the entries connected
   to it, at once; another keeper sends those that it has from entries to the
   leader, and all of them to its own entries: a second later, since these are
   mostly connected to the leader too, or at once while it knows no leader.  A
   new connection gets all of them.  */
#ifndef CONTROLLER_KEEPER_WITHDRAWN_H
#define CONTROLLER_KEEPER_WITHDRAWN_H

#include "controller/quorum_keeper.h"

/* Records that the withdrawal of job KEY is being acknowledged.  */
void keeper_withdrawn_add (struct quorum_keeper *k, int64_t now_ms,
                           const char *key);

/* Sends what is due.  */
void keeper_withdrawn_tick (struct quorum_keeper *k, int64_t now_ms);

/* Handles the call C, METHOD_WITHDRAWN, of an entry or another keeper.  */
void keeper_withdrawn_handle_call (struct quorum_keeper *k, int64_t now_ms,
                                   struct peer_conn *from,
                                   const struct peer_call *c);

/* Handles an entry's reply.  Returns false if it is of another call.  */
bool keeper_withdrawn_handle_reply (struct quorum_keeper *k, int64_t now_ms,
                                    const struct peer_conn *from,
                                    const struct peer_reply *r);

/* The link to the keeper VM was established: it may have restarted.  */
void keeper_withdrawn_link_up (struct quorum_keeper *k, const char *vm);

/* This keeper has become the leader: all keepers get what it knows.  */
void keeper_withdrawn_lead (struct quorum_keeper *k);

#endif
