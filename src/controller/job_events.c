#include "controller/job_events.h"

#include <inttypes.h>
#include <stdio.h>
#include "base/event_ring.h"
#include "controller/entry_dispatchers.h"
#include "controller/routed_job.h"
#include "controller/target_runner.h"

enum
{
  NO_LEASE_MS = -1,

  /* Work is logged in core milliseconds.  */
  WORK_PER_CORE_MS = 1000
};

static const char own_vm[] = "self";

void
job_events_part (const struct job_spec *s, char text[JOB_PART_BYTES])
{
  if (!s->part.is_part)
    snprintf (text, JOB_PART_BYTES, "-");
  else
    snprintf (text, JOB_PART_BYTES, "%u.%u+%u", s->part.step, s->part.first,
              job_spec_task_count (s));
}

static const char *
sender_vm (const struct dispatch_job *j)
{
  return j->coordinator == NULL ? own_vm : j->coordinator->vm;
}

/* The time since the last message of the sender of J.  */
static int64_t
heard_ms (const struct dispatch_job *j, int64_t now)
{
  return j->coordinator == NULL ? 0 : now - j->coordinator->heard_ms;
}

/* The remaining time of the longest lease on the targets of J's runs.  */
static int64_t
longest_lease_ms (const struct run_job *j, int64_t now)
{
  int64_t longest = NO_LEASE_MS;

  for (uint32_t i = 0; i < j->task_count; i++)
    if (j->tasks[i].target != NULL)
      {
        int64_t left
            = target_runner_lease_ms (j->tasks[i].target->user_data, now);

        if (left > longest)
          longest = left;
      }
  return longest;
}

void
job_events_accepted (const struct dispatch_job *j, int64_t now,
                     int64_t echo_age_ms)
{
  const struct run_job *run = j->run;
  char part[JOB_PART_BYTES];

  job_events_part (&run->spec, part);
  event_ring_add (EVENT_DISPATCH_ACCEPTED, run->spec.key,
                  "from=%s id=%" PRIu64 " part=%s heard_ms=%" PRId64
                  " echo_age_ms=%" PRId64 " lease_ms=%" PRId64
                  " age_ms=%" PRId64 " deadline_ms=%" PRId64
                  " queue=%s tasks=%u",
                  sender_vm (j), j->id, part, heard_ms (j, now), echo_age_ms,
                  run->lease_end_ms - now, run->spec.age_ms,
                  run->spec.deadline_ms, run->spec.queue, run->task_count);
}

void
job_events_stale (const struct coordinator *c, const struct peer_job *m,
                  int64_t now)
{
  char key[JOB_KEY_BYTES];

  if (!slice_copy (m->key, key, sizeof key))
    key[0] = '\0';
  event_ring_add (EVENT_DISPATCH_STALE, key,
                  "from=%s id=%" PRIu64 " part=%d heard_ms=%" PRId64
                  " echo_age_ms=%" PRId64 " lease_ms=%" PRId64
                  " age_ms=%" PRId64,
                  c->vm, m->id, m->is_part != 0, now - c->heard_ms,
                  now - m->echo_ms, m->lease_ms, m->age_ms);
}

void
job_events_ended (const struct dispatch_job *j, int64_t now,
                  enum job_result result, enum refusal_reason reason)
{
  const struct run_job *run = j->run;
  int64_t arrived = run->times.arrived_ms;
  char part[JOB_PART_BYTES];

  job_events_part (&run->spec, part);
  event_ring_add (EVENT_DISPATCH_ENDED, run->spec.key,
                  "result=%s reason=%s queue=%s tasks=%u waited_ms=%" PRId64
                  " placed_ms=%" PRId64 " total_ms=%" PRId64
                  " slack_ms=%" PRId64 " objective_ms=%" PRId64
                  " work=%" PRIu64 " part=%s from=%s id=%" PRIu64
                  " heard_ms=%" PRId64,
                  job_result_name (result), refusal_reason_name (reason),
                  run->spec.queue, run->task_count,
                  run->first_start_ms < 0 ? -1 : run->first_start_ms - arrived,
                  run->last_start_ms < 0 ? -1 : run->last_start_ms - arrived,
                  now - arrived, run->times.start_by_ms - arrived,
                  run->times.due_ms - arrived, run->work / WORK_PER_CORE_MS,
                  part, sender_vm (j), j->id, heard_ms (j, now));
}

void
job_events_stopped (const struct dispatch_job *j, int64_t now, const char *why)
{
  const struct run_job *run = j->run;
  char part[JOB_PART_BYTES];

  job_events_part (&run->spec, part);
  event_ring_add (EVENT_DISPATCH_STOPPED, run->spec.key,
                  "why=%s from=%s id=%" PRIu64 " part=%s heard_ms=%" PRId64
                  " running=%u delegated=%u lease_ms=%" PRId64
                  " job_lease_ms=%" PRId64 " total_ms=%" PRId64,
                  why, sender_vm (j), j->id, part, heard_ms (j, now),
                  run->active_count, run->delegated_count,
                  longest_lease_ms (run, now), run->lease_end_ms - now,
                  now - run->times.arrived_ms);
}

void
job_events_given_up (const struct routed_job *j, int64_t now, const char *why,
                     bool cancel_sent)
{
  const char *vm = j->local != NULL ? j->entry->settings->peer.vm : j->vm;
  const struct route_dispatcher *d = entry_dispatchers_find (j->entry, vm);
  char part[JOB_PART_BYTES];

  job_events_part (&j->spec, part);
  event_ring_add (EVENT_JOB_GIVEN_UP, j->spec.key,
                  "why=%s at=%s id=%" PRIu64 " part=%s sent_ms_ago=%" PRId64
                  " report_ms_ago=%" PRId64 " cancel_sent=%d",
                  why, j->local != NULL ? own_vm : vm, j->id, part,
                  now - j->sent_ms,
                  d == NULL || d->reported_ms == 0 ? -1 : now - d->reported_ms,
                  cancel_sent);
}
