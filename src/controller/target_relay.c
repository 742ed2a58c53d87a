#include "controller/target_relay.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/entry_links.h"
#include "controller/quorum_keeper.h"
#include "coord/run_target_json.h"

enum
{
  BATCH_MS = 100,

  /* The most descriptions of targets in one batch: a new leader gets all of
     them over several batches.  */
  BATCH_MAX_SPECS = 128,

  /* How often the leader is told which entries this keeper hears.  */
  ENTRIES_MS = 500,

  /* Below the 1 s after which a target considers its heartbeat lost.  */
  CALL_TIMEOUT_MS = 700,

  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503
};

/* A call that forwards one target's message to the leader.  */
struct relay_call
{
  struct target_relay *relay;
  uint64_t term;
  bool leaves;
  struct run_target_spec spec;
  relay_done done;
  void *arg;
};

/* The descriptions in a batch that was sent to the leader.  */
struct relay_batch
{
  struct target_relay *relay;
  uint64_t term;
  uint32_t count;
  struct run_target_spec specs[BATCH_MAX_SPECS];
};

void
target_relay_init (struct target_relay *r, struct quorum_keeper *k)
{
  memset (r, 0, sizeof *r);
  r->keeper = k;
  target_reports_init (&r->reports);
}

void
target_relay_done (struct target_relay *r)
{
  target_reports_done (&r->reports);
}

static void
call_leader (struct target_relay *r, const char *leader, const json_t *body,
             call_done done, void *arg)
{
  struct peer_message m = { .type = PEER_CALL };
  char *text = json_encode (body);

  m.u.call = (struct peer_call){ .method = METHOD_TARGET_REPORTS,
                                 .team = slice_of (""),
                                 .key = slice_of (""),
                                 .timeout_ms = CALL_TIMEOUT_MS,
                                 .body = slice_of (text) };
  peer_network_call (r->keeper->network, leader, &m, CALL_TIMEOUT_MS, done,
                     arg);
  free (text);
}

static bool
is_accepted (enum call_outcome outcome, const struct peer_reply *reply)
{
  return outcome == CALL_REPLIED && reply->status == STATUS_OK;
}

static void
on_call_done (void *arg, enum call_outcome outcome,
              const struct peer_reply *reply)
{
  struct relay_call *c = arg;
  bool delivered = is_accepted (outcome, reply);

  if (delivered && c->leaves)
    target_reports_remove (&c->relay->reports, now_ms (), c->spec.id);
  else if (delivered)
    target_reports_acknowledge (&c->relay->reports, &c->spec, c->term);
  else
    event_ring_add (EVENT_TARGET_NOT_RELAYED, c->spec.id,
                    "outcome=%d leaves=%d term=%" PRIu64, (int)outcome,
                    c->leaves, c->term);
  c->done (c->arg, delivered);
  free (c);
}

/* Sends LEADER the new description of a target, or that it LEAVES.  */
static void
send_one (struct target_relay *r, const struct keeper_peer *leader,
          const struct run_target_spec *spec, bool leaves, relay_done done,
          void *arg)
{
  struct relay_call *c;
  json_t *o = leaves ? NULL : run_target_spec_to_json (spec);
  json_t *body = leaves ? json_build ("{s:[s]}", "left", spec->id)
                        : json_build ("{s:[O]}", "whole", o);

  run_target_cold_to_json (o, spec, now_ms ());
  json_decref (o);

  if (body == NULL)
    {
      done (arg, false);
      return;
    }
  c = calloc (1, sizeof *c);
  *c = (struct relay_call){ r, leader->term, leaves, *spec, done, arg };
  call_leader (r, leader->member.address, body, on_call_done, c);
  json_decref (body);
}

/* Records whether the heartbeat SPEC is older than its target's departure; it
   is acknowledged and changes nothing.  */
static void
note_stale (const struct target_relay *r, int64_t now,
            const struct run_target_spec *spec)
{
  const struct departed_targets *d = quorum_keeper_leads (r->keeper)
                                         ? &r->keeper->plan.departed
                                         : &r->reports.departed;

  if (!departed_targets_is_stale (d, now, spec))
    return;
  counters_add (COUNTER_HEARTBEATS_STALE, 1);
  event_ring_add (EVENT_HEARTBEAT_STALE, spec->id,
                  "born=%" PRId64 " seq=%" PRIu64 " draining=%d",
                  spec->started_ms, spec->sequence, spec->draining);
}

void
target_relay_handle_heartbeat (struct target_relay *r, int64_t now,
                               const struct run_target_spec *spec,
                               relay_done done, void *arg)
{
  const struct keeper_peer *leader;

  counters_add (COUNTER_HEARTBEATS, 1);
  note_stale (r, now, spec);
  if (quorum_keeper_leads (r->keeper))
    {
      quorum_keeper_update_target (r->keeper, now, spec);
      done (arg, true);
      return;
    }
  leader = quorum_keeper_leading_peer (r->keeper);
  if (leader == NULL || r->keeper->stopping)
    done (arg, false);
  else if (target_reports_receive (&r->reports, now, spec, leader->term))
    done (arg, true);
  else
    send_one (r, leader, spec, false, done, arg);
}

void
target_relay_handle_leave (struct target_relay *r, const char *id,
                           relay_done done, void *arg)
{
  const struct keeper_peer *leader;
  struct run_target_spec spec = { .id = "" };

  if (quorum_keeper_leads (r->keeper))
    {
      quorum_keeper_remove_target (r->keeper, id);
      done (arg, true);
      return;
    }
  leader = quorum_keeper_leading_peer (r->keeper);
  if (leader == NULL || strlen (id) >= sizeof spec.id)
    {
      done (arg, false);
      return;
    }
  memcpy (spec.id, id, strlen (id) + 1);
  send_one (r, leader, &spec, true, done, arg);
}

/* Handles the leader's reply: the IDs of targets that it does not know.  Their
   full descriptions go into the next batch.  */
static void
apply_unknown (struct target_relay *r, struct slice text)
{
  json_t *array = json_loadb (text.data, text.length, 0, NULL);
  size_t i;
  json_t *o;

  json_array_foreach (array, i, o) if (json_is_string (o))
      target_reports_mark_unknown (&r->reports, json_string_value (o));
  json_decref (array);
}

static void
on_batch_done (void *arg, enum call_outcome outcome,
               const struct peer_reply *reply)
{
  struct relay_batch *b = arg;
  struct target_relay *r = b->relay;

  r->batch_pending = false;
  if (is_accepted (outcome, reply))
    {
      for (uint32_t i = 0; i < b->count; i++)
        target_reports_acknowledge (&r->reports, &b->specs[i], b->term);
      apply_unknown (r, reply->body);
    }
  else if (outcome != CALL_NOT_SENT)
    event_ring_add (EVENT_TARGET_NOT_RELAYED, "",
                    "outcome=%d batch=%u term=%" PRIu64, (int)outcome,
                    b->count, b->term);
  free (b);
}

/* Adds to FULL_SPECS the full description of T, which B records, or to
   HEARTBEATS its ID and the age of its last heartbeat, whichever the leader of
   B needs.  */
static void
add_to_batch (struct relay_batch *b, struct target_report *t,
              json_t *full_specs, json_t *heartbeats, int64_t now)
{
  json_t *o;

  switch (target_reports_due (t, b->term))
    {
    case REPORT_NONE:
      return;
    case REPORT_HEARTBEAT:
      json_array_append_new (heartbeats, json_from_text (t->spec.id));
      json_array_append_new (heartbeats, json_integer (now - t->last_seen_ms));
      break;
    case REPORT_FULL:
      if (b->count == BATCH_MAX_SPECS)
        return;
      o = run_target_spec_to_json (&t->spec);
      run_target_cold_to_json (o, &t->spec, now);
      json_object_set_new (o, "age", json_integer (now - t->last_seen_ms));
      json_array_append_new (full_specs, o);
      b->specs[b->count++] = t->spec;
      break;
    }
  t->seen_since_batch = false;
}

/* Adds to BODY the entries that this keeper hears, if that is due.  Returns
   whether there are any.  */
static bool
add_entries (struct target_relay *r, json_t *body, int64_t now)
{
  json_t *list;

  if (now - r->entries_sent_ms < ENTRIES_MS)
    return false;
  r->entries_sent_ms = now;
  list = entry_links_contacted (r->keeper, now);
  json_object_set_new (body, "entries", list);
  return json_array_size (list) != 0;
}

static void
send_batch (struct target_relay *r, const struct keeper_peer *leader,
            int64_t now)
{
  struct relay_batch *b = malloc (sizeof *b);
  json_t *full_specs = json_array ();
  json_t *heartbeats = json_array ();
  json_t *body
      = json_build ("{s:o s:o}", "whole", full_specs, "heard", heartbeats);
  struct target_report *t;
  struct target_report *next;
  bool has_entries = add_entries (r, body, now);

  b->relay = r;
  b->term = leader->term;
  b->count = 0;
  HASH_ITER (hh, r->reports.by_id, t, next)
  add_to_batch (b, t, full_specs, heartbeats, now);
  if (b->count != 0 || json_array_size (heartbeats) != 0 || has_entries)
    {
      r->batch_pending = true;
      call_leader (r, leader->member.address, body, on_batch_done, b);
    }
  else
    free (b);
  json_decref (body);
}

void
target_relay_tick (struct target_relay *r, int64_t now)
{
  const struct keeper_peer *leader;

  if (r->batch_pending || now - r->last_batch_ms < BATCH_MS)
    return;
  r->last_batch_ms = now;
  target_reports_expire (&r->reports, now);
  leader = quorum_keeper_leading_peer (r->keeper);
  if (leader != NULL)
    send_batch (r, leader, now);
}

/* Applies HEARTBEATS, which alternates IDs and ages in ms.  Returns the IDs
   that are not known here.  */
static json_t *
apply_heartbeats (struct quorum_keeper *k, int64_t now,
                  const json_t *heartbeats)
{
  json_t *unknown = json_array ();

  for (size_t i = 0; i + 1 < json_array_size (heartbeats); i += 2)
    {
      const char *id = json_string_value (json_array_get (heartbeats, i));
      int64_t age = json_integer_value (json_array_get (heartbeats, i + 1));

      if (id != NULL && !owner_plan_refresh_target (&k->plan, now - age, id))
        json_array_append_new (unknown, json_from_text (id));
    }
  return unknown;
}

/* Applies a batch or a single message of another keeper.  Returns the IDs of
   unknown targets as a JSON list, which the caller frees.  */
static char *
apply_reports (struct quorum_keeper *k, int64_t now, const json_t *body)
{
  struct run_target_spec spec;
  json_t *unknown;
  char *text;
  size_t i;
  json_t *o;

  json_array_foreach (json_object_get (body, "whole"), i,
                      o) if (run_target_spec_from_json (&spec, o))
  {
    run_target_cold_from_json (&spec, o, now);
    quorum_keeper_update_target (k, now - json_get_integer (o, "age", 0),
                                 &spec);
  }
  json_array_foreach (json_object_get (body, "left"), i,
                      o) if (json_is_string (o))
      quorum_keeper_remove_target (k, json_string_value (o));
  entry_links_receive_contacted (k, now, json_object_get (body, "entries"));
  unknown = apply_heartbeats (k, now, json_object_get (body, "heard"));
  text = json_encode_new (unknown);
  return text;
}

void
target_relay_handle_call (struct target_relay *r, int64_t now,
                          struct peer_conn *from, const struct peer_call *c)
{
  bool leads = quorum_keeper_leads (r->keeper);
  json_t *body = json_loadb (c->body.data, c->body.length, 0, NULL);
  char *text = leads ? apply_reports (r->keeper, now, body) : NULL;

  peer_conn_reply (from, c->id, leads ? STATUS_OK : STATUS_UNAVAILABLE,
                   text == NULL ? "" : text);
  free (text);
  json_decref (body);
}
