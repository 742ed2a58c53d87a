/* Forwards a submission to the entry that owns its key, in its home failure
   domain, if that is another one.  The key makes retries safe.  Once an
   attempt may have reached the owner, the outcome is never reported as not
   run.  */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_text.h"
#include "base/counters.h"
#include "base/now.h"
#include "filter/request.h"

enum
{
  RETRY_FIRST_MS = 20,
  RETRY_LAST_MS = 320,

  /* How long to wait for the owner's answer after the deadline.  The owner
     then ends the submission, and replicates that for up to two record
     timeouts (300 ms each by default) before it answers.  */
  ANSWER_MARGIN_MS = 600,

  STATUS_MISDIRECTED = 421,
  STATUS_TOO_EARLY = 425
};

static void forward (struct request *r);

static const struct group_member *
owner_of (const struct request *r)
{
  const struct group *g = control_view_group (&r->entry->view, r->key.domain);
  char id[RECORD_ID_BYTES];

  if (g == NULL)
    return NULL;
  snprintf (id, sizeof id, "%s/%s", r->team, r->key.text);
  return group_owner (g, id);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  forward (arg);
}

static void
refuse_unreachable (struct request *r)
{
  const char *outcome
      = r->may_have_run ? "unknown" : request_refusal_outcome (r);

  request_refuse (r, 503, "home_unreachable", outcome,
                  "the home failure domain %s did not answer; repeat the "
                  "submission with the same key, or use a new key with the "
                  "prefix of this answer for a new one",
                  r->key.domain);
  request_release (r);
}

/* Returns until when to retry: the deadline if the submission may have run;
   otherwise at most the time that a group change takes (two leases), so that
   the caller is told early enough to use another key.  */
static int64_t
retry_until_ms (const struct request *r)
{
  int64_t group_change_ms = r->begun_ms + 2 * r->entry->settings->lease_ms;

  return r->may_have_run || r->deadline_ms < group_change_ms ? r->deadline_ms
                                                             : group_change_ms;
}

static void
retry_later (struct request *r)
{
  int64_t delay_ms = RETRY_FIRST_MS << (r->attempts < 5 ? r->attempts : 5);
  struct timeval t;

  if (delay_ms > RETRY_LAST_MS)
    delay_ms = RETRY_LAST_MS;
  delay_ms = delay_ms / 2 + rand () % (delay_ms / 2 + 1);
  if (now_ms () + delay_ms > retry_until_ms (r))
    {
      refuse_unreachable (r);
      return;
    }
  r->attempts++;
  counters_add (COUNTER_FORWARD_RETRIES, 1);
  t = now_timeval (delay_ms);
  event_base_once (r->entry->base, -1, EV_TIMEOUT, on_retry, r, &t);
}

static void
on_forwarded (void *arg, enum call_outcome outcome,
              const struct peer_reply *reply)
{
  struct request *r = arg;
  char *text;

  if (outcome == CALL_NO_REPLY
      || (outcome == CALL_REPLIED && reply->status == STATUS_TOO_EARLY))
    r->may_have_run = true;
  if (outcome != CALL_REPLIED || reply->status == STATUS_MISDIRECTED
      || reply->status == STATUS_TOO_EARLY)
    {
      retry_later (r);
      return;
    }
  text = strndup (reply->body.data, reply->body.length);
  request_answer (r, (int)reply->status, text);
  free (text);
  request_release (r);
}

/* Allocates the body to forward.  It includes the key, also where this entry
   generated it.  */
static void
set_forward_body (struct request *r)
{
  if (r->allocated_body != NULL)
    return;
  json_object_set_new (r->root, "key", json_from_text (r->key.text));
  r->allocated_body = json_encode (r->root);
}

static void
forward (struct request *r)
{
  struct entry *n = r->entry;
  const struct group_member *owner = owner_of (r);
  const char *to = owner == NULL ? "" : owner->vm;
  int64_t left_ms = r->deadline_ms - now_ms ();
  struct peer_message m = { .type = PEER_CALL };

  if (r->forward_to[0] != '\0' && r->attempts == 0)
    to = r->forward_to;
  if (to[0] == '\0' || left_ms <= 0)
    {
      retry_later (r);
      return;
    }
  if (strcmp (to, n->settings->vm) == 0)
    {
      /* The group has changed, and this entry owns the key now.  */
      r->body = r->allocated_body;
      r->body_length = strlen (r->allocated_body);
      json_decref (r->root);
      r->root = NULL;
      request_run_forwarded (r);
      request_release (r);
      return;
    }
  m.u.call.method = r->single ? METHOD_REQUEST : METHOD_SUBMIT;
  m.u.call.team = slice_of (r->team);
  m.u.call.key = slice_of (r->key.text);
  m.u.call.timeout_ms = left_ms;
  m.u.call.body = slice_of (r->allocated_body);
  counters_add (COUNTER_FORWARDS, 1);
  peer_network_call (n->network, to, &m, left_ms + ANSWER_MARGIN_MS,
                     on_forwarded, r);
}

void
request_forward_to (struct request *r, const char *vm)
{
  snprintf (r->forward_to, sizeof r->forward_to, "%s", vm);
  r->attempts = 0;
  set_forward_body (r);
  forward (r);
}

void
request_retry (struct request *r)
{
  set_forward_body (r);
  request_hold (r);
  retry_later (r);
}

enum filter_result
filter_home (struct request *r)
{
  const struct group_member *owner;

  if (r->single && r->keyless)
    return FILTER_PASS;
  owner = owner_of (r);
  if (owner != NULL && strcmp (owner->vm, r->entry->settings->vm) == 0)
    return FILTER_PASS;
  set_forward_body (r);
  request_hold (r);
  forward (r);
  return FILTER_PENDING;
}
