/* What the keepers' log comes to: the document, the voters and the targets
   that were known, and its snapshots.  */
#ifndef CONTROLLER_KEEPER_STATE_H
#define CONTROLLER_KEEPER_STATE_H

#include "controller/quorum_keeper.h"

/* Forgets voters and targets, before the log is read.  */
void keeper_state_reset (struct quorum_keeper *k);

/* Takes in the command O of entry INDEX.  */
void keeper_state_apply (struct quorum_keeper *k, uint64_t index,
                         const json_t *o);

/* For struct replicated_log_output, with a struct quorum_keeper.  */
char *keeper_state_snapshot (void *arg, uint32_t *length);
void keeper_state_load (void *arg, uint64_t index, const char *data,
                        uint32_t length);

#endif
