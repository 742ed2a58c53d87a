#include "coord/log_entries.h"

#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 64
};

void
log_entries_init (struct log_entries *e)
{
  memset (e, 0, sizeof *e);
}

static void
truncate_at (struct log_entries *e, uint64_t position)
{
  for (uint64_t i = position; i < e->count; i++)
    free (e->entries[i].data);
  if (position < e->count)
    e->count = position;
}

void
log_entries_done (struct log_entries *e)
{
  truncate_at (e, 0);
  free (e->entries);
  free (e->snapshot);
}

uint64_t
log_entries_last_index (const struct log_entries *e)
{
  return e->base_index + e->count;
}

const struct log_entry *
log_entries_at (const struct log_entries *e, uint64_t index)
{
  return &e->entries[index - e->base_index - 1];
}

uint64_t
log_entries_term_at (const struct log_entries *e, uint64_t index)
{
  if (index == e->base_index)
    return e->base_term;
  if (index < e->base_index || index > log_entries_last_index (e))
    return 0;
  return log_entries_at (e, index)->term;
}

static char *
copy_bytes (const char *data, uint32_t length)
{
  char *copy = malloc ((size_t)length + 1);

  if (length != 0)
    memcpy (copy, data, length);
  copy[length] = '\0';
  return copy;
}

void
log_entries_add (struct log_entries *e, uint64_t term, const char *data,
                 uint32_t length)
{
  if (e->count == e->capacity)
    {
      e->capacity = e->capacity == 0 ? INITIAL_CAPACITY : e->capacity * 2;
      e->entries = realloc (e->entries, e->capacity * sizeof *e->entries);
    }
  e->entries[e->count++]
      = (struct log_entry){ term, copy_bytes (data, length), length };
}

void
log_entries_truncate (struct log_entries *e, uint64_t index)
{
  truncate_at (e, index - e->base_index - 1);
}

/* Removes the entries up to INDEX, which the new snapshot covers.  */
static void
remove_covered (struct log_entries *e, uint64_t index)
{
  uint64_t covered = index - e->base_index;

  if (covered >= e->count)
    {
      truncate_at (e, 0);
      return;
    }
  for (uint64_t i = 0; i < covered; i++)
    free (e->entries[i].data);
  e->count -= covered;
  memmove (e->entries, e->entries + covered, e->count * sizeof *e->entries);
}

void
log_entries_set_snapshot (struct log_entries *e, uint64_t index, uint64_t term,
                          const char *data, uint32_t length)
{
  char *copy = copy_bytes (data, length);

  remove_covered (e, index);
  free (e->snapshot);
  e->snapshot = copy;
  e->snapshot_length = length;
  e->base_index = index;
  e->base_term = term;
}

void
log_entries_pack (const struct log_entries *e, uint64_t index, size_t bytes,
                  msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  for (; index <= log_entries_last_index (e) && buffer->size < bytes; index++)
    {
      const struct log_entry *entry = log_entries_at (e, index);

      msgpack_pack_uint64 (&p, entry->term);
      msgpack_pack_bin (&p, entry->length);
      msgpack_pack_bin_body (&p, entry->data, entry->length);
    }
}
