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
  struct target *target;

  HASH_FIND_STR (t->targets, id, target);
  return target;
}

struct target *
target_table_announce (struct target_table *t, int64_t now_ms,
                       const struct target_announcement *a, bool *joined)
{
  char id[TARGET_ID_BYTES];
  struct target *target;

  target_table_id (id, a);
  target = target_table_find (t, id);
  *joined = target == NULL;
  if (target == NULL)
    {
      target = calloc (1, sizeof *target);
      memcpy (target->id, id, sizeof id);
      HASH_ADD_STR (t->targets, id, target);
    }
  target->announcement = *a;
  target->lease_until_ms = now_ms + a->lease_ms;
  target->reserved
      = a->running > target->in_use ? a->running - target->in_use : 0;
  return target;
}

void
target_table_remove (struct target_table *t, struct target *target)
{
  if (t->last_picked == target)
    t->last_picked = NULL;
  HASH_DEL (t->targets, target);
  free (target);
}

bool
target_is_usable (const struct target *target, int64_t now_ms)
{
  return !target->leaving && !target->ejected
         && target->lease_until_ms > now_ms;
}

uint32_t
target_free_slots (const struct target *target, int64_t now_ms)
{
  uint32_t taken = target->in_use + target->reserved;

  if (!target_is_usable (target, now_ms)
      || taken >= target->announcement.slots)
    return 0;
  return target->announcement.slots - taken;
}

uint32_t
target_table_free_slots (const struct target_table *t, int64_t now_ms)
{
  uint32_t n = 0;

  for (const struct target *target = t->targets; target != NULL;
       target = target->hh.next)
    n += target_free_slots (target, now_ms);
  return n;
}

uint32_t
target_table_total_slots (const struct target_table *t, int64_t now_ms)
{
  uint32_t n = 0;

  for (const struct target *target = t->targets; target != NULL;
       target = target->hh.next)
    if (target_is_usable (target, now_ms))
      n += target->announcement.slots;
  return n;
}

/* An ejected target to be probed now, or NULL.  */
static struct target *
find_probe (const struct target_table *t, int64_t now_ms)
{
  for (struct target *target = t->targets; target != NULL;
       target = target->hh.next)
    if (target->ejected && !target->probing && !target->leaving
        && target->in_use == 0 && target->ejected_until_ms <= now_ms
        && target->lease_until_ms > now_ms)
      return target;
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
  struct target *target;

  if (t->targets == NULL)
    return NULL;
  if (start == NULL)
    start = t->targets;
  target = start;
  do
    {
      double share = (double)target_free_slots (target, now_ms)
                     / (double)target->announcement.slots;

      if (share > best_share)
        {
          best = target;
          best_share = share;
        }
      target = target->hh.next == NULL ? t->targets : target->hh.next;
    }
  while (target != start);
  return best;
}

struct target *
target_table_acquire_slot (struct target_table *t, int64_t now_ms,
                           bool idempotent)
{
  struct target *target = idempotent ? find_probe (t, now_ms) : NULL;

  if (target != NULL)
    target->probing = true;
  else
    target = find_freest (t, now_ms);
  if (target == NULL)
    return NULL;
  target->in_use++;
  t->last_picked = target;
  return target;
}

/* Whether one more ejection stays within the maximum share of COUNT targets.
   One of few may always be ejected, whatever the share: it serves nobody.  */
static bool
within_ejection_share (const struct target_table *t, uint32_t ejected,
                       uint32_t count)
{
  return ejected == 0 || (double)(ejected + 1) <= t->ejection.share * count;
}

/* Whether one more target may be ejected and TARGET fails more than its peers,
   so that a fault common to all targets ejects none.  */
static bool
may_eject (const struct target_table *t, const struct target *target)
{
  uint32_t count = 0;
  uint32_t ejected = 0;
  double rate = 0;

  for (const struct target *other = t->targets; other != NULL;
       other = other->hh.next)
    {
      count++;
      ejected += other->ejected;
      if (other != target)
        rate += other->failure_rate;
    }
  if (count < 2 || !within_ejection_share (t, ejected, count))
    return false;
  return target->failure_rate > rate / (count - 1) + FAILURE_EXCESS * 0.5;
}

enum target_change
target_table_release_slot (struct target_table *t, struct target *target,
                           int64_t now_ms, enum target_result result)
{
  bool was_probe = target->probing;

  target->in_use--;
  if (result == TARGET_BUSY)
    {
      target->probing = false;
      return TARGET_UNCHANGED;
    }
  target->failure_rate
      += FAILURE_GAIN * ((result == TARGET_FAILED) - target->failure_rate);
  if (result == TARGET_SUCCEEDED)
    {
      target->consecutive_failures = 0;
      target->probing = false;
      if (!was_probe)
        return TARGET_UNCHANGED;
      target->ejected = false;
      return TARGET_REINSTATED;
    }
  target->consecutive_failures++;
  if (was_probe)
    {
      target->probing = false;
      target->ejected_until_ms = now_ms + t->ejection.duration_ms;
      return TARGET_UNCHANGED;
    }
  if (target->ejected || target->consecutive_failures < t->ejection.failures
      || !may_eject (t, target))
    return TARGET_UNCHANGED;
  target->ejected = true;
  target->ejected_until_ms = now_ms + t->ejection.duration_ms;
  return TARGET_NOW_EJECTED;
}
