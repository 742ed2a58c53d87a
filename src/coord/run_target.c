#include "coord/run_target.h"

#include <string.h>
#include "coord/run_job.h"
#include "coord/target_lease.h"

/* Cost of a target that is twice as slow as usual, in the same unit as the
   share of its cores that is left free.  */
static const double slowness_cost = 0.6;

/* Cost of a target with faults since its last success, in the same unit.  */
static const double fault_cost = 0.5;

/* Cost of a cold target: above the sum of the others, so that it is chosen
   only where no other target has free capacity.  */
static const double cold_cost = 10;

enum
{
  /* Reports of the same cold state differ by the delays on their way; one that
     does not count down is reported in steps of a quarter of what is left.  */
  COLD_CHANGE_MS = 1000
};

bool
run_target_spec_same_incarnation (const struct run_target_spec *one,
                                  const struct run_target_spec *other)
{
  return one->started_ms == other->started_ms
         && strcmp (one->id, other->id) == 0
         && strcmp (one->address, other->address) == 0;
}

bool
run_target_spec_is_cold (const struct run_target_spec *s, int64_t now)
{
  return now < s->cold_until_ms;
}

bool
run_target_spec_became_cold (const struct run_target_spec *known,
                             const struct run_target_spec *spec, int64_t now)
{
  int64_t left = spec->cold_until_ms - now;

  return left > 0
         && spec->cold_until_ms
                > known->cold_until_ms + COLD_CHANGE_MS + left / 4;
}

bool
run_target_has_label (const struct run_target *t, const char *label)
{
  if (label[0] == '\0')
    return true;
  for (uint32_t i = 0; i < t->spec.label_count; i++)
    if (strcmp (t->spec.labels[i], label) == 0)
      return true;
  return false;
}

bool
run_target_has_data (const struct run_target *t, const struct job_step *step)
{
  return run_target_has_label (t, step->data_rack);
}

/* Whether R is a run of step NUMBER of the job KEY, or of a part of it.  */
static bool
is_run_of_step (const struct run_ref *r, const char *key, uint32_t number)
{
  const struct job_spec *spec = &r->job->spec;

  return strcmp (spec->key, key) == 0
         && job_spec_step_number (spec, r->job->tasks[r->task].step) == number;
}

uint32_t
run_target_step_capacity (const struct run_target *t,
                          const struct job_spec *spec, uint32_t i)
{
  const struct job_step *step = &spec->steps[i];
  uint32_t number = job_spec_step_number (spec, i);
  uint32_t n = 0;

  if (step->max_per_target == 0)
    return UINT32_MAX;
  for (uint32_t r = 0; r < t->run_count; r++)
    n += is_run_of_step (&t->runs[r], spec->key, number);
  return n < step->max_per_target ? step->max_per_target - n : 0;
}

bool
run_target_could_run (const struct run_target *t, const struct job_step *step)
{
  return step->cpu_milli <= t->spec.cpu_milli
         && step->memory_mb <= t->spec.memory_mb && step->gpu <= t->spec.gpu
         && run_target_has_label (t, step->label);
}

bool
run_target_may_start (const struct run_target *t, const struct job_step *step,
                      int64_t lease_end_ms, int64_t now)
{
  return t->phase == TARGET_READY && !t->spec.draining && !t->releasing
         && !t->evacuated && now >= t->full_until_ms
         && t->run_count < t->spec.slots && t->run_count < TARGET_RUN_LIMIT
         && t->cpu_used + step->cpu_milli <= t->spec.cpu_milli
         && t->memory_used + step->memory_mb <= t->spec.memory_mb
         && t->gpu_used + step->gpu <= t->spec.gpu
         && run_target_has_label (t, step->label)
         && target_lease_admits (t, lease_end_ms, now)
         && target_health_admits (&t->health, now, t->run_count);
}

double
run_target_cost (const struct run_target *t, const struct job_step *step,
                 int64_t now)
{
  double total = t->spec.cpu_milli == 0 ? 1 : (double)t->spec.cpu_milli;
  double left
      = (double)(t->spec.cpu_milli - t->cpu_used - step->cpu_milli) / total;
  double cost
      = left + slowness_cost * (target_health_slowness (&t->health, now) - 1);

  if (t->health.fault_streak != 0)
    cost += fault_cost;
  if (run_target_spec_is_cold (&t->spec, now))
    cost += cold_cost;
  return cost;
}

void
run_target_reserve (struct run_target *t, const struct job_step *step,
                    struct run_job *job, uint32_t task)
{
  t->cpu_used += step->cpu_milli;
  t->memory_used += step->memory_mb;
  t->gpu_used += step->gpu;
  t->runs[t->run_count++] = (struct run_ref){ job, task };
}

void
run_target_release (struct run_target *t, const struct job_step *step,
                    const struct run_job *job, uint32_t task)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    if (t->runs[i].job == job && t->runs[i].task == task)
      {
        t->runs[i] = t->runs[--t->run_count];
        t->cpu_used -= step->cpu_milli;
        t->memory_used -= step->memory_mb;
        t->gpu_used -= step->gpu;
        return;
      }
}
