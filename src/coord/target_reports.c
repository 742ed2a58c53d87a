#include "coord/target_reports.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* A target that has sent no heartbeat for this long is removed.  Targets
     send one every 1.5 s, and switch to another keeper after one failure.  */
  REPORT_EXPIRY_MS = 5000
};

void
target_reports_init (struct target_reports *r)
{
  r->by_id = NULL;
  departed_targets_init (&r->departed);
}

static void
remove_report (struct target_reports *r, struct target_report *t)
{
  HASH_DEL (r->by_id, t);
  free (t);
}

void
target_reports_done (struct target_reports *r)
{
  while (r->by_id != NULL)
    remove_report (r, r->by_id);
  departed_targets_done (&r->departed);
}

static struct target_report *
find (const struct target_reports *r, const char *id)
{
  struct target_report *t;

  HASH_FIND (hh, r->by_id, id, strlen (id), t);
  return t;
}

static struct target_report *
add (struct target_reports *r, const struct run_target_spec *spec)
{
  struct target_report *t = calloc (1, sizeof *t);

  t->spec = *spec;
  HASH_ADD_STR (r->by_id, spec.id, t);
  return t;
}

static bool
is_older (const struct run_target_spec *spec,
          const struct run_target_spec *known)
{
  return spec->started_ms < known->started_ms
         || (spec->started_ms == known->started_ms
             && spec->sequence < known->sequence);
}

/* Whether ONE and OTHER are of the same incarnation of the target and have the
   same draining state, so that a leader with OTHER needs no copy of ONE.  */
static bool
is_unchanged (const struct run_target_spec *one,
              const struct run_target_spec *other)
{
  return run_target_spec_same_incarnation (one, other)
         && one->draining == other->draining;
}

bool
target_reports_receive (struct target_reports *r, int64_t now,
                        const struct run_target_spec *spec, uint64_t term)
{
  struct target_report *t = find (r, spec->id);

  if (departed_targets_is_stale (&r->departed, now, spec))
    return true;
  if (t == NULL)
    {
      departed_targets_remove (&r->departed, spec->id);
      t = add (r, spec);
    }
  else if (is_older (spec, &t->spec))
    return true;
  if (!is_unchanged (spec, &t->spec)
      || run_target_spec_became_cold (&t->spec, spec, now))
    t->acked_term = 0;
  t->spec = *spec;
  t->last_seen_ms = now;
  t->seen_since_batch = true;
  return t->acked_term == term;
}

void
target_reports_acknowledge (struct target_reports *r,
                            const struct run_target_spec *spec, uint64_t term)
{
  struct target_report *t = find (r, spec->id);

  if (t != NULL && is_unchanged (spec, &t->spec))
    t->acked_term = term;
}

void
target_reports_mark_unknown (struct target_reports *r, const char *id)
{
  struct target_report *t = find (r, id);

  if (t != NULL)
    t->acked_term = 0;
}

void
target_reports_remove (struct target_reports *r, int64_t now, const char *id)
{
  struct target_report *t = find (r, id);

  departed_targets_leave (&r->departed, id);
  if (t == NULL)
    return;
  departed_targets_add (&r->departed, now, &t->spec, true);
  remove_report (r, t);
}

void
target_reports_expire (struct target_reports *r, int64_t now)
{
  struct target_report *t;
  struct target_report *next;

  departed_targets_expire (&r->departed, now);
  HASH_ITER (hh, r->by_id, t, next)
  if (now - t->last_seen_ms > REPORT_EXPIRY_MS)
    {
      departed_targets_add (&r->departed, now, &t->spec, false);
      remove_report (r, t);
    }
}

enum report_content
target_reports_due (const struct target_report *t, uint64_t term)
{
  if (t->acked_term != term)
    return REPORT_FULL;
  return t->seen_since_batch ? REPORT_HEARTBEAT : REPORT_NONE;
}
