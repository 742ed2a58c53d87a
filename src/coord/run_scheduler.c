#include "coord/run_scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "coord/overload_policy.h"
#include "coord/run_admission.h"
#include "coord/run_placement.h"
#include "coord/run_progress.h"
#include "coord/run_speeds.h"
#include "coord/wait_order.h"

enum
{
  /* A target that refused a start for lack of free capacity gets no starts for
     this long.  */
  FULL_PAUSE_MS = 40,

  /* Progress below this is no basis for an estimate of the target's speed.  */
  MIN_PROGRESS_PERCENT = 8
};

/* Used if the settings have no factor.  */
static const double default_remote_factor = 2;

void
run_scheduler_init (struct run_scheduler *s,
                    const struct run_scheduler_output *output, void *arg)
{
  memset (s, 0, sizeof *s);
  s->output = output;
  s->arg = arg;
  s->remote_factor = default_remote_factor;
  work_estimate_init (&s->estimate);
  queue_share_init (&s->share);
  service_priorities_init (&s->priorities);
}

void
run_scheduler_done (struct run_scheduler *s)
{
  struct run_job *j;
  struct run_job *next;

  HASH_ITER (hh, s->jobs, j, next)
  {
    HASH_DEL (s->jobs, j);
    run_job_free (j);
  }
  for (uint32_t i = 0; i < s->target_count; i++)
    free (s->targets[i]);
  free (s->targets);
  work_estimate_done (&s->estimate);
  service_priorities_done (&s->priorities);
}

struct run_target *
run_scheduler_target (const struct run_scheduler *s, const char *id)
{
  for (uint32_t i = 0; i < s->target_count; i++)
    if (strcmp (s->targets[i]->spec.id, id) == 0)
      return s->targets[i];
  return NULL;
}

struct run_target *
run_scheduler_add_target (struct run_scheduler *s,
                          const struct run_target_spec *spec)
{
  struct run_target *t = calloc (1, sizeof *t);

  t->spec = *spec;
  t->phase = TARGET_SYNCING;
  target_health_init (&t->health);
  t->speed_factor = 1;
  s->targets = realloc (s->targets,
                        (s->target_count + 1) * sizeof (struct run_target *));
  s->targets[s->target_count++] = t;
  return t;
}

/* Frees J if it is closed and has no active runs.  */
static void
free_if_finished (struct run_scheduler *s, struct run_job *j)
{
  if (!j->closed || j->active_count != 0 || s->jobs == NULL)
    return;
  HASH_DEL (s->jobs, j);
  run_job_free (j);
}

/* Ends the run of TASK: releases its capacity and sets the task to waiting. */
static void
task_release (struct run_job *j, uint32_t task)
{
  struct run_task *k = &j->tasks[task];

  run_target_release (k->target, run_job_step (j, task), j, task);
  k->target = NULL;
  k->state = RUN_WAITING;
  j->active_count--;
  j->waiting_count++;
}

static void
stop_task (struct run_scheduler *s, struct run_job *j, uint32_t task)
{
  struct run_task *k = &j->tasks[task];

  if (k->state != RUN_STARTING && k->state != RUN_RUNNING)
    return;
  k->state = RUN_STOPPING;
  s->output->stop (s->arg, k->target, j, task);
}

/* Revokes the delegated tasks of J; they wait here again.  */
static void
revoke_delegated (struct run_scheduler *s, struct run_job *j)
{
  s->output->revoke (s->arg, j);
  for (uint32_t i = 0; i < j->task_count; i++)
    if (j->tasks[i].state == RUN_DELEGATED)
      j->tasks[i].state = RUN_WAITING;
  j->waiting_count += j->delegated_count;
  j->delegated_count = 0;
}

/* Closes J with RESULT and stops its runs.  J may be freed.  */
static void
close_job (struct run_scheduler *s, struct run_job *j, enum job_result result,
           enum refusal_reason reason, int64_t retry_ms)
{
  bool notify = j->user_data != NULL;

  if (j->closed)
    return;
  DL_DELETE (s->waiting, j);
  j->closed = true;
  if (j->delegated_count != 0)
    revoke_delegated (s, j);
  for (uint32_t i = 0; i < j->task_count; i++)
    stop_task (s, j, i);
  if (notify)
    s->output->finished (s->arg, j, result, reason, retry_ms);
  j->user_data = NULL;
  free_if_finished (s, j);
}

void
run_scheduler_cancel (struct run_scheduler *s, int64_t now, struct run_job *j)
{
  (void)now;
  j->user_data = NULL;
  close_job (s, j, JOB_UNKNOWN, REFUSAL_NONE, 0);
}

void
run_scheduler_abort (struct run_scheduler *s, int64_t now, struct run_job *j,
                     enum job_result result, enum refusal_reason reason)
{
  (void)now;
  close_job (s, j, result, reason, 0);
}

struct run_job *
run_scheduler_submit (struct run_scheduler *s, int64_t now,
                      const struct job_spec *spec, void *user_data,
                      enum refusal_reason *reason, int64_t *retry_ms)
{
  struct job_backlog b;
  struct run_job *j;

  *retry_ms = 0;
  if (run_admission_is_duplicate (s, spec))
    {
      *reason = REFUSAL_DUPLICATE;
      return NULL;
    }
  *reason = run_admission_check_fit (s, spec);
  if (*reason != REFUSAL_NONE)
    return NULL;
  j = run_job_new (spec, ++s->next_number, &s->estimate, now);
  if (!spec->part.is_part)
    queue_share_request (&s->share, now, spec->queue, spec->service, j->work);
  overload_policy_rank (s, now, j);
  b = run_scheduler_backlog_of (s, j);
  *reason = run_admission_check_load (s, now, j, &b);
  if (*reason != REFUSAL_NONE)
    {
      *retry_ms = job_admission_retry_ms (&b, j->number * 7919);
      if (j->by_priority)
        s->refused_ahead = overload_policy_ahead (s, j);
      run_job_free (j);
      return NULL;
    }
  queue_share_grant (&s->share, now, spec->queue, j->work);
  j->user_data = user_data;
  HASH_ADD_STR (s->jobs, id, j);
  DL_APPEND (s->waiting, j);
  s->check_displaced |= j->by_priority;
  return j;
}

static void
start_task (struct run_scheduler *s, struct run_job *j, uint32_t task,
            struct run_target *t, int64_t now)
{
  struct run_task *k = &j->tasks[task];

  k->state = RUN_STARTING;
  k->target = t;
  k->run++;
  k->start_sent_ms = now;
  k->began_ms = now;
  k->progressed_ms = now;
  k->expected_ms
      = run_placement_expected_ms (s, t, run_job_step (j, task), k->local_ms);
  /* Else the run would be taken for a slow one and restarted.  */
  if (run_target_spec_is_cold (&t->spec, now))
    k->expected_ms *= RUN_COLD_FACTOR;
  k->percent = 0;
  k->answered_ms = 0;
  k->stop_answered_ms = 0;
  k->listed_ms = 0;
  run_target_reserve (t, run_job_step (j, task), j, task);
  j->waiting_count--;
  j->active_count++;
  j->started = true;
  run_job_note_start (j, now);
  target_health_run_started (&t->health, now);
  s->output->start (s->arg, t, j, task);
}

/* Starts the waiting tasks of J that fit in the free capacity.  */
static void
place_job (struct run_scheduler *s, struct run_job *j, int64_t now)
{
  for (uint32_t i = 0; i < j->task_count && j->waiting_count != 0; i++)
    {
      struct run_target *t;

      if (j->tasks[i].state != RUN_WAITING
          || !run_job_step_may_begin (j, j->tasks[i].step))
        continue;
      t = run_placement_choose (s, j, i, now);
      if (t != NULL)
        start_task (s, j, i, t, now);
    }
}

/* Refuses jobs that did not start in time to be of use, and ends started jobs
   that are past their deadline.  */
static void
refuse_expired (struct run_scheduler *s, int64_t now)
{
  struct run_job *j;
  struct run_job *next;

  DL_FOREACH_SAFE (s->waiting, j, next)
  {
    struct job_backlog b;

    if (j->first_start_ms >= 0)
      {
        if (now > j->times.deadline_ms)
          close_job (s, j, JOB_UNKNOWN, REFUSAL_EXPIRED, 0);
        continue;
      }
    if (now <= j->times.expires_ms)
      continue;
    b = run_scheduler_backlog (s, j->spec.service, INT64_MAX);
    close_job (s, j, JOB_REFUSED, REFUSAL_EXPIRED,
               job_admission_retry_ms (&b, j->number * 7919));
  }
}

/* Refuses waiting jobs that give way to jobs of higher priority.  */
static void
refuse_displaced (struct run_scheduler *s, int64_t now)
{
  struct run_job *j;
  struct run_job *next;

  if (!s->check_displaced)
    return;
  s->check_displaced = false;
  DL_FOREACH_SAFE (s->waiting, j, next)
  if (overload_policy_is_displaced (s, j))
    {
      struct job_backlog b = run_scheduler_backlog_of (s, j);

      s->refused_ahead = overload_policy_ahead (s, j);
      queue_share_revoke (&s->share, now, j->spec.queue, j->work);
      close_job (s, j, JOB_REFUSED, REFUSAL_DISPLACED,
                 job_admission_retry_ms (&b, j->number * 7919));
    }
}

static void
notify_health (struct run_scheduler *s, const struct run_target *t)
{
  if (s->output->health != NULL)
    s->output->health (s->arg, t);
}

/* Records that a run on T succeeded after RATIO times its expected time.  */
static void
note_success (struct run_scheduler *s, struct run_target *t, int64_t now,
              double ratio)
{
  bool was_ejected = t->health.ejected;

  target_health_success (&t->health, now, ratio);
  if (was_ejected)
    notify_health (s, t);
}

/* Records a fault of a run of J on T, and ejects T if it has too many faults
   and not too many targets are ejected already.  */
static void
note_fault (struct run_scheduler *s, struct run_target *t, int64_t now,
            const struct run_job *j)
{
  uint32_t ejected = 0;

  target_health_fault (&t->health, now, j->number);
  for (uint32_t i = 0; i < s->target_count; i++)
    ejected += s->targets[i]->health.ejected;
  if (target_health_should_eject (&t->health)
      && ejected < target_health_ejected_limit (s->target_count))
    {
      target_health_eject (&t->health, now);
      notify_health (s, t);
    }
}

static void
avoid_target (struct run_task *k, const struct run_target *t)
{
  if (k->avoid_count < RUN_AVOID_LIMIT)
    k->avoid[k->avoid_count++] = t;
}

/* Stops stalled and slow runs, to restart them on other targets.  */
static void
stop_stalled (struct run_scheduler *s, int64_t now)
{
  for (uint32_t i = 0; i < s->target_count; i++)
    {
      struct run_target *t = s->targets[i];

      for (uint32_t r = 0; r < t->run_count; r++)
        {
          struct run_job *j = t->runs[r].job;
          struct run_task *k = &j->tasks[t->runs[r].task];

          if (!run_progress_should_restart (k, now))
            continue;
          k->stops++;
          note_fault (s, t, now, j);
          avoid_target (k, t);
          stop_task (s, j, t->runs[r].task);
        }
    }
}

void
run_scheduler_pass (struct run_scheduler *s, int64_t now)
{
  struct wait_rank *ranks;
  uint32_t n;

  run_speeds_update (s, now);
  stop_stalled (s, now);
  refuse_expired (s, now);
  refuse_displaced (s, now);
  n = run_scheduler_rank (s, now, &ranks);
  for (uint32_t i = 0; i < n; i++)
    place_job (s, ranks[i].job, now);
  free (ranks);
}

/* The index in T->runs of run RUN of the task called NAME, or -1.  */
static int64_t
find_run (const struct run_target *t, const char *name, uint64_t run)
{
  char known[TASK_NAME_BYTES];

  for (uint32_t i = 0; i < t->run_count; i++)
    {
      const struct run_ref *p = &t->runs[i];

      if (p->job->tasks[p->task].run != run)
        continue;
      run_job_task_name (p->job, p->task, known);
      if (strcmp (known, name) == 0)
        return i;
    }
  return -1;
}

/* Marks TASK, which counts as waiting, as ended, and closes J if it was the
   last one.  */
static void
task_done (struct run_scheduler *s, struct run_job *j, uint32_t task)
{
  j->tasks[task].state = RUN_ENDED;
  j->waiting_count--;
  j->ended_count++;
  j->step_left[j->tasks[task].step]--;
  if (j->closed)
    free_if_finished (s, j);
  else if (j->ended_count == j->task_count)
    close_job (s, j, JOB_DONE, REFUSAL_NONE, 0);
}

void
run_scheduler_delegate (struct run_scheduler *s, int64_t now,
                        struct run_job *j, uint32_t first, uint32_t count)
{
  (void)s;
  for (uint32_t i = first; i < first + count; i++)
    j->tasks[i].state = RUN_DELEGATED;
  j->waiting_count -= count;
  j->delegated_count += count;
  run_job_note_start (j, now);
}

void
run_scheduler_delegation_ended (struct run_scheduler *s, int64_t now,
                                struct run_job *j, uint32_t first,
                                uint32_t count, enum job_result result,
                                enum refusal_reason reason)
{
  bool last = false;

  (void)now;
  if (result != JOB_DONE && result != JOB_REFUSED)
    {
      close_job (s, j, result, reason, 0);
      return;
    }
  j->delegated_count -= count;
  j->waiting_count += count;
  for (uint32_t i = first; i < first + count; i++)
    j->tasks[i].state = RUN_WAITING;
  if (result == JOB_REFUSED && !j->started && j->delegated_count == 0
      && j->ended_count == 0)
    j->first_start_ms = -1;
  for (uint32_t i = first; result == JOB_DONE && i < first + count && !last;
       i++)
    {
      last = j->ended_count + 1 == j->task_count;
      task_done (s, j, i);
    }
}

static void
task_failed (struct run_scheduler *s, int64_t now, struct run_job *j,
             uint32_t task, struct run_target *t)
{
  struct run_task *k = &j->tasks[task];

  avoid_target (k, t);
  note_fault (s, t, now, j);
  /* The first failure of a task does not count against it if it was on an
     ejected target, which fails the tasks of other jobs too.  */
  if (!t->health.ejected || k->failures != 0)
    k->failures++;
  if (k->failures >= j->spec.attempts)
    close_job (s, j, JOB_FAILED, REFUSAL_NONE, 0);
}

bool
run_scheduler_ended (struct run_scheduler *s, int64_t now,
                     struct run_target *t, const char *name, uint64_t run,
                     enum run_end how)
{
  int64_t at = find_run (t, name, run);
  struct run_job *j;
  struct run_task *k;
  uint32_t task;
  int64_t elapsed;

  if (at < 0)
    return false;
  j = t->runs[at].job;
  task = t->runs[at].task;
  k = &j->tasks[task];
  elapsed = now - k->began_ms;
  task_release (j, task);
  if (how == RUN_END_DONE)
    {
      double expected = (double)(k->expected_ms < 1 ? 1 : k->expected_ms);

      run_speeds_note (s, t, now, j, k, elapsed);
      note_success (s, t, now, (double)elapsed / expected);
      task_done (s, j, task);
    }
  else if (j->closed)
    free_if_finished (s, j);
  else if (how == RUN_END_FAILED)
    task_failed (s, now, j, task, t);
  return true;
}

bool
run_scheduler_running (struct run_scheduler *s, int64_t now,
                       struct run_target *t, const char *name, uint64_t run,
                       uint32_t percent)
{
  int64_t at = find_run (t, name, run);
  struct run_task *k;

  (void)s;
  if (at < 0)
    return false;
  k = &t->runs[at].job->tasks[t->runs[at].task];
  k->listed_ms = now;
  if (percent > k->percent)
    {
      if (percent >= MIN_PROGRESS_PERCENT && percent < RUN_PERCENT_DONE)
        target_health_progress (&t->health, now,
                                run_progress_ratio (k, now, percent));
      k->percent = percent;
      k->progressed_ms = now;
    }
  if (percent > RUN_PERCENT_DONE)
    k->percent = RUN_PERCENT_DONE;
  if (k->state == RUN_STARTING)
    k->state = RUN_RUNNING;
  return true;
}

void
run_scheduler_start_result (struct run_scheduler *s, int64_t now,
                            struct run_target *t, const char *name,
                            uint64_t run, enum start_outcome outcome)
{
  int64_t at = find_run (t, name, run);
  struct run_job *j;
  struct run_task *k;
  uint32_t task;

  if (at < 0)
    return;
  j = t->runs[at].job;
  task = t->runs[at].task;
  k = &j->tasks[task];
  if (outcome == START_ACCEPTED)
    {
      k->began_ms = now;
      k->progressed_ms = now;
      k->answered_ms = now;
      if (k->state == RUN_STARTING)
        k->state = RUN_RUNNING;
      return;
    }
  if (outcome == START_UNKNOWN)
    {
      stop_task (s, j, task);
      return;
    }
  task_release (j, task);
  if (outcome == START_NO_CAPACITY)
    t->full_until_ms = now + FULL_PAUSE_MS;
  else if (outcome == START_NOT_BEGUN)
    {
      note_fault (s, t, now, j);
      avoid_target (k, t);
    }
  if (j->closed)
    free_if_finished (s, j);
  else if (outcome == START_REJECTED)
    close_job (s, j, JOB_FAILED, REFUSAL_NONE, 0);
}

void
run_scheduler_stop_answered (struct run_scheduler *s, int64_t now,
                             struct run_target *t, const char *name,
                             uint64_t run)
{
  int64_t at = find_run (t, name, run);

  struct run_task *k;

  (void)s;
  if (at < 0)
    return;
  k = &t->runs[at].job->tasks[t->runs[at].task];
  k->answered_ms = now;
  k->stop_answered_ms = now;
}

uint32_t
run_scheduler_drop_unlisted (struct run_scheduler *s, int64_t now,
                             struct run_target *t, int64_t polled_ms)
{
  uint32_t dropped = 0;
  uint32_t i = 0;

  while (i < t->run_count)
    {
      struct run_job *j = t->runs[i].job;
      uint32_t task = t->runs[i].task;
      const struct run_task *k = &j->tasks[task];

      if (!run_task_is_unlisted (k, now, polled_ms))
        {
          i++;
          continue;
        }
      task_release (j, task);
      free_if_finished (s, j);
      dropped++;
    }
  return dropped;
}

void
run_scheduler_runs_lost (struct run_scheduler *s, int64_t now,
                         struct run_target *t)
{
  (void)now;
  while (t->run_count != 0)
    {
      struct run_job *j = t->runs[0].job;

      task_release (j, t->runs[0].task);
      free_if_finished (s, j);
    }
}

void
run_scheduler_remove_target (struct run_scheduler *s, int64_t now,
                             struct run_target *t)
{
  struct run_job *j;

  run_scheduler_runs_lost (s, now, t);
  DL_FOREACH (s->waiting, j)
  for (uint32_t i = 0; i < j->task_count; i++)
    for (uint32_t a = 0; a < j->tasks[i].avoid_count; a++)
      if (j->tasks[i].avoid[a] == t)
        j->tasks[i].avoid[a] = NULL;
  for (uint32_t i = 0; i < s->target_count; i++)
    if (s->targets[i] == t)
      {
        s->targets[i] = s->targets[--s->target_count];
        free (t);
        return;
      }
}
