/* The keepers that a keeper knows, and which of them vote: the members of the
   replicated log under their lasting names, their beats, and the changes of
   the quorum.  */
#ifndef CONTROLLER_QUORUM_MEMBERS_H
#define CONTROLLER_QUORUM_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/quorum_keeper.h"

/* The lasting name of the member at ADDRESS with the disk DISK_ID.  */
uint64_t quorum_members_name (const char *address, uint64_t disk_id);

/* The log's number of the member NAME, added if new; ADDRESS may be NULL where
   it is not known.  Returns LOG_NO_MEMBER beyond the limit.  */
int quorum_members_number (struct quorum_keeper *k, uint64_t name,
                           const char *address, uint64_t disk_id);

/* For struct log_journal_events, with a struct quorum_keeper.  */
int64_t quorum_members_vote_name (void *arg, int member);

int quorum_members_vote_member (void *arg, int64_t name);

/* For struct replicated_log_output: the newest stored change of the quorum is
   in force, committed or not.  */
void quorum_members_stored_changed (void *arg, struct replicated_log *l);

/* The addresses of up to LIMIT keepers that vote, without this one, as far as
   it knows: from the log, and where it does not vote itself also from what
   others have told.  Returns their number; the addresses are K's.  */
uint32_t quorum_members_core (const struct quorum_keeper *k,
                              const char **addresses, uint32_t limit);

/* Tells the seeds and the voters who this is and whether it leads.  Any other
   keeper that tells this one gets a reply, so that all know the leader and
   the leader all, with no more messages than keepers.  */
void quorum_members_send_beats (struct quorum_keeper *k, int64_t now);

void quorum_members_receive_beat (struct quorum_keeper *k,
                                  struct peer_conn *from,
                                  const struct peer_keeper_beat *b);

/* How often this keeper tells.  */
int64_t quorum_members_beat_ms (const struct quorum_keeper *k);

/* The newest member known at ADDRESS, or LOG_NO_MEMBER.  */
int quorum_members_at (const struct quorum_keeper *k, const char *address);

/* Proposes the change of the quorum that is due (coord/quorum_plan).  */
void quorum_members_manage (struct quorum_keeper *k, int64_t now);

#endif
