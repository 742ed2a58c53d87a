#include "controller/keeper.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/operator_api.h"

enum
{
  TICK_MS = 20,
  STOP_MS = 300,
  STATUS_OK = 200,
  STATUS_MISDIRECTED = 421
};

static void
send_to_member (void *arg, int to, struct peer_message *m)
{
  struct keeper *k = arg;

  peer_network_send (k->network, k->names[to], m);
}

bool
keeper_may_answer (const struct keeper *k)
{
  return k->log.role == LOG_LEADER && !k->stopping
         && replicated_log_has_current_state (&k->log);
}

static void
fill_heartbeat_reply (const struct keeper *k, struct peer_message *m,
                      char *state)
{
  memset (m, 0, sizeof *m);
  m->type = PEER_GROUP_HEARTBEAT_REPLY;
  m->u.group_heartbeat_reply = (struct peer_group_heartbeat_reply){
    .is_leader = keeper_may_answer (k),
    .term = k->log.term,
    .leader
    = slice_of (k->log.leader == LOG_NO_MEMBER ? "" : k->names[k->log.leader]),
    .state_version = k->state.view.version,
    .state = slice_of (state == NULL ? "" : state),
  };
}

static char *
view_text (const struct keeper *k)
{
  json_t *o = control_view_to_json (&k->state.view);
  char *text = json_encode_new (o);
  return text;
}

/* Sends the control view to all entries at once, so that they need not wait
   for the reply to their next heartbeat.  */
static void
push_view (struct keeper *k)
{
  struct peer_message m;
  char *text;

  if (!keeper_may_answer (k))
    return;
  text = view_text (k);
  fill_heartbeat_reply (k, &m, text);
  for (uint32_t i = 0; i < k->groups.count; i++)
    if (k->entry_conns[i] != NULL)
      peer_conn_send (k->entry_conns[i], &m);
  free (text);
}

static void
answer_proposal (struct keeper *k, uint64_t index,
                 const struct control_result *r)
{
  for (uint32_t i = 0; i < PROPOSAL_LIMIT; i++)
    {
      struct keeper_proposal *p = &k->proposals[i];

      if (p->index != index)
        continue;
      peer_conn_reply (p->from, p->call_id, r->status, r->answer);
      peer_conn_release (p->from);
      p->index = 0;
    }
}

static void
apply (void *arg, uint64_t index, const struct log_entry *e)
{
  struct keeper *k = arg;
  uint64_t number = k->state.view.config_number;
  struct control_result r;

  if (e->length == 0)
    {
      push_view (k);
      return;
    }
  r = control_state_apply (&k->state, index, e->data, e->length);
  if (k->state.view.config_number != number)
    {
      counters_add (COUNTER_CONFIG_ACCEPTED, 1);
      event_ring_add (EVENT_CONFIG_ACCEPTED, k->settings->vm,
                      "number=%" PRIu64 " sha256=%.12s",
                      k->state.view.config_number,
                      k->state.view.config_sha256);
    }
  if (k->log.role == LOG_LEADER)
    {
      answer_proposal (k, index, &r);
      push_view (k);
    }
  free (r.answer);
}

static char *
take_snapshot (void *arg, uint32_t *length)
{
  struct keeper *k = arg;

  return control_state_save (&k->state, length);
}

static void
load_snapshot (void *arg, uint64_t index, const char *data, uint32_t length)
{
  struct keeper *k = arg;

  (void)index;
  control_state_load (&k->state, data, length);
}

/* Answers the open proposals after a loss of leadership: they may or may not
   be committed.  The entry retries at the next leader with the same request
   ID.  */
static void
fail_proposals (struct keeper *k)
{
  for (uint32_t i = 0; i < PROPOSAL_LIMIT; i++)
    if (k->proposals[i].index != 0)
      {
        peer_conn_reply (k->proposals[i].from, k->proposals[i].call_id,
                         STATUS_MISDIRECTED, "{}");
        peer_conn_release (k->proposals[i].from);
        k->proposals[i].index = 0;
      }
}

static void
role_changed (void *arg, enum log_role role)
{
  struct keeper *k = arg;

  k->group_change_index = 0;
  if (role == LOG_LEADER)
    {
      counters_add (COUNTER_ELECTIONS, 1);
      event_ring_add (EVENT_LEADER_ELECTED, k->settings->vm, "term=%" PRIu64,
                      k->log.term);
      group_manager_start_term (&k->groups, now_ms ());
      return;
    }
  event_ring_add (EVENT_LEADER_STEPPED_DOWN, k->settings->vm, "term=%" PRIu64,
                  k->log.term);
  fail_proposals (k);
}

static const struct replicated_log_output log_output
    = { .save_state = log_journal_save_state,
        .save_entry = log_journal_save_entry,
        .save_truncate = log_journal_save_truncate,
        .sync = log_journal_sync,
        .save_snapshot = log_journal_save_snapshot,
        .send = send_to_member,
        .apply = apply,
        .take_snapshot = take_snapshot,
        .load_snapshot = load_snapshot,
        .role_changed = role_changed };

static void
on_journal_failed (void *arg, const struct error *e)
{
  struct keeper *k = arg;

  (void)e;
  event_base_loopbreak (k->base);
}

static const struct log_journal_events journal_events
    = { on_journal_failed, NULL, NULL };

static void
set_connection (struct keeper *k, uint32_t i, struct peer_conn *from)
{
  if (k->entry_conns[i] == from)
    return;
  if (k->entry_conns[i] != NULL)
    peer_conn_release (k->entry_conns[i]);
  k->entry_conns[i] = peer_conn_hold (from);
}

static void
receive_heartbeat (struct keeper *k, struct peer_conn *from,
                   const struct peer_group_heartbeat *h)
{
  struct entry_heartbeat *e = group_manager_find (&k->groups, from->vm);
  char *text = NULL;
  struct peer_message m;

  if (e == NULL)
    return;
  set_connection (k, (uint32_t)(e - k->groups.entry_heartbeats), from);
  if (k->log.role == LOG_LEADER)
    {
      e->boot_id = h->boot_id;
      e->last_seen_ms = now_ms ();
      e->config_number = h->config_number;
      e->synced_incarnation = h->synced_incarnation;
      e->leaving = (enum leaving_phase)h->leaving;
      if (keeper_may_answer (k) && h->state_version < k->state.view.version)
        text = view_text (k);
    }
  fill_heartbeat_reply (k, &m, text);
  peer_conn_send (from, &m);
  free (text);
}

/* The rollout of the configuration: the entries that have the one in force,
   those that do not yet, and those that are unresponsive, which apply the
   cut_off section of their configuration.  */
static json_t *
rollout_json (const struct keeper *k)
{
  json_t *applied = json_array ();
  json_t *waiting = json_array ();
  json_t *unresponsive = json_array ();
  int64_t now = now_ms ();

  for (uint32_t i = 0; i < k->groups.count; i++)
    {
      const struct entry_heartbeat *h = &k->groups.entry_heartbeats[i];
      json_t *list = waiting;

      /* After two leases the entry itself has detected that it is cut off.  */
      if (h->last_seen_ms == 0
          || now - h->last_seen_ms > 2 * k->groups.lease_ms)
        list = unresponsive;
      else if (h->config_number == k->state.view.config_number)
        list = applied;
      json_array_append_new (list, json_from_text (h->vm));
    }
  return json_build ("{s:o s:o s:o}", "taken", applied, "waiting", waiting,
                     "silent", unresponsive);
}

static void
answer_show (struct keeper *k, struct peer_conn *from, uint64_t id)
{
  json_t *rollout = rollout_json (k);
  json_t *o = json_build (
      "{s:I s:s s:b s:O s:O s:O? s:o}", "number",
      (json_int_t)k->state.view.config_number, "sha256",
      k->state.view.config_sha256, "in_force",
      json_array_size (json_object_get (rollout, "waiting")) == 0, "spread",
      rollout, "history", k->state.history, "document", k->state.config,
      "view", control_view_to_json (&k->state.view));
  char *text = json_encode (o);

  json_decref (rollout);
  json_decref (o);
  peer_conn_reply (from, id, STATUS_OK, text);
  free (text);
}

static struct keeper_proposal *
free_proposal (struct keeper *k)
{
  for (uint32_t i = 0; i < PROPOSAL_LIMIT; i++)
    if (k->proposals[i].index == 0)
      return &k->proposals[i];
  return NULL;
}

static void
receive_propose (struct keeper *k, struct peer_conn *from,
                 const struct peer_call *call)
{
  struct keeper_proposal *p = free_proposal (k);
  json_t *o = json_loadb (call->body.data, call->body.length, 0, NULL);
  char *text;

  if (strcmp (json_get_text (o, "type", ""), "show") == 0)
    {
      answer_show (k, from, call->id);
      json_decref (o);
      return;
    }
  if (!json_is_object (o) || p == NULL)
    {
      peer_conn_reply (from, call->id, o == NULL ? 400 : 503,
                       "{\"error\":{\"code\":\"invalid_command\",\"message\":"
                       "\"not a command, or too many are under way\"}}");
      json_decref (o);
      return;
    }
  json_object_set_new (o, "wall_ms",
                       json_integer ((json_int_t)now_wall_ms ()));
  text = json_encode (o);
  /* The index is set before the proposal: a quorum of one applies the entry
     within the call.  */
  p->index = log_entries_last_index (&k->log.stored) + 1;
  p->from = peer_conn_hold (from);
  p->call_id = call->id;
  replicated_log_propose (&k->log, now_ms (), text, (uint32_t)strlen (text));
  free (text);
  json_decref (o);
}

static void
receive_call (struct keeper *k, struct peer_conn *from,
              const struct peer_call *call)
{
  json_t *o;
  char *text;

  if (!keeper_may_answer (k))
    {
      peer_conn_reply (from, call->id, STATUS_MISDIRECTED, "{}");
      return;
    }
  if (call->method == METHOD_PROPOSE)
    {
      receive_propose (k, from, call);
      return;
    }
  o = json_build ("{s:I s:O?}", "number",
                  (json_int_t)k->state.view.config_number, "document",
                  k->state.config);
  text = json_encode (o);
  peer_conn_reply (from, call->id, STATUS_OK, text);
  free (text);
  json_decref (o);
}

static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct keeper *k = arg;

  switch (m->type)
    {
    case PEER_GROUP_HEARTBEAT:
      receive_heartbeat (k, from, &m->u.group_heartbeat);
      return;
    case PEER_CALL:
      receive_call (k, from, &m->u.call);
      return;
    default:
      break;
    }
  for (int i = 0; i < k->member_count; i++)
    if (strcmp (k->names[i], from->vm) == 0)
      replicated_log_receive (&k->log, now_ms (), i, m);
}

static void
on_link (void *arg, const char *vm, bool up)
{
  (void)arg;
  (void)vm;
  (void)up;
}

static const struct peer_network_events network_events
    = { on_message, on_link, NULL };

/* Proposes the command TEXT, a change of a replica group, and frees it.  */
static void
propose_group_change (struct keeper *k, char *text)
{
  k->group_change_index = replicated_log_propose (&k->log, now_ms (), text,
                                                  (uint32_t)strlen (text));
  free (text);
}

static void
propose_synced (struct keeper *k, const struct group *g,
                const struct entry_heartbeat *h)
{
  json_t *o = json_build ("{s:s s:s s:I s:s s:I}", "type", "synced", "domain",
                          g->domain, "incarnation", (json_int_t)g->incarnation,
                          "vm", h->vm, "boot_id", (json_int_t)h->boot_id);

  propose_group_change (k, json_encode_new (o));
}

/* Proposes the change of a replica group that is due.  One change is in
   progress at a time.  */
static void
manage_groups (struct keeper *k, int64_t now)
{
  struct group next;

  if (k->log.role != LOG_LEADER || k->stopping
      || k->group_change_index > k->log.applied_index
      || k->log.applied_index < k->log.commit_index)
    return;
  for (uint32_t i = 0; i < k->settings->domain_count; i++)
    {
      const char *domain = k->settings->domains[i];
      const struct group *g = control_view_group (&k->state.view, domain);
      const struct entry_heartbeat *synced
          = g == NULL ? NULL : group_manager_newly_synced (&k->groups, g);

      if (group_manager_decide (&k->groups, g, domain, now, now_wall_ms (),
                                &next))
        {
          if (g != NULL && next.complete_since != g->complete_since
              && g->complete_since != 0)
            event_ring_add (EVENT_GROUP_MEMORY_LOST, domain,
                            "incarnation=%" PRIu64, next.incarnation);
          propose_group_change (k,
                                control_command_group (&next, now_wall_ms ()));
          return;
        }
      if (synced != NULL)
        {
          propose_synced (k, g, synced);
          return;
        }
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct keeper *k = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  replicated_log_tick (&k->log, now);
  manage_groups (k, now);
}

static json_t *
status_json (void *arg)
{
  struct keeper *k = arg;
  static const char *const roles[]
      = { "follower", "pre_candidate", "candidate", "leader" };

  return json_build (
      "{s:s s:s s:s s:s s:I s:s s:I s:I s:I s:o}", "vm", k->settings->vm,
      "role", "keeper", "domain", k->settings->domain, "quorum",
      roles[k->log.role], "term", (json_int_t)k->log.term, "leader",
      k->log.leader == LOG_NO_MEMBER ? "" : k->names[k->log.leader],
      "commit_index", (json_int_t)k->log.commit_index, "config_number",
      (json_int_t)k->state.view.config_number, "journal_bytes",
      (json_int_t)k->journal.journal.size, "view",
      control_view_to_json (&k->state.view));
}

static void
request_stop (void *arg)
{
  keeper_stop (arg);
}

static void
on_http (void *arg, struct http_call *c)
{
  struct keeper *k = arg;
  const struct operator_source source
      = { k->settings, status_json, request_stop, k };

  if (!operator_api_handle (&source, c))
    http_call_refuse (c, 404, "not_found", NULL, "%s: no such resource here",
                      c->path);
}

static int
find_members (struct keeper *k)
{
  int self = 0;

  for (uint32_t i = 0; i < k->settings->vm_count; i++)
    {
      const struct vm_settings *v = &k->settings->vms[i];

      if (v->role != ROLE_KEEPER)
        continue;
      if (strcmp (v->name, k->settings->vm) == 0)
        self = k->member_count;
      memcpy (k->names[k->member_count++], v->name, NAME_BYTES);
    }
  return self;
}

bool
keeper_start (struct keeper *k, struct event_base *base,
              const struct settings *s, uint64_t boot_id, struct error *e)
{
  struct timeval tick = now_timeval (TICK_MS);
  int self;

  memset (k, 0, sizeof *k);
  k->base = base;
  k->settings = s;
  k->boot_id = boot_id;
  self = find_members (k);
  control_state_init (&k->state, s->environment);
  group_manager_init (&k->groups, s);
  replicated_log_init (&k->log, self, k->member_count, s->heartbeat_ms / 2,
                       s->lease_ms / 2, boot_id, &log_output, k);
  k->log.store_arg = &k->journal;
  if (!log_journal_open (&k->journal, &k->log, s->vm, s->data_folder,
                         s->sync_delay_ms, &journal_events, k, e))
    return false;
  k->network = peer_network_new (base, s, boot_id, &network_events, k, e);
  if (k->network == NULL)
    return false;
  k->http = http_server_new (base, s, on_http, k, e);
  if (k->http == NULL)
    return false;
  for (int i = 0; i < k->member_count; i++)
    if (i != self)
      peer_network_connect (k->network, k->names[i]);
  replicated_log_start (&k->log, now_ms ());
  k->tick = event_new (base, -1, EV_PERSIST, on_tick, k);
  event_add (k->tick, &tick);
  return true;
}

void
keeper_stop (struct keeper *k)
{
  struct timeval t = now_timeval (STOP_MS);

  if (k->stopping)
    return;
  k->stopping = true;
  event_ring_add (EVENT_PROCESS_STOPPING, k->settings->vm, "%s", "");
  replicated_log_step_down (&k->log, now_ms ());
  event_base_loopexit (k->base, &t);
}

void
keeper_done (struct keeper *k)
{
  if (k->tick != NULL)
    event_free (k->tick);
  fail_proposals (k);
  for (uint32_t i = 0; i < k->groups.count; i++)
    if (k->entry_conns[i] != NULL)
      peer_conn_release (k->entry_conns[i]);
  if (k->http != NULL)
    http_server_free (k->http);
  if (k->network != NULL)
    peer_network_free (k->network);
  log_journal_close (&k->journal);
  replicated_log_done (&k->log);
  control_state_done (&k->state);
}
