#include "controller/entry_links.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/evacuation_sender.h"
#include "controller/quorum_members.h"
#include "coord/dispatcher_subset.h"
#include "coord/rendezvous.h"
#include "coord/run_target_json.h"

enum
{
  /* The configuration is sent again to an entry that does not report its
     version after this time.  */
  CONFIG_RESEND_MS = 500,

  /* Minimum interval between log entries with changes of the known targets,
     and between checks for such changes.  The targets are logged so that a new
     leader need not wait for their heartbeats if the entries have lost their
     assignments.  */
  LOG_TARGETS_MS = 1500,
  CHECK_TARGETS_MS = 250,

  /* The most targets that one log entry adds or replaces.  */
  LOG_TARGETS_MAX = 200,

  /* Minimum interval between updates of the set of dispatchers.  */
  DISPATCHERS_RESEND_MS = 100,

  /* An entry that was heard longer ago is not reported to the leader.  */
  HEARD_REPORT_MS = 3000
};

void
entry_links_request_report (struct quorum_keeper *k,
                            const struct keeper_entry_link *l)
{
  struct peer_message m = { .type = PEER_ASSIGNMENT };

  m.u.assignment.term = k->log.term;
  m.u.assignment.text = slice_of ("");
  peer_conn_send (l->conn, &m);
}

static int64_t
latest_heard_ms (const struct keeper_entry_link *l)
{
  return l->heard_ms > l->reported_ms ? l->heard_ms : l->reported_ms;
}

/* A free slot for a link, or if there is none that of the entry that was heard
   least recently of those without a connection.  Returns NULL if all are
   connected.  */
static struct keeper_entry_link *
free_link (struct quorum_keeper *k)
{
  struct keeper_entry_link *oldest = NULL;

  if (k->link_count < PLAN_ENTRY_LIMIT)
    return &k->links[k->link_count++];
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn == NULL
        && (oldest == NULL
            || latest_heard_ms (&k->links[i]) < latest_heard_ms (oldest)))
      oldest = &k->links[i];
  if (oldest != NULL && latest_heard_ms (oldest) > k->unlisted_ms)
    k->unlisted_ms = latest_heard_ms (oldest);
  return oldest;
}

struct keeper_entry_link *
entry_links_find_or_add (struct quorum_keeper *k, const char *vm)
{
  struct keeper_entry_link *l;

  for (uint32_t i = 0; i < k->link_count; i++)
    if (strcmp (k->links[i].vm, vm) == 0)
      return &k->links[i];
  l = free_link (k);
  if (l == NULL)
    return NULL;
  memset (l, 0, sizeof *l);
  snprintf (l->vm, sizeof l->vm, "%s", vm);
  return l;
}

/* Sends an entry the configuration if it has an older one, after the evacuated
   domains.  A keeper whose state is not current sends neither: its snapshot
   may be older than what a restarted entry had in force.  */
static void
send_config (struct quorum_keeper *k, struct keeper_entry_link *l, int64_t now)
{
  struct peer_message m = { .type = PEER_SERVICE_CONFIG };

  if (l->conn == NULL || l->config_version >= k->config_version
      || !evacuation_sender_update (k, l, now))
    return;
  m.u.service_config
      = (struct peer_service_config){ k->config_version,
                                      slice_of (k->config_text) };
  if (!peer_conn_send (l->conn, &m))
    return;
  l->config_version = k->config_version;
  l->config_sent_ms = now;
}

/* Sends an entry the addresses of the voters if they have changed: any of them
   may become leader, and the entry's seeds need not be among them.  */
static void
send_voters (struct quorum_keeper *k, struct keeper_entry_link *l)
{
  struct peer_message m = { .type = PEER_KEEPERS };
  const char *voters[REPORTED_VOTER_LIMIT];
  uint32_t count = quorum_members_voters (k, voters, REPORTED_VOTER_LIMIT);
  uint64_t digest = 1;
  json_t *array;
  char *text;

  for (uint32_t i = 0; i < count; i++)
    digest += rendezvous_weight ("", voters[i]);
  if (digest == l->voters_digest)
    return;
  array = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, json_from_text (voters[i]));
  text = json_encode (array);
  m.u.keepers.text = slice_of (text);
  if (peer_conn_send (l->conn, &m))
    l->voters_digest = digest;
  free (text);
  json_decref (array);
}

static void
apply_owned_targets (struct quorum_keeper *k, int64_t now,
                     struct plan_entry *e, struct slice text)
{
  json_t *targets = json_loadb (text.data, text.length, 0, NULL);
  struct run_target_spec spec;
  int64_t cpu_milli = 0;
  size_t i;
  json_t *o;

  e->is_short = false;
  json_array_foreach (targets, i, o)
  {
    if (run_target_spec_from_json (&spec, o))
      owner_plan_update_owned (
          &k->plan, now, e, &spec, (uint64_t)json_get_integer (o, "fence", 0),
          (enum owned_state)json_get_integer (o, "state", OWNED_HELD));
    else
      {
        cpu_milli = json_get_integer (o, "vm_cpu_milli", cpu_milli);
        e->is_short = json_get_boolean (o, "vm_short", false);
      }
  }
  e->cpu_milli
      = cpu_milli > 0 && cpu_milli <= INT32_MAX ? (uint32_t)cpu_milli : 0;
  json_decref (targets);
  e->reported = true;
}

json_t *
entry_links_contacted (const struct quorum_keeper *k, int64_t now)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < k->link_count; i++)
    {
      const struct keeper_entry_link *l = &k->links[i];

      if (now - l->heard_ms >= HEARD_REPORT_MS)
        continue;
      json_array_append_new (list, json_from_text (l->vm));
      json_array_append_new (list, json_integer (now - l->heard_ms));
    }
  return list;
}

void
entry_links_receive_contacted (struct quorum_keeper *k, int64_t now,
                               const json_t *list)
{
  for (size_t i = 0; i + 1 < json_array_size (list); i += 2)
    {
      const char *vm = json_string_value (json_array_get (list, i));
      int64_t age = json_integer_value (json_array_get (list, i + 1));
      struct keeper_entry_link *l;

      if (vm == NULL || vm[0] == '\0' || strlen (vm) >= sizeof l->vm || age < 0
          || age >= HEARD_REPORT_MS)
        continue;
      l = entry_links_find_or_add (k, vm);
      if (l == NULL)
        k->unlisted_ms = now - age;
      else if (now - age > l->reported_ms)
        l->reported_ms = now - age;
    }
}

void
entry_links_receive_heartbeat (struct quorum_keeper *k, struct peer_conn *from,
                               const struct peer_entry_heartbeat *h)
{
  struct keeper_entry_link *l = entry_links_find_or_add (k, from->vm);
  int64_t now = now_ms ();
  char domain[NAME_BYTES];
  struct plan_entry *e;

  if (l == NULL)
    k->unlisted_ms = now;
  if (l == NULL || !slice_copy (h->domain, domain, sizeof domain))
    return;
  l->heard_ms = now;
  if (l->conn != from)
    {
      if (l->conn != NULL)
        peer_conn_release (l->conn);
      l->conn = peer_conn_hold (from);
      l->config_version = h->config_version;
      l->voters_digest = 0;
      l->dispatchers_digest = 0;
      withdrawn_feed_reset (&l->withdrawn);
      l->evacuations_version = 0;
      l->evacuations_sent = 0;
    }
  send_voters (k, l);
  evacuation_sender_update (k, l, now);
  if (now - l->config_sent_ms > CONFIG_RESEND_MS)
    {
      l->config_version = h->config_version;
      send_config (k, l, now);
    }
  if (!quorum_keeper_leads (k))
    return;
  e = owner_plan_update_entry (
      &k->plan, now,
      &(struct entry_report){ from->vm, domain, h->boot_id, h->leaving != 0,
                              h->unassigned != 0 });
  if (e == NULL)
    return;
  if (h->targets.length != 0 && h->assignment_term == k->log.term)
    apply_owned_targets (k, now, e, h->targets);
  else if (!e->reported)
    entry_links_request_report (k, l);
  if (h->assignment_term != k->log.term
      || h->assignment_number < l->assignment_number)
    {
      l->dispatchers_digest = 0;
      e->dirty = true;
    }
}

static void
send_assignment (struct quorum_keeper *k, struct keeper_entry_link *l,
                 const char *text)
{
  struct peer_message m = { .type = PEER_ASSIGNMENT };

  l->assignment_number = ++k->assignment_counter;
  m.u.assignment = (struct peer_assignment){ k->log.term, l->assignment_number,
                                             slice_of (text) };
  peer_conn_send (l->conn, &m);
}

/* Adds the dispatchers of SUBSET.  An assignment without them leaves those of
   the entry unchanged.  */
static void
append_dispatchers (const struct dispatcher_subset *subset, json_t *assignment)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < subset->count; i++)
    json_array_append_new (array, json_build ("{s:s s:s}", "vm",
                                              subset->entries[i]->vm, "domain",
                                              subset->entries[i]->domain));
  json_object_set_new (assignment, "dispatchers", array);
}

static void
append_targets (const struct quorum_keeper *k, const char *vm,
                json_t *assignment)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < k->plan.target_count; i++)
    {
      const struct plan_target *t = k->plan.targets[i];
      json_t *o;

      if (strcmp (t->owner, vm) != 0)
        continue;
      o = run_target_spec_to_json (&t->spec);
      run_target_cold_to_json (o, &t->spec, now_ms ());
      json_object_set_new (o, "fence",
                           json_integer ((json_int_t)t->fencing_token));
      json_object_set_new (o, "release", json_boolean (t->release_requested));
      json_array_append_new (array, o);
    }
  json_object_set_new (assignment, "targets", array);
}

/* Sends E its assignment, unless it cannot be sent the evacuated domains
   first: it must not start anything there.  */
static void
push_assignment (struct quorum_keeper *k, struct plan_entry *e, int64_t now)
{
  struct keeper_entry_link *l = entry_links_find_or_add (k, e->vm);
  struct dispatcher_subset subset;
  json_t *assignment;
  char *text;

  if (l == NULL || l->conn == NULL || !e->reported
      || !evacuation_sender_update (k, l, now))
    return;
  dispatcher_subset_make (&k->plan, e, &subset);
  assignment = json_object ();
  if (subset.digest != l->dispatchers_digest)
    append_dispatchers (&subset, assignment);
  l->dispatchers_digest = subset.digest;
  append_targets (k, e->vm, assignment);
  text = json_encode (assignment);
  send_assignment (k, l, text);
  event_ring_add (EVENT_VIEW_SENT, e->vm,
                  "term=%" PRIu64 " number=%" PRIu64 " targets=%u",
                  k->log.term, l->assignment_number, e->owned);
  free (text);
  json_decref (assignment);
  e->dirty = false;
}

/* Tells the plan which targets have departed: by the log, and by the
   heartbeats that this keeper received before it led.  */
static void
restore_departed (struct quorum_keeper *k, int64_t now)
{
  struct run_target_spec spec = { .id = "" };
  struct departed_target *d;
  struct departed_target *next;
  const char *id;
  json_t *o;

  json_object_foreach (k->applied_departed, id, o)
  {
    int64_t age = now_wall_ms () - json_get_integer (o, "at", 0);

    if (strlen (id) >= sizeof spec.id || age >= DEPARTED_MS)
      continue;
    snprintf (spec.id, sizeof spec.id, "%s", id);
    spec.started_ms = json_get_integer (o, "born", 0);
    spec.sequence = (uint64_t)json_get_integer (o, "sequence", 0);
    owner_plan_restore_departed (&k->plan, now - (age < 0 ? 0 : age), &spec,
                                 json_get_boolean (o, "left", false));
  }
  HASH_ITER (hh, k->relay.reports.departed.by_id, d, next)
  if (d->left)
    {
      memcpy (spec.id, d->id, sizeof spec.id);
      spec.started_ms = d->started_ms;
      spec.sequence = d->sequence;
      owner_plan_restore_departed (&k->plan, d->departed_ms, &spec, true);
    }
}

/* Adds the targets in the log to the plan once after an election.  They stay
   in it, even without a heartbeat, until the plan expires them.  */
static void
restore_targets (struct quorum_keeper *k, int64_t now)
{
  struct run_target_spec spec;
  const char *id;
  json_t *o;

  if (k->targets_restored || !replicated_log_has_current_state (&k->log))
    return;
  k->targets_restored = true;
  json_object_foreach (k->applied_targets, id,
                       o) if (run_target_spec_from_json (&spec, o))
      owner_plan_restore_target (&k->plan, now, &spec);
  restore_departed (k, now);
}

/* Whether the log has this incarnation of target T, with its address and
   whether it is draining.  */
static bool
is_logged (const struct quorum_keeper *k, const struct run_target_spec *t)
{
  const json_t *o = json_object_get (k->applied_targets, t->id);

  return json_get_integer (o, "born", 0) == t->started_ms
         && json_get_boolean (o, "draining", false) == t->draining
         && strcmp (json_get_text (o, "address", ""), t->address) == 0;
}

/* Up to LOG_TARGETS_MAX targets of the plan that the log does not have.  */
static json_t *
targets_to_put (const struct quorum_keeper *k)
{
  json_t *list = json_array ();

  for (uint32_t i = 0;
       i < k->plan.target_count && json_array_size (list) < LOG_TARGETS_MAX;
       i++)
    if (!is_logged (k, &k->plan.targets[i]->spec))
      json_array_append_new (
          list, run_target_spec_to_json (&k->plan.targets[i]->spec));
  return list;
}

/* The IDs of targets that the log has and the plan does not.  */
static json_t *
targets_to_drop (const struct quorum_keeper *k)
{
  json_t *list = json_array ();
  const char *id;
  json_t *o;

  json_object_foreach (k->applied_targets, id,
                       o) if (owner_plan_target (&k->plan, id) == NULL)
      json_array_append_new (list, json_from_text (id));
  return list;
}

/* What is remembered of the targets of DROP.  */
static json_t *
departed_of (const struct quorum_keeper *k, int64_t now, const json_t *drop)
{
  json_t *list = json_array ();
  json_int_t wall = now_wall_ms ();
  size_t i;
  json_t *id;

  json_array_foreach (drop, i, id)
  {
    const struct departed_target *d
        = departed_targets_find (&k->plan.departed, json_string_value (id));

    if (d != NULL)
      json_array_append_new (
          list, json_build ("{s:s s:I s:I s:b s:I}", "id", d->id, "born",
                            (json_int_t)d->started_ms, "sequence",
                            (json_int_t)d->sequence, "left", (int)d->left,
                            "at", wall - now + d->departed_ms));
  }
  return list;
}

void
entry_links_log_targets (struct quorum_keeper *k, int64_t now)
{
  uint64_t digest;
  json_t *put;
  json_t *drop;
  json_t *departed;

  if (!k->targets_restored || now - k->targets_checked_ms < CHECK_TARGETS_MS
      || k->log.applied_index < k->targets_index)
    return;
  k->targets_checked_ms = now;
  digest = owner_plan_digest (&k->plan);
  if (digest == k->targets_logged_digest
      || now - k->targets_logged_ms < LOG_TARGETS_MS)
    return;
  put = targets_to_put (k);
  drop = targets_to_drop (k);
  departed = departed_of (k, now, drop);
  if (json_array_size (put) < LOG_TARGETS_MAX)
    {
      k->targets_logged_digest = digest;
      k->targets_logged_ms = now;
    }
  quorum_keeper_propose (k,
                         json_build ("{s:s s:o s:o s:o}", "type", "targets",
                                     "put", put, "drop", drop, "departed",
                                     departed),
                         now, &k->targets_index);
}

/* When the set of dispatchers has changed, marks the entries whose subset of
   it differs from the one last sent to them, so that they get a new
   assignment.  */
static void
mark_changed_dispatchers (struct quorum_keeper *k, int64_t now)
{
  if (!k->plan.owners_changed
      || now - k->dispatchers_sent_ms < DISPATCHERS_RESEND_MS)
    return;
  k->plan.owners_changed = false;
  k->dispatchers_sent_ms = now;
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    {
      struct plan_entry *e = k->plan.entries[i];
      const struct keeper_entry_link *l = entry_links_find_or_add (k, e->vm);
      struct dispatcher_subset subset;

      dispatcher_subset_make (&k->plan, e, &subset);
      if (l != NULL && l->dispatchers_digest != subset.digest)
        e->dirty = true;
    }
}

/* Records the changes of liveness and ownership since the last call in the
   event log.  */
static void
record_plan_events (struct quorum_keeper *k, int64_t now)
{
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    {
      struct plan_entry *e = k->plan.entries[i];

      if (e->alive == e->logged_alive)
        continue;
      e->logged_alive = e->alive;
      event_ring_add (e->alive ? EVENT_ENTRY_HEARD : EVENT_ENTRY_LOST, e->vm,
                      "domain=%s silent_ms=%" PRId64 " term=%" PRIu64,
                      e->domain, now - e->last_seen_ms, k->log.term);
    }
  for (uint32_t i = 0; i < k->plan.target_count; i++)
    {
      struct plan_target *t = k->plan.targets[i];

      if (t->fencing_token == t->logged_fencing_token || t->owner[0] == '\0')
        continue;
      t->logged_fencing_token = t->fencing_token;
      event_ring_add (EVENT_OWNER_CHANGED, t->spec.id,
                      "owner=%s fence=%" PRIu64 " heard_ms_ago=%" PRId64,
                      t->owner, t->fencing_token, now - t->last_seen_ms);
    }
}

void
entry_links_update (struct quorum_keeper *k, int64_t now)
{
  restore_targets (k, now);
  owner_plan_step (&k->plan, now);
  record_plan_events (k, now);
  mark_changed_dispatchers (k, now);
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    if (k->plan.entries[i]->dirty && k->plan.entries[i]->alive)
      push_assignment (k, k->plan.entries[i], now);
  for (uint32_t i = 0; i < k->link_count; i++)
    {
      evacuation_sender_update (k, &k->links[i], now);
      send_config (k, &k->links[i], now);
    }
}
