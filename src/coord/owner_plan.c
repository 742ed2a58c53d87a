#include "coord/owner_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/rendezvous.h"

enum
{
  /* An entry that is silent for so long has lost its targets.  */
  ENTRY_DEAD_MS = 1200,

  /* A new leader gives nothing out before it has led for the least time, and
     until then every entry that it hears has reported; after the most it goes
     on without the others.  Entries try a lost keeper again twice a second. */
  REPORT_LEAST_MS = 250,
  REPORT_QUIET_MS = 150,
  REPORT_MOST_MS = 900,

  /* Where all entries that are heard are fresh, everything was lost and nobody
     has anything to report.  */
  REPORT_FRESH_MS = 60,

  /* A target is given to another failure domain only if its own has had no
     entry for so long.  */
  FOREIGN_AFTER_MS = 2500,

  /* A target in the hands of another failure domain goes back to its own once
     an entry there has lived for so long.  */
  RETURN_AFTER_MS = 3000,

  /* Targets that one entry owns before another takes part.  */
  TARGETS_PER_ENTRY = 24,

  /* A target is forgotten when neither it nor its owner speaks of it.  */
  TARGET_FORGOTTEN_MS = 15000,

  /* Heartbeats of targets that are further apart have a gap between them; they
     come every 1.5 s, and are sent again elsewhere after a second.  */
  HEARTBEAT_GAP_MS = 4000,

  /* A target that was heard for so long after its owner has not been cut off
     together with it: entries speak every 0.3 s.  */
  OUTLIVED_MS = 400,

  /* After a gap a target's owner has so long to be heard too.  */
  OWNER_RETURN_MS = 1800,

  FENCE_COUNTER_BITS = 20
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
  owner_plan_init (p);
}

void
owner_plan_lead (struct owner_plan *p, uint64_t term, int64_t now)
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

/* Makes VM ("" for none) the owner of T.  */
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
  t->release = false;
  t->had_owner |= vm[0] != '\0';
}

static uint64_t
next_fence (struct owner_plan *p)
{
  return (p->term << FENCE_COUNTER_BITS) + ++p->fence_counter;
}

/* Takes all targets from VM.  */
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

struct plan_entry *
owner_plan_hear_entry (struct owner_plan *p, int64_t now,
                       const struct entry_word *w)
{
  struct plan_entry *e = owner_plan_entry (p, w->vm);

  if (e == NULL)
    {
      if (p->entry_count == PLAN_ENTRY_LIMIT)
        return NULL;
      e = add_entry (p, w->vm);
      e->boot_id = w->boot_id;
      e->fresh = w->fresh;
      e->dirty = true;
      p->entry_joined_ms = now;
    }
  if (e->boot_id != w->boot_id)
    {
      orphan_targets (p, w->vm);
      e->boot_id = w->boot_id;
      e->fresh = w->fresh;
      e->alive = false;
      e->dirty = true;
      e->reported = false;
    }
  if (!e->alive)
    {
      e->since_ms = now;
      e->dirty = true;
    }
  snprintf (e->domain, sizeof e->domain, "%s", w->domain);
  e->alive = true;
  e->leaving = w->leaving;
  e->heard_ms = now;
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
owner_plan_hear_owned (struct owner_plan *p, int64_t now, struct plan_entry *e,
                       const struct run_target_spec *spec, uint64_t fence,
                       enum owned_state state)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  if (t == NULL)
    {
      t = add_target (p, spec);
      t->heard_ms = now;
      t->told_ms = now;
      t->since_ms = now;
    }
  if (t->spec.born_ms != spec->born_ms)
    return;
  if (spec->sequence > t->spec.sequence)
    t->spec = *spec;
  if (fence > t->fence)
    {
      set_owner (p, t, e->vm);
      t->fence = fence;
    }
  if (t->fence == fence && strcmp (t->owner, e->vm) == 0
      && (state == OWNED_LOST || (t->release && state == OWNED_RELEASED)))
    set_owner (p, t, "");
}

/* T was heard, perhaps by another keeper that tells so only now.  */
static void
note_heard (const struct owner_plan *p, struct plan_target *t, int64_t heard)
{
  int64_t told = heard > p->stepped_ms ? heard : p->stepped_ms;

  if (told - t->told_ms > HEARTBEAT_GAP_MS)
    t->since_ms = told;
  t->told_ms = told;
  t->recalled = false;
  if (heard > t->heard_ms)
    t->heard_ms = heard;
}

bool
owner_plan_hear_again (struct owner_plan *p, int64_t heard, const char *id)
{
  struct plan_target *t = owner_plan_target (p, id);

  if (t != NULL)
    note_heard (p, t, heard);
  return t != NULL;
}

bool
owner_plan_hear_target (struct owner_plan *p, int64_t now,
                        const struct run_target_spec *spec)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  if (t == NULL)
    {
      t = add_target (p, spec);
      t->heard_ms = now;
      t->told_ms = now;
      t->since_ms = now;
      return true;
    }
  if (spec->born_ms < t->spec.born_ms
      || (spec->born_ms == t->spec.born_ms
          && spec->sequence < t->spec.sequence))
    return false;
  note_heard (p, t, now);
  if (!run_target_spec_is_same (&t->spec, spec))
    {
      /* A new life: nothing of the old one runs, and it has seen no fence. */
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
owner_plan_forget_target (struct owner_plan *p, const char *id)
{
  struct plan_target *t = owner_plan_target (p, id);

  if (t != NULL)
    remove_target (p, t);
}

static void
drop_dead_entries (struct owner_plan *p, int64_t now)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      struct plan_entry *e = p->entries[i];

      if (e->alive && now - e->heard_ms > ENTRY_DEAD_MS)
        {
          e->alive = false;
          e->reported = false;
        }
    }
}

/* Takes T from an owner that is dead.  A target that has been silent since may
   be cut off together with its owner, and one that has just come back may be
   heard before its owner is: both keep it for now.  */
static void
orphan_target (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  const struct plan_entry *owner = owner_plan_entry (p, t->owner);

  if (owner == NULL || owner->alive
      || t->heard_ms - owner->heard_ms < OUTLIVED_MS
      || now - t->since_ms < OWNER_RETURN_MS)
    return;
  set_owner (p, t, "");
}

static bool
may_own (const struct plan_entry *e)
{
  return e->alive && !e->leaving;
}

/* Whether ONE should own a target of DOMAIN rather than OTHER: one that owns
   some and has room comes before one that owns none, that before one that is
   full, and among those the least loaded.  */
static bool
is_better (const struct plan_entry *one, const struct plan_entry *other,
           const char *domain)
{
  bool one_full = one->owned >= TARGETS_PER_ENTRY;
  bool other_full = other->owned >= TARGETS_PER_ENTRY;

  if (one_full != other_full)
    return other_full;
  if (one->owned != other->owned)
    return one_full ? one->owned < other->owned : one->owned > other->owned;
  return rendezvous_weight (domain, one->vm)
         > rendezvous_weight (domain, other->vm);
}

/* The entry for a target of DOMAIN; any domain's if ANYWHERE.  */
static struct plan_entry *
choose_owner (const struct owner_plan *p, const char *domain, bool anywhere)
{
  struct plan_entry *best = NULL;

  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      struct plan_entry *e = p->entries[i];

      if (!may_own (e) || (!anywhere && strcmp (e->domain, domain) != 0))
        continue;
      if (best == NULL || is_better (e, best, domain))
        best = e;
    }
  return best;
}

/* Whether an entry of DOMAIN was heard lately enough to wait for.  */
static bool
domain_had_entry (const struct owner_plan *p, const char *domain, int64_t now)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (strcmp (p->entries[i]->domain, domain) == 0 && !p->entries[i]->leaving
        && now - p->entries[i]->heard_ms < FOREIGN_AFTER_MS)
      return true;
  return now - p->leading_since_ms < FOREIGN_AFTER_MS;
}

/* Whether DOMAIN has come back lately, after this leader had heard all others,
   so that an entry there may still have to report targets.  Entries without
   a view since their start have none.  */
static bool
may_still_report (const struct owner_plan *p, const char *domain, int64_t now)
{
  int64_t back = INT64_MAX;
  bool fresh = true;

  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      const struct plan_entry *e = p->entries[i];

      if (!e->alive || strcmp (e->domain, domain) != 0)
        continue;
      fresh &= e->fresh;
      if (e->since_ms < back)
        back = e->since_ms;
    }
  return !fresh && back - p->leading_since_ms > REPORT_MOST_MS
         && now - back < OWNER_RETURN_MS;
}

static void
give_owner (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  struct plan_entry *e = choose_owner (p, t->spec.domain, false);

  if (e != NULL && !t->had_owner && may_still_report (p, t->spec.domain, now))
    return;
  /* One that is known from the log only may be cut off with its owner.  */
  if (e == NULL && !t->recalled && now - t->since_ms >= FOREIGN_AFTER_MS
      && !domain_had_entry (p, t->spec.domain, now))
    e = choose_owner (p, t->spec.domain, true);
  if (e == NULL)
    return;
  set_owner (p, t, e->vm);
  t->fence = next_fence (p);
}

/* Whether an entry of T's own domain could take it back.  */
static bool
home_is_back (const struct owner_plan *p, const struct plan_target *t,
              int64_t now)
{
  const struct plan_entry *e = choose_owner (p, t->spec.domain, false);

  return e != NULL && now - e->since_ms >= RETURN_AFTER_MS;
}

static void
ask_release (struct owner_plan *p, struct plan_target *t, int64_t now)
{
  const struct plan_entry *owner = owner_plan_entry (p, t->owner);
  bool release;

  if (owner == NULL || t->release)
    return;
  release = owner->leaving ? choose_owner (p, t->spec.domain, true) != NULL
                           : strcmp (owner->domain, t->spec.domain) != 0
                                 && home_is_back (p, t, now);
  if (!release)
    return;
  t->release = true;
  mark_dirty (p, t->owner);
}

static void
forget_silent_targets (struct owner_plan *p, int64_t now)
{
  uint32_t i = 0;

  while (i < p->target_count)
    if (now - p->targets[i]->heard_ms > TARGET_FORGOTTEN_MS)
      remove_target (p, p->targets[i]);
    else
      i++;
}

static bool
all_fresh (const struct owner_plan *p)
{
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (!p->entries[i]->fresh)
      return false;
  return p->entry_count != 0;
}

/* Whether what the entries own is known by now.  */
static bool
has_reports (const struct owner_plan *p, int64_t now)
{
  int64_t led = now - p->leading_since_ms;

  if (led >= REPORT_MOST_MS || (led >= REPORT_FRESH_MS && all_fresh (p)))
    return true;
  if (led < REPORT_LEAST_MS || p->entry_count == 0
      || now - p->entry_joined_ms < REPORT_QUIET_MS)
    return false;
  for (uint32_t i = 0; i < p->entry_count; i++)
    if (!p->entries[i]->reported)
      return false;
  return true;
}

void
owner_plan_recall_target (struct owner_plan *p, int64_t now,
                          const struct run_target_spec *spec)
{
  struct plan_target *t = owner_plan_target (p, spec->id);

  if (t != NULL)
    return;
  t = add_target (p, spec);
  t->heard_ms = now;
  t->told_ms = now;
  t->recalled = true;
  t->since_ms = now - FOREIGN_AFTER_MS;
}

uint64_t
owner_plan_digest (const struct owner_plan *p)
{
  uint64_t digest = p->target_count;

  for (uint32_t i = 0; i < p->target_count; i++)
    digest += rendezvous_weight (p->targets[i]->spec.id,
                                 p->targets[i]->spec.address)
              + (uint64_t)p->targets[i]->spec.born_ms
              + p->targets[i]->spec.draining;
  return digest;
}

void
owner_plan_step (struct owner_plan *p, int64_t now)
{
  p->stepped_ms = now;
  drop_dead_entries (p, now);
  forget_silent_targets (p, now);
  p->reports_known |= has_reports (p, now);
  if (!p->reports_known)
    return;
  for (uint32_t i = 0; i < p->target_count; i++)
    {
      orphan_target (p, p->targets[i], now);
      if (p->targets[i]->owner[0] == '\0')
        give_owner (p, p->targets[i], now);
      else
        ask_release (p, p->targets[i], now);
    }
}
