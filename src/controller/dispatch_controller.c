#include "controller/dispatch_controller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/job_controller.h"
#include "controller/remote_controller.h"
#include "controller/replica_controller.h"
#include "controller/target_controller.h"
#include "net/target_client.h"

enum
{
  WATERMARK_STEP_TASKS = 32, /* the watermark is raised in these steps */
  WATERMARK_AHEAD_TASKS = 8, /* when this few tasks are left below it */
  FORWARD_MARGIN_MS = 500    /* for the round trip to the other entry */
};

/* A started task of one of this entry's submissions.  */
struct own_run
{
  struct entry *entry;
  struct submission *submission;
  uint32_t index;
  struct target *target; /* NULL if the task was forwarded to PEER */
  struct peer *peer;
};

static void
task_id (char *id, const struct submission *s, uint32_t index)
{
  snprintf (id, TASK_ID_BYTES, "%s#%u", s->id, index);
}

static void
on_watermark_raised (struct entry *n, struct submission *s,
                     enum replica_outcome outcome)
{
  uint32_t raised = s->start_watermark + WATERMARK_STEP_TASKS;

  s->advance_pending = false;
  if (outcome != REPLICA_ACKED)
    return;
  s->start_watermark = raised < s->task_count ? raised : s->task_count;
  dispatch_run (n);
}

/* Raises the watermark of S, below which its tasks may start, at all members
   of the replica group before the tasks reach it.  */
static void
raise_watermark (struct entry *n, struct submission *s)
{
  uint32_t to = s->start_watermark + WATERMARK_STEP_TASKS;

  if (s->advance_pending || s->start_watermark >= s->task_count
      || s->start_watermark - s->next_task > WATERMARK_AHEAD_TASKS)
    return;
  s->advance_pending = true;
  replica_advance (n, s, to < s->task_count ? to : s->task_count,
                   s->deadline_ms, on_watermark_raised);
}

/* Whether the watermark of S allows its next task to start.  */
static bool
is_below_watermark (const struct submission *s)
{
  return s->returned_count != 0 || s->next_task < s->start_watermark;
}

static enum target_result
target_result_of (struct outcome o)
{
  switch (o.kind)
    {
    case OUTCOME_DONE:
      return TARGET_SUCCEEDED;
    case OUTCOME_NOT_RUN:
      return o.proof == PROOF_TARGET_REFUSED ? TARGET_BUSY : TARGET_FAILED;
    case OUTCOME_FAILED:
    case OUTCOME_UNKNOWN:
      break;
    }
  return TARGET_FAILED;
}

void
dispatch_release_slot (struct entry *n, struct target *t, const char *kind,
                       struct outcome outcome, int64_t elapsed_us)
{
  int64_t now = now_ms ();
  enum target_change change = target_table_release_slot (
      &n->targets, t, now, target_result_of (outcome));

  if (outcome.kind == OUTCOME_DONE)
    run_time_add (&n->run_times, kind, (double)elapsed_us / 1000);
  if (outcome.proof == PROOF_TARGET_REFUSED)
    t->reserved++; /* until its next announcement reports its tasks */
  if (outcome.proof == PROOF_NOT_CONNECTED)
    t->lease_until_ms = now; /* expired until its next announcement */
  if (change == TARGET_NOW_EJECTED)
    {
      counters_add (COUNTER_TARGETS_EJECTED, 1);
      event_ring_add (EVENT_TARGET_EJECTED, t->id, "failure_rate=%.2f",
                      t->failure_rate);
    }
  else if (change == TARGET_REINSTATED)
    event_ring_add (EVENT_TARGET_RETURNED, t->id, "%s", "");
}

static bool
may_retry (struct entry *n, const struct submission *s, struct outcome outcome)
{
  if (s->marked_failed || s->state != SUBMISSION_OPEN
      || now_ms () >= s->deadline_ms)
    return false;
  if (outcome.kind == OUTCOME_NOT_RUN)
    return true;
  return s->single && s->idempotent && outcome.kind != OUTCOME_DONE
         && retry_budget_spend (&n->retries);
}

static void
count_outcome (struct outcome outcome)
{
  switch (outcome.kind)
    {
    case OUTCOME_DONE:
      counters_add (COUNTER_TASKS_DONE, 1);
      break;
    case OUTCOME_FAILED:
      counters_add (COUNTER_TASKS_FAILED, 1);
      break;
    case OUTCOME_UNKNOWN:
      counters_add (COUNTER_TASKS_UNKNOWN, 1);
      break;
    case OUTCOME_NOT_RUN:
      break;
    }
}

/* Records the end of task INDEX of S and takes ownership of RESULT.  A task
   that ends after S was answered changes nothing.  */
static void
end_task (struct entry *n, struct submission *s, uint32_t index,
          struct outcome outcome, char *result)
{
  struct submission_task *t = &s->tasks[index];

  s->running--;
  count_outcome (outcome);
  event_ring_add_task (EVENT_TASK_ENDED, s->id, index, outcome_name (outcome),
                       t->sent_to);
  if (s->state != SUBMISSION_OPEN)
    {
      free (result);
      return;
    }
  t->outcome = outcome;
  if (may_retry (n, s, outcome))
    {
      counters_add (COUNTER_TASK_RETRIES, 1);
      event_ring_add_task (EVENT_TASK_RETRIED, s->id, index,
                           not_run_proof_name (outcome.proof), t->sent_to);
      team_table_requeue (&n->teams, s, index);
      return;
    }
  t->result = result;
  s->finished++;
  if (outcome.kind != OUTCOME_DONE && s->finished < s->task_count)
    job_mark_failed (n, s, "task_failed");
  else
    job_check_finished (n, s);
}

static void
on_local_done (void *arg, struct outcome outcome, char *result,
               int64_t elapsed_us)
{
  struct own_run *r = arg;
  struct entry *n = r->entry;

  dispatch_release_slot (n, r->target, r->submission->tasks[r->index].kind,
                         outcome, elapsed_us);
  end_task (n, r->submission, r->index, outcome, result);
  target_remove_if_unused (n, r->target);
  submission_release (r->submission);
  free (r);
  dispatch_run (n);
}

static struct outcome
forwarded_outcome (enum call_outcome call, const struct peer_reply *reply)
{
  if (call == CALL_NOT_SENT)
    return outcome_not_run (PROOF_NEVER_SENT);
  if (call == CALL_NO_REPLY)
    return outcome_unknown ();
  switch ((enum task_status)reply->status)
    {
    case TASK_STATUS_DONE:
      return outcome_done ();
    case TASK_STATUS_NOT_RUN:
      return outcome_not_run (PROOF_PEER_REFUSED);
    case TASK_STATUS_FAILED:
      return outcome_failed ();
    case TASK_STATUS_UNKNOWN:
    default:
      return outcome_unknown ();
    }
}

static void
on_forwarded_done (void *arg, enum call_outcome call,
                   const struct peer_reply *reply)
{
  struct own_run *r = arg;
  struct entry *n = r->entry;
  struct outcome outcome = forwarded_outcome (call, reply);

  r->peer->free_capacity
      = call == CALL_REPLIED ? (uint32_t)reply->free_capacity : 0;
  if (outcome.kind == OUTCOME_NOT_RUN)
    counters_add (COUNTER_TASKS_PASSED_BACK, 1);
  end_task (n, r->submission, r->index, outcome,
            outcome.kind == OUTCOME_DONE
                ? strndup (reply->body.data, reply->body.length)
                : NULL);
  submission_release (r->submission);
  free (r);
  dispatch_run (n);
}

static int64_t
task_timeout (const struct entry *n, const char *kind, int64_t deadline_ms,
              int64_t now)
{
  const struct task_kind *k = environment_kind (&n->environment, kind);
  int64_t left_ms = deadline_ms - now;

  return k != NULL && k->timeout_ms < left_ms ? k->timeout_ms : left_ms;
}

static void
start_local (struct entry *n, struct own_run *r, int64_t now)
{
  struct submission *s = r->submission;
  struct submission_task *t = &s->tasks[r->index];
  char id[TASK_ID_BYTES] = "";
  struct target_start start
      = { .task = id,
          .kind = t->kind,
          .owner = n->settings->vm,
          .incarnation = n->submissions.group.incarnation,
          .payload = t->payload,
          .timeout_ms = task_timeout (n, t->kind, s->deadline_ms, now) };

  task_id (id, s, r->index);
  snprintf (t->sent_to, sizeof t->sent_to, "%s", r->target->id);
  counters_add (COUNTER_TASK_STARTS, 1);
  event_ring_add_task (EVENT_TASK_STARTED, s->id, r->index, "started",
                       t->sent_to);
  target_client_start (r->target->client, &start, on_local_done, r);
}

static void
start_forwarded (struct entry *n, struct own_run *r, int64_t now)
{
  struct submission *s = r->submission;
  struct submission_task *t = &s->tasks[r->index];
  int64_t timeout_ms = task_timeout (n, t->kind, s->deadline_ms, now);
  struct peer_message m = { .type = PEER_TASK_RUN };
  char id[TASK_ID_BYTES] = "";

  task_id (id, s, r->index);
  snprintf (t->sent_to, sizeof t->sent_to, "%s", r->peer->vm->name);
  m.u.task_run = (struct peer_task_run){ 0, slice_of (id), slice_of (t->kind),
                                         slice_of (t->payload), timeout_ms };
  r->peer->free_capacity--;
  counters_add (COUNTER_TASKS_PASSED, 1);
  event_ring_add_task (EVENT_TASK_PASSED, s->id, r->index, "passed",
                       t->sent_to);
  peer_network_call (n->network, r->peer->vm->name, &m,
                     timeout_ms + FORWARD_MARGIN_MS, on_forwarded_done, r);
}

/* Starts the next task of S on a free slot, here or at another entry.  Returns
   false if there is none.  Reads the clock itself, since the event loop may
   have stalled since the caller read it.  */
static bool
start_next (struct entry *n, struct submission *s)
{
  int64_t now = now_ms ();
  struct target *target = target_table_acquire_slot (
      &n->targets, now, s->single && s->idempotent);
  struct peer *peer = target != NULL
                          ? NULL
                          : peer_table_pick (&n->peers, now,
                                             remote_free_queue_share (n, now));
  struct own_run *r;

  if (target == NULL && peer == NULL)
    return false;
  r = calloc (1, sizeof *r);
  r->entry = n;
  r->submission = submission_hold (s);
  r->target = target;
  r->peer = peer;
  r->index = team_table_pop (&n->teams, s);
  s->tasks[r->index].outcome = outcome_unknown ();
  s->running++;
  retry_budget_earn (&n->retries);
  if (target != NULL)
    start_local (n, r, now);
  else
    start_forwarded (n, r, now);
  return true;
}

/* Starts one queued task of this entry's own submissions.  Returns false if
   none can start now.  */
static bool
start_own (struct entry *n)
{
  uint32_t teams = HASH_COUNT (n->teams.teams);
  struct submission *s;

  for (uint32_t skipped = 0; skipped <= teams; skipped++)
    {
      s = team_table_peek (&n->teams);
      if (s == NULL)
        return false;
      if (s->deadline_ms <= now_ms ())
        {
          job_mark_failed (n, s, "deadline");
          continue;
        }
      if (!s->unregistered)
        raise_watermark (n, s);
      if (is_below_watermark (s))
        return start_next (n, s);
      team_table_skip (&n->teams);
    }
  return false;
}

void
dispatch_run (struct entry *n)
{
  bool started = true;

  if (n->dispatching)
    return;
  n->dispatching = true;
  while (started)
    {
      started = remote_start_queued (n);
      started = start_own (n) || started;
    }
  n->dispatching = false;
}

void
dispatch_stop_tasks (struct entry *n, struct submission *s)
{
  for (uint32_t i = 0; i < s->task_count; i++)
    {
      const struct submission_task *t = &s->tasks[i];
      struct peer_message m = { .type = PEER_TASK_STOP };
      char id[TASK_ID_BYTES] = "";
      struct target *target;

      if (t->outcome.kind != OUTCOME_UNKNOWN || t->sent_to[0] == '\0')
        continue;
      task_id (id, s, i);
      m.u.task_stop.task = slice_of (id);
      counters_add (COUNTER_TASK_STOPS, 1);
      if (peer_table_find (&n->peers, t->sent_to) != NULL)
        peer_network_send (n->network, t->sent_to, &m);
      else if ((target = target_table_find (&n->targets, t->sent_to)) != NULL)
        target_client_stop (target->client, id);
    }
}
