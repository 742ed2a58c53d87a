#include "coord/run_placement.h"

#include <string.h>

/* Less than this is the spread of estimates.  */
static const double telling_slowness = 2;

static bool
is_avoided (const struct run_task *k, const struct run_target *t)
{
  for (uint32_t i = 0; i < k->avoid_count; i++)
    if (k->avoid[i] == t)
      return true;
  return false;
}

int64_t
run_placement_expected_ms (const struct run_scheduler *s,
                           const struct run_target *t,
                           const struct job_step *step, int64_t expected_ms)
{
  return run_target_has_data (t, step)
             ? expected_ms
             : (int64_t)((double)expected_ms * s->far_factor);
}

/* Whether TASK should go to T, away from its data or slow, rather than wait:
   it still ends on time there, or is late already.  */
static bool
is_worth_it (const struct run_scheduler *s, const struct run_job *j,
             uint32_t task, const struct run_target *t, int64_t now)
{
  int64_t near = j->tasks[task].local_ms;
  int64_t due = j->times.start_by_ms + near;
  double slowness = target_health_slowness (&t->health, now);
  int64_t expected
      = run_placement_expected_ms (s, t, run_job_step (j, task), near);

  if (slowness < telling_slowness)
    slowness = 1;
  return now > j->times.start_by_ms
         || now + (int64_t)((double)expected * slowness) <= due;
}

struct run_target *
run_placement_choose (const struct run_scheduler *s, const struct run_job *j,
                      uint32_t task, int64_t now)
{
  const struct job_step *step = run_job_step (j, task);
  struct run_target *best = NULL;
  bool best_near = false;
  double best_misfit = 0;

  for (uint32_t i = 0; i < s->target_count; i++)
    {
      struct run_target *t = s->targets[i];
      bool near = run_target_has_data (t, step);
      double misfit;

      if (!run_target_may_start (t, step, now) || (best_near && !near)
          || strcmp (t->spec.service, j->spec.service) != 0
          || is_avoided (&j->tasks[task], t)
          || !run_target_below_step_limit (t, j, step, j->tasks[task].step)
          || !is_worth_it (s, j, task, t, now))
        continue;
      misfit = run_target_cost (t, step, now);
      if (best == NULL || near != best_near || misfit < best_misfit)
        {
          best = t;
          best_near = near;
          best_misfit = misfit;
        }
    }
  return best;
}
