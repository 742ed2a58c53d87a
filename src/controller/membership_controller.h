/* Heartbeats: to the other entries for their slots and life, to the keepers
   for the lease of this VM's place in its replica group and for the control
   view.  */
#ifndef CONTROLLER_MEMBERSHIP_CONTROLLER_H
#define CONTROLLER_MEMBERSHIP_CONTROLLER_H

#include "controller/entry.h"

/* Sends what is due.  */
void membership_tick (struct entry *n, int64_t now_ms);

/* Takes a heartbeat, its reply, or a keeper's reply to a beat.  */
void membership_receive (struct entry *n, struct peer_conn *from,
                         const struct peer_message *m);

#endif
