#include "controller/run_events.h"

#include <inttypes.h>
#include <stdio.h>
#include "base/event_ring.h"

enum
{
  SOURCE_BYTES = 160,
  NO_CLOCK = -1
};

/* Writes on which connection REPLY was awaited, and which incarnation of the
   target sent it.  */
static void
describe_source (const struct port_reply *reply, char text[SOURCE_BYTES])
{
  snprintf (text, SOURCE_BYTES,
            "conn=%u answers=%u clock=%" PRId64 " born=%" PRId64,
            reply->connection.local_port, reply->connection.answers,
            reply->has_clock ? reply->clock_ms : NO_CLOCK, reply->started_ms);
}

static void
add_answer (enum event_number number, const struct target_runner *r,
            int64_t now, const char *task, uint64_t run,
            const struct port_reply *reply)
{
  char source[SOURCE_BYTES];

  describe_source (reply, source);
  event_ring_add (number, task,
                  "run=%" PRIu64 " target=%s outcome=%s fence=%" PRIu64
                  " took_ms=%" PRId64 " lease_ms=%" PRId64 " %s",
                  run, r->target->spec.id, port_outcome_name (reply->outcome),
                  r->fencing_token, now - reply->sent_ms,
                  target_runner_lease_ms (r, now), source);
}

void
run_events_start_answered (const struct target_runner *r, int64_t now,
                           const char *task, const struct run_start *start,
                           const struct port_reply *reply)
{
  char source[SOURCE_BYTES];

  describe_source (reply, source);
  event_ring_add (
      reply->outcome == PORT_DONE ? EVENT_RUN_STARTED : EVENT_RUN_NOT_STARTED,
      task,
      "run=%" PRIu64 " target=%s outcome=%s fence=%" PRIu64 " took_ms=%" PRId64
      " lease_ms=%" PRId64 " until=%" PRId64 " ordered_ms=%" PRId64 " %s",
      start->run, r->target->spec.id, port_outcome_name (reply->outcome),
      r->fencing_token, now - reply->sent_ms, target_runner_lease_ms (r, now),
      start->lease_end_ms, now - start->ordered_ms, source);
}

void
run_events_target_lost (const struct target_runner *r, int64_t now,
                        const struct port_reply *reply)
{
  char source[SOURCE_BYTES];

  describe_source (reply, source);
  event_ring_add (EVENT_TARGET_LOST, r->target->spec.id,
                  "why=%s fence=%" PRIu64 " runs=%u lease_ms=%" PRId64
                  " owned_born=%" PRId64 " %s",
                  port_outcome_name (reply->outcome), r->fencing_token,
                  r->target->run_count, target_runner_lease_ms (r, now),
                  r->target->spec.started_ms, source);
}

void
run_events_stop_answered (const struct target_runner *r, int64_t now,
                          const char *task, uint64_t run,
                          const struct port_reply *reply)
{
  add_answer (EVENT_RUN_STOP_ANSWERED, r, now, task, run, reply);
  if (reply->outcome == PORT_NO_ANSWER && r->unanswered_calls == 0)
    add_answer (EVENT_RUN_STOP_LOST, r, now, task, run, reply);
}

void
run_events_not_renewed (const struct target_runner *r, int64_t now,
                        enum port_outcome outcome)
{
  if (r->unanswered_calls != 0 || r->target->run_count == 0)
    return;
  event_ring_add (EVENT_TARGET_NOT_RENEWED, r->target->spec.id,
                  "outcome=%s runs=%u fence=%" PRIu64 " lease_ms=%" PRId64
                  " took_ms=%" PRId64,
                  port_outcome_name (outcome), r->target->run_count,
                  r->fencing_token, target_runner_lease_ms (r, now),
                  now - r->poll_sent_ms);
}

static void
add_run (enum event_number number, const struct run_target *t, int64_t now,
         const struct run_ref *ref, const char *why)
{
  const struct target_runner *r = t->user_data;
  const struct run_task *k = &ref->job->tasks[ref->task];
  char name[TASK_NAME_BYTES];

  run_job_task_name (ref->job, ref->task, name);
  event_ring_add (number, name,
                  "run=%" PRIu64 " target=%s fence=%" PRIu64
                  " lease_ms=%" PRId64 " ran_ms=%" PRId64 " why=%s",
                  k->run, t->spec.id, r->fencing_token,
                  target_runner_lease_ms (r, now), now - k->start_sent_ms,
                  why);
}

void
run_events_stopped (const struct run_target *t, int64_t now,
                    const struct run_job *j, uint32_t task)
{
  const struct run_ref ref = { (struct run_job *)j, task };
  const char *why = "stalled";

  if (j->closed)
    why = "job_closed";
  else if (j->tasks[task].answered_ms == 0)
    why = "start_unanswered";
  add_run (EVENT_RUN_STOPPED, t, now, &ref, why);
}

void
run_events_all_lost (const struct run_target *t, int64_t now, const char *why)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    add_run (EVENT_RUN_LOST, t, now, &t->runs[i], why);
}

void
run_events_unlisted (const struct target_runner *r, int64_t now)
{
  for (uint32_t i = 0; i < r->target->run_count; i++)
    {
      const struct run_ref *ref = &r->target->runs[i];

      if (run_task_is_unlisted (&ref->job->tasks[ref->task], now,
                                r->poll_sent_ms))
        add_run (EVENT_RUN_LOST, r->target, now, ref, "unlisted");
    }
}
