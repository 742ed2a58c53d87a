#include "coord/run_placement.h"

#include <string.h>

/* Slowness below this is within the error of the estimates and is ignored.  */
static const double slowness_threshold = 2;

/* Cost of a target that takes twice as long as the mean, in the unit of
   run_target_cost, for a task with ample slack and for one with none.  Slack
   is ample from this many times the task's expected run time on; short tasks
   have 1.6 times when they arrive, long ones 0.7.  */
static const double speed_cost_ample = 0.6;
static const double speed_cost_none = 1.2;
static const double ample_slack = 2;

static bool
is_avoided (const struct run_task *task, const struct run_target *t)
{
  for (uint32_t i = 0; i < task->avoid_count; i++)
    if (task->avoid[i] == t)
      return true;
  return false;
}

int64_t
run_placement_expected_ms (const struct run_scheduler *s,
                           const struct run_target *t,
                           const struct job_step *step, int64_t local_ms)
{
  double factor = t->speed_factor;

  if (!run_target_has_data (t, step))
    factor *= s->remote_factor;
  return (int64_t)((double)local_ms * factor);
}

/* How many times the expected run time a task takes on T.  */
static double
slowness_of (const struct run_target *t, int64_t now)
{
  double slowness = target_health_slowness (&t->health, now);

  if (slowness < slowness_threshold)
    slowness = 1;
  if (run_target_spec_is_cold (&t->spec, now) && slowness < RUN_COLD_FACTOR)
    slowness = RUN_COLD_FACTOR;
  return slowness;
}

/* Whether S has a target for STEP of J that is neither cold nor evacuated, so
   that it may be worth to wait for it.  */
static bool
has_warm_target (const struct run_scheduler *s, const struct run_job *j,
                 const struct job_step *step, int64_t now)
{
  for (uint32_t i = 0; i < s->target_count; i++)
    {
      const struct run_target *t = s->targets[i];

      if (!run_target_spec_is_cold (&t->spec, now) && !t->evacuated
          && !t->spec.draining
          && strcmp (t->spec.service, j->spec.service) == 0
          && run_target_could_run (t, step))
        return true;
    }
  return false;
}

/* Whether to start TASK on T, which may be remote from its data, slow or cold,
   rather than let it wait: it still ends on time there, is late already, or
   all targets are cold.  */
static bool
is_acceptable (const struct run_scheduler *s, const struct run_job *j,
               uint32_t task, const struct run_target *t, int64_t now)
{
  int64_t local = j->tasks[task].local_ms;
  int64_t due = j->times.start_by_ms + local;
  double slowness = slowness_of (t, now);
  int64_t expected
      = run_placement_expected_ms (s, t, run_job_step (j, task), local);

  if (now > j->times.start_by_ms
      || now + (int64_t)((double)expected * slowness) <= due)
    return true;
  return run_target_spec_is_cold (&t->spec, now)
         && !has_warm_target (s, j, run_job_step (j, task), now);
}

/* The weight of a target's speed for TASK, which rises as its slack falls, so
   that the tasks with the least slack get the fastest targets.  */
static double
speed_weight (const struct run_job *j, uint32_t task, int64_t now)
{
  double slack = (double)(j->times.start_by_ms - now);
  double urgency = 1 - slack / (ample_slack * (double)j->tasks[task].local_ms);

  if (urgency < 0)
    urgency = 0;
  if (urgency > 1)
    urgency = 1;
  return speed_cost_ample + (speed_cost_none - speed_cost_ample) * urgency;
}

static double
speed_cost (const struct run_target *t, double weight)
{
  return weight * (t->speed_factor - 1);
}

struct run_target *
run_placement_choose (const struct run_scheduler *s, const struct run_job *j,
                      uint32_t task, int64_t now)
{
  const struct job_step *step = run_job_step (j, task);
  struct run_target *best = NULL;
  bool best_local = false;
  double best_cost = 0;
  double weight = speed_weight (j, task, now);

  for (uint32_t i = 0; i < s->target_count; i++)
    {
      struct run_target *t = s->targets[i];
      bool local = run_target_has_data (t, step);
      double cost;

      if (!run_target_may_start (t, step, j->lease_end_ms, now)
          || (best_local && !local)
          || strcmp (t->spec.service, j->spec.service) != 0
          || is_avoided (&j->tasks[task], t)
          || run_target_step_capacity (t, &j->spec, j->tasks[task].step) == 0
          || !is_acceptable (s, j, task, t, now))
        continue;
      cost = run_target_cost (t, step, now) + speed_cost (t, weight);
      if (best == NULL || local != best_local || cost < best_cost)
        {
          best = t;
          best_local = local;
          best_cost = cost;
        }
    }
  return best;
}
