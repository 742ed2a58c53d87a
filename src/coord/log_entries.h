/* The entries of a replicated log that a member holds: a snapshot that stands
   for the first ones, and those after it.  */
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
  uint64_t base_index; /* the snapshot's last entry; 0 without one */
  uint64_t base_term;
  char *snapshot;
  uint32_t snapshot_length;

  struct log_entry *entries; /* from base_index + 1 */
  uint64_t count;
  uint64_t room;
};

void log_entries_init (struct log_entries *e);
void log_entries_done (struct log_entries *e);

uint64_t log_entries_last_index (const struct log_entries *e);

/* The term of the entry at INDEX, or 0 where it is not known.  */
uint64_t log_entries_term_at (const struct log_entries *e, uint64_t index);

/* The entry at INDEX, which must be behind the snapshot.  */
const struct log_entry *log_entries_at (const struct log_entries *e,
                                        uint64_t index);

/* Appends a copy.  */
void log_entries_add (struct log_entries *e, uint64_t term, const char *data,
                      uint32_t length);

/* Drops the entries from INDEX on.  */
void log_entries_drop_from (struct log_entries *e, uint64_t index);

/* Has a copy of DATA stand for the entries up to INDEX.  */
void log_entries_set_snapshot (struct log_entries *e, uint64_t index,
                               uint64_t term, const char *data,
                               uint32_t length);

/* Appends the entries from INDEX on to BUFFER, up to BYTES or one more.  */
void log_entries_pack (const struct log_entries *e, uint64_t index,
                       size_t bytes, msgpack_sbuffer *buffer);

#endif
