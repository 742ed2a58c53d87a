#include "coord/owner_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/rendezvous.h"

enum
{
  /* An entry that has sent no heartbeat for this long is dead.  */
  ENTRY_DEAD_MS = 1200,

  /* A new leader assigns nothing before it has led for the minimum time, no
     entry has joined for the settle time and all known entries have reported
     what they own.  After the maximum time it goes on without the missing
     reports; an entry that lost its connection has then had time to report,
     since it retries twice a second.  */
  REPORT_WAIT_MIN_MS = 250,
  REPORT_SETTLE_MS = 150,
  REPORT_WAIT_MAX_MS = 900,

  /* The wait if all entries seen are unassigned, as after the loss of all
     state: they own nothing to report.  */
  REPORT_WAIT_UNASSIGNED_MS = 60,

  /* A target is assigned to an entry of another failure domain only after its
     own domain has had no entry for this long.  */
  CROSS_DOMAIN_DELAY_MS = 2500,

  /* A target owned in another failure domain returns to its own once an entry
     there has been alive for this long.  */
  HOME_RETURN_DELAY_MS = 3000,

  /* The number of targets that an entry owns before another entry is assigned
     any, if all have the same processor; else that of an entry with the mean
     processor.  */
  TARGETS_PER_ENTRY = 24,

  /* The number that even the smallest entry may own, since a dispatcher of
     fewer targets packs tasks badly, and that the largest may.  */
  TARGETS_PER_ENTRY_MIN = 8,
  TARGETS_PER_ENTRY_MAX = 96,

  /* A target that has sent no heartbeat for this long is removed.  */
  TARGET_EXPIRY_MS = 15000,

  /* Heartbeats of a target that arrive further apart than this have a gap
     between them.  Targets send one every 1.5 s, and repeat a failed one to
     another keeper after a second.  */
  HEARTBEAT_GAP_MS = 4000,

  /* A target that was still seen this long after its owner was last seen has
     not been cut off with it: entries send heartbeats every 0.3 s.  */
  SURVIVED_OWNER_MS = 400,

  /* After a gap in a target's heartbeats its owner has this long to be seen as
     well.  */
  OWNER_GRACE_MS = 1800,

  FENCING_TOKEN_COUNTER_BITS = 20
};

void
owner_plan_init (struct owner_plan *p)
{
  memset (p, 0, sizeof *p);
}

void
owner_plan_done (struct owner_plan *p)
{
  HASH_CLEAR (hh, p->entries_by_vm);
  HASH_CLEAR (hh, p->targets_by_id);
  for (uint32_t i = 0; i < p->entry_count; i++)
    free (p->entries[i]);
  for (uint32_t i = 0; i < p->target_count; i++)
    free (p->targets[i]);
  free (p->entries);
  free (p->targets);
  departed_targets_done (&p->departed);
  owner_plan_init (p);
}

void
owner_plan_start_term (struct owner_plan *p, uint64_t term, int64_t now)
{
  owner_plan_done (p);
  p->term = term;
  p->leading_since_ms = now;
}

struct plan_entry *
owner_plan_entry (const struct owner_plan *p, const char *vm)
{
  struct plan_entry *e;

  HASH_FIND (hh, p->entries_by_vm, vm, strlen (vm), e);
  return e;
}

struct plan_target *
owner_plan_target (const struct owner_plan *p, const char *id)
{
  struct plan_target *t;

  HASH_FIND (hh, p->targets_by_id, id, strlen (id), t);
  return t;
}

static void
mark_dirty (struct owner_plan *p, const char *vm)
{
  struct plan_entry *e = vm[0] == '\0' ? NULL : owner_plan_entry (p, vm);

  if (e != NULL)
    e->dirty = true;
}

/* Makes the entry VM the owner of T; "" leaves T without an owner.  */
static void
set_owner (struct owner_plan *p, struct plan_target *t, const char *vm)
{
  struct plan_entry *before = owner_plan_entry (p, t->owner);
  struct plan_entry *after = owner_plan_entry (p, vm);

  if (before != NULL)
    {
      before->dirty = true;
      before->owned--;
      p->owners_changed |= before->owned == 0;
    }
  if (after != NULL)
    {
      after->dirty = true;
      after->owned++;
      p->owners_changed |= after->owned == 1;
    }
  snprintf (t->owner, sizeof t->owner, "%s", vm);
  t->release_requested = false;
  t->had_owner |= vm[0] != '\0';
}

static uint64_t
next_fencing_token (struct owner_plan *p)
{
  return (p->term << FENCING_TOKEN_COUNTER_BITS) + ++p->fencing_token_counter;
}

/* Leaves all targets that VM owns without an owner.  */
static void
orphan_targets (struct owner_plan *p, const char *vm)
{
  for (uint32_t i = 0; i < p->target_count; i++)
    if (strcmp (p->targets[i]->owner, vm) == 0)
      set_owner (p, p->targets[i], "");
}

static struct plan_entry *
add_entry (struct owner_plan *p, const char *vm)
{
  struct plan_entry *e = calloc (1, sizeof *e);

  p->entries = realloc (p->entries,
                        (p->entry_count + 1) * sizeof (struct plan_entry *));
  p->entries[p->entry_count++] = e;
  snprintf (e->vm, sizeof e->vm, "%s", vm);
  HASH_ADD_STR (p->entries_by_vm, vm, e);
  return e;
}

/* Removes the dead entry that was seen least recently and owns nothing, so
   that a fleet that keeps replacing its VMs does not fill the plan.  Returns
   false if there is none.  */
static bool
forget_dead_entry (struct owner_plan *p)
{
  uint32_t oldest = p->entry_count;

  for (uint32_t i = 0; i < p->entry_count; i++)
    if (!p->entries[i]->alive && p->entries[i]->owned == 0
        && (oldest == p->entry_count
            || p->entries[i]->last_seen_ms < p->entries[oldest]->last_seen_ms))
      oldest = i;
  if (oldest == p->entry_count)
    return false;
  HASH_DEL (p->entries_by_vm, p->entries[oldest]);
  free (p->entries[oldest]);
  p->entries[oldest] = p->entries[--p->entry_count];
  return true;
}

struct plan_entry *
owner_plan_update_entry (struct owner_plan *p, int64_t now,
                         const struct entry_report *r)
{
  struct plan_entry *e = owner_plan_entry (p, r->vm);

  if (e == NULL)
    {
      if (p->entry_count == PLAN_ENTRY_LIMIT && !forget_dead_entry (p))
        return NULL;
      e = add_entry (p, r->vm);
      e->boot_id = r->boot_id;
      e->unassigned = r->unassigned;
      e->dirty = true;
      p->entry_joined_ms = now;
    }
  if (e->boot_id != r->boot_id)
    {
      orphan_targets (p, r->vm);
      e->boot_id = r->boot_id;
      e->unassigned = r->unassigned;
      e->alive = false;
      e->dirty = true;
      e->reported = false;
    }
  if (!e->alive)
    {
      e->seen_since_ms = now;
      e->dirty = true;
    }
  snprintf (e->domain, sizeof e->domain, "%s", r->domain);
  e->alive = true;
  e->leaving = r->leaving;
  e->last_seen_ms = now;
  return e;
}

static struct plan_target *
add_target (struct owner_plan *p, const struct run_target_spec *spec)
{
  struct plan_target *t = calloc (1, sizeof *t);

  p->targets = realloc (p->targets,
                        (p->target_count + 1) * sizeof (struct plan_target *));
  p->targets[p->target_count++] = t;
  t->spec = *spec;
  HASH_ADD_STR (p->targets_by_id, spec.id, t);
  return t;
}

void
owner_plan_update_owned (struct owner_plan *p, int64_t now,
                         struct plan_entry *e,
                         const struct run_target_spec *spec,
                         uint64_t fencing_token, enum owned_state state)
{
  struct plan_target *t = owner_plan_target (p, spec->id);
  const struct departed_target *d
      = departed_targets_find (&p->departed, spec->id);

  /* Its owner may not know yet that it has left.  One that was only silent
     stays with the owner that reports it.  */
  if (t == NULL && d != NULL && d->left
      && departed_targets_is_stale (&p->departed, now, spec))
    return;
  if (t == NULL)
    {
      t = add_target (p, spec);
      t->last_seen_ms = now;
      t->report_received_ms = now;
      t->seen_since_ms = now;
    }
  if (t->spec.started_ms != spec->started_ms)
    return;
  if (spec->sequence > t->spec.sequence)
    t->spec = *spec;
  if (fencing_token > t->fencing_token)
    {
      set_owner (p, t, e->vm);
      t->fencing_token = fencing_token;
    }
  if (t->fencing_token == fencing_token && strcmp (t->owner, e->vm) == 0
      && (state == OWNED_LOST
          || (t->release_requested && state == OWNED_RELEASED)))
    set_owner (p, t, "");
}

/* Records a heartbeat of T that a keeper received at SEEN_AT.  For the
   detection of gaps, one that was relayed late counts as received at the last
   step.  */
static void
record_heartbeat (const struct owner_plan *p, struct plan_target *t,
                  int64_t seen_at)
{
  int64_t received = seen_at > p->last_step_ms ? seen_at : p->last_step_ms;

  if (received - t->report_received_ms > HEARTBEAT_GAP_MS)
    t->seen_since_ms = received;
  t->report_received_ms = received;
  t->restored = false;
  if (seen_at > t->last_seen_ms)
    t->last_seen_ms = seen_at;
}

bool
owner_plan_refresh_target (struct owner_plan *p, int64_t seen_at,
                           const char *id)
{
  struct plan_target *t = owner_plan_target (p, id);

  if (t != NULL)
    record_heartbeat (p, t, seen_at);
  return t != NULL;
}

bool
owner_plan_update_target (struct owner_plan *p, int64_t now,
                          const struct run_target_spec *spec)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  if (departed_targets_is_stale (&p->departed, now, spec))
    return false;
  departed_targets_remove (&p->departed, spec->id);
  if (t == NULL)
    {
      t = add_target (p, spec);
      t->last_seen_ms = now;
      t->report_received_ms = now;
      t->seen_since_ms = now;
      return true;
    }
  if (spec->started_ms < t->spec.started_ms
      || (spec->started_ms == t->spec.started_ms
          && spec->sequence < t->spec.sequence))
    return false;
  record_heartbeat (p, t, now);
  if (!run_target_spec_same_incarnation (&t->spec, spec))
    {
      /* The target has restarted: no earlier run is left on it, and it has
         seen no fencing token.  */
      set_owner (p, t, "");
      t->spec = *spec;
      return true;
    }
  t->spec.sequence = spec->sequence;
  if (t->spec.draining == spec->draining)
    return false;
  t->spec = *spec;
  mark_dirty (p, t->owner);
  return true;
}

static void
remove_target (struct owner_plan *p, struct plan_target *t)
{
  set_owner (p, t, "");
  if (p->targets_by_id != NULL)
    HASH_DEL (p->targets_by_id, t);
  for (uint32_t i = 0; i < p->target_count; i++)
    if (p->targets[i] == t)
      {
        p->targets[i] = p->targets[--p->target_count];
        break;
      }
  free (t);
}

void
owner_plan_remove_target (struct owner_plan *p, int64_t now, const char *id)
{
  struct plan_target *t = owner_plan_target (p, id);

  departed_targets_leave (&p->departed, id);
  if (t == NULL)
    return;
  departed_targets_add (&p->departed, now, &t->spec, true);
  remove_target (p, t);
}

void
owner_plan_restore_departed (struct owner_plan *p, int64_t departed_ms,
                             const struct run_target_spec *spec, bool left)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  departed_targets_add (&p->departed, departed_ms, spec, left);
  if (t != NULL
      && departed_targets_is_stale (&p->departed, departed_ms, &t->spec))
    remove_target (p, t);
}

static void
expire_entries (struct owner_plan *p, int64_t now)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      struct plan_entry *e = p->entries[i];

      if (e->alive && now - e->last_seen_ms > ENTRY_DEAD_MS)
        {
          e->alive = false;
          e->reported = false;
        }
    }
}

/* Leaves T without an owner if its owner is dead.  A target that has not been
   seen since may be cut off together with its owner, and one that has just
   returned may be seen before its owner is: both keep their owner for now.  */
static void
orphan_target (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  const struct plan_entry *owner = owner_plan_entry (p, t->owner);

  if (owner == NULL || owner->alive
      || t->last_seen_ms - owner->last_seen_ms < SURVIVED_OWNER_MS
      || now - t->seen_since_ms < OWNER_GRACE_MS)
    return;
  set_owner (p, t, "");
}

static bool
may_own (const struct plan_entry *e)
{
  return e->alive && !e->leaving;
}

/* The class of a VM's processor: VMs whose processors differ by less than
   about a third do not clearly differ.  */
static uint32_t
cpu_class (const struct plan_entry *e)
{
  uint32_t class = 0;

  for (uint64_t cpu = 3; cpu <= e->cpu_milli; cpu = cpu * 4 / 3 + 1)
    class ++;
  return class;
}

/* Whether the processors of all live entries are known and at least two of
   them clearly differ.  Adds them up in *SUM and counts them in *COUNT.  */
static bool
has_uneven_entries (const struct owner_plan *p, uint64_t *sum, uint32_t *count)
{
  const struct plan_entry *first = NULL;
  bool uneven = false;

  *sum = 0;
  *count = 0;
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      const struct plan_entry *e = p->entries[i];

      if (!may_own (e))
        continue;
      if (e->cpu_milli == 0)
        return false;
      if (first == NULL)
        first = e;
      uneven |= cpu_class (e) != cpu_class (first);
      *sum += e->cpu_milli;
      ++*count;
    }
  return uneven;
}

/* Sets how many targets make each entry full.  */
static void
set_target_limits (struct owner_plan *p)
{
  uint32_t count;
  uint64_t sum;

  p->uneven = has_uneven_entries (p, &sum, &count);
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      struct plan_entry *e = p->entries[i];
      uint64_t limit = TARGETS_PER_ENTRY;

      if (p->uneven)
        limit = limit * e->cpu_milli * count / sum;
      if (p->uneven && limit < TARGETS_PER_ENTRY_MIN)
        limit = TARGETS_PER_ENTRY_MIN;
      if (limit > TARGETS_PER_ENTRY_MAX)
        limit = TARGETS_PER_ENTRY_MAX;
      e->target_limit = (uint32_t)limit;
    }
}

/* Whether ONE is preferred over OTHER as owner of a target of DOMAIN.  An
   entry whose VM is not short of processor time comes first, then one that is
   not full (target_limit), among these one with a clearly larger processor,
   then the one that owns the most, then one that
   owns none.  Among full entries the one that owns the fewest comes first,
   relative to its processor.  */
static bool
is_better_owner (const struct owner_plan *p, const struct plan_entry *one,
                 const struct plan_entry *other, const char *domain)
{
  bool one_full = one->owned >= one->target_limit;
  bool other_full = other->owned >= other->target_limit;

  if (one->is_short != other->is_short)
    return other->is_short;
  if (one_full != other_full)
    return other_full;
  if (p->uneven && !one_full && cpu_class (one) != cpu_class (other))
    return cpu_class (one) > cpu_class (other);
  if (p->uneven && one_full)
    return (uint64_t)one->owned * other->cpu_milli
           < (uint64_t)other->owned * one->cpu_milli;
  if (one->owned != other->owned)
    return one_full ? one->owned < other->owned : one->owned > other->owned;
  return rendezvous_weight (domain, one->vm)
         > rendezvous_weight (domain, other->vm);
}

/* The entry to own a target of DOMAIN, or NULL.  If ANYWHERE, entries of other
   domains are considered too.  */
static struct plan_entry *
choose_owner (const struct owner_plan *p, const char *domain, bool anywhere)
{
  struct plan_entry *best = NULL;

  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      struct plan_entry *e = p->entries[i];

      if (!may_own (e) || (!anywhere && strcmp (e->domain, domain) != 0))
        continue;
      if (best == NULL || is_better_owner (p, e, best, domain))
        best = e;
    }
  return best;
}

/* Whether an entry of DOMAIN was seen recently enough to wait for it.  Always
   true shortly after the start of the term.  */
static bool
domain_had_entry (const struct owner_plan *p, const char *domain, int64_t now)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (strcmp (p->entries[i]->domain, domain) == 0 && !p->entries[i]->leaving
        && now - p->entries[i]->last_seen_ms < CROSS_DOMAIN_DELAY_MS)
      return true;
  return now - p->leading_since_ms < CROSS_DOMAIN_DELAY_MS;
}

/* Whether all live entries of DOMAIN were first seen only recently, after this
   leader's wait for reports, so that one of them may still report targets that
   it owns.  Unassigned entries own none.  */
static bool
may_still_report (const struct owner_plan *p, const char *domain, int64_t now)
{
  int64_t alive_since = INT64_MAX;
  bool only_unassigned = true;

  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      const struct plan_entry *e = p->entries[i];

      if (!e->alive || strcmp (e->domain, domain) != 0)
        continue;
      only_unassigned &= e->unassigned;
      if (e->seen_since_ms < alive_since)
        alive_since = e->seen_since_ms;
    }
  return !only_unassigned
         && alive_since - p->leading_since_ms > REPORT_WAIT_MAX_MS
         && now - alive_since < OWNER_GRACE_MS;
}

/* Assigns T, which has no owner, to an entry if one qualifies.  */
static void
assign_owner (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  struct plan_entry *e = choose_owner (p, t->spec.domain, false);

  if (e != NULL && !t->had_owner && may_still_report (p, t->spec.domain, now))
    return;
  /* A target known only from the log may be cut off along with its owner.  */
  if (e == NULL && !t->restored
      && now - t->seen_since_ms >= CROSS_DOMAIN_DELAY_MS
      && !domain_had_entry (p, t->spec.domain, now))
    e = choose_owner (p, t->spec.domain, true);
  if (e == NULL)
    return;
  set_owner (p, t, e->vm);
  t->fencing_token = next_fencing_token (p);
}

/* Whether an entry of T's own domain has been alive long enough to own T.  */
static bool
is_home_available (const struct owner_plan *p, const struct plan_target *t,
                   int64_t now)
{
  const struct plan_entry *e = choose_owner (p, t->spec.domain, false);

  return e != NULL && now - e->seen_since_ms >= HOME_RETURN_DELAY_MS;
}

/* Requests T's release if its owner is leaving and another entry can take
   over, or if it can return to its own domain.  */
static void
request_release (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  const struct plan_entry *owner = owner_plan_entry (p, t->owner);
  bool release;

  if (owner == NULL || t->release_requested)
    return;
  release = owner->leaving ? choose_owner (p, t->spec.domain, true) != NULL
                           : strcmp (owner->domain, t->spec.domain) != 0
                                 && is_home_available (p, t, now);
  if (!release)
    return;
  t->release_requested = true;
  mark_dirty (p, t->owner);
}

static void
expire_targets (struct owner_plan *p, int64_t now)
{
  uint32_t i = 0;

  departed_targets_expire (&p->departed, now);
  while (i < p->target_count)
    if (now - p->targets[i]->last_seen_ms > TARGET_EXPIRY_MS)
      {
        departed_targets_add (&p->departed, now, &p->targets[i]->spec, false);
        remove_target (p, p->targets[i]);
      }
    else
      i++;
}

static bool
all_unassigned (const struct owner_plan *p)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (!p->entries[i]->unassigned)
      return false;
  return p->entry_count != 0;
}

/* Whether the wait for the entries' reports is over.  */
static bool
is_report_wait_over (const struct owner_plan *p, int64_t now)
{
  int64_t leading_ms = now - p->leading_since_ms;

  if (leading_ms >= REPORT_WAIT_MAX_MS
      || (leading_ms >= REPORT_WAIT_UNASSIGNED_MS && all_unassigned (p)))
    return true;
  if (leading_ms < REPORT_WAIT_MIN_MS || p->entry_count == 0
      || now - p->entry_joined_ms < REPORT_SETTLE_MS)
    return false;
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (!p->entries[i]->reported)
      return false;
  return true;
}

void
owner_plan_restore_target (struct owner_plan *p, int64_t now,
                           const struct run_target_spec *spec)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  if (t != NULL || departed_targets_is_stale (&p->departed, now, spec))
    return;
  t = add_target (p, spec);
  t->last_seen_ms = now;
  t->report_received_ms = now;
  t->restored = true;
  t->seen_since_ms = now - CROSS_DOMAIN_DELAY_MS;
}

uint64_t
owner_plan_digest (const struct owner_plan *p)
{
  uint64_t digest = p->target_count;

  for (uint32_t i = 0; i < p->target_count; i++)
    digest += rendezvous_weight (p->targets[i]->spec.id,
                                 p->targets[i]->spec.address)
              + (uint64_t)p->targets[i]->spec.started_ms
              + p->targets[i]->spec.draining;
  return digest;
}

void
owner_plan_step (struct owner_plan *p, int64_t now)
{
  p->last_step_ms = now;
  expire_entries (p, now);
  expire_targets (p, now);
  set_target_limits (p);
  p->report_wait_over |= is_report_wait_over (p, now);
  if (!p->report_wait_over)
    return;
  for (uint32_t i = 0; i < p->target_count; i++)
    {
      orphan_target (p, p->targets[i], now);
      if (p->targets[i]->owner[0] == '\0')
        assign_owner (p, p->targets[i], now);
      else
        request_release (p, p->targets[i], now);
    }
}
