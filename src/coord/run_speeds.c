#include "coord/run_speeds.h"

#include <stdio.h>
#include <string.h>

enum
{
  UPDATE_MS = 500
};

void
run_speeds_note (struct run_scheduler *s, struct run_target *t, int64_t now,
                 const struct run_job *j, const struct run_task *k,
                 int64_t elapsed)
{
  double expected = k->local_ms < 1 ? 1 : (double)k->local_ms;

  if (!run_target_has_data (t, &j->spec.steps[k->step]))
    return;
  /* The declared times of a queue may all be wrong in the same direction.  */
  if (work_estimate_is_learnt (&s->estimate, j->spec.queue))
    target_speed_add (&t->speed, now, (double)elapsed / expected);
  work_estimate_add (&s->estimate, j->spec.queue,
                     j->spec.steps[k->step].estimate_ms,
                     (int64_t)((double)elapsed / t->speed_factor));
}

static bool
is_of_service (const struct run_target *t, const char *service)
{
  return strcmp (t->spec.service, service) == 0;
}

/* Updates the targets of the service of target FIRST, which is the first one
   of it.  Returns whether their speeds have come into effect or ceased to
   be.  */
static bool
update_service (struct run_scheduler *s, uint32_t first, int64_t now)
{
  const char *service = s->targets[first]->spec.service;
  struct speed_spread spread = { 0, 0, 0 };
  bool before = false;
  bool in_effect;

  for (uint32_t i = first; i < s->target_count; i++)
    if (is_of_service (s->targets[i], service))
      {
        speed_spread_add (&spread, &s->targets[i]->speed, now);
        before |= s->targets[i]->speed_factor != 1;
      }
  in_effect = speed_spread_differs (&spread, before);
  for (uint32_t i = first; i < s->target_count; i++)
    {
      struct run_target *t = s->targets[i];

      if (is_of_service (t, service))
        t->speed_factor
            = in_effect ? speed_spread_factor (&spread, &t->speed, now) : 1;
    }
  if (in_effect == before)
    return false;
  s->speed_changes++;
  s->speeds_in_effect = in_effect;
  snprintf (s->speeds_service, sizeof s->speeds_service, "%s", service);
  return true;
}

static bool
is_first_of_service (const struct run_scheduler *s, uint32_t target)
{
  for (uint32_t i = 0; i < target; i++)
    if (is_of_service (s->targets[i], s->targets[target]->spec.service))
      return false;
  return true;
}

void
run_speeds_update (struct run_scheduler *s, int64_t now)
{
  if (now - s->speeds_updated_ms < UPDATE_MS)
    return;
  s->speeds_updated_ms = now;
  /* One change an update, so that the caller sees each.  */
  for (uint32_t i = 0; i < s->target_count; i++)
    if (is_first_of_service (s, i) && update_service (s, i, now))
      return;
}

uint64_t
run_speeds_cpu (const struct run_target *t)
{
  return (uint64_t)((double)t->spec.cpu_milli / t->speed_factor);
}
