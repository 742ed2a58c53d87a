#include "controller/dispatcher.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/histogram.h"
#include "base/now.h"
#include "controller/dispatch_coordinator.h"
#include "controller/job_events.h"
#include "controller/run_events.h"
#include "coord/run_admission.h"
#include "coord/run_speeds.h"

enum
{
  /* Interval of the periodic passes and time-out checks.  */
  TICK_MS = 20,

  /* Work is logged in core milliseconds.  */
  WORK_PER_CORE_MS = 1000,

  AHEAD_BYTES = 96
};

void
dispatcher_request_pass (struct dispatcher *d)
{
  if (d->pass_requested)
    return;
  d->pass_requested = true;
  event_active (d->pass, EV_TIMEOUT, 0);
}

static void
request_pass (void *arg)
{
  dispatcher_request_pass (arg);
}

static void
send_result (struct dispatch_job *j, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms, int64_t waited_ms)
{
  if (j->coordinator == NULL)
    j->done (j->arg, result, reason, retry_ms, waited_ms);
  else
    {
      dispatch_coordinator_send_result (j, result, reason, retry_ms,
                                        waited_ms);
      DL_DELETE (j->coordinator->jobs, j);
    }
}

static void
count_result (enum job_result r)
{
  if (r == JOB_DONE)
    counters_add (COUNTER_DISPATCH_DONE, 1);
  else if (r == JOB_REFUSED)
    counters_add (COUNTER_DISPATCH_REFUSED, 1);
  else
    counters_add (COUNTER_DISPATCH_FAILED, 1);
}

/* Writes what was ahead of the job that S refused last by its priority.  */
static void
describe_ahead (const struct run_scheduler *s, char text[AHEAD_BYTES])
{
  const struct overload_ahead *a = &s->refused_ahead;

  snprintf (text, AHEAD_BYTES,
            "rank=%u ahead_tasks=%u ahead_urgent=%u capacity=%u", a->rank,
            a->tasks, a->urgent, a->capacity);
}

static void
log_displaced (const struct dispatcher *d, const struct run_job *run,
               int64_t now, int64_t retry_ms)
{
  char ahead[AHEAD_BYTES];

  describe_ahead (&d->scheduler, ahead);
  counters_add (COUNTER_JOBS_DISPLACED, 1);
  event_ring_add (EVENT_JOB_DISPLACED, run->spec.key,
                  "queue=%s priority=%u tasks=%u %s waited_ms=%" PRId64
                  " slack_ms=%" PRId64 " retry_ms=%" PRId64,
                  run->spec.queue, run->spec.priority, run->task_count, ahead,
                  now - run->times.arrived_ms, run->times.start_by_ms - now,
                  retry_ms);
}

static void
on_finished (void *arg, struct run_job *run, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  struct dispatch_job *j = run->user_data;
  int64_t now = now_ms ();
  int64_t waited = run->first_start_ms < 0
                       ? -1
                       : run->first_start_ms - run->times.arrived_ms;

  if (reason == REFUSAL_DISPLACED)
    log_displaced (arg, run, now, retry_ms);
  count_result (result);
  histogram_add (HISTOGRAM_JOB_WAIT, waited);
  histogram_add (HISTOGRAM_JOB_TOTAL, now - run->times.arrived_ms);
  if (run->active_count != 0)
    job_events_stopped (j, now, refusal_reason_name (reason));
  job_events_ended (j, now, result, reason);
  send_result (j, result, reason, retry_ms, waited);
  free (j);
}

static void
on_start (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  (void)arg;
  if (run_target_spec_is_cold (&t->spec, now_ms ()))
    counters_add (COUNTER_COLD_STARTS, 1);
  target_runner_start (t->user_data, now_ms (), j, task);
}

static void
on_stop (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  char name[TASK_NAME_BYTES];

  (void)arg;
  run_job_task_name (j, task, name);
  /* The job is open and the start was accepted: the run is stopped because it
     stalled or is too slow.  */
  if (!j->closed && j->tasks[task].answered_ms != 0)
    event_ring_add (EVENT_RUN_STALLED, name,
                    "run=%" PRIu64 " target=%s percent=%u expected_ms=%" PRId64
                    " ran_ms=%" PRId64,
                    j->tasks[task].run, t->spec.id, j->tasks[task].percent,
                    j->tasks[task].expected_ms,
                    now_ms () - j->tasks[task].began_ms);
  run_events_stopped (t, now_ms (), j, task);
  target_runner_stop (t->user_data, name, j->tasks[task].run);
}

static void
on_revoke (void *arg, struct run_job *j)
{
  struct dispatcher *d = arg;

  d->delegation.revoke (d->delegation.arg, j);
}

static void
on_health (void *arg, const struct run_target *t)
{
  const struct target_health *h = &t->health;

  (void)arg;
  if (h->ejected)
    event_ring_add (EVENT_TARGET_EJECTED, t->spec.id,
                    "faults=%u slowness=%.2f pause_ms=%" PRId64 " runs=%u",
                    h->fault_streak, h->slowness, h->pause_ms, t->run_count);
  else
    event_ring_add (EVENT_TARGET_RETURNED, t->spec.id, "slowness=%.2f",
                    h->slowness);
}

static const struct run_scheduler_output scheduler_output
    = { on_start, on_stop, on_finished, on_revoke, on_health };

/* Ends the jobs that run on a target that this VM no longer owns.  The next
   owner stops the runs, so their outcome is unknown here.  */
static void
abort_runs (struct dispatcher *d, struct run_target *t, int64_t now)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    if (!t->runs[i].job->closed)
      run_scheduler_abort (&d->scheduler, now, t->runs[i].job, JOB_UNKNOWN,
                           REFUSAL_LOST_PEER);
}

static void
remove_runner (struct dispatcher *d, uint32_t i, int64_t now, bool other_owner)
{
  struct target_runner *r = d->runners[i];
  struct run_target *t = r->target;

  r->lost = true;
  if (other_owner)
    abort_runs (d, t, now);
  run_events_all_lost (t, now, "owner_changed");
  d->runners[i] = d->runners[--d->runner_count];
  target_runner_done (r);
  free (r);
  run_scheduler_remove_target (&d->scheduler, now, t);
  request_pass (d);
}

/* The runner is removed in the next pass and not here, since one of its own
   functions makes this call and still uses it afterwards.  */
static void
on_lost (void *arg, struct target_runner *r)
{
  (void)r;
  request_pass (arg);
}

static const struct target_runner_events runner_events
    = { request_pass, on_lost };

static void
remove_lost_runners (struct dispatcher *d, int64_t now)
{
  uint32_t i = 0;

  while (i < d->runner_count)
    if (d->runners[i]->lost)
      remove_runner (d, i, now, true);
    else
      i++;
}

/* Refuses the waiting jobs that have not started and that a shutdown leaves no
   time or no target for, so that other dispatchers get them.  */
static void
refuse_unstarted (struct dispatcher *d, int64_t now)
{
  struct run_job *j;
  struct run_job *next;

  if (!d->stop.stopping)
    return;
  DL_FOREACH_SAFE (d->scheduler.waiting, j, next)
  if (j->first_start_ms < 0
      && !dispatch_stop_accepts (&d->stop, &d->scheduler,
                                 job_spec_critical_path_ms (&j->spec), now))
    run_scheduler_abort (&d->scheduler, now, j, JOB_REFUSED, REFUSAL_LEAVING);
}

/* Logs that the speeds of the targets of a service have come into effect or
   ceased to be.  */
static void
log_speeds (const struct run_scheduler *s)
{
  double lowest = 1;
  double highest = 1;
  uint32_t targets = 0;

  for (uint32_t i = 0; i < s->target_count; i++)
    {
      const struct run_target *t = s->targets[i];

      if (strcmp (t->spec.service, s->speeds_service) != 0)
        continue;
      targets++;
      if (t->speed_factor < lowest)
        lowest = t->speed_factor;
      if (t->speed_factor > highest)
        highest = t->speed_factor;
    }
  counters_add (COUNTER_SPEED_CHANGES, 1);
  event_ring_add (EVENT_TARGET_SPEEDS, s->speeds_service,
                  "in_effect=%d targets=%u lowest=%.2f highest=%.2f",
                  s->speeds_in_effect, targets, lowest, highest);
}

/* Starts waiting tasks here, then delegates others.  */
static void
run_pass (struct dispatcher *d, int64_t now)
{
  uint32_t speed_changes = d->scheduler.speed_changes;

  refuse_unstarted (d, now);
  run_scheduler_pass (&d->scheduler, now);
  if (d->scheduler.speed_changes != speed_changes)
    log_speeds (&d->scheduler);
  if (d->delegation.delegate != NULL)
    d->delegation.delegate (d->delegation.arg, now);
}

static void
on_pass (evutil_socket_t fd, short what, void *arg)
{
  struct dispatcher *d = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  d->pass_requested = false;
  remove_lost_runners (d, now);
  run_pass (d, now);
}

static void
cancel_job (struct dispatcher *d, struct dispatch_job *j, int64_t now)
{
  counters_add (COUNTER_DISPATCH_CANCELLED, 1);
  run_scheduler_cancel (&d->scheduler, now, j->run);
  free (j);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct dispatcher *d = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  dispatch_coordinators_check (d, now);
  remove_lost_runners (d, now);
  if (d->scheduler.jobs != NULL)
    run_pass (d, now);
}

void
dispatcher_init (struct dispatcher *d, struct event_base *base,
                 const struct target_port_ops *ops, int64_t lease_limit_ms)
{
  struct timeval tick = now_timeval (TICK_MS);

  memset (d, 0, sizeof *d);
  d->setup = (struct target_runner_setup){ base,           ops,
                                           &d->scheduler,  lease_limit_ms,
                                           &runner_events, d };
  run_scheduler_init (&d->scheduler, &scheduler_output, d);
  d->pass = event_new (base, -1, 0, on_pass, d);
  d->tick = event_new (base, -1, EV_PERSIST, on_tick, d);
  event_add (d->tick, &tick);
}

void
dispatcher_done (struct dispatcher *d)
{
  int64_t now = now_ms ();

  dispatch_coordinators_done (d, now);
  for (uint32_t i = 0; i < d->runner_count; i++)
    {
      target_runner_done (d->runners[i]);
      free (d->runners[i]);
    }
  free (d->runners);
  event_free (d->pass);
  event_free (d->tick);
  run_scheduler_done (&d->scheduler);
}

static const struct owned_target *
find_owned (const struct owned_target *targets, uint32_t count,
            const struct target_runner *r)
{
  for (uint32_t i = 0; i < count; i++)
    if (targets[i].fencing_token == r->fencing_token
        && run_target_spec_same_incarnation (&targets[i].spec,
                                             &r->target->spec))
      return &targets[i];
  return NULL;
}

static bool
is_evacuated (const struct dispatcher *d, const struct run_target *t)
{
  return evacuation_set_find (&d->evacuations, t->spec.domain) != NULL;
}

static void
add_runner (struct dispatcher *d, const struct owned_target *owned)
{
  struct target_runner *r = calloc (1, sizeof *r);
  struct run_target *t
      = run_scheduler_add_target (&d->scheduler, &owned->spec);

  d->runners = realloc (d->runners, (d->runner_count + 1)
                                        * sizeof (struct target_runner *));
  d->runners[d->runner_count++] = r;
  t->releasing = owned->release;
  t->evacuated = is_evacuated (d, t);
  event_ring_add (EVENT_TARGET_OWNED, owned->spec.id,
                  "address=%s fence=%" PRIu64 " born=%" PRId64,
                  owned->spec.address, owned->fencing_token,
                  owned->spec.started_ms);
  target_runner_init (r, &d->setup, t, owned->fencing_token);
}

void
dispatcher_set_targets (struct dispatcher *d, int64_t now,
                        const struct owned_target *targets, uint32_t count)
{
  uint32_t i = 0;

  while (i < d->runner_count)
    {
      struct target_runner *r = d->runners[i];
      const struct owned_target *owned = find_owned (targets, count, r);

      if (owned == NULL)
        {
          event_ring_add (EVENT_TARGET_RELEASED, r->target->spec.id,
                          "fence=%" PRIu64 " runs=%u lease_ms=%" PRId64,
                          r->fencing_token, r->target->run_count,
                          target_runner_lease_ms (r, now));
          remove_runner (d, i, now, true);
          continue;
        }
      r->target->spec.draining = owned->spec.draining;
      r->target->spec.cold_until_ms = owned->spec.cold_until_ms;
      r->target->releasing = owned->release;
      i++;
    }
  for (uint32_t n = 0; n < count; n++)
    {
      const struct run_target *t
          = run_scheduler_target (&d->scheduler, targets[n].spec.id);

      if (t == NULL)
        add_runner (d, &targets[n]);
    }
  request_pass (d);
}

/* Refuses the jobs of which no task has started and that fit on no usable
   target here any more, so that they are tried elsewhere.  */
static void
refuse_misfits (struct dispatcher *d, int64_t now)
{
  struct run_job *j;
  struct run_job *next;

  DL_FOREACH_SAFE (d->scheduler.waiting, j, next)
  {
    enum refusal_reason reason
        = run_admission_check_fit (&d->scheduler, &j->spec);

    if (j->first_start_ms < 0 && reason != REFUSAL_NONE)
      run_scheduler_abort (&d->scheduler, now, j, JOB_REFUSED, reason);
  }
}

bool
dispatcher_set_evacuations (struct dispatcher *d, int64_t now,
                            const struct evacuation_set *set)
{
  if (!evacuation_set_replace (&d->evacuations, set))
    return false;
  for (uint32_t i = 0; i < d->scheduler.target_count; i++)
    {
      struct run_target *t = d->scheduler.targets[i];

      t->evacuated = is_evacuated (d, t);
    }
  refuse_misfits (d, now);
  request_pass (d);
  return true;
}

enum owned_state
dispatcher_owned_state (const struct dispatcher *d,
                        const struct owned_target *target)
{
  for (uint32_t i = 0; i < d->runner_count; i++)
    {
      const struct target_runner *r = d->runners[i];

      if (r->fencing_token != target->fencing_token
          || !run_target_spec_same_incarnation (&r->target->spec,
                                                &target->spec))
        continue;
      if (r->lost)
        return OWNED_LOST;
      return r->target->releasing && r->target->run_count == 0 ? OWNED_RELEASED
                                                               : OWNED_HELD;
    }
  return OWNED_LOST;
}

struct dispatch_job *
dispatcher_accept (struct dispatcher *d, int64_t now,
                   const struct job_spec *spec, enum refusal_reason *reason,
                   int64_t *retry_ms)
{
  struct dispatch_job *j = calloc (1, sizeof *j);

  j->dispatcher = d;
  if (!dispatch_stop_accepts (&d->stop, &d->scheduler,
                              job_spec_critical_path_ms (spec), now))
    {
      *reason = REFUSAL_LEAVING;
      *retry_ms = 0;
    }
  else
    j->run
        = run_scheduler_submit (&d->scheduler, now, spec, j, reason, retry_ms);
  if (j->run == NULL)
    {
      struct job_backlog b
          = run_scheduler_backlog (&d->scheduler, spec->service, INT64_MAX);
      char part[JOB_PART_BYTES];
      char ahead[AHEAD_BYTES] = "rank=none";

      job_events_part (spec, part);
      if (*reason == REFUSAL_OVERLOAD
          && service_priorities_find (&d->scheduler.priorities, spec->service)
                 != NULL)
        describe_ahead (&d->scheduler, ahead);
      counters_add (COUNTER_DISPATCH_REFUSED, 1);
      event_ring_add (
          EVENT_DISPATCH_REFUSED, spec->key,
          "reason=%s queue=%s tasks=%u ahead_ms=%" PRId64 " cpu=%" PRIu64
          " retry_ms=%" PRId64 " fitting=%u work=%" PRIu64 " path_ms=%" PRId64
          " age_ms=%" PRId64 " part=%s priority=%u %s",
          refusal_reason_name (*reason), spec->queue,
          job_spec_task_count (spec), job_admission_wait_ms (&b), b.cpu_milli,
          *retry_ms, run_admission_fitting (&d->scheduler, spec, now),
          job_spec_work (spec) / WORK_PER_CORE_MS,
          job_spec_critical_path_ms (spec), spec->age_ms, part, spec->priority,
          ahead);
      free (j);
      return NULL;
    }
  counters_add (COUNTER_DISPATCH_TAKEN, 1);
  request_pass (d);
  return j;
}

struct dispatch_job *
dispatcher_submit (struct dispatcher *d, int64_t now,
                   const struct job_spec *spec, dispatch_done done, void *arg,
                   enum refusal_reason *reason, int64_t *retry_ms)
{
  struct dispatch_job *j = dispatcher_accept (d, now, spec, reason, retry_ms);

  if (j != NULL)
    {
      j->done = done;
      j->arg = arg;
      job_events_accepted (j, now, 0);
    }
  return j;
}

void
dispatcher_extend_lease (struct dispatch_job *j, int64_t end_ms)
{
  run_job_extend_lease (j->run, end_ms);
}

void
dispatcher_cancel (struct dispatcher *d, int64_t now, struct dispatch_job *j,
                   const char *why)
{
  job_events_stopped (j, now, why);
  cancel_job (d, j, now);
  request_pass (d);
}

void
dispatcher_leave (struct dispatcher *d, int64_t now, int64_t end_ms)
{
  dispatch_stop_begin (&d->stop, end_ms);
  refuse_unstarted (d, now);
  request_pass (d);
}

uint32_t
dispatcher_open_jobs (const struct dispatcher *d)
{
  struct run_job *j;
  uint32_t n = 0;

  DL_FOREACH (d->scheduler.waiting, j)
  n++;
  return n;
}

static struct dispatch_capacity *
find_capacity (struct dispatch_capacity *capacities, uint32_t *count,
               uint32_t limit, const char *service)
{
  for (uint32_t i = 0; i < *count; i++)
    if (strcmp (capacities[i].service, service) == 0)
      return &capacities[i];
  if (*count == limit)
    return NULL;
  memset (&capacities[*count], 0, sizeof *capacities);
  snprintf (capacities[*count].service, sizeof capacities->service, "%s",
            service);
  return &capacities[(*count)++];
}

static void
add_free_cores (struct dispatch_capacity *capacity, uint64_t cpu_milli)
{
  capacity->free_cpu_milli += cpu_milli;
  free_capacity_add (&capacity->free_by_target, cpu_milli);
}

uint32_t
dispatcher_capacity (const struct dispatcher *d, int64_t now,
                     struct dispatch_capacity *capacities, uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < d->scheduler.target_count; i++)
    {
      const struct run_target *t = d->scheduler.targets[i];
      struct dispatch_capacity *capacity;

      if (t->phase != TARGET_READY || t->spec.draining || t->releasing
          || t->evacuated || t->health.ejected)
        continue;
      capacity = find_capacity (capacities, &count, limit, t->spec.service);
      if (capacity == NULL)
        continue;
      capacity->cpu_milli += run_speeds_cpu (t);
      /* Free cores of a cold target would draw jobs away from warm ones.  */
      if (t->spec.cpu_milli > t->cpu_used
          && !run_target_spec_is_cold (&t->spec, now_ms ()))
        add_free_cores (capacity, t->spec.cpu_milli - t->cpu_used);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      const char *service = capacities[i].service;

      capacities[i].work_ahead
          = run_scheduler_backlog (&d->scheduler, service, INT64_MAX)
                .work_ahead
            + capacities[i].cpu_milli * USABLE_CPU_PERCENT / 100
                  * (uint64_t)d->delay_ms;
      capacities[i].ranked
          = run_scheduler_ranked_work (&d->scheduler, service);
    }
  return dispatch_stop_accepts (&d->stop, &d->scheduler, 0, now) ? count : 0;
}
