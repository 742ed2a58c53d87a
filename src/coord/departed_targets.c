#include "coord/departed_targets.h"

#include <stdlib.h>
#include <string.h>

void
departed_targets_init (struct departed_targets *d)
{
  memset (d, 0, sizeof *d);
}

static struct departed_target *
find (const struct departed_targets *d, const char *id)
{
  struct departed_target *t;

  HASH_FIND (hh, d->by_id, id, strlen (id), t);
  return t;
}

static void
remove_record (struct departed_targets *d, struct departed_target *t)
{
  if (d->by_id != NULL)
    HASH_DEL (d->by_id, t);
  free (t);
}

void
departed_targets_done (struct departed_targets *d)
{
  while (d->by_id != NULL)
    remove_record (d, d->by_id);
}

void
departed_targets_add (struct departed_targets *d, int64_t now,
                      const struct run_target_spec *spec, bool left)
{
  struct departed_target *old = find (d, spec->id);
  struct departed_target *t = calloc (1, sizeof *t);

  memcpy (t->id, spec->id, sizeof t->id);
  t->started_ms = spec->started_ms;
  t->sequence = spec->sequence;
  t->left = left;
  t->departed_ms = now;
  if (old != NULL && old->started_ms > t->started_ms)
    {
      t->started_ms = old->started_ms;
      t->sequence = old->sequence;
      t->left = old->left;
    }
  else if (old != NULL && old->started_ms == t->started_ms)
    {
      if (old->sequence > t->sequence)
        t->sequence = old->sequence;
      t->left |= old->left;
    }
  if (old != NULL)
    remove_record (d, old);
  HASH_ADD_STR (d->by_id, id, t);
  if (HASH_COUNT (d->by_id) <= DEPARTED_LIMIT)
    return;
  remove_record (d, d->by_id);
  d->evicted++;
}

void
departed_targets_leave (struct departed_targets *d, const char *id)
{
  struct departed_target *t = find (d, id);

  if (t != NULL)
    t->left = true;
}

bool
departed_targets_is_stale (const struct departed_targets *d, int64_t now,
                           const struct run_target_spec *spec)
{
  const struct departed_target *t = find (d, spec->id);

  if (t == NULL || now - t->departed_ms >= DEPARTED_MS)
    return false;
  if (spec->started_ms != t->started_ms)
    return spec->started_ms < t->started_ms;
  if (t->left && t->started_ms != 0)
    return true;
  return spec->sequence < t->sequence
         || (spec->sequence == t->sequence && spec->sequence != 0);
}

const struct departed_target *
departed_targets_find (const struct departed_targets *d, const char *id)
{
  return find (d, id);
}

void
departed_targets_remove (struct departed_targets *d, const char *id)
{
  struct departed_target *t = find (d, id);

  if (t != NULL)
    remove_record (d, t);
}

void
departed_targets_expire (struct departed_targets *d, int64_t now)
{
  while (d->by_id != NULL && now - d->by_id->departed_ms >= DEPARTED_MS)
    remove_record (d, d->by_id);
}
