#include "coord/run_job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
run_job_free (struct run_job *j)
{
  free (j->tasks);
  free (j->payload);
  free (j->wire_payload);
  free (j);
}

const struct job_step *
run_job_step (const struct run_job *j, uint32_t task)
{
  return &j->spec.steps[j->tasks[task].step];
}

void
run_job_task_name (const struct run_job *j, uint32_t task,
                   char name[TASK_NAME_BYTES])
{
  snprintf (name, TASK_NAME_BYTES, "%s.0.%u.%u", j->spec.key,
            j->spec.part.step + j->tasks[task].step,
            j->spec.part.first + j->tasks[task].index);
}

bool
run_task_is_unlisted (const struct run_task *k, int64_t now, int64_t polled_ms)
{
  return k->answered_ms != 0 && k->answered_ms < polled_ms
         && k->listed_ms != now;
}

bool
run_task_needs_stop (const struct run_task *k)
{
  return k->state == RUN_STOPPING && k->stop_answered_ms == 0;
}

void
run_job_note_start (struct run_job *j, int64_t now)
{
  if (j->first_start_ms < 0)
    j->first_start_ms = now;
  j->last_start_ms = now;
}

void
run_job_extend_lease (struct run_job *j, int64_t end_ms)
{
  if (end_ms > j->lease_end_ms)
    j->lease_end_ms = end_ms;
}

bool
run_job_step_may_begin (const struct run_job *j, uint32_t step)
{
  for (uint32_t i = 0; i < j->spec.step_count; i++)
    if ((j->spec.steps[step].after >> i & 1) != 0 && j->step_left[i] != 0)
      return false;
  return true;
}

/* Sets the expected run times of the tasks, and the job's work and times,
   which follow from them.  */
static void
estimate_job (struct run_job *j, const struct work_estimate *e, int64_t now)
{
  struct job_spec expected = j->spec;

  for (uint32_t i = 0; i < expected.step_count; i++)
    expected.steps[i].estimate_ms
        = work_estimate_ms (e, j->spec.queue, j->spec.steps[i].estimate_ms);
  j->work = job_spec_work (&expected);
  j->times = job_times_make (
      now - j->spec.age_ms, job_spec_critical_path_ms (&expected),
      j->spec.stretch_milli, j->spec.floor_ms, now + j->spec.deadline_ms);
  for (uint32_t i = 0; i < j->task_count; i++)
    {
      j->tasks[i].local_ms = expected.steps[j->tasks[i].step].estimate_ms;
      j->tasks[i].expected_ms = j->tasks[i].local_ms;
    }
}

struct run_job *
run_job_new (const struct job_spec *spec, uint64_t number,
             const struct work_estimate *e, int64_t now)
{
  struct run_job *j = calloc (1, sizeof *j);
  uint32_t n = 0;

  j->spec = *spec;
  j->number = number;
  snprintf (j->id, sizeof j->id, "%s", spec->key);
  if (spec->part.is_part)
    snprintf (j->id, sizeof j->id, "%s.%u.%u", spec->key, spec->part.step,
              spec->part.first);
  j->lease_end_ms = now + spec->lease_ms;
  j->first_start_ms = -1;
  j->last_start_ms = -1;
  j->payload = malloc (spec->payload.length + 1);
  memcpy (j->payload, spec->payload.data, spec->payload.length);
  j->payload[spec->payload.length] = '\0';
  j->payload_length = spec->payload.length;
  j->task_count = job_spec_task_count (spec);
  j->waiting_count = j->task_count;
  j->tasks = calloc (j->task_count, sizeof *j->tasks);
  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      j->step_left[i] = spec->steps[i].count;
      for (uint32_t k = 0; k < spec->steps[i].count; k++, n++)
        {
          j->tasks[n].step = (uint8_t)i;
          j->tasks[n].index = k;
          j->tasks[n].run = spec->part.run;
        }
    }
  estimate_job (j, e, now);
  return j;
}
