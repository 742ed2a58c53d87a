#include "controller/job_controller.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/dispatch_controller.h"
#include "controller/replica_controller.h"

enum
{
  HTTP_OK = 200,
  HTTP_UNAVAILABLE = 503
};

static void
open_list_add (struct entry *n, struct submission *s)
{
  submission_hold (s);
  DL_APPEND2 (n->open, s, open_prev, open_next);
}

static void
open_list_remove (struct entry *n, struct submission *s)
{
  DL_DELETE2 (n->open, s, open_prev, open_next);
  s->open_next = NULL;
  s->open_prev = NULL;
  submission_release (s);
}

/* Answers a submission that was never started here and removes its record.
   OUTCOME is "not_run", or "unknown" if another member may take it over.  */
static void
refuse (struct entry *n, struct submission *s, const char *outcome)
{
  bool not_run = strcmp (outcome, "not_run") == 0;

  free (s->answer);
  s->answer = http_error_text (
      "not_replicated", outcome,
      "the record could not be copied to the whole replica group");
  s->status = HTTP_UNAVAILABLE;
  s->state = SUBMISSION_ENDED;
  counters_add (not_run ? COUNTER_REFUSALS_NOT_RUN : COUNTER_REFUSALS_UNKNOWN,
                1);
  event_ring_add (EVENT_JOB_REFUSED, s->id, "not_replicated: %s", outcome);
  submission_hold (s);
  open_list_remove (n, s);
  if (submission_register_find (&n->submissions, s->id) == s)
    submission_register_drop (&n->submissions, s);
  submission_notify (s);
  submission_release (s);
}

/* REPLICA_ACKED means that every member that had stored the record has removed
   it.  Otherwise one may still have it, and would take it over if this VM were
   lost.  */
static void
on_dropped (struct entry *n, struct submission *s,
            enum replica_outcome outcome)
{
  if (s->state == SUBMISSION_PREPARING)
    refuse (n, s, outcome == REPLICA_ACKED ? "not_run" : "unknown");
}

static void
open_for_dispatch (struct entry *n, struct submission *s)
{
  s->state = SUBMISSION_OPEN;
  counters_add (s->single ? COUNTER_REQUESTS_ACCEPTED : COUNTER_JOBS_ACCEPTED,
                1);
  event_ring_add (EVENT_JOB_ACCEPTED, s->id, "tasks=%u may_start=%u",
                  s->task_count, s->start_watermark);
  if (s->marked_failed)
    {
      job_check_finished (n, s);
      return;
    }
  team_table_push (&n->teams, s);
  dispatch_run (n);
}

static void
on_prepared (struct entry *n, struct submission *s,
             enum replica_outcome outcome)
{
  int64_t until = now_ms () + n->settings->record_timeout_ms;

  if (s->state != SUBMISSION_PREPARING)
    return;
  switch (outcome)
    {
    case REPLICA_ACKED:
      open_for_dispatch (n, s);
      break;
    case REPLICA_REFUSED:
      replica_drop (n, s, until, on_dropped);
      break;
    case REPLICA_UNKNOWN:
      refuse (n, s, "unknown");
      break;
    }
}

/* The first watermark: the number of tasks that can start at once.  A task
   that has to queue stays above it, and so is known not to have started if
   this VM is lost.  */
static uint32_t
first_watermark (struct entry *n, const struct submission *s, int64_t now)
{
  uint64_t free_slots = target_table_free_slots (&n->targets, now);

  if (n->teams.queued_tasks != 0)
    return 0;
  return free_slots < s->task_count ? (uint32_t)free_slots : s->task_count;
}

void
job_begin (struct entry *n, struct submission *s)
{
  int64_t now = now_ms ();
  int64_t until = now + 2 * n->settings->lease_ms;

  s->status = HTTP_OK;
  s->accepted_ms = now;
  open_list_add (n, s);
  if (s->unregistered)
    {
      s->start_watermark = s->task_count;
      open_for_dispatch (n, s);
      return;
    }
  s->state = SUBMISSION_PREPARING;
  s->start_watermark = first_watermark (n, s, now);
  replica_put (n, s, until < s->deadline_ms ? until : s->deadline_ms,
               on_prepared);
}

static void
count_end (const struct submission *s)
{
  bool complete = submission_is_complete (s);

  counters_add (complete ? COUNTER_JOBS_COMPLETE : COUNTER_JOBS_FAILED, 1);
  event_ring_add (complete ? EVENT_JOB_COMPLETE : EVENT_JOB_FAILED, s->id,
                  "ms=%lld %s", (long long)(now_ms () - s->accepted_ms),
                  s->reason == NULL ? "" : s->reason);
}

/* An answer that the group has not stored must not reach the caller, since
   another member may give a different one.  "unknown" is always correct.  */
static void
on_ended (struct entry *n, struct submission *s, enum replica_outcome outcome)
{
  if (s->state != SUBMISSION_ENDING)
    return;
  if (outcome != REPLICA_ACKED)
    {
      free (s->answer);
      s->answer = http_error_text (
          "answer_not_replicated", "unknown",
          "the answer could not be copied to the replica group");
      s->status = HTTP_UNAVAILABLE;
      counters_add (COUNTER_REFUSALS_UNKNOWN, 1);
    }
  submission_end (s);
  count_end (s);
  submission_hold (s);
  open_list_remove (n, s);
  submission_notify (s);
  submission_release (s);
}

static void
end (struct entry *n, struct submission *s)
{
  int64_t until = now_ms () + 2 * n->settings->record_timeout_ms;

  team_table_remove (&n->teams, s);
  s->state = SUBMISSION_ENDING;
  if (s->unregistered)
    on_ended (n, s, REPLICA_ACKED);
  else
    replica_end (n, s, until > s->deadline_ms ? until : s->deadline_ms,
                 on_ended);
}

void
job_check_finished (struct entry *n, struct submission *s)
{
  if (s->state != SUBMISSION_OPEN || !submission_is_finished (s))
    return;
  submission_write_answer (s, s->reason);
  end (n, s);
}

void
job_mark_failed (struct entry *n, struct submission *s, const char *reason)
{
  if (!s->marked_failed)
    s->reason = reason;
  s->marked_failed = true;
  team_table_remove (&n->teams, s);
  job_check_finished (n, s);
}

void
job_cancel (struct entry *n, struct submission *s)
{
  if (s->cancelled
      || (s->state != SUBMISSION_OPEN && s->state != SUBMISSION_PREPARING))
    return;
  s->cancelled = true;
  counters_add (COUNTER_JOBS_CANCELLED, 1);
  event_ring_add (EVENT_JOB_CANCELLED, s->id, "running=%u", s->running);
  dispatch_stop_tasks (n, s);
  job_mark_failed (n, s, "cancelled");
}

/* The deadline has passed: the running tasks are sent a stop and reported as
   unknown.  */
static void
time_out (struct entry *n, struct submission *s)
{
  s->reason = "deadline";
  s->marked_failed = true;
  if (s->state != SUBMISSION_OPEN)
    return;
  dispatch_stop_tasks (n, s);
  submission_write_answer (s, s->reason);
  end (n, s);
}

void
job_tick (struct entry *n, int64_t now)
{
  struct submission *s;
  struct submission *next;

  for (s = n->open; s != NULL; s = next)
    {
      next = s->open_next;
      if (s->deadline_ms > now
          || (s->state != SUBMISSION_OPEN && s->state != SUBMISSION_PREPARING))
        continue;
      if (next != NULL)
        submission_hold (next);
      time_out (n, s);
      if (next != NULL)
        submission_release (next);
    }
}

static void
take_over_one (void *arg, struct submission *s)
{
  struct entry *n = arg;
  int64_t left_ms = s->deadline_wall_ms - now_wall_ms ();
  bool parsed = submission_parse_body (s);

  event_ring_add (EVENT_JOB_TAKEN_OVER, s->id, "may_start=%u of %u",
                  s->start_watermark, s->task_count);
  s->deadline_ms = now_ms () + (left_ms > 0 ? left_ms : 0);
  s->accepted_ms = now_ms ();
  if (parsed && s->start_watermark == 0 && left_ms > 0)
    {
      counters_add (COUNTER_JOBS_CONTINUED, 1);
      job_begin (n, s);
      return;
    }
  s->status = HTTP_OK;
  s->reason = "executor_lost";
  open_list_add (n, s);
  submission_write_lost_answer (s);
  end (n, s);
}

void
job_take_over (struct entry *n)
{
  submission_register_take_over (&n->submissions, take_over_one, n);
}

static void
abandon (struct entry *n, struct submission *s)
{
  team_table_remove (&n->teams, s);
  s->state = SUBMISSION_ENDED;
  free (s->answer);
  s->answer = http_error_text ("left_group", "unknown",
                               "this VM was removed from its replica group; "
                               "ask again with the same key");
  s->status = HTTP_UNAVAILABLE;
  counters_add (COUNTER_REFUSALS_UNKNOWN, 1);
  submission_hold (s);
  open_list_remove (n, s);
  submission_notify (s);
  submission_release (s);
}

void
job_abandon_all (struct entry *n)
{
  struct submission *s;
  struct submission *next;

  for (s = n->open; s != NULL; s = next)
    {
      next = s->open_next;
      if (!s->unregistered)
        abandon (n, s);
    }
  submission_register_reset (&n->submissions, n->boot_id);
}
