#include "controller/entry_links.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/now.h"
#include "controller/quorum_members.h"
#include "coord/dispatcher_choice.h"
#include "coord/rendezvous.h"
#include "coord/target_rows.h"

enum
{
  /* A document that an entry seems not to have taken is sent again.  */
  DOCUMENT_AGAIN_MS = 500,

  /* The known targets go into the log at most so often, so that a new leader
     need not wait for their heartbeats when the entries have lost theirs.  */
  LOG_TARGETS_MS = 1500,
  CHECK_TARGETS_MS = 250,

  /* Targets in one entry of the log.  */
  LOG_TARGETS_MOST = 200,

  /* Changes of the set of dispatchers are told at most so often.  */
  DISPATCHERS_AGAIN_MS = 100
};

void
entry_links_ask (struct quorum_keeper *k, const struct keeper_entry_link *l)
{
  struct peer_message m = { .type = PEER_ENTRY_VIEW };

  m.u.entry_view.term = k->log.term;
  m.u.entry_view.text = slice_of ("");
  peer_conn_send (l->conn, &m);
}

struct keeper_entry_link *
entry_links_find (struct quorum_keeper *k, const char *vm)
{
  for (uint32_t i = 0; i < k->link_count; i++)
    if (strcmp (k->links[i].vm, vm) == 0)
      return &k->links[i];
  if (k->link_count == PLAN_ENTRY_LIMIT)
    return NULL;
  memset (&k->links[k->link_count], 0, sizeof k->links[0]);
  snprintf (k->links[k->link_count].vm, NAME_BYTES, "%s", vm);
  return &k->links[k->link_count++];
}

static void
send_document (struct quorum_keeper *k, struct keeper_entry_link *l,
               int64_t now)
{
  struct peer_message m = { .type = PEER_DOCUMENT };

  if (l->conn == NULL || l->document_version >= k->document_version)
    return;
  m.u.document = (struct peer_document){ k->document_version,
                                         slice_of (k->config_text) };
  if (!peer_conn_send (l->conn, &m))
    return;
  l->document_version = k->document_version;
  l->config_sent_ms = now;
}

/* Tells an entry of the keepers that vote: any of them may come to lead, and
   the entry's seeds need not be among them.  */
static void
tell_keepers (struct quorum_keeper *k, struct keeper_entry_link *l)
{
  struct peer_message m = { .type = PEER_KEEPERS };
  const char *voters[REPORTED_VOTER_LIMIT];
  uint32_t count = quorum_members_voters (k, voters, REPORTED_VOTER_LIMIT);
  uint64_t digest = 1;
  json_t *array;
  char *text;

  for (uint32_t i = 0; i < count; i++)
    digest += rendezvous_weight ("", voters[i]);
  if (digest == l->keepers_digest)
    return;
  array = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, json_string (voters[i]));
  text = json_dumps (array, JSON_COMPACT);
  m.u.keepers.text = slice_of (text);
  if (peer_conn_send (l->conn, &m))
    l->keepers_digest = digest;
  free (text);
  json_decref (array);
}

static void
take_rows (struct quorum_keeper *k, int64_t now, struct plan_entry *e,
           struct slice text)
{
  json_t *rows = json_loadb (text.data, text.length, 0, NULL);
  struct run_target_spec spec;
  size_t i;
  json_t *o;

  json_array_foreach (rows, i, o) if (run_target_spec_from_json (&spec, o))
      owner_plan_hear_owned (
          &k->plan, now, e, &spec, (uint64_t)json_get_integer (o, "fence", 0),
          (enum owned_state)json_get_integer (o, "state", OWNED_HELD));
  json_decref (rows);
  e->reported = true;
}

void
entry_links_receive_beat (struct quorum_keeper *k, struct peer_conn *from,
                          const struct peer_entry_beat *b)
{
  struct keeper_entry_link *l = entry_links_find (k, from->vm);
  int64_t now = now_ms ();
  char domain[NAME_BYTES];
  struct plan_entry *e;

  if (l == NULL || !slice_copy (b->domain, domain, sizeof domain))
    return;
  if (l->conn != from)
    {
      if (l->conn != NULL)
        peer_conn_release (l->conn);
      l->conn = peer_conn_hold (from);
      l->view_number = 0;
      l->document_version = b->document_version;
      l->keepers_digest = 0;
      l->dispatchers_digest = 0;
    }
  tell_keepers (k, l);
  if (now - l->config_sent_ms > DOCUMENT_AGAIN_MS)
    {
      l->document_version = b->document_version;
      send_document (k, l, now);
    }
  if (!quorum_keeper_leads (k))
    return;
  e = owner_plan_hear_entry (&k->plan, now,
                             &(struct entry_word){ from->vm, domain,
                                                   b->boot_id, b->leaving != 0,
                                                   b->fresh != 0 });
  if (e == NULL)
    return;
  if (b->targets.length != 0 && b->view_term == k->log.term)
    take_rows (k, now, e, b->targets);
  else if (!e->reported)
    entry_links_ask (k, l);
  if (b->view_term != k->log.term || b->view_number < l->view_number)
    {
      l->dispatchers_digest = 0;
      e->dirty = true;
    }
}

static void
send_view (struct quorum_keeper *k, struct keeper_entry_link *l,
           const char *text)
{
  struct peer_message m = { .type = PEER_ENTRY_VIEW };

  l->view_number = ++k->assignment_counter;
  m.u.entry_view = (struct peer_entry_view){ k->log.term, l->view_number,
                                             slice_of (text) };
  peer_conn_send (l->conn, &m);
}

/* The dispatchers of C; left out of a view where the entry has them.  */
static void
append_dispatchers (const struct dispatcher_choice *c, json_t *view)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < c->count; i++)
    json_array_append_new (array,
                           json_pack ("{s:s s:s}", "vm", c->entries[i]->vm,
                                      "domain", c->entries[i]->domain));
  json_object_set_new (view, "dispatchers", array);
}

static void
append_targets (const struct quorum_keeper *k, const char *vm, json_t *view)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < k->plan.target_count; i++)
    {
      const struct plan_target *t = k->plan.targets[i];
      json_t *o;

      if (strcmp (t->owner, vm) != 0)
        continue;
      o = run_target_spec_to_json (&t->spec);
      json_object_set_new (o, "fence", json_integer ((json_int_t)t->fence));
      json_object_set_new (o, "release", json_boolean (t->release));
      json_array_append_new (array, o);
    }
  json_object_set_new (view, "targets", array);
}

static void
push_view (struct quorum_keeper *k, struct plan_entry *e)
{
  struct keeper_entry_link *l = entry_links_find (k, e->vm);
  struct dispatcher_choice c;
  json_t *view;
  char *text;

  if (l == NULL || l->conn == NULL || !e->reported)
    return;
  dispatcher_choice_make (&k->plan, e, &c);
  view = json_object ();
  if (c.digest != l->dispatchers_digest)
    append_dispatchers (&c, view);
  l->dispatchers_digest = c.digest;
  append_targets (k, e->vm, view);
  text = json_dumps (view, JSON_COMPACT);
  send_view (k, l, text);
  event_ring_add (EVENT_VIEW_SENT, e->vm,
                  "term=%" PRIu64 " number=%" PRIu64 " targets=%u",
                  k->log.term, l->view_number, e->owned);
  free (text);
  json_decref (view);
  e->dirty = false;
}

/* Takes the targets that the log knows of for present until they are silent
   for long.  */
static void
recall_targets (struct quorum_keeper *k, int64_t now)
{
  struct run_target_spec spec;
  const char *id;
  json_t *o;

  if (k->targets_recalled || !quorum_keeper_knows_committed (k))
    return;
  k->targets_recalled = true;
  json_object_foreach (k->applied_targets, id,
                       o) if (run_target_spec_from_json (&spec, o))
      owner_plan_recall_target (&k->plan, now, &spec);
}

/* Whether the log knows the life of a target that T is, and that it leaves. */
static bool
is_logged (const struct quorum_keeper *k, const struct run_target_spec *t)
{
  const json_t *o = json_object_get (k->applied_targets, t->id);

  return json_get_integer (o, "born", 0) == t->born_ms
         && json_get_boolean (o, "draining", false) == t->draining
         && strcmp (json_get_text (o, "address", ""), t->address) == 0;
}

/* The targets of the plan that the log does not know, up to
   LOG_TARGETS_MOST.  */
static json_t *
targets_to_put (const struct quorum_keeper *k)
{
  json_t *list = json_array ();

  for (uint32_t i = 0;
       i < k->plan.target_count && json_array_size (list) < LOG_TARGETS_MOST;
       i++)
    if (!is_logged (k, &k->plan.targets[i]->spec))
      json_array_append_new (
          list, run_target_spec_to_json (&k->plan.targets[i]->spec));
  return list;
}

/* The ids of targets that the log knows and the plan does not.  */
static json_t *
targets_to_drop (const struct quorum_keeper *k)
{
  json_t *list = json_array ();
  const char *id;
  json_t *o;

  json_object_foreach (k->applied_targets, id,
                       o) if (owner_plan_target (&k->plan, id) == NULL)
      json_array_append_new (list, json_string (id));
  return list;
}

void
entry_links_log_targets (struct quorum_keeper *k, int64_t now)
{
  uint64_t digest;
  json_t *put;
  json_t *drop;

  if (!k->targets_recalled || now - k->targets_checked_ms < CHECK_TARGETS_MS
      || k->log.applied_index < k->targets_index)
    return;
  k->targets_checked_ms = now;
  digest = owner_plan_digest (&k->plan);
  if (digest == k->targets_logged_digest
      || now - k->targets_logged_ms < LOG_TARGETS_MS)
    return;
  put = targets_to_put (k);
  drop = targets_to_drop (k);
  if (json_array_size (put) < LOG_TARGETS_MOST)
    {
      k->targets_logged_digest = digest;
      k->targets_logged_ms = now;
    }
  quorum_keeper_propose (
      k,
      json_pack ("{s:s s:o s:o}", "type", "targets", "put", put, "drop", drop),
      now, &k->targets_index);
}

/* Has the entries told of a changed set of dispatchers, those whose own
   choice has changed.  */
static void
spread_dispatchers (struct quorum_keeper *k, int64_t now)
{
  if (!k->plan.owners_changed
      || now - k->dispatchers_sent_ms < DISPATCHERS_AGAIN_MS)
    return;
  k->plan.owners_changed = false;
  k->dispatchers_sent_ms = now;
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    {
      struct plan_entry *e = k->plan.entries[i];
      const struct keeper_entry_link *l = entry_links_find (k, e->vm);
      struct dispatcher_choice c;

      dispatcher_choice_make (&k->plan, e, &c);
      if (l != NULL && l->dispatchers_digest != c.digest)
        e->dirty = true;
    }
}

/* Logs what the plan has come to believe and decided since the last time.  */
static void
log_plan (struct quorum_keeper *k, int64_t now)
{
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    {
      struct plan_entry *e = k->plan.entries[i];

      if (e->alive == e->told_alive)
        continue;
      e->told_alive = e->alive;
      event_ring_add (e->alive ? EVENT_ENTRY_HEARD : EVENT_ENTRY_LOST, e->vm,
                      "domain=%s silent_ms=%" PRId64 " term=%" PRIu64,
                      e->domain, now - e->heard_ms, k->log.term);
    }
  for (uint32_t i = 0; i < k->plan.target_count; i++)
    {
      struct plan_target *t = k->plan.targets[i];

      if (t->fence == t->told_fence || t->owner[0] == '\0')
        continue;
      t->told_fence = t->fence;
      event_ring_add (EVENT_OWNER_CHANGED, t->spec.id,
                      "owner=%s fence=%" PRIu64 " heard_ms_ago=%" PRId64,
                      t->owner, t->fence, now - t->heard_ms);
    }
}

void
entry_links_lead (struct quorum_keeper *k, int64_t now)
{
  recall_targets (k, now);
  owner_plan_step (&k->plan, now);
  log_plan (k, now);
  spread_dispatchers (k, now);
  for (uint32_t i = 0; i < k->plan.entry_count; i++)
    if (k->plan.entries[i]->dirty && k->plan.entries[i]->alive)
      push_view (k, k->plan.entries[i]);
  for (uint32_t i = 0; i < k->link_count; i++)
    send_document (k, &k->links[i], now);
}
