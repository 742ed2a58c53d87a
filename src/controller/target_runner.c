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

enum
{
  /* The lease that a start asks for; the look that follows it asks for the
     whole lease.  Short, since a start without an answer can only be made
     elsewhere once this has lapsed.  */
  START_LEASE_MS = 320,

  /* The longest that a look waits for an end, well below the lease that it
     renews.  */
  LOOK_WAIT_MS = 450,
  LOOK_WAIT_LEAST_MS = 40,

  /* A look comes back without an end when a run has taken this share of its
     expectation: the answer that told of its end may have been lost.  */
  LOOK_DUE_PERCENT = 150,

  /* The same while a run is overdue: its progress is to be seen.  */
  LOOK_WAIT_OVERDUE_MS = 130,

  /* Pause before looking again while an earlier owner's runs end.  */
  SYNC_PAUSE_MS = 25,

  RETRY_MS = 100,

  /* An order to stop without an answer is sent again so often.  */
  STOP_AGAIN_MS = 25,
  RETRY_FIRST_MS = 2,

  /* A target that leaves so many calls in a row unanswered takes no starts. */
  SILENT_CALLS = 2,

  /* An idle target is looked at so often, to note its last ends, keep its
     clock known and learn early that it does not answer.  */
  NOTE_ENDS_MS = 700,
  IDLE_LOOK_MS = 4000,

  /* Safety on top of a lapsed lease, for the target to end what it ran.  */
  LAPSE_MARGIN_MS = 60
};

/* A call under way for one run.  */
struct run_call
{
  struct target_runner *runner;
  char task[RUN_NAME_BYTES];
  uint64_t run;
  struct run_call *prev;
  struct run_call *next;
};

static void look (struct target_runner *r, int64_t now);

static struct run_call *
run_call_new (struct target_runner *r, const char *task, uint64_t run)
{
  struct run_call *c = calloc (1, sizeof *c);

  c->runner = r;
  snprintf (c->task, sizeof c->task, "%s", task);
  c->run = run;
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

static void
lose (struct target_runner *r, const char *why)
{
  if (r->lost)
    return;
  r->lost = true;
  event_ring_add (EVENT_TARGET_LOST, r->target->spec.id,
                  "why=%s fence=%" PRIu64 " runs=%u", why, r->fence,
                  r->target->run_count);
  r->setup->events->lost (r->setup->arg, r);
}

static void
note_answer (struct target_runner *r, const struct port_reply *reply)
{
  if (reply->has_clock)
    target_clock_observe (&r->clock, reply->clock_ms, reply->received_ms);
  r->silent_calls = 0;
  if (r->silent_since_ms == 0)
    return;
  if (r->target->phase == TARGET_UNREACHABLE)
    event_ring_add (EVENT_TARGET_ANSWERS, r->target->spec.id,
                    "silent_ms=%" PRId64,
                    reply->received_ms - r->silent_since_ms);
  r->silent_since_ms = 0;
}

static void
note_silence (struct target_runner *r, int64_t now, enum port_outcome outcome)
{
  if (r->silent_since_ms == 0)
    r->silent_since_ms = now;
  /* One call may be lost on its way; a second one tells of the target.  */
  if (++r->silent_calls < SILENT_CALLS || r->target->phase != TARGET_READY)
    return;
  r->target->phase = TARGET_UNREACHABLE;
  event_ring_add (EVENT_TARGET_SILENT, r->target->spec.id,
                  "outcome=%s runs=%u", port_outcome_name (outcome),
                  r->target->run_count);
}

static int64_t
retry_ms (const struct target_runner *r)
{
  return r->silent_calls < SILENT_CALLS ? RETRY_FIRST_MS : RETRY_MS;
}

/* Whether every lease that was ever asked for has ended.  */
static bool
is_lapsed (const struct target_runner *r, int64_t now)
{
  return r->clock.known
         && target_clock_least_ms (&r->clock, now)
                > r->lease_end_ms + LAPSE_MARGIN_MS;
}

/* Has the runs of a silent target be over once their leases must have
   ended.  */
static void
check_lapse (struct target_runner *r, int64_t now)
{
  if (r->silent_since_ms == 0 || r->target->run_count == 0
      || !is_lapsed (r, now))
    return;
  event_ring_add (EVENT_TARGET_LAPSED_RUNS, r->target->spec.id,
                  "runs=%u silent_ms=%" PRId64, r->target->run_count,
                  now - r->silent_since_ms);
  run_scheduler_runs_lost (r->setup->scheduler, now, r->target);
  r->setup->events->changed (r->setup->arg);
}

/* The lease end to ask for, remembered as the latest.  */
static int64_t
lease_end (struct target_runner *r, int64_t now, int64_t lease_ms)
{
  int64_t end = target_clock_expected_ms (&r->clock, now) + lease_ms;

  if (end > r->lease_end_ms)
    r->lease_end_ms = end;
  return end;
}

static enum start_outcome
start_outcome_of (enum port_outcome o)
{
  switch (o)
    {
    case PORT_DONE:
      return START_ACCEPTED;
    case PORT_NO_ROOM:
      return START_NO_ROOM;
    case PORT_OLD_RUN:
    case PORT_LATE:
      return START_OLD;
    case PORT_INVALID:
      return START_REJECTED;
    default:
      return START_NOT_BEGUN;
    }
}

static void
look_soon (struct target_runner *r, int64_t now)
{
  if (r->looking)
    r->look_again = true;
  else
    look (r, now);
}

static void
on_started (void *arg, const struct port_reply *reply)
{
  struct run_call *c = arg;
  struct target_runner *r = c->runner;
  int64_t now = now_ms ();

  histogram_add (HISTOGRAM_RUN_START, now - reply->sent_ms);
  if (reply->outcome != PORT_DONE)
    {
      counters_add (COUNTER_STARTS_REFUSED, 1);
      event_ring_add (EVENT_RUN_NOT_STARTED, c->task,
                      "run=%" PRIu64 " target=%s outcome=%s", c->run,
                      r->target->spec.id, port_outcome_name (reply->outcome));
    }
  switch (reply->outcome)
    {
    case PORT_NO_ANSWER:
      note_silence (r, now, reply->outcome);
      run_scheduler_started (r->setup->scheduler, now, r->target, c->task,
                             c->run, START_UNKNOWN);
      schedule (r, retry_ms (r));
      break;
    case PORT_FENCED:
    case PORT_OTHER_LIFE:
      lose (r, port_outcome_name (reply->outcome));
      break;
    case PORT_NOT_SENT:
      run_scheduler_started (r->setup->scheduler, now, r->target, c->task,
                             c->run, START_NOT_BEGUN);
      note_silence (r, now, reply->outcome);
      schedule (r, retry_ms (r));
      break;
    default:
      note_answer (r, reply);
      run_scheduler_started (r->setup->scheduler, now, r->target, c->task,
                             c->run, start_outcome_of (reply->outcome));
      if (reply->outcome == PORT_DONE && !r->looking)
        look (r, now);
    }
  if (!r->lost)
    r->setup->events->changed (r->setup->arg);
  run_call_free (c);
}

void
target_runner_start (struct target_runner *r, int64_t now, struct run_job *j,
                     uint32_t task)
{
  char name[RUN_NAME_BYTES];
  struct port_start s = {
    .task = name, .run = j->tasks[task].run, .fence = r->fence, .job = j
  };

  run_job_task_name (j, task, name);
  s.lease_end_ms = lease_end (r, now, START_LEASE_MS);
  counters_add (COUNTER_TASK_STARTS, 1);
  event_ring_add_task (EVENT_TASK_STARTED, j->spec.key, task, "start",
                       r->target->spec.id);
  r->setup->ops->start (r->port, &s, on_started,
                        run_call_new (r, name, s.run));
}

static void
on_stopped (void *arg, const struct port_reply *reply)
{
  struct run_call *c = arg;
  struct target_runner *r = c->runner;
  int64_t now = now_ms ();

  switch (reply->outcome)
    {
    case PORT_DONE:
      note_answer (r, reply);
      run_scheduler_settled (r->setup->scheduler, now, r->target, c->task,
                             c->run);
      look_soon (r, now);
      break;
    case PORT_FENCED:
    case PORT_OTHER_LIFE:
      lose (r, port_outcome_name (reply->outcome));
      break;
    default:
      note_silence (r, now, reply->outcome);
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
  r->setup->ops->stop (r->port, name, run, r->fence, on_stopped,
                       run_call_new (r, name, run));
}

/* Orders again to stop what should have been stopped by now.  */
static void
stop_again (struct target_runner *r, int64_t now)
{
  char name[RUN_NAME_BYTES];

  if (now - r->stop_again_ms < STOP_AGAIN_MS)
    return;
  r->stop_again_ms = now;
  for (uint32_t i = 0; i < r->target->run_count; i++)
    {
      const struct run_place *p = &r->target->runs[i];
      const struct run_task *k = &p->job->tasks[p->task];

      if (k->state != RUN_STOPPING || k->settled_ms != 0)
        continue;
      run_job_task_name (p->job, p->task, name);
      target_runner_stop (r, name, k->run);
    }
}

static void
take_ends (struct target_runner *r, const struct port_look *l, int64_t now)
{
  for (uint32_t i = 0; i < l->end_count; i++)
    {
      const struct port_end *e = &l->ends[i];

      if (e->number <= r->seen_number)
        continue;
      r->seen_number = e->number;
      if (run_scheduler_ended (r->setup->scheduler, now, r->target, e->task,
                               e->run, e->how))
        event_ring_add (EVENT_RUN_ENDED, e->task,
                        "run=%" PRIu64 " target=%s how=%d", e->run,
                        r->target->spec.id, (int)e->how);
    }
}

/* Returns the number of runs there that are not this owner's.  */
static uint32_t
take_running (struct target_runner *r, const struct port_look *l, int64_t now)
{
  uint32_t foreign = 0;

  for (uint32_t i = 0; i < l->running_count; i++)
    {
      const struct port_running *p = &l->running[i];

      if (run_scheduler_runs (r->setup->scheduler, now, r->target, p->task,
                              p->run, p->percent))
        continue;
      foreign++;
      event_ring_add (EVENT_RUN_FOREIGN, p->task, "run=%" PRIu64 " target=%s",
                      p->run, r->target->spec.id);
      target_runner_stop (r, p->task, p->run);
    }
  return foreign;
}

static void
take_look (struct target_runner *r, const struct port_look *l, int64_t now)
{
  uint32_t foreign;

  note_answer (r, &l->reply);
  take_ends (r, l, now);
  foreign = take_running (r, l, now);
  run_scheduler_drop_unlisted (r->setup->scheduler, now, r->target,
                               r->look_sent_ms);
  stop_again (r, now);
  if (r->lost)
    return;
  if (foreign == 0 && r->target->phase != TARGET_READY)
    {
      r->target->phase = TARGET_READY;
      event_ring_add (EVENT_TARGET_READY, r->target->spec.id,
                      "fence=%" PRIu64 " ends_seen=%" PRIu64, r->fence,
                      r->seen_number);
    }
  r->setup->events->changed (r->setup->arg);
  if (r->looking)
    return;
  if (foreign != 0)
    schedule (r, SYNC_PAUSE_MS);
  else if (r->target->run_count != 0 || r->look_again)
    look (r, now);
  else
    schedule (r,
              r->seen_number > r->noted_number ? NOTE_ENDS_MS : IDLE_LOOK_MS);
}

static void
on_looked (void *arg, const struct port_look *l)
{
  struct target_runner *r = arg;
  int64_t now = now_ms ();

  r->looking = false;
  switch (l->reply.outcome)
    {
    case PORT_DONE:
      take_look (r, l, now);
      return;
    case PORT_FENCED:
    case PORT_OTHER_LIFE:
      lose (r, port_outcome_name (l->reply.outcome));
      return;
    default:
      note_silence (r, now, l->reply.outcome);
      check_lapse (r, now);
      schedule (r, retry_ms (r));
    }
}

/* How long a look may wait for an end.  */
static int64_t
look_wait_ms (const struct target_runner *r, int64_t now)
{
  int64_t wait = LOOK_WAIT_MS;

  if (r->target->phase != TARGET_READY || r->target->run_count == 0)
    return 0;
  for (uint32_t i = 0; i < r->target->run_count; i++)
    {
      const struct run_place *p = &r->target->runs[i];
      const struct run_task *k = &p->job->tasks[p->task];
      int64_t due
          = k->began_ms + k->expected_ms * LOOK_DUE_PERCENT / 100 - now;

      if (due < LOOK_WAIT_LEAST_MS)
        due = LOOK_WAIT_OVERDUE_MS;
      if (k->state == RUN_STOPPING && k->settled_ms == 0)
        due = STOP_AGAIN_MS;
      if (due < wait)
        wait = due;
    }
  return wait;
}

static void
look (struct target_runner *r, int64_t now)
{
  struct port_look_order o
      = { .fence = r->fence,
          .noted = r->seen_number,
          .wait_ms = r->look_again ? 0 : look_wait_ms (r, now) };

  if (r->lost || r->looking)
    return;
  if (r->target->run_count != 0 && r->clock.known
      && r->target->phase == TARGET_READY)
    o.lease_end_ms = lease_end (r, now, r->setup->lease_limit_ms);
  evtimer_del (r->timer);
  r->looking = true;
  r->look_again = false;
  r->look_sent_ms = now;
  r->noted_number = r->seen_number;
  counters_add (COUNTER_TARGET_LOOKS, 1);
  r->setup->ops->look (r->port, &o, on_looked, r);
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
  check_lapse (r, now);
  stop_again (r, now);
  look (r, now);
}

void
target_runner_init (struct target_runner *r,
                    const struct target_runner_setup *setup,
                    struct run_target *t, uint64_t fence)
{
  memset (r, 0, sizeof *r);
  r->setup = setup;
  r->target = t;
  r->fence = fence;
  r->port = setup->ops->open (setup->base, &t->spec);
  r->timer = evtimer_new (setup->base, on_timer, r);
  t->holder = r;
  look (r, now_ms ());
}

void
target_runner_done (struct target_runner *r)
{
  r->setup->ops->close (r->port);
  while (r->calls != NULL)
    run_call_free (r->calls);
  event_free (r->timer);
}
