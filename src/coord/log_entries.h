/* The copy of the replicated log that one member stores: a snapshot in place
   of the first entries, and the entries after it.  */
#ifndef COORD_LOG_ENTRIES_H
#define COORD_LOG_ENTRIES_H

#include <msgpack.h>
#include <stdint.h>

struct log_entry
{
  uint64_t term;
  char *data;
  uint32_t length;
};

struct log_entries
{
  uint64_t base_index; /* last index in the snapshot; 0 without one */
  uint64_t base_term;
  char *snapshot;
  uint32_t snapshot_length;

  struct log_entry *entries; /* the first has index base_index + 1 */
  uint64_t count;
  uint64_t capacity;
};

void log_entries_init (struct log_entries *e);
void log_entries_done (struct log_entries *e);

uint64_t log_entries_last_index (const struct log_entries *e);

/* The term of the entry at INDEX, or 0 if that entry is not stored.  */
uint64_t log_entries_term_at (const struct log_entries *e, uint64_t index);

/* The entry at INDEX, which must come after the snapshot.  */
const struct log_entry *log_entries_at (const struct log_entries *e,
                                        uint64_t index);

/* Appends an entry with a copy of DATA.  */
void log_entries_add (struct log_entries *e, uint64_t term, const char *data,
                      uint32_t length);

/* Truncates the log: removes entry INDEX and all later ones.  */
void log_entries_truncate (struct log_entries *e, uint64_t index);

/* Replaces the entries up to INDEX, the last of which has TERM, by a copy of
   the snapshot DATA.  */
void log_entries_set_snapshot (struct log_entries *e, uint64_t index,
                               uint64_t term, const char *data,
                               uint32_t length);

/* Packs the entries from INDEX on into BUFFER until it holds at least BYTES or
   there are no more entries.  */
void log_entries_pack (const struct log_entries *e, uint64_t index,
                       size_t bytes, msgpack_sbuffer *buffer);

#endif
