/* Stores the replicated log in a journal: implements the storage functions of
   struct replicated_log_output.  Their ARG is a struct log_journal
   (replicated_log.store_arg).  */
#ifndef CONTROLLER_LOG_JOURNAL_H
#define CONTROLLER_LOG_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "coord/replicated_log.h"
#include "store/journal.h"

struct log_journal_events
{
  /* Called when a write has failed: the log stops.  */
  void (*failed) (void *arg, const struct error *e);

  /* Convert a member number of the log to its persistent ID and back, since
     members are numbered anew in each process.  NULL if the numbers are
     persistent themselves.  */
  int64_t (*id_of) (void *arg, int member);
  int (*member_of) (void *arg, int64_t id);
};

struct log_journal
{
  struct journal journal;
  struct replicated_log *log;
  const struct log_journal_events *events;
  void *arg;
  const char *vm;
  uint64_t disk_id; /* 0 if the journal has none */
};

/* Makes J a closed journal: it is not open before log_journal_open.  */
void log_journal_init (struct log_journal *j);

/* Opens the journal in FOLDER and restores LOG from it.  Events are recorded
   under the name VM, which must outlive J, as must LOG and EVENTS.
   SYNC_DELAY_MS is added to each sync.  Returns false with E set on
   failure.  */
bool log_journal_open (struct log_journal *j, struct replicated_log *log,
                       const char *vm, const char *folder,
                       int64_t sync_delay_ms,
                       const struct log_journal_events *events, void *arg,
                       struct error *e);
void log_journal_close (struct log_journal *j);

/* Stores a disk ID in the journal, which distinguishes it from a journal made
   after the folder was wiped.  Durable on return.  Returns false on
   failure.  */
bool log_journal_set_disk_id (struct log_journal *j, uint64_t disk_id);

bool log_journal_save_state (void *arg, uint64_t term, int voted_for);
bool log_journal_save_entry (void *arg, uint64_t index,
                             const struct log_entry *e);
bool log_journal_save_truncate (void *arg, uint64_t from_index);
bool log_journal_sync (void *arg);
bool log_journal_save_snapshot (void *arg, const struct replicated_log *l);

#endif
