#include "controller/lookup_controller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "controller/job_controller.h"

enum
{
  LOOKUP_TIMEOUT_MS = 2000,

  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_NOT_FOUND = 404,
  STATUS_MISDIRECTED = 421,
  STATUS_ELSEWHERE = 425
};

/* A call that waits for the owner's or the executor's answer.  */
struct lookup
{
  struct entry *entry;
  struct http_call *call;
  char team[NAME_BYTES];
  char key[KEY_BYTES];
  bool cancel;
  bool redirected;
};

/* The answer from this entry's records, a new JSON text; for STATUS_ELSEWHERE,
   the name of the executor.  */
static char *
answer_here (struct entry *n, const char *team, const char *key, bool cancel,
             int *status)
{
  char id[RECORD_ID_BYTES];
  struct submission *s;
  char text[KEY_BYTES + NAME_BYTES + 64];

  snprintf (id, sizeof id, "%s/%s", team, key);
  s = submission_register_find (&n->submissions, id);
  if (s == NULL && !n->submissions.synced)
    {
      *status = STATUS_MISDIRECTED;
      return http_error_text ("not_ready", NULL, "records are coming in");
    }
  if (s == NULL)
    {
      *status = STATUS_NOT_FOUND;
      return http_error_text ("no_record", NULL,
                              "no submission with this key is known");
    }
  if (s->state == SUBMISSION_ENDED)
    {
      *status = s->status == 0 ? STATUS_OK : s->status;
      return strdup (s->answer);
    }
  if (s->executor_boot_id != n->boot_id
      || strcmp (s->executor, n->settings->vm) != 0)
    {
      *status = STATUS_ELSEWHERE;
      return strdup (s->executor);
    }
  if (cancel)
    job_cancel (n, s);
  *status = STATUS_ACCEPTED;
  snprintf (text, sizeof text, "{\"key\":\"%s\",\"state\":\"%s\"}", key,
            cancel ? "cancelling" : "running");
  return strdup (text);
}

static void lookup_send (struct lookup *l, const char *vm);

static void
lookup_finish (struct lookup *l, int status, const char *json)
{
  http_call_answer (l->call, status, json);
  http_call_release (l->call);
  free (l);
}

static void
on_answered (void *arg, enum call_outcome outcome,
             const struct peer_reply *reply)
{
  struct lookup *l = arg;
  char vm[NAME_BYTES];
  char *text;

  if (outcome == CALL_REPLIED && reply->status == STATUS_ELSEWHERE
      && !l->redirected && slice_copy (reply->body, vm, sizeof vm))
    {
      l->redirected = true;
      lookup_send (l, vm);
      return;
    }
  if (outcome == CALL_REPLIED && reply->status != STATUS_ELSEWHERE)
    {
      text = strndup (reply->body.data, reply->body.length);
      lookup_finish (l, (int)reply->status, text);
    }
  else
    {
      text = http_error_text ("home_unreachable", NULL,
                              "the entry that knows this key did not answer");
      lookup_finish (l, 503, text);
    }
  free (text);
}

static void
lookup_send (struct lookup *l, const char *vm)
{
  struct entry *n = l->entry;
  struct peer_message m = { .type = PEER_CALL };
  char *text;
  int status;

  if (strcmp (vm, n->settings->vm) == 0)
    {
      text = answer_here (n, l->team, l->key, l->cancel, &status);
      if (status == STATUS_ELSEWHERE && !l->redirected)
        {
          l->redirected = true;
          lookup_send (l, text);
        }
      else
        lookup_finish (l, status, text);
      free (text);
      return;
    }
  m.u.call.method = l->cancel ? METHOD_CANCEL : METHOD_LOOKUP;
  m.u.call.team = slice_of (l->team);
  m.u.call.key = slice_of (l->key);
  m.u.call.timeout_ms = LOOKUP_TIMEOUT_MS;
  m.u.call.body = slice_of ("");
  peer_network_call (n->network, vm, &m, LOOKUP_TIMEOUT_MS, on_answered, l);
}

void
lookup_handle (struct entry *n, struct http_call *c, const char *team,
               const char *key, bool cancel)
{
  struct submission_key k;
  const char *fault = submission_key_parse (&k, key, 1, n->settings);
  const struct group *g;
  const struct group_member *owner;
  char id[RECORD_ID_BYTES];
  struct lookup *l;

  if (fault != NULL)
    {
      http_call_refuse (c, 400, "invalid_key", NULL, "key: %s", fault);
      return;
    }
  g = control_view_group (&n->view, k.domain);
  snprintf (id, sizeof id, "%s/%s", team, key);
  owner = g == NULL ? NULL : group_owner (g, id);
  if (owner == NULL)
    {
      http_call_refuse (c, 503, "home_unreachable", NULL,
                        "no entry of failure domain %s is known", k.domain);
      return;
    }
  l = calloc (1, sizeof *l);
  l->entry = n;
  l->call = http_call_hold (c);
  l->cancel = cancel;
  snprintf (l->team, sizeof l->team, "%s", team);
  snprintf (l->key, sizeof l->key, "%s", key);
  lookup_send (l, owner->vm);
}

void
lookup_receive (struct entry *n, struct peer_conn *from,
                const struct peer_call *call)
{
  char team[NAME_BYTES];
  char key[KEY_BYTES];
  char *text;
  int status;

  slice_copy (call->team, team, sizeof team);
  slice_copy (call->key, key, sizeof key);
  text = answer_here (n, team, key, call->method == METHOD_CANCEL, &status);
  peer_conn_reply (from, call->id, status, text);
  free (text);
}
