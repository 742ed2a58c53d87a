#include "controller/entry.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/config_controller.h"
#include "controller/dispatch_controller.h"
#include "controller/drain_controller.h"
#include "controller/job_controller.h"
#include "controller/lookup_controller.h"
#include "controller/membership_controller.h"
#include "controller/operator_api.h"
#include "controller/remote_controller.h"
#include "controller/replica_controller.h"
#include "controller/target_controller.h"
#include "filter/request.h"

enum
{
  TICK_MS = 10,
  EXPIRE_INTERVAL_MS = 5000,
  TARGET_INTERVAL_MS = 200
};

static json_t *
target_json (const struct target *t, int64_t now)
{
  return json_build (
      "{s:s s:s s:s s:i s:i s:i s:b s:b s:b s:f}", "target", t->id, "rack",
      t->announcement.rack, "domain", t->announcement.domain, "slots",
      (int)t->announcement.slots, "in_use", (int)t->in_use, "reserved",
      (int)t->reserved, "usable", target_is_usable (t, now), "leaving",
      t->leaving, "ejected", t->ejected, "failure_rate", t->failure_rate);
}

static json_t *
status_json (void *arg)
{
  struct entry *n = arg;
  int64_t now = now_ms ();
  uint32_t open = 0;

  for (struct submission *s = n->open; s != NULL; s = s->open_next)
    open++;
  return json_build (
      "{s:s s:s s:s s:s s:b s:b s:I s:s s:I s:b s:I s:I s:I s:I s:I s:o}",
      "vm", n->settings->vm, "role", "entry", "domain", n->settings->domain,
      "environment", n->settings->environment, "draining",
      n->refusing_submissions, "quorum_lost", n->quorum_lost, "config_number",
      (json_int_t)n->environment.number, "config_sha256",
      n->environment.sha256, "incarnation",
      (json_int_t)n->submissions.group.incarnation, "synced",
      n->submissions.synced, "records",
      (json_int_t)HASH_COUNT (n->submissions.records), "open",
      (json_int_t)open, "queued_tasks", (json_int_t)n->teams.queued_tasks,
      "free_slots", (json_int_t)target_table_free_slots (&n->targets, now),
      "total_slots", (json_int_t)target_table_total_slots (&n->targets, now),
      "view", control_view_to_json (&n->view));
}

static void
stop (void *arg)
{
  drain_begin (arg);
}

static void
handle_submission (struct entry *n, struct http_call *c, bool single)
{
  struct request *r = request_new (n, c->body, c->body_length);

  r->call = http_call_hold (c);
  r->single = single;
  request_run_caller (r);
  request_release (r);
}

static void
handle_job (struct entry *n, struct http_call *c)
{
  handle_submission (n, c, false);
}

static void
handle_request (struct entry *n, struct http_call *c)
{
  handle_submission (n, c, true);
}

static void
handle_job_key (struct entry *n, struct http_call *c)
{
  const char *key = c->path + strlen ("/v1/jobs/");
  const char *token = http_call_token (c);
  char sha256[SHA256_HEX_BYTES];
  const struct team *team = NULL;

  if (token != NULL)
    {
      sha256_text (token, strlen (token), sha256);
      team = team_table_find_token (&n->teams, sha256);
    }
  if (team == NULL)
    http_call_refuse (c, 401, "unknown_token", NULL, "no team has this token");
  else
    lookup_handle (n, c, team->name, key, c->method == HTTP_DELETE);
}

static bool
is_target (const struct entry *n, struct http_call *c)
{
  const char *token = http_call_token (c);
  char sha256[SHA256_HEX_BYTES];

  if (token != NULL)
    {
      sha256_text (token, strlen (token), sha256);
      if (CRYPTO_memcmp (sha256, n->settings->target_token_sha256,
                         SHA256_HEX_BYTES - 1)
          == 0)
        return true;
    }
  http_call_refuse (c, 401, "not_a_target", NULL,
                    "this call needs the targets' token");
  return false;
}

static void
answer_call (void *arg, int status, const char *json)
{
  struct http_call *c = arg;

  http_call_answer (c, status, json);
  http_call_release (c);
}

static void
handle_announce (struct entry *n, struct http_call *c)
{
  if (is_target (n, c))
    target_announce (n, c->body, c->body_length, false, answer_call,
                     http_call_hold (c));
}

static void
handle_leave (struct entry *n, struct http_call *c)
{
  if (is_target (n, c))
    target_leave (n, c->body, c->body_length, false, answer_call,
                  http_call_hold (c));
}

static void
handle_health (struct entry *n, struct http_call *c)
{
  const char *state = "serving";

  if (n->refusing_submissions)
    state = "stopping";
  else if (n->environment.number == 0)
    state = "no_configuration";
  else if (!n->submissions.synced)
    state = "joining";
  http_call_answer_json (c, strcmp (state, "serving") == 0 ? 200 : 503,
                         json_build ("{s:s}", "state", state));
}

static void
handle_targets (struct entry *n, struct http_call *c)
{
  json_t *array = json_array ();
  int64_t now = now_ms ();

  if (!operator_api_authorize (n->settings, c))
    {
      json_decref (array);
      return;
    }
  for (struct target *t = n->targets.targets; t != NULL; t = t->hh.next)
    json_array_append_new (array, target_json (t, now));
  http_call_answer_json (
      c, 200,
      json_build ("{s:s s:o}", "vm", n->settings->vm, "targets", array));
}

static void
handle_config_show (struct entry *n, struct http_call *c)
{
  static const char show[] = "{\"type\":\"show\"}";

  if (operator_api_authorize (n->settings, c))
    config_propose (n, show, sizeof show - 1, answer_call, http_call_hold (c));
}

/* The body is the control command "config" without its type.  */
static void
handle_config_accept (struct entry *n, struct http_call *c)
{
  json_error_t e;
  json_t *o;
  char *text;

  if (!operator_api_authorize (n->settings, c))
    return;
  o = json_loadb (c->body, c->body_length, JSON_REJECT_DUPLICATES, &e);
  if (!json_is_object (o))
    {
      http_call_refuse (c, 400, "invalid_command", NULL,
                        "not a JSON object: %s", o == NULL ? e.text : "");
      json_decref (o);
      return;
    }
  json_object_set_new (o, "type", json_from_text ("config"));
  text = json_encode (o);
  config_propose (n, text, strlen (text), answer_call, http_call_hold (c));
  free (text);
  json_decref (o);
}

struct entry_route
{
  enum http_method method;
  const char *path; /* a prefix of longer paths if it ends with '/' */
  void (*handle) (struct entry *n, struct http_call *c);
};

static const struct entry_route routes[] = {
  { HTTP_POST, "/v1/jobs", handle_job },
  { HTTP_POST, "/v1/requests", handle_request },
  { HTTP_GET, "/v1/jobs/", handle_job_key },
  { HTTP_DELETE, "/v1/jobs/", handle_job_key },
  { HTTP_POST, "/v1/targets/announce", handle_announce },
  { HTTP_POST, "/v1/targets/leave", handle_leave },
  { HTTP_GET, "/v1/health", handle_health },
  { HTTP_GET, "/v1/targets", handle_targets },
  { HTTP_GET, "/v1/config", handle_config_show },
  { HTTP_POST, "/v1/config/accept", handle_config_accept },
};

static bool
matches (const struct entry_route *route, const struct http_call *c)
{
  size_t n = strlen (route->path);

  if (route->method != c->method)
    return false;
  if (route->path[n - 1] == '/')
    return strncmp (route->path, c->path, n) == 0 && c->path[n] != '\0';
  return strcmp (route->path, c->path) == 0;
}

static void
on_http (void *arg, struct http_call *c)
{
  struct entry *n = arg;
  const struct operator_source source = { n->settings, status_json, stop, n };

  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (matches (&routes[i], c))
      {
        routes[i].handle (n, c);
        return;
      }
  if (!operator_api_handle (&source, c))
    http_call_refuse (c, 404, "not_found", "not_run",
                      "%s: no such resource, or not by this method", c->path);
}

static void
receive_submission (struct entry *n, struct peer_conn *from,
                    const struct peer_call *call)
{
  char *body = strndup (call->body.data, call->body.length);
  struct request *r = request_new (n, body, call->body.length);

  r->allocated_body = body;
  r->from = peer_conn_hold (from);
  r->call_id = call->id;
  r->single = call->method == METHOD_REQUEST;
  slice_copy (call->team, r->team, sizeof r->team);
  request_run_forwarded (r);
  request_release (r);
}

/* The peer that waits for the reply to a call about a target.  */
struct peer_answer
{
  struct peer_conn *to;
  uint64_t id;
};

static void
answer_peer (void *arg, int status, const char *json)
{
  struct peer_answer *a = arg;

  peer_conn_reply (a->to, a->id, status, json);
  peer_conn_release (a->to);
  free (a);
}

static struct peer_answer *
peer_answer_new (struct peer_conn *to, uint64_t id)
{
  struct peer_answer *a = malloc (sizeof *a);

  a->to = peer_conn_hold (to);
  a->id = id;
  return a;
}

static void
receive_call (struct entry *n, struct peer_conn *from,
              const struct peer_call *call)
{
  switch (call->method)
    {
    case METHOD_SUBMIT:
    case METHOD_REQUEST:
      receive_submission (n, from, call);
      break;
    case METHOD_ANNOUNCE:
      target_announce (n, call->body.data, call->body.length, true,
                       answer_peer, peer_answer_new (from, call->id));
      break;
    case METHOD_LEAVE:
      target_leave (n, call->body.data, call->body.length, true, answer_peer,
                    peer_answer_new (from, call->id));
      break;
    case METHOD_CANCEL:
    case METHOD_LOOKUP:
      lookup_receive (n, from, call);
      break;
    case METHOD_CONFIG_FETCH:
      config_receive_fetch (n, from, call);
      break;
    default:
      break;
    }
}

static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct entry *n = arg;

  switch (m->type)
    {
    case PEER_CALL:
      receive_call (n, from, &m->u.call);
      break;
    case PEER_RECORD_PUT:
    case PEER_RECORD_ADVANCE:
    case PEER_RECORD_DONE:
    case PEER_RECORD_SYNCED:
      replica_receive (n, from, m);
      break;
    case PEER_TASK_RUN:
      remote_receive_task (n, from, &m->u.task_run);
      break;
    case PEER_TASK_STOP:
      remote_receive_stop (n, &m->u.task_stop);
      break;
    default:
      membership_receive (n, from, m);
      break;
    }
}

static void
on_link (void *arg, const char *vm, bool up)
{
  struct entry *n = arg;

  if (up && settings_vm (n->settings, vm)->role == ROLE_KEEPER)
    n->last_heartbeat_ms = 0;
}

static const struct peer_network_events network_events
    = { on_message, on_link, NULL };

static void
expire_records (struct entry *n, int64_t now)
{
  uint32_t expired;

  if (now - n->last_expire_ms < EXPIRE_INTERVAL_MS)
    return;
  n->last_expire_ms = now;
  expired = submission_register_expire (&n->submissions, now_wall_ms ());
  if (expired != 0)
    event_ring_add (EVENT_JOB_EXPIRED, n->settings->vm, "records=%u", expired);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct entry *n = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  membership_tick (n, now);
  job_tick (n, now);
  remote_tick (n, now);
  if (now - n->last_target_ms >= TARGET_INTERVAL_MS)
    {
      n->last_target_ms = now;
      target_tick (n, now);
    }
  expire_records (n, now);
  dispatch_run (n);
  drain_tick (n, now);
}

bool
entry_start (struct entry *n, struct event_base *base,
             const struct settings *s, uint64_t boot_id, struct error *e)
{
  struct timeval tick = now_timeval (TICK_MS);

  memset (n, 0, sizeof *n);
  n->base = base;
  n->settings = s;
  n->boot_id = boot_id;
  n->leader_last_seen_ms = now_ms ();
  n->slots_last_seen_ms = now_ms ();
  environment_init (&n->environment);
  submission_register_init (&n->submissions, s->vm, boot_id,
                            s->register_window_ms, 0);
  target_table_init (&n->targets);
  team_table_init (&n->teams);
  run_time_init (&n->run_times);
  retry_budget_init (&n->retries, 0);
  peer_table_init (&n->peers, s);
  n->network = peer_network_new (base, s, boot_id, &network_events, n, e);
  if (n->network == NULL)
    return false;
  n->http = http_server_new (base, s, on_http, n, e);
  if (n->http == NULL)
    return false;
  for (uint32_t i = 0; i < s->vm_count; i++)
    if (strcmp (s->vms[i].name, s->vm) != 0)
      peer_network_connect (n->network, s->vms[i].name);
  n->tick = event_new (base, -1, EV_PERSIST, on_tick, n);
  event_add (n->tick, &tick);
  return true;
}

void
entry_done (struct entry *n)
{
  if (n->tick != NULL)
    event_free (n->tick);
  if (n->http != NULL)
    http_server_free (n->http);
  if (n->network != NULL)
    peer_network_free (n->network);
  target_drop_all (n);
  event_base_loop (n->base, EVLOOP_NONBLOCK); /* closes targets' clients */
  team_table_done (&n->teams);
  submission_register_done (&n->submissions);
  environment_done (&n->environment);
}
