/* The replicated log's storage in the keeper's journal: the functions of
   struct replicated_log_output that store, with a struct keeper as their
   argument.  A write that fails ends the keeper's loop.  */
#ifndef CONTROLLER_KEEPER_JOURNAL_H
#define CONTROLLER_KEEPER_JOURNAL_H

#include "controller/keeper.h"

/* Opens the journal and restores the log from it.  Returns false with E set
   on failure.  */
bool keeper_journal_open (struct keeper *k, struct error *e);

bool keeper_journal_save_state (void *arg, uint64_t term, int voted_for);
bool keeper_journal_save_entry (void *arg, uint64_t index,
                                const struct log_entry *e);
bool keeper_journal_save_truncate (void *arg, uint64_t from_index);
bool keeper_journal_sync (void *arg);
bool keeper_journal_save_snapshot (void *arg, const struct replicated_log *l);

#endif
