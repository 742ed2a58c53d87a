#include "coord/overload_policy.h"

#include <string.h>
#include <utlist.h>

enum
{
  /* Share of a job's slack in which capacity for it must become free.  The
     rest is for errors of the estimates, which deviate by about 40 %.  With 70
     and 80 more jobs of the highest priority are served, but a third more of
     them late, and fewer of the other queues.  */
  SLACK_PERCENT = 60,

  /* A queue that got less than this part of its max-min fair share goes first.
     Without it, 9 % of the jobs of the lowest priority were served in the
     replay of customer 1 when another queue had 8 times its load.  */
  FLOOR_PERCENT = 50,

  /* With fewer targets too few runs end within a job's slack: with 16, jobs of
     many tasks, which are partly delegated, were refused on calm days.  */
  DECISIVE_TARGETS = 20
};

void
overload_policy_rank (struct run_scheduler *s, int64_t now, struct run_job *j)
{
  const struct service_priority *p
      = service_priorities_find (&s->priorities, j->spec.service);
  uint64_t usable;

  j->by_priority = p != NULL;
  if (p == NULL)
    return;
  usable = run_scheduler_backlog (s, j->spec.service, INT64_MIN).cpu_milli
           * USABLE_CPU_PERCENT / 100;
  j->rank = j->spec.priority;
  if (queue_share_is_below (&s->share, now, j->spec.queue, j->spec.service,
                            usable, FLOOR_PERCENT))
    j->rank = p->highest;
}

/* The number of tasks of STEP that fit on T at BY_MS beside the runs that are
   then expected to go on.  */
static uint32_t
capacity_on (const struct run_target *t, const struct job_step *step,
             int64_t by_ms)
{
  uint64_t cpu_used = 0;
  uint32_t runs = 0;
  uint64_t n;

  if (!run_target_could_run (t, step))
    return 0;
  for (uint32_t i = 0; i < t->run_count; i++)
    {
      const struct run_job *j = t->runs[i].job;
      const struct run_task *k = &j->tasks[t->runs[i].task];

      if (k->began_ms + k->expected_ms <= by_ms)
        continue;
      cpu_used += run_job_step (j, t->runs[i].task)->cpu_milli;
      runs++;
    }
  n = t->spec.slots > runs ? t->spec.slots - runs : 0;
  if (cpu_used >= t->spec.cpu_milli)
    return 0;
  if (step->cpu_milli != 0
      && n > (t->spec.cpu_milli - cpu_used) / step->cpu_milli)
    n = (t->spec.cpu_milli - cpu_used) / step->cpu_milli;
  return (uint32_t)n;
}

/* Whether the waiting tasks of O are placed before those of J.  */
static bool
is_ahead (const struct run_job *o, const struct run_job *j)
{
  if (o == j || o->waiting_count == 0
      || strcmp (o->spec.service, j->spec.service) != 0)
    return false;
  if (o->first_start_ms >= 0)
    return true;
  if (o->rank != j->rank)
    return o->rank < j->rank;
  return o->times.start_by_ms <= j->times.start_by_ms;
}

/* The step with the largest tasks among those that depend on no other.  */
static const struct job_step *
largest_first_step (const struct job_spec *spec)
{
  const struct job_step *largest = NULL;

  for (uint32_t i = 0; i < spec->step_count; i++)
    if (spec->steps[i].after == 0
        && (largest == NULL || spec->steps[i].cpu_milli > largest->cpu_milli))
      largest = &spec->steps[i];
  return largest;
}

struct overload_ahead
overload_policy_ahead (const struct run_scheduler *s, const struct run_job *j)
{
  struct overload_ahead a = { 0, 0, 0, 0 };
  const struct job_step *step = largest_first_step (&j->spec);
  int64_t slack = j->times.start_by_ms - j->times.arrived_ms;
  int64_t by_ms = j->times.arrived_ms + slack * SLACK_PERCENT / 100;
  const struct run_job *o;

  a.rank = j->rank;
  for (uint32_t i = 0; i < s->target_count && step != NULL; i++)
    if (run_scheduler_may_use (s->targets[i])
        && strcmp (s->targets[i]->spec.service, j->spec.service) == 0)
      a.capacity += capacity_on (s->targets[i], step, by_ms);
  DL_FOREACH (s->waiting, o)
  if (is_ahead (o, j))
    {
      a.tasks += o->waiting_count;
      a.urgent += o->rank < j->rank ? o->waiting_count : 0;
    }
  return a;
}

bool
overload_policy_starts_on_time (const struct run_scheduler *s,
                                const struct run_job *j)
{
  struct overload_ahead a = overload_policy_ahead (s, j);
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < j->spec.step_count; i++)
    if (j->spec.steps[i].after == 0)
      tasks += j->spec.steps[i].count;
  return a.capacity >= tasks + a.tasks;
}

bool
overload_policy_sees_enough (const struct run_scheduler *s,
                             const struct run_job *j)
{
  uint32_t targets = 0;

  for (uint32_t i = 0; i < s->target_count; i++)
    targets += strcmp (s->targets[i]->spec.service, j->spec.service) == 0;
  return targets >= DECISIVE_TARGETS;
}

/* Whether a job of higher priority than J waits.  */
static bool
urgent_job_waits (const struct run_scheduler *s, const struct run_job *j)
{
  const struct run_job *o;

  DL_FOREACH (s->waiting, o)
  if (o->rank < j->rank && o->waiting_count != 0
      && strcmp (o->spec.service, j->spec.service) == 0)
    return true;
  return false;
}

bool
overload_policy_is_displaced (const struct run_scheduler *s,
                              const struct run_job *j)
{
  return j->by_priority && j->first_start_ms < 0 && !j->spec.part.is_part
         && urgent_job_waits (s, j) && !overload_policy_starts_on_time (s, j);
}
