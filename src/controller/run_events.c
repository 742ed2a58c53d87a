#include "controller/run_events.h"

#include <inttypes.h>
#include "base/event_ring.h"

static void
add_answer (enum event_number number, const struct target_runner *r,
            int64_t now, const char *task, uint64_t run,
            const struct port_reply *reply)
{
  event_ring_add (number, task,
                  "run=%" PRIu64 " target=%s outcome=%s fence=%" PRIu64
                  " took_ms=%" PRId64 " lease_ms=%" PRId64,
                  run, r->target->spec.id, port_outcome_name (reply->outcome),
                  r->fencing_token, now - reply->sent_ms,
                  target_runner_lease_ms (r, now));
}

void
run_events_start_answered (const struct target_runner *r, int64_t now,
                           const char *task, uint64_t run,
                           const struct port_reply *reply)
{
  add_answer (reply->outcome == PORT_DONE ? EVENT_RUN_STARTED
                                          : EVENT_RUN_NOT_STARTED,
              r, now, task, run, reply);
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
