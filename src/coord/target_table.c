#include "coord/target_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the latest result in a target's failure rate.  */
#define FAILURE_GAIN 0.1

/* A target is ejected only if its failure rate is above the mean of the others
   by more than half of this.  */
#define FAILURE_EXCESS 0.5

enum
{
  EJECT_FAILURES_DEFAULT = 5,
  EJECT_MS_DEFAULT = 5000
};

void
target_table_init (struct target_table *t)
{
  memset (t, 0, sizeof *t);
  t->ejection.failures = EJECT_FAILURES_DEFAULT;
  t->ejection.share = 0.3;
  t->ejection.duration_ms = EJECT_MS_DEFAULT;
}

void
target_table_id (char *id, const struct target_announcement *a)
{
  snprintf (id, TARGET_ID_BYTES, "%s@%s:%u", a->name, a->address, a->port);
}

struct target *
target_table_find (const struct target_table *t, const char *id)
{
  struct target *g;

  HASH_FIND_STR (t->targets, id, g);
  return g;
}

struct target *
target_table_announce (struct target_table *t, int64_t now_ms,
                       const struct target_announcement *a, bool *joined)
{
  char id[TARGET_ID_BYTES];
  struct target *g;

  target_table_id (id, a);
  g = target_table_find (t, id);
  *joined = g == NULL;
  if (g == NULL)
    {
      g = calloc (1, sizeof *g);
      memcpy (g->id, id, sizeof id);
      HASH_ADD_STR (t->targets, id, g);
    }
  g->announcement = *a;
  g->lease_until_ms = now_ms + a->lease_ms;
  g->reserved = a->running > g->in_use ? a->running - g->in_use : 0;
  return g;
}

void
target_table_remove (struct target_table *t, struct target *g)
{
  if (t->last_picked == g)
    t->last_picked = NULL;
  HASH_DEL (t->targets, g);
  free (g);
}

bool
target_is_usable (const struct target *g, int64_t now_ms)
{
  return !g->leaving && !g->ejected && g->lease_until_ms > now_ms;
}

uint32_t
target_free_slots (const struct target *g, int64_t now_ms)
{
  uint32_t taken = g->in_use + g->reserved;

  if (!target_is_usable (g, now_ms) || taken >= g->announcement.slots)
    return 0;
  return g->announcement.slots - taken;
}

uint32_t
target_table_free_slots (const struct target_table *t, int64_t now_ms)
{
  uint32_t n = 0;

  for (const struct target *g = t->targets; g != NULL; g = g->hh.next)
    n += target_free_slots (g, now_ms);
  return n;
}

uint32_t
target_table_total_slots (const struct target_table *t, int64_t now_ms)
{
  uint32_t n = 0;

  for (const struct target *g = t->targets; g != NULL; g = g->hh.next)
    if (target_is_usable (g, now_ms))
      n += g->announcement.slots;
  return n;
}

/* An ejected target to be probed now, or NULL.  */
static struct target *
find_probe (const struct target_table *t, int64_t now_ms)
{
  for (struct target *g = t->targets; g != NULL; g = g->hh.next)
    if (g->ejected && !g->probing && !g->leaving && g->in_use == 0
        && g->ejected_until_ms <= now_ms && g->lease_until_ms > now_ms)
      return g;
  return NULL;
}

/* The target with the largest share of free slots, or NULL if none has any.
   The search starts after the last target picked, so that targets with equal
   shares are picked in turn.  */
static struct target *
find_freest (const struct target_table *t, int64_t now_ms)
{
  struct target *start
      = t->last_picked == NULL ? NULL : t->last_picked->hh.next;
  struct target *best = NULL;
  double best_share = 0;
  struct target *g;

  if (t->targets == NULL)
    return NULL;
  if (start == NULL)
    start = t->targets;
  g = start;
  do
    {
      double share = (double)target_free_slots (g, now_ms)
                     / (double)g->announcement.slots;

      if (share > best_share)
        {
          best = g;
          best_share = share;
        }
      g = g->hh.next == NULL ? t->targets : g->hh.next;
    }
  while (g != start);
  return best;
}

struct target *
target_table_acquire_slot (struct target_table *t, int64_t now_ms,
                           bool idempotent)
{
  struct target *g = idempotent ? find_probe (t, now_ms) : NULL;

  if (g != NULL)
    g->probing = true;
  else
    g = find_freest (t, now_ms);
  if (g == NULL)
    return NULL;
  g->in_use++;
  t->last_picked = g;
  return g;
}

/* Whether one more ejection stays within the maximum share and G fails more
   than its peers, so that a fault common to all targets ejects none.  */
static bool
may_eject (const struct target_table *t, const struct target *g)
{
  uint32_t count = 0;
  uint32_t ejected = 0;
  double rate = 0;

  for (const struct target *o = t->targets; o != NULL; o = o->hh.next)
    {
      count++;
      ejected += o->ejected;
      if (o != g)
        rate += o->failure_rate;
    }
  if (count < 2 || (double)(ejected + 1) > t->ejection.share * count)
    return false;
  return g->failure_rate > rate / (count - 1) + FAILURE_EXCESS * 0.5;
}

enum target_change
target_table_release_slot (struct target_table *t, struct target *g,
                           int64_t now_ms, enum target_result result)
{
  bool was_probe = g->probing;

  g->in_use--;
  if (result == TARGET_BUSY)
    {
      g->probing = false;
      return TARGET_UNCHANGED;
    }
  g->failure_rate
      += FAILURE_GAIN * ((result == TARGET_FAILED) - g->failure_rate);
  if (result == TARGET_SUCCEEDED)
    {
      g->consecutive_failures = 0;
      g->probing = false;
      if (!was_probe)
        return TARGET_UNCHANGED;
      g->ejected = false;
      return TARGET_REINSTATED;
    }
  g->consecutive_failures++;
  if (was_probe)
    {
      g->probing = false;
      g->ejected_until_ms = now_ms + t->ejection.duration_ms;
      return TARGET_UNCHANGED;
    }
  if (g->ejected || g->consecutive_failures < t->ejection.failures
      || !may_eject (t, g))
    return TARGET_UNCHANGED;
  g->ejected = true;
  g->ejected_until_ms = now_ms + t->ejection.duration_ms;
  return TARGET_NOW_EJECTED;
}
