/* Messages between an entry and the keepers: sends them the entry's
   heartbeats, and receives from them its assignment (targets and dispatchers),
   the evacuated failure domains, the configuration and the addresses of the
   voters.  */
#ifndef CONTROLLER_ENTRY_ASSIGNMENT_H
#define CONTROLLER_ENTRY_ASSIGNMENT_H

#include <stdint.h>
#include "controller/job_entry.h"

/* Sends a heartbeat to the known keepers, with the targets that this entry
   owns if these may have changed or the leader has not received them yet.  */
void entry_assignment_send_heartbeat (struct job_entry *n, int64_t now);

/* Connects to the keepers in the JSON list TEXT, sent by the keeper FROM_VM.
 */
void entry_assignment_receive_keepers (struct job_entry *n,
                                       const char *from_vm, struct slice text);

/* Applies an assignment sent by the keeper FROM, if it is newer than the
   current one.  An empty one requests a heartbeat with the owned targets.  */
void entry_assignment_receive (struct job_entry *n, int64_t now,
                               const char *from,
                               const struct peer_assignment *a);

/* Applies a configuration sent by the keeper FROM, if its version is higher
   than the current one.  */
void entry_assignment_receive_config (struct job_entry *n, const char *from,
                                      const struct peer_service_config *m);

/* Handles the call C of the keeper FROM with the set of evacuated failure
   domains: puts the set in force if it is newer than the one held, and replies
   with the version that is held then.  */
void entry_assignment_receive_evacuations (struct job_entry *n, int64_t now,
                                           struct peer_conn *from,
                                           const struct peer_call *c);

/* The number of assigned targets that this entry no longer holds: released and
   idle, or taken over under a higher fencing token.  */
uint32_t entry_assignment_count_released (const struct job_entry *n);

#endif
