#include "controller/keeper_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "coord/departed_targets.h"

static void
set_config (struct quorum_keeper *k, uint64_t version, const char *text)
{
  free (k->config_text);
  k->config_text = strdup (text);
  k->config_version = version;
}

static void
apply_config (struct quorum_keeper *k, uint64_t index, const json_t *o)
{
  uint64_t version = (uint64_t)json_get_integer (o, "version", 0);

  if (version <= k->config_version)
    {
      event_ring_add (EVENT_CONFIG_REFUSED, k->settings->name,
                      "version=%" PRIu64 " held=%" PRIu64 " index=%" PRIu64
                      " why=not_newer",
                      version, k->config_version, index);
      return;
    }
  set_config (k, version, json_get_text (o, "text", ""));
  counters_add (COUNTER_CONFIG_ACCEPTED, 1);
  event_ring_add (EVENT_CONFIG_ACCEPTED, k->settings->name,
                  "version=%" PRIu64 " index=%" PRIu64 " term=%" PRIu64,
                  version, index, k->log.term);
}

/* Replaces the known voters by LIST.  What is not a list changes nothing: an
   entry or a snapshot without one is of another program.  */
static void
set_voters (struct quorum_keeper *k, json_t *list)
{
  if (!json_is_array (list))
    {
      event_ring_add (EVENT_STATE_REFUSED, k->settings->name, "voters: %s",
                      "not a list");
      return;
    }
  json_incref (list);
  json_decref (k->applied_voters);
  k->applied_voters = list;
}

static void
put_targets (struct quorum_keeper *k, const json_t *list)
{
  size_t i;
  json_t *o;

  json_array_foreach (list, i, o)
      json_object_set (k->applied_targets, json_get_text (o, "id", ""), o);
}

/* Forgets the departed targets that are too old, and the oldest beyond the
   limit.  LATEST is the wall-clock time of the latest departure, so that all
   keepers forget the same ones.  */
static void
limit_departed (struct quorum_keeper *k, json_int_t latest)
{
  const char *id;
  void *next;
  json_t *o;

  json_object_foreach_safe (
      k->applied_departed, next, id,
      o) if (latest - json_get_integer (o, "at", 0) >= DEPARTED_MS
             || json_object_size (k->applied_departed) > DEPARTED_LIMIT)
      json_object_del (k->applied_departed, id);
}

/* Adds the departed targets of LIST, which replace older records.  */
static void
put_departed (struct quorum_keeper *k, const json_t *list)
{
  json_int_t latest = 0;
  size_t i;
  json_t *o;

  json_array_foreach (list, i, o)
  {
    const char *id = json_get_text (o, "id", "");

    json_object_del (k->applied_departed, id);
    json_object_set (k->applied_departed, id, o);
    if (json_get_integer (o, "at", 0) > latest)
      latest = json_get_integer (o, "at", 0);
  }
  limit_departed (k, latest);
}

static json_t *
departed_list (const struct quorum_keeper *k)
{
  json_t *list = json_array ();
  const char *id;
  json_t *o;

  json_object_foreach (k->applied_departed, id, o) json_array_append (list, o);
  return list;
}

/* Changes the known targets: "put" adds or replaces, "drop" removes, and
   "departed" tells what is remembered of those removed.  A
   "list", as earlier versions of this program wrote it, replaces all of them.
 */
static void
apply_targets (struct quorum_keeper *k, const json_t *o)
{
  const json_t *list = json_object_get (o, "list");
  size_t i;
  json_t *id;

  if (list != NULL)
    json_object_clear (k->applied_targets);
  put_targets (k, list);
  put_targets (k, json_object_get (o, "put"));
  json_array_foreach (json_object_get (o, "drop"), i, id)
      json_object_del (k->applied_targets, json_string_value (id));
  json_array_foreach (json_object_get (o, "put"), i, id)
      json_object_del (k->applied_departed, json_get_text (id, "id", ""));
  put_departed (k, json_object_get (o, "departed"));
}

static void
apply_evacuation (struct quorum_keeper *k, uint64_t index, const json_t *o)
{
  const char *domain = json_get_text (o, "domain", "");
  bool active = json_get_boolean (o, "active", false);
  enum evacuation_change change = evacuation_set_apply (
      &k->evacuations, index, domain, active, json_get_integer (o, "at", 0));

  if (change == EVACUATION_REFUSED)
    {
      event_ring_add (EVENT_EVACUATION_REFUSED, domain,
                      "active=%d index=%" PRIu64 " domains=%u", active, index,
                      k->evacuations.count);
      return;
    }
  counters_add (COUNTER_EVACUATION_ORDERS, 1);
  event_ring_add (active ? EVENT_EVACUATION_ORDERED : EVENT_EVACUATION_ENDED,
                  domain, "index=%" PRIu64 " repeated=%d domains=%u", index,
                  change == EVACUATION_UNCHANGED, k->evacuations.count);
}

static json_t *
targets_list (const struct quorum_keeper *k)
{
  json_t *list = json_array ();
  const char *id;
  json_t *o;

  json_object_foreach (k->applied_targets, id, o) json_array_append (list, o);
  return list;
}

void
keeper_state_apply (struct quorum_keeper *k, uint64_t index, const json_t *o)
{
  const char *type = json_get_text (o, "type", "");

  if (strcmp (type, "document") == 0)
    apply_config (k, index, o);
  else if (strcmp (type, "targets") == 0)
    apply_targets (k, o);
  else if (strcmp (type, "voters") == 0)
    set_voters (k, json_object_get (o, "list"));
  else if (strcmp (type, "evacuation") == 0)
    apply_evacuation (k, index, o);
  else
    event_ring_add (EVENT_STATE_REFUSED, k->settings->name,
                    "index=%" PRIu64 " type=%s", index, type);
}

void
keeper_state_reset (struct quorum_keeper *k)
{
  json_decref (k->applied_voters);
  k->applied_voters = json_array ();
  json_decref (k->applied_targets);
  k->applied_targets = json_object ();
  json_decref (k->applied_departed);
  k->applied_departed = json_object ();
  evacuation_set_init (&k->evacuations);
}

char *
keeper_state_snapshot (void *arg, uint32_t *length)
{
  struct quorum_keeper *k = arg;
  json_t *o = json_build (
      "{s:I s:s s:O s:o s:o s:o}", "version", (json_int_t)k->config_version,
      "text", k->config_text == NULL ? "" : k->config_text, "voters",
      k->applied_voters, "targets", targets_list (k), "departed",
      departed_list (k), "evacuations",
      evacuation_set_to_json (&k->evacuations));
  char *text;

  if (o == NULL)
    return NULL;
  text = json_encode_new (o);
  *length = (uint32_t)strlen (text);
  return text;
}

/* Replaces the evacuations by those of a snapshot.  One without them was
   written by an earlier version of this program, which does not know them; an
   evacuation must not end by that.  */
static void
load_evacuations (struct quorum_keeper *k, const json_t *o)
{
  struct evacuation_set set;

  if (o == NULL)
    return;
  if (evacuation_set_from_json (&set, o))
    k->evacuations = set;
  else
    event_ring_add (EVENT_STATE_REFUSED, k->settings->name, "evacuations: %s",
                    "malformed");
}

void
keeper_state_load (void *arg, uint64_t index, const char *data,
                   uint32_t length)
{
  struct quorum_keeper *k = arg;
  json_t *o = json_loadb (data, length, 0, NULL);
  uint64_t version = (uint64_t)json_get_integer (o, "version", 0);

  (void)index;
  if (version > k->config_version)
    set_config (k, version, json_get_text (o, "text", ""));
  set_voters (k, json_object_get (o, "voters"));
  json_object_clear (k->applied_targets);
  put_targets (k, json_object_get (o, "targets"));
  json_object_clear (k->applied_departed);
  put_departed (k, json_object_get (o, "departed"));
  load_evacuations (k, json_object_get (o, "evacuations"));
  json_decref (o);
}
