#include "controller/config_controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/dispatch_controller.h"

enum
{
  FETCH_TIMEOUT_MS = 1000,
  PROPOSE_TIMEOUT_MS = 3000,
  PROPOSE_RETRY_MS = 100,
  PROPOSE_LIMIT_MS = 8000
};

/* The share of the teams' quotas that this entry may use: 1, or the share that
   the configuration's cut_off section sets for the time without a reachable
   keepers' leader.  */
static double
quota_share (const struct entry *n)
{
  return n->quorum_lost ? n->environment.cut_off_quota_share : 1;
}

/* The rate is divided evenly among the entries.  The burst applies in full at
   each entry, so that a job of a small team still fits.  */
static void
apply_quota (struct entry *n, const json_t *team)
{
  double share = quota_share (n);
  double rate = json_get_real (team, "tasks_per_s", 0) * share;
  double burst = json_get_real (team, "burst_tasks", 1) * share;

  team_table_set (&n->teams, json_get_text (team, "name", ""),
                  json_get_text (team, "token_sha256", ""),
                  rate / (n->peers.count + 1), burst < 1 ? 1 : burst);
}

void
config_apply_quotas (struct entry *n)
{
  const json_t *array = json_object_get (n->environment.config, "teams");
  struct team *t;
  json_t *o;
  size_t i;

  for (t = n->teams.teams; t != NULL; t = t->hh.next)
    t->removed = true;
  json_array_foreach ((json_t *)array, i, o) apply_quota (n, o);
}

static void
apply_policy (struct entry *n)
{
  const struct policy *p = &n->environment.policy;

  n->retries.ratio = p->retry_ratio;
  n->targets.ejection
      = (struct ejection_policy){ p->eject_failures, p->eject_share,
                                  p->eject_ms };
  n->submissions.capacity = n->environment.records;
  n->submissions.bytes_limit = n->environment.record_bytes;
}

/* Applies CONFIG as configuration NUMBER.  Ignores it if NUMBER is not higher
   than the applied one; rejects it if it does not list this environment.  */
static void
install (struct entry *n, uint64_t number, json_t *config)
{
  struct json_report report;

  if (number <= n->environment.number)
    return;
  json_report_init (&report);
  environment_check (config, n->settings->environment, &report);
  if (report.faults != 0)
    {
      event_ring_add (EVENT_CONFIG_FOREIGN, n->settings->vm,
                      "number=%" PRIu64 " %s", number, report.text);
      return;
    }
  environment_set (&n->environment, number, config);
  config_apply_quotas (n);
  apply_policy (n);
  n->last_heartbeat_ms = 0;
  event_ring_add (EVENT_CONFIG_IN_FORCE, n->settings->vm,
                  "number=%" PRIu64 " sha256=%.12s", number,
                  n->environment.sha256);
  dispatch_run (n);
}

static void
on_fetched (void *arg, enum call_outcome outcome,
            const struct peer_reply *reply)
{
  struct entry *n = arg;
  json_t *root;

  n->fetching_config = false;
  if (outcome != CALL_REPLIED || reply->status != 200)
    return;
  root = json_loadb (reply->body.data, reply->body.length, 0, NULL);
  if (root != NULL)
    install (n, (uint64_t)json_get_integer (root, "number", 0),
             json_object_get (root, "document"));
  json_decref (root);
}

/* The process that has a newer configuration: the keepers' leader if the
   control view has a higher number or, without a reachable leader, an entry
   that reported one.  NULL if there is none.  */
static const char *
newer_source (const struct entry *n)
{
  if (!n->quorum_lost && n->leader[0] != '\0'
      && n->view.config_number > n->environment.number)
    return n->leader;
  for (uint32_t i = 0; i < n->peers.count; i++)
    if (n->quorum_lost
        && n->peers.peers[i].config_number > n->environment.number)
      return n->peers.peers[i].vm->name;
  return NULL;
}

void
config_fetch_newer (struct entry *n)
{
  const char *source = newer_source (n);
  struct peer_message m = { .type = PEER_CALL };

  if (n->fetching_config || source == NULL)
    return;
  n->fetching_config = true;
  m.u.call.method = METHOD_CONFIG_FETCH;
  m.u.call.team = slice_of ("");
  m.u.call.key = slice_of ("");
  m.u.call.body = slice_of ("");
  peer_network_call (n->network, source, &m, FETCH_TIMEOUT_MS, on_fetched, n);
}

void
config_receive_fetch (struct entry *n, struct peer_conn *from,
                      const struct peer_call *call)
{
  json_t *o
      = json_build ("{s:I s:O?}", "number", (json_int_t)n->environment.number,
                    "document", n->environment.config);
  char *text = json_encode (o);

  peer_conn_reply (from, call->id, 200, text);
  free (text);
  json_decref (o);
}

/* An operator's command being sent to the leader.  It carries the operator's
   request id, so a retry is safe.  */
struct proposal
{
  struct entry *entry;
  char *body;
  size_t length;
  int64_t until_ms;
  void (*answer) (void *arg, int status, const char *json);
  void *arg;
};

static void proposal_send (struct proposal *p);

static void
on_proposal_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  proposal_send (arg);
}

static void
on_proposed (void *arg, enum call_outcome outcome,
             const struct peer_reply *reply)
{
  struct proposal *p = arg;
  struct timeval t = now_timeval (PROPOSE_RETRY_MS);
  char *text;

  if (outcome == CALL_REPLIED && reply->status != 421)
    {
      text = strndup (reply->body.data, reply->body.length);
      p->answer (p->arg, (int)reply->status, text);
      free (text);
    }
  else if (now_ms () < p->until_ms)
    {
      event_base_once (p->entry->base, -1, EV_TIMEOUT, on_proposal_retry, p,
                       &t);
      return;
    }
  else
    {
      text = http_error_text ("no_leader", "unknown",
                              "no keeper leader answered; the command may "
                              "still be carried out: repeat it with the same "
                              "request_id to learn");
      p->answer (p->arg, 503, text);
      free (text);
    }
  free (p->body);
  free (p);
}

static void
proposal_send (struct proposal *p)
{
  struct peer_message m = { .type = PEER_CALL };

  m.u.call.method = METHOD_PROPOSE;
  m.u.call.team = slice_of ("");
  m.u.call.key = slice_of ("");
  m.u.call.timeout_ms = PROPOSE_TIMEOUT_MS;
  m.u.call.body = (struct slice){ p->body, (uint32_t)p->length };
  peer_network_call (p->entry->network, p->entry->leader, &m,
                     PROPOSE_TIMEOUT_MS, on_proposed, p);
}

void
config_propose (struct entry *n, const char *body, size_t length,
                void (*answer) (void *arg, int status, const char *json),
                void *arg)
{
  struct proposal *p = malloc (sizeof *p);

  p->entry = n;
  p->body = malloc (length + 1);
  memcpy (p->body, body, length);
  p->length = length;
  p->until_ms = now_ms () + PROPOSE_LIMIT_MS;
  p->answer = answer;
  p->arg = arg;
  proposal_send (p);
}
