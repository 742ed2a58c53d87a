#include "controller/target_runner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/histogram.h"
#include "base/now.h"
#include "controller/run_events.h"
#include "coord/target_lease.h"

enum
{
  /* The lease that a start requests; the poll that follows requests the full
     lease.  It is short because a task whose start got no answer can only be
     started on another target once this lease has expired.  */
  START_LEASE_MS = 320,

  /* The longest wait of a long poll for a run to end.  A run that is due
     within POLL_WAIT_MIN_MS counts as overdue.  */
  POLL_WAIT_MAX_MS = 450,
  POLL_WAIT_MIN_MS = 40,

  /* A poll returns without an end once a run has taken this share of its
     expected time: the reply that reported its end may have been lost.  */
  POLL_DUE_PERCENT = 150,

  /* The longest wait of a poll while a run is overdue, to observe its
     progress.  */
  POLL_WAIT_OVERDUE_MS = 130,

  /* Pause between polls while an earlier owner's runs end.  */
  SYNC_PAUSE_MS = 25,

  /* Pause before the next poll after UNREACHABLE_CALLS or more unanswered
     calls in a row.  */
  RETRY_MS = 100,

  /* Interval at which an unanswered stop is sent again.  */
  STOP_RETRY_MS = 25,

  /* Pause before the next poll after fewer unanswered calls.  */
  FIRST_RETRY_MS = 2,

  /* After so many unanswered calls in a row a target is unreachable and gets
     no starts.  */
  UNREACHABLE_CALLS = 2,

  /* Poll intervals of an idle target: the first acknowledges its last ends,
     the second refreshes its clock and detects early that it is
     unreachable.  */
  ACK_ENDS_MS = 700,
  IDLE_POLL_MS = 4000,

  /* Margin after the end of a lease, for the target to kill its runs.  */
  LEASE_END_MARGIN_MS = 60
};

/* A start or stop call in flight.  */
struct run_call
{
  struct target_runner *runner;
  char task[TASK_NAME_BYTES];
  struct run_start start; /* of a stop only the run */
  struct run_call *prev;
  struct run_call *next;
};

static void poll_target (struct target_runner *r, int64_t now);

static struct run_call *
run_call_new (struct target_runner *r, const char *task, uint64_t run)
{
  struct run_call *c = calloc (1, sizeof *c);

  c->runner = r;
  snprintf (c->task, sizeof c->task, "%s", task);
  c->start.run = run;
  DL_APPEND (r->calls, c);
  return c;
}

static void
run_call_free (struct run_call *c)
{
  DL_DELETE (c->runner->calls, c);
  free (c);
}

static void
schedule (struct target_runner *r, int64_t delay_ms)
{
  struct timeval t = now_timeval (delay_ms < 1 ? 1 : delay_ms);

  evtimer_add (r->timer, &t);
}

int64_t
target_runner_lease_ms (const struct target_runner *r, int64_t now)
{
  int64_t left = r->target->lease_end_ms - now;

  return left > 0 ? left : 0;
}

static void
mark_lost (struct target_runner *r, int64_t now,
           const struct port_reply *reply)
{
  if (r->lost)
    return;
  r->lost = true;
  run_events_target_lost (r, now, reply);
  r->setup->events->lost (r->setup->arg, r);
}

/* Whether the target's clock in REPLY shows that it has restarted.  */
static bool
is_of_later_incarnation (const struct target_runner *r,
                         const struct port_reply *reply)
{
  return reply->has_clock
         && target_clock_was_reset (&r->clock, reply->clock_ms,
                                    reply->sent_ms);
}

/* A target that has restarted gets no starts and no leases by its earlier
   clock until a poll tells which incarnation it is.  */
static void
record_answer (struct target_runner *r, const struct port_reply *reply)
{
  if (is_of_later_incarnation (r, reply))
    r->target->phase = TARGET_SYNCING;
  if (reply->has_clock)
    target_clock_observe (&r->clock, reply->clock_ms, reply->received_ms);
  r->unanswered_calls = 0;
  if (r->unanswered_since_ms == 0)
    return;
  if (r->target->phase == TARGET_UNREACHABLE)
    event_ring_add (EVENT_TARGET_ANSWERS, r->target->spec.id,
                    "silent_ms=%" PRId64,
                    reply->received_ms - r->unanswered_since_ms);
  r->unanswered_since_ms = 0;
}

static void
record_no_answer (struct target_runner *r, int64_t now,
                  enum port_outcome outcome)
{
  if (r->unanswered_since_ms == 0)
    r->unanswered_since_ms = now;
  /* A single call may be lost on the network; a second unanswered one points
     to the target.  */
  if (++r->unanswered_calls < UNREACHABLE_CALLS
      || r->target->phase != TARGET_READY)
    return;
  r->target->phase = TARGET_UNREACHABLE;
  event_ring_add (EVENT_TARGET_SILENT, r->target->spec.id,
                  "outcome=%s runs=%u fence=%" PRIu64 " lease_ms=%" PRId64,
                  port_outcome_name (outcome), r->target->run_count,
                  r->fencing_token, target_runner_lease_ms (r, now));
}

static int64_t
retry_ms (const struct target_runner *r)
{
  return r->unanswered_calls < UNREACHABLE_CALLS ? FIRST_RETRY_MS : RETRY_MS;
}

/* Whether every lease that was ever requested has expired.  */
static bool
are_leases_expired (const struct target_runner *r, int64_t now)
{
  return now > r->target->lease_end_ms + LEASE_END_MARGIN_MS;
}

/* Marks the runs of an unresponsive target as lost once all leases must have
   expired.  */
static void
check_lease_expiry (struct target_runner *r, int64_t now)
{
  if (r->unanswered_since_ms == 0 || r->target->run_count == 0
      || !are_leases_expired (r, now))
    return;
  event_ring_add (EVENT_TARGET_LAPSED_RUNS, r->target->spec.id,
                  "runs=%u fence=%" PRIu64 " silent_ms=%" PRId64,
                  r->target->run_count, r->fencing_token,
                  now - r->unanswered_since_ms);
  run_events_all_lost (r->target, now, "lease_expired");
  run_scheduler_runs_lost (r->setup->scheduler, now, r->target);
  r->setup->events->changed (r->setup->arg);
}

/* Returns the end of the lease to request, on the target's clock, and records
   that it is requested.  */
static int64_t
request_lease (struct target_runner *r, int64_t end_ms)
{
  target_lease_requested (r->target, end_ms);
  return target_clock_min_ms (&r->clock, end_ms);
}

static enum start_outcome
start_outcome_of (const struct target_runner *r,
                  const struct port_reply *reply)
{
  switch (reply->outcome)
    {
    case PORT_DONE:
      /* A later incarnation shortens a lease by the earlier clock to its
         longest one, not to the job's: the run has to be stopped.  */
      return is_of_later_incarnation (r, reply) ? START_UNKNOWN
                                                : START_ACCEPTED;
    case PORT_NO_CAPACITY:
      return START_NO_CAPACITY;
    case PORT_OLD_RUN:
    case PORT_LEASE_EXPIRED:
      return START_STALE;
    case PORT_INVALID:
      return START_REJECTED;
    default:
      return START_NOT_BEGUN;
    }
}

static void
poll_soon (struct target_runner *r, int64_t now)
{
  if (r->polling)
    r->poll_again = true;
  else
    poll_target (r, now);
}

static void
on_started (void *arg, const struct port_reply *reply)
{
  struct run_call *c = arg;
  struct target_runner *r = c->runner;
  enum start_outcome outcome = start_outcome_of (r, reply);
  int64_t now = now_ms ();

  histogram_add (HISTOGRAM_RUN_START, now - reply->sent_ms);
  if (reply->outcome != PORT_DONE)
    counters_add (COUNTER_STARTS_REFUSED, 1);
  run_events_start_answered (r, now, c->task, &c->start, reply);
  switch (reply->outcome)
    {
    case PORT_NO_ANSWER:
      record_no_answer (r, now, reply->outcome);
      run_scheduler_start_result (r->setup->scheduler, now, r->target, c->task,
                                  c->start.run, START_UNKNOWN);
      schedule (r, retry_ms (r));
      break;
    case PORT_FENCED:
    case PORT_OTHER_INCARNATION:
      if (reply->never_sent)
        run_scheduler_start_result (r->setup->scheduler, now, r->target,
                                    c->task, c->start.run, START_NOT_BEGUN);
      mark_lost (r, now, reply);
      break;
    case PORT_NOT_SENT:
      run_scheduler_start_result (r->setup->scheduler, now, r->target, c->task,
                                  c->start.run, START_NOT_BEGUN);
      record_no_answer (r, now, reply->outcome);
      schedule (r, retry_ms (r));
      break;
    default:
      record_answer (r, reply);
      run_scheduler_start_result (r->setup->scheduler, now, r->target, c->task,
                                  c->start.run, outcome);
      if (outcome == START_ACCEPTED && !r->polling)
        poll_target (r, now);
    }
  if (!r->lost)
    r->setup->events->changed (r->setup->arg);
  run_call_free (c);
}

void
target_runner_start (struct target_runner *r, int64_t now, struct run_job *j,
                     uint32_t task)
{
  char name[TASK_NAME_BYTES];
  int64_t lease_end = target_lease_limit_ms (r->target, START_LEASE_MS, now);
  struct port_start s = { .task = name,
                          .run = j->tasks[task].run,
                          .fencing_token = r->fencing_token,
                          .job = j };
  struct run_call *c;

  run_job_task_name (j, task, name);
  s.lease_end_ms = request_lease (r, lease_end);
  c = run_call_new (r, name, s.run);
  c->start = (struct run_start){ s.run, now, s.lease_end_ms };
  counters_add (COUNTER_TASK_STARTS, 1);
  event_ring_add (
      EVENT_TASK_STARTED, name,
      "run=%" PRIu64 " target=%s fence=%" PRIu64 " lease_ms=%" PRId64, s.run,
      r->target->spec.id, r->fencing_token, lease_end - now);
  r->setup->ops->start (r->port, &s, on_started, c);
}

static void
on_stopped (void *arg, const struct port_reply *reply)
{
  struct run_call *c = arg;
  struct target_runner *r = c->runner;
  int64_t now = now_ms ();

  run_events_stop_answered (r, now, c->task, c->start.run, reply);
  switch (reply->outcome)
    {
    case PORT_DONE:
      record_answer (r, reply);
      run_scheduler_stop_answered (r->setup->scheduler, now, r->target,
                                   c->task, c->start.run);
      poll_soon (r, now);
      break;
    case PORT_FENCED:
    case PORT_OTHER_INCARNATION:
      mark_lost (r, now, reply);
      break;
    default:
      record_no_answer (r, now, reply->outcome);
      schedule (r, retry_ms (r));
    }
  run_call_free (c);
}

void
target_runner_stop (struct target_runner *r, const char *name, uint64_t run)
{
  if (r->lost)
    return;
  counters_add (COUNTER_TASK_STOPS, 1);
  r->setup->ops->stop (r->port, name, run, r->fencing_token, on_stopped,
                       run_call_new (r, name, run));
}

/* Sends the unanswered stops again.  */
static void
resend_stops (struct target_runner *r, int64_t now)
{
  char name[TASK_NAME_BYTES];

  if (now - r->stops_resent_ms < STOP_RETRY_MS)
    return;
  r->stops_resent_ms = now;
  for (uint32_t i = 0; i < r->target->run_count; i++)
    {
      const struct run_ref *ref = &r->target->runs[i];
      const struct run_task *task = &ref->job->tasks[ref->task];

      if (!run_task_needs_stop (task))
        continue;
      run_job_task_name (ref->job, ref->task, name);
      target_runner_stop (r, name, task->run);
    }
}

static void
handle_ends (struct target_runner *r, const struct port_poll_reply *poll,
             int64_t now)
{
  for (uint32_t i = 0; i < poll->end_count; i++)
    {
      const struct port_end *e = &poll->ends[i];

      if (e->number <= r->received_number)
        continue;
      r->received_number = e->number;
      if (run_scheduler_ended (r->setup->scheduler, now, r->target, e->task,
                               e->run, e->how))
        event_ring_add (EVENT_RUN_ENDED, e->task,
                        "run=%" PRIu64 " target=%s how=%d fence=%" PRIu64
                        " lease_ms=%" PRId64,
                        e->run, r->target->spec.id, (int)e->how,
                        r->fencing_token, target_runner_lease_ms (r, now));
    }
}

/* Returns the number of runs there that the scheduler does not know, such as
   those of an earlier owner.  They are sent a stop.  */
static uint32_t
handle_running (struct target_runner *r, const struct port_poll_reply *poll,
                int64_t now)
{
  uint32_t unknown = 0;

  for (uint32_t i = 0; i < poll->running_count; i++)
    {
      const struct port_running *p = &poll->running[i];

      if (run_scheduler_running (r->setup->scheduler, now, r->target, p->task,
                                 p->run, p->percent))
        continue;
      unknown++;
      event_ring_add (EVENT_RUN_FOREIGN, p->task,
                      "run=%" PRIu64 " target=%s fence=%" PRIu64, p->run,
                      r->target->spec.id, r->fencing_token);
      target_runner_stop (r, p->task, p->run);
    }
  return unknown;
}

static void
handle_poll_reply (struct target_runner *r, const struct port_poll_reply *poll,
                   int64_t now)
{
  uint32_t unknown;

  record_answer (r, &poll->reply);
  if (!r->polled)
    target_lease_requested (r->target, now + r->setup->lease_ms);
  r->polled = true;
  handle_ends (r, poll, now);
  unknown = handle_running (r, poll, now);
  run_events_unlisted (r, now);
  run_scheduler_drop_unlisted (r->setup->scheduler, now, r->target,
                               r->poll_sent_ms);
  resend_stops (r, now);
  if (r->lost)
    return;
  if (unknown != 0 && r->target->phase == TARGET_READY)
    r->target->phase = TARGET_SYNCING;
  if (unknown == 0 && r->target->phase != TARGET_READY)
    {
      r->target->phase = TARGET_READY;
      event_ring_add (EVENT_TARGET_READY, r->target->spec.id,
                      "fence=%" PRIu64 " ends_seen=%" PRIu64, r->fencing_token,
                      r->received_number);
    }
  r->setup->events->changed (r->setup->arg);
  if (r->polling)
    return;
  if (unknown != 0)
    schedule (r, SYNC_PAUSE_MS);
  else if (r->target->run_count != 0 || r->poll_again)
    poll_target (r, now);
  else
    schedule (r, r->received_number > r->acked_number ? ACK_ENDS_MS
                                                      : IDLE_POLL_MS);
}

static void
on_polled (void *arg, const struct port_poll_reply *poll)
{
  struct target_runner *r = arg;
  int64_t now = now_ms ();

  r->polling = false;
  switch (poll->reply.outcome)
    {
    case PORT_DONE:
      handle_poll_reply (r, poll, now);
      return;
    case PORT_FENCED:
    case PORT_OTHER_INCARNATION:
      mark_lost (r, now, &poll->reply);
      return;
    default:
      run_events_not_renewed (r, now, poll->reply.outcome);
      record_no_answer (r, now, poll->reply.outcome);
      check_lease_expiry (r, now);
      schedule (r, retry_ms (r));
    }
}

/* Whether a poll may renew the lease.  After an unanswered call the target may
   have restarted, with another clock: it has to answer first.  */
static bool
may_renew (const struct target_runner *r)
{
  return r->target->run_count != 0 && r->clock.known
         && r->target->phase == TARGET_READY && r->unanswered_since_ms == 0;
}

/* How long a poll that requests a lease until LEASE_END_MS may wait for a run
   to end: at most half of the lease, so that the next poll renews it.  */
static int64_t
poll_wait_ms (const struct target_runner *r, int64_t lease_end_ms, int64_t now)
{
  int64_t wait = POLL_WAIT_MAX_MS;

  if (r->poll_again || !may_renew (r))
    return 0;
  if ((lease_end_ms - now) / 2 < wait)
    wait = (lease_end_ms - now) / 2;
  for (uint32_t i = 0; i < r->target->run_count; i++)
    {
      const struct run_ref *ref = &r->target->runs[i];
      const struct run_task *task = &ref->job->tasks[ref->task];
      int64_t due
          = task->began_ms + task->expected_ms * POLL_DUE_PERCENT / 100 - now;

      if (due < POLL_WAIT_MIN_MS)
        due = POLL_WAIT_OVERDUE_MS;
      if (run_task_needs_stop (task))
        due = STOP_RETRY_MS;
      if (due < wait)
        wait = due;
    }
  return wait < STOP_RETRY_MS ? STOP_RETRY_MS : wait;
}

static void
poll_target (struct target_runner *r, int64_t now)
{
  int64_t lease_end
      = target_lease_limit_ms (r->target, r->setup->lease_ms, now);
  struct port_poll_request request
      = { .fencing_token = r->fencing_token,
          .acked_number = r->received_number,
          .wait_ms = poll_wait_ms (r, lease_end, now) };

  if (r->lost || r->polling)
    return;
  if (may_renew (r) && lease_end > now)
    request.lease_end_ms = request_lease (r, lease_end);
  evtimer_del (r->timer);
  r->polling = true;
  r->poll_again = false;
  r->poll_sent_ms = now;
  r->acked_number = r->received_number;
  counters_add (COUNTER_TARGET_LOOKS, 1);
  r->setup->ops->poll (r->port, &request, on_polled, r);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct target_runner *r = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  if (r->lost)
    return;
  check_lease_expiry (r, now);
  resend_stops (r, now);
  poll_target (r, now);
}

void
target_runner_init (struct target_runner *r,
                    const struct target_runner_setup *setup,
                    struct run_target *t, uint64_t fencing_token)
{
  memset (r, 0, sizeof *r);
  r->setup = setup;
  r->target = t;
  r->fencing_token = fencing_token;
  r->port = setup->ops->open (setup->base, &t->spec);
  r->timer = evtimer_new (setup->base, on_timer, r);
  t->user_data = r;
  poll_target (r, now_ms ());
}

void
target_runner_done (struct target_runner *r)
{
  r->setup->ops->close (r->port);
  while (r->calls != NULL)
    run_call_free (r->calls);
  event_free (r->timer);
}
