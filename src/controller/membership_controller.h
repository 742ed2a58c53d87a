/* Heartbeats of an entry: exchanged with the other entries to learn their
   slots and liveness, and sent to the keepers, to hold the lease on this VM's
   membership in its replica group and to receive the control view.  */
#ifndef CONTROLLER_MEMBERSHIP_CONTROLLER_H
#define CONTROLLER_MEMBERSHIP_CONTROLLER_H

#include "controller/entry.h"

/* Sends the heartbeats that are due and checks whether the keepers' leader
   responds.  */
void membership_tick (struct entry *n, int64_t now_ms);

/* Handles a heartbeat of another entry, a reply to one, or a keeper's reply.
 */
void membership_receive (struct entry *n, struct peer_conn *from,
                         const struct peer_message *m);

#endif
