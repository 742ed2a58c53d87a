#include "controller/keeper_journal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"

enum
{
  RECORD_STATE = 1,
  RECORD_ENTRY = 2,
  RECORD_TRUNCATE = 3,
  RECORD_SNAPSHOT = 4
};

/* The journal's records, as they lie in it.  */
struct state_record
{
  uint64_t term;
  int64_t voted_for;
};

struct entry_head
{
  uint64_t index;
  uint64_t term;
};

static bool
store_result (struct keeper *k, enum store_error status)
{
  if (status == STORE_OK)
    return true;
  event_ring_add (EVENT_STORE_FAILED, k->settings->vm, "%s",
                  k->journal.error.message);
  event_base_loopbreak (k->base);
  return false;
}

static enum store_error
append_state (struct journal *j, uint64_t term, int voted_for)
{
  struct state_record r = { term, voted_for };

  return journal_append (j, RECORD_STATE, &r, sizeof r);
}

static enum store_error
append_headed (struct journal *j, uint8_t type, uint64_t index, uint64_t term,
               const char *data, uint32_t length)
{
  struct entry_head h = { index, term };
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
keeper_journal_save_state (void *arg, uint64_t term, int voted_for)
{
  struct keeper *k = arg;

  return store_result (k, append_state (&k->journal, term, voted_for))
         && store_result (k, journal_sync (&k->journal));
}

bool
keeper_journal_save_entry (void *arg, uint64_t index,
                           const struct log_entry *e)
{
  struct keeper *k = arg;

  return store_result (k, append_headed (&k->journal, RECORD_ENTRY, index,
                                         e->term, e->data, e->length));
}

bool
keeper_journal_save_truncate (void *arg, uint64_t from_index)
{
  struct keeper *k = arg;

  return store_result (
      k, append_headed (&k->journal, RECORD_TRUNCATE, from_index, 0, "", 0));
}

bool
keeper_journal_sync (void *arg)
{
  struct keeper *k = arg;

  return store_result (k, journal_sync (&k->journal));
}

/* Writes the log's whole state into a fresh journal.  */
bool
keeper_journal_save_snapshot (void *arg, const struct replicated_log *l)
{
  struct keeper *k = arg;
  struct journal fresh;
  enum store_error s = journal_rewrite_begin (&k->journal, &fresh);

  if (!store_result (k, s))
    return false;
  s = append_headed (&fresh, RECORD_SNAPSHOT, l->stored.base_index,
                     l->stored.base_term, l->stored.snapshot,
                     l->stored.snapshot_length);
  if (s == STORE_OK)
    s = append_state (&fresh, l->term, l->voted_for);
  for (uint64_t i = 0; s == STORE_OK && i < l->stored.count; i++)
    s = append_headed (&fresh, RECORD_ENTRY, l->stored.base_index + 1 + i,
                       l->stored.entries[i].term, l->stored.entries[i].data,
                       l->stored.entries[i].length);
  if (s == STORE_OK)
    s = journal_rewrite_commit (&k->journal, &fresh);
  event_ring_add (EVENT_STORE_COMPACTED, k->settings->vm,
                  "index=%" PRIu64 " bytes=%" PRIu64, l->stored.base_index,
                  k->journal.size);
  return store_result (k, s);
}

static bool
load_record (void *arg, uint8_t type, const char *data, uint32_t length)
{
  struct keeper *k = arg;
  struct state_record state;
  struct entry_head h;

  if (type == RECORD_STATE && length == sizeof state)
    {
      memcpy (&state, data, sizeof state);
      replicated_log_restore_state (&k->log, state.term, (int)state.voted_for);
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
      return replicated_log_restore_entry (&k->log, h.index, h.term, data,
                                           length);
    case RECORD_TRUNCATE:
      replicated_log_restore_truncate (&k->log, h.index);
      return true;
    case RECORD_SNAPSHOT:
      replicated_log_restore_snapshot (&k->log, h.index, h.term, data, length);
      return true;
    default:
      return false;
    }
}

bool
keeper_journal_open (struct keeper *k, struct error *e)
{
  const struct settings *s = k->settings;
  enum store_error status = journal_open (&k->journal, s->data_folder,
                                          s->sync_delay_ms, load_record, k);

  if (status != STORE_OK)
    {
      error_wrap (e, status, "journal", &k->journal.error);
      return false;
    }
  event_ring_add (EVENT_STORE_LOADED, s->vm,
                  "last_index=%" PRIu64 " bytes=%" PRIu64,
                  log_entries_last_index (&k->log.stored), k->journal.size);
  if (k->journal.cut_bytes != 0)
    event_ring_add (EVENT_STORE_TAIL_CUT, s->vm, "bytes=%" PRIu64,
                    k->journal.cut_bytes);
  return true;
}
