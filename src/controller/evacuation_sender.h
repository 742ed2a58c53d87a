/* Sends the entries the set of evacuated failure domains: each keeper whose
   state is current to all entries that are connected to it, until the entry
   has returned the version.  */
#ifndef CONTROLLER_EVACUATION_SENDER_H
#define CONTROLLER_EVACUATION_SENDER_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/quorum_keeper.h"

/* Sends the entry of L the set, if one is due.  Returns false if the entry may
   lack the current set: it is not connected, or this keeper's state is not
   current.  What is sent to it after a return of true arrives after the
   set.  */
bool evacuation_sender_update (struct quorum_keeper *k,
                               struct keeper_entry_link *l, int64_t now_ms);

/* Handles the reply R of an entry, received on FROM.  Returns false if it is
   the reply to a call of another kind.  */
bool evacuation_sender_handle_reply (struct quorum_keeper *k,
                                     const struct peer_conn *from,
                                     const struct peer_reply *r);

#endif
