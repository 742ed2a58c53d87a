#include "coord/run_admission.h"

#include <string.h>

enum refusal_reason
run_admission_check_fit (const struct run_scheduler *s,
                         const struct job_spec *spec)
{
  bool any = false;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      bool fits = false;

      for (uint32_t t = 0; t < s->target_count && !fits; t++)
        {
          if (strcmp (s->targets[t]->spec.service, spec->service) != 0)
            continue;
          any = true;
          fits = run_target_could_run (s->targets[t], &spec->steps[i]);
        }
      if (!fits)
        return any ? REFUSAL_TOO_LARGE : REFUSAL_NO_TARGET;
    }
  return REFUSAL_NONE;
}

/* Whether all tasks of the steps of SPEC that depend on no other step could
   start now.  Then no work is ahead of the job, even if larger tasks wait.  */
static bool
fits_now (const struct run_scheduler *s, const struct job_spec *spec,
          int64_t now)
{
  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      const struct job_step *step = &spec->steps[i];
      uint32_t left = step->count;

      if (step->after != 0)
        continue;
      for (uint32_t t = 0; t < s->target_count && left != 0; t++)
        {
          const struct run_target *target = s->targets[t];
          uint64_t capacity;

          if (!run_target_may_start (target, step, now)
              || strcmp (target->spec.service, spec->service) != 0)
            continue;
          capacity = step->cpu_milli == 0
                         ? left
                         : (target->spec.cpu_milli - target->cpu_used)
                               / step->cpu_milli;
          left -= capacity < left ? (uint32_t)capacity : left;
        }
      if (left != 0)
        return false;
    }
  return true;
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

bool
run_admission_accepts (struct run_scheduler *s, int64_t now,
                       const struct run_job *j, const struct job_backlog *b)
{
  uint64_t usable = b->cpu_milli * USABLE_CPU_PERCENT / 100;

  if (fits_now (s, &j->spec, now))
    return true;
  if (j->spec.part.is_part)
    return false;
  if (queue_share_is_exhausted (&s->share, now, j->spec.queue, j->spec.service,
                                usable))
    return false;
  return job_admission_accepts (&j->times, b, now);
}
