/* The state machine of the log of a quorum_keeper: the configuration, the
   voters, the known targets and the evacuated failure domains, and snapshots
   of them.  */
#ifndef CONTROLLER_KEEPER_STATE_H
#define CONTROLLER_KEEPER_STATE_H

#include "controller/quorum_keeper.h"

/* Clears the voters, targets and evacuations, before the log is read.  The
   configuration stays: an older version never replaces a newer one.  */
void keeper_state_reset (struct quorum_keeper *k);

/* Applies the command O of the log entry INDEX.  */
void keeper_state_apply (struct quorum_keeper *k, uint64_t index,
                         const json_t *o);

/* For struct replicated_log_output; ARG is a struct quorum_keeper.  */
char *keeper_state_snapshot (void *arg, uint32_t *length);
void keeper_state_load (void *arg, uint64_t index, const char *data,
                        uint32_t length);

#endif
