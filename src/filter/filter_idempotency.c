/* Looks up the key in the submission register.  A known submission is answered
   from its record, now or when it ends; only one that cannot have been seen
   before continues in the chain as a new one.  */
#include <stdio.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_text.h"
#include "base/now.h"
#include "filter/request.h"

static void
on_submission_end (void *arg, struct submission *s)
{
  struct request *r = arg;

  request_answer (r, s->status == 0 ? 200 : s->status, s->answer);
  request_release (r);
}

static void
on_caller_disconnected (void *arg, struct http_call *c)
{
  struct request *r = arg;

  (void)c;
  if (r->submission == NULL)
    return;
  submission_remove_waiter (r->submission, r);
  request_release (r);
}

void
request_await (struct request *r)
{
  if (!r->wait)
    return;
  request_hold (r);
  submission_add_waiter (r->submission, on_submission_end, r);
  if (r->call != NULL)
    {
      r->call->disconnected = on_caller_disconnected;
      r->call->disconnected_arg = r;
    }
}

void
request_answer_accepted (struct request *r)
{
  char text[KEY_BYTES + 64];

  if (r->wait)
    return;
  snprintf (text, sizeof text, "{\"key\":\"%s\",\"state\":\"accepted\"}",
            r->key.text);
  request_answer (r, 202, text);
}

static enum filter_result
answer_known (struct request *r, struct submission *s)
{
  counters_add (COUNTER_JOBS_REPEATED, 1);
  event_ring_add (EVENT_JOB_REPEATED, s->id, "state=%d", (int)s->state);
  r->submission = submission_hold (s);
  if (s->state == SUBMISSION_ENDED)
    {
      request_answer (r, s->status == 0 ? 200 : s->status, s->answer);
      return FILTER_ANSWERED;
    }
  request_await (r);
  request_answer_accepted (r);
  return FILTER_PENDING;
}

/* Another member executes the submission: forwards the request to it.  A
   request that was itself forwarded here is refused, naming that member.  */
static enum filter_result
forward_to_executor (struct request *r, const struct submission *s)
{
  if (r->call == NULL)
    return request_refuse (r, 425, "executor_elsewhere", "unknown",
                           "%s runs this submission; ask it", s->executor);
  request_hold (r);
  request_forward_to (r, s->executor);
  return FILTER_PENDING;
}

/* The tasks without key and deadline: submissions with equal tasks have the
   same content.  */
static json_t *
tasks_of (const struct request *r)
{
  json_t *payload = json_object_get (r->root, "payload");

  if (!r->single)
    return json_build ("{s:O}", "tasks", json_object_get (r->root, "tasks"));
  return json_build ("{s:O s:[{s:O s:O}]}", "idempotent",
                     json_object_get (r->root, "idempotent"), "tasks", "kind",
                     json_object_get (r->root, "kind"), "payload",
                     payload == NULL ? json_null () : payload);
}

static void
set_tasks (struct request *r)
{
  json_decref (r->tasks);
  free (r->canonical_text);
  r->tasks = tasks_of (r);
  r->canonical_text = submission_canonical_text (r->tasks);
}

static enum filter_result
refuse_by_verdict (struct request *r, enum submit_verdict v)
{
  switch (v)
    {
    case SUBMIT_CONFLICT:
      event_ring_add (EVENT_JOB_CONFLICT, r->key.text, "team=%s", r->team);
      return request_refuse (r, 409, "key_conflict", "not_run",
                             "key: was used for another submission, which "
                             "stands; this one was not run");
    case SUBMIT_EXPIRED:
      return request_refuse (r, 410, "key_expired", "unknown",
                             "key: older than the register's window; the "
                             "submission may have run, and is not run again");
    case SUBMIT_RECORDS_LOST:
      return request_refuse (r, 410, "record_lost", "unknown",
                             "key: older than what the replica group still "
                             "knows; the submission may have run, and is not "
                             "run again");
    case SUBMIT_FUTURE:
      return request_refuse (r, 421, "key_from_future", "not_run",
                             "key: its incarnation or time is ahead of this "
                             "replica group");
    case SUBMIT_FULL:
      return request_refuse (r, 503, "register_full", "not_run",
                             "there is no room for a further submission");
    case SUBMIT_NOT_MEMBER:
    case SUBMIT_NOT_SYNCED:
    default:
      if (r->call != NULL)
        {
          request_retry (r);
          return FILTER_PENDING;
        }
      return request_refuse (r, 421, "not_ready", "not_run",
                             "this VM has not yet joined its replica group");
    }
}

enum filter_result
filter_idempotency (struct request *r)
{
  struct submission *s;
  enum submit_verdict v;

  set_tasks (r);
  if (r->single && r->keyless)
    {
      r->submission = submission_new (r->team, r->key.text);
      r->submission->unregistered = true;
      return FILTER_PASS;
    }
  v = submission_register_submit (
      &r->entry->submissions, now_wall_ms (), &r->key, r->team,
      submission_digest_of (r->canonical_text), &s);
  switch (v)
    {
    case SUBMIT_NEW:
      r->submission = submission_hold (s);
      return FILTER_PASS;
    case SUBMIT_KNOWN:
      return answer_known (r, s);
    case SUBMIT_ELSEWHERE:
      return forward_to_executor (r, s);
    default:
      return refuse_by_verdict (r, v);
    }
}
