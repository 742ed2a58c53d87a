#include "controller/log_journal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/histogram.h"
#include "base/now.h"

enum
{
  RECORD_STATE = 1,
  RECORD_ENTRY = 2,
  RECORD_TRUNCATE = 3,
  RECORD_SNAPSHOT = 4,
  RECORD_DISK = 5
};

/* The records as stored in the journal.  */
struct state_record
{
  uint64_t term;
  int64_t voted_for;
};

struct entry_header
{
  uint64_t index;
  uint64_t term;
};

static bool
store_result (struct log_journal *j, enum store_error status)
{
  if (status == STORE_OK)
    return true;
  event_ring_add (EVENT_STORE_FAILED, j->vm, "%s", j->journal.error.message);
  j->events->failed (j->arg, &j->journal.error);
  return false;
}

static int64_t
id_of (const struct log_journal *j, int member)
{
  if (member == LOG_NO_MEMBER || j->events->id_of == NULL)
    return member;
  return j->events->id_of (j->arg, member);
}

static int
member_of (const struct log_journal *j, int64_t id)
{
  if (id == LOG_NO_MEMBER || j->events->member_of == NULL)
    return (int)id;
  return j->events->member_of (j->arg, id);
}

static bool
sync_journal (struct log_journal *j)
{
  int64_t begin = now_ms ();
  bool ok = store_result (j, journal_sync (&j->journal));

  histogram_add (HISTOGRAM_STORE_SYNC, now_ms () - begin);
  return ok;
}

static enum store_error
append_state (struct journal *j, uint64_t term, int64_t voted_for)
{
  struct state_record r = { term, voted_for };

  return journal_append (j, RECORD_STATE, &r, sizeof r);
}

static enum store_error
append_headed (struct journal *j, uint8_t type, uint64_t index, uint64_t term,
               const char *data, uint32_t length)
{
  struct entry_header h = { index, term };
  char *record = malloc (sizeof h + length);
  enum store_error status;

  memcpy (record, &h, sizeof h);
  if (length != 0)
    memcpy (record + sizeof h, data, length);
  status = journal_append (j, type, record, (uint32_t)sizeof h + length);
  free (record);
  return status;
}

bool
log_journal_save_state (void *arg, uint64_t term, int voted_for)
{
  struct log_journal *j = arg;

  return store_result (j,
                       append_state (&j->journal, term, id_of (j, voted_for)))
         && sync_journal (j);
}

bool
log_journal_save_entry (void *arg, uint64_t index, const struct log_entry *e)
{
  struct log_journal *j = arg;

  return store_result (j, append_headed (&j->journal, RECORD_ENTRY, index,
                                         e->term, e->data, e->length));
}

bool
log_journal_save_truncate (void *arg, uint64_t from_index)
{
  struct log_journal *j = arg;

  return store_result (
      j, append_headed (&j->journal, RECORD_TRUNCATE, from_index, 0, "", 0));
}

bool
log_journal_sync (void *arg)
{
  struct log_journal *j = arg;

  return sync_journal (j);
}

/* Writes the snapshot, the entries after it, the term and vote and the disk ID
   to the journal TO.  */
static enum store_error
write_compacted (const struct log_journal *j, const struct replicated_log *l,
                 struct journal *to)
{
  enum store_error s = append_headed (
      to, RECORD_SNAPSHOT, l->stored.base_index, l->stored.base_term,
      l->stored.snapshot, l->stored.snapshot_length);

  if (s == STORE_OK)
    s = append_state (to, l->term, id_of (j, l->voted_for));
  if (s == STORE_OK && j->disk_id != 0)
    s = journal_append (to, RECORD_DISK, &j->disk_id, sizeof j->disk_id);
  for (uint64_t i = 0; s == STORE_OK && i < l->stored.count; i++)
    s = append_headed (to, RECORD_ENTRY, l->stored.base_index + 1 + i,
                       l->stored.entries[i].term, l->stored.entries[i].data,
                       l->stored.entries[i].length);
  return s;
}

/* Compacts the journal: a new one replaces it.  */
bool
log_journal_save_snapshot (void *arg, const struct replicated_log *l)
{
  struct log_journal *j = arg;
  struct journal compacted;
  enum store_error s = journal_rewrite_begin (&j->journal, &compacted);

  if (!store_result (j, s))
    return false;
  s = write_compacted (j, l, &compacted);
  if (s == STORE_OK)
    s = journal_rewrite_commit (&j->journal, &compacted);
  else
    journal_rewrite_abort (&j->journal, &compacted);
  if (!store_result (j, s))
    return false;
  event_ring_add (EVENT_STORE_COMPACTED, j->vm,
                  "index=%" PRIu64 " bytes=%" PRIu64, l->stored.base_index,
                  j->journal.size);
  return true;
}

static bool
load_record (void *arg, uint8_t type, const char *data, uint32_t length)
{
  struct log_journal *j = arg;
  struct state_record state;
  struct entry_header h;

  if (type == RECORD_STATE && length == sizeof state)
    {
      memcpy (&state, data, sizeof state);
      replicated_log_restore_state (j->log, state.term,
                                    member_of (j, state.voted_for));
      return true;
    }
  if (type == RECORD_DISK && length == sizeof j->disk_id)
    {
      memcpy (&j->disk_id, data, sizeof j->disk_id);
      return true;
    }
  if (length < sizeof h)
    return false;
  memcpy (&h, data, sizeof h);
  data += sizeof h;
  length -= (uint32_t)sizeof h;
  switch (type)
    {
    case RECORD_ENTRY:
      return replicated_log_restore_entry (j->log, h.index, h.term, data,
                                           length);
    case RECORD_TRUNCATE:
      replicated_log_restore_truncate (j->log, h.index);
      return true;
    case RECORD_SNAPSHOT:
      replicated_log_restore_snapshot (j->log, h.index, h.term, data, length);
      return true;
    default:
      return false;
    }
}

void
log_journal_init (struct log_journal *j)
{
  memset (j, 0, sizeof *j);
  journal_init (&j->journal);
}

bool
log_journal_open (struct log_journal *j, struct replicated_log *log,
                  const char *vm, const char *folder, int64_t sync_delay_ms,
                  const struct log_journal_events *events, void *arg,
                  struct error *e)
{
  enum store_error status;

  log_journal_init (j);
  j->log = log;
  j->vm = vm;
  j->events = events;
  j->arg = arg;
  status = journal_open (&j->journal, folder, sync_delay_ms, load_record, j);
  if (status != STORE_OK)
    {
      error_wrap (e, (int)status, "journal", &j->journal.error);
      journal_close (&j->journal);
      return false;
    }
  event_ring_add (EVENT_STORE_LOADED, vm,
                  "last_index=%" PRIu64 " bytes=%" PRIu64,
                  log_entries_last_index (&log->stored), j->journal.size);
  if (j->journal.truncated_bytes != 0)
    event_ring_add (EVENT_STORE_TAIL_CUT, vm, "bytes=%" PRIu64,
                    j->journal.truncated_bytes);
  return true;
}

void
log_journal_close (struct log_journal *j)
{
  journal_close (&j->journal);
}

bool
log_journal_set_disk_id (struct log_journal *j, uint64_t disk_id)
{
  j->disk_id = disk_id;
  return store_result (j, journal_append (&j->journal, RECORD_DISK, &disk_id,
                                          sizeof disk_id))
         && sync_journal (j);
}
