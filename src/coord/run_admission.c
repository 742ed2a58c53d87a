#include "coord/run_admission.h"

#include <string.h>
#include "coord/overload_policy.h"

enum refusal_reason
run_admission_check_fit (const struct run_scheduler *s,
                         const struct job_spec *spec)
{
  bool any = false;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      bool fits = false;
      bool fits_evacuated = false;

      for (uint32_t n = 0; n < s->target_count && !fits; n++)
        {
          const struct run_target *t = s->targets[n];
          bool could = run_target_could_run (t, &spec->steps[i]);

          if (strcmp (t->spec.service, spec->service) != 0)
            continue;
          any = any || !t->evacuated;
          fits = could && !t->evacuated;
          fits_evacuated = fits_evacuated || (could && t->evacuated);
        }
      /* What fits on an evacuated target is not too large for the service.  */
      if (!fits)
        return any && !fits_evacuated ? REFUSAL_TOO_LARGE : REFUSAL_NO_TARGET;
    }
  return REFUSAL_NONE;
}

/* The number of tasks of step I of SPEC, at most LIMIT, that could start on T
   now.  */
static uint32_t
fitting_on (const struct run_target *t, const struct job_spec *spec,
            uint32_t i, uint32_t limit, int64_t now)
{
  const struct job_step *step = &spec->steps[i];
  int64_t lease_end_ms = now + spec->lease_ms;
  uint32_t capacity = run_target_step_capacity (t, spec, i);
  uint64_t n = limit;

  if (!run_target_may_start (t, step, lease_end_ms, now))
    return 0;
  if (step->cpu_milli != 0)
    n = (t->spec.cpu_milli - t->cpu_used) / step->cpu_milli;
  if (n > capacity)
    n = capacity;
  return n < limit ? (uint32_t)n : limit;
}

uint32_t
run_admission_fitting (const struct run_scheduler *s,
                       const struct job_spec *spec, int64_t now)
{
  uint32_t fitting = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      const struct job_step *step = &spec->steps[i];
      uint32_t left = step->count;

      if (step->after != 0)
        continue;
      for (uint32_t t = 0; t < s->target_count && left != 0; t++)
        if (strcmp (s->targets[t]->spec.service, spec->service) == 0)
          left -= fitting_on (s->targets[t], spec, i, left, now);
      fitting += step->count - left;
    }
  return fitting;
}

/* Whether all tasks of the steps of SPEC that depend on no other step could
   start now.  Then no work is ahead of the job, even if larger tasks wait.  */
static bool
fits_now (const struct run_scheduler *s, const struct job_spec *spec,
          int64_t now)
{
  uint32_t first_tasks = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    if (spec->steps[i].after == 0)
      first_tasks += spec->steps[i].count;
  return run_admission_fitting (s, spec, now) == first_tasks;
}

bool
run_admission_is_duplicate (const struct run_scheduler *s,
                            const struct job_spec *spec)
{
  const struct run_job *j;
  const struct run_job *next;

  HASH_ITER (hh, s->jobs, j, next)
  if (job_spec_overlaps (&j->spec, spec))
    return true;
  return false;
}

enum refusal_reason
run_admission_check_load (struct run_scheduler *s, int64_t now,
                          const struct run_job *j, const struct job_backlog *b)
{
  uint64_t usable = b->cpu_milli * USABLE_CPU_PERCENT / 100;

  if (fits_now (s, &j->spec, now))
    return REFUSAL_NONE;
  if (j->spec.part.is_part)
    return REFUSAL_FULL;
  if (j->by_priority && overload_policy_starts_on_time (s, j))
    return REFUSAL_NONE;
  if (j->by_priority && overload_policy_sees_enough (s, j))
    return REFUSAL_OVERLOAD;
  if (queue_share_is_exhausted (&s->share, now, j->spec.queue, j->spec.service,
                                usable))
    return REFUSAL_SHARE;
  return job_admission_accepts (&j->times, b, now) ? REFUSAL_NONE
                                                   : REFUSAL_OVERLOAD;
}
