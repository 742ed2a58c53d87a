#include "controller/entry_assignment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "coord/run_target_json.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  REPLY_BYTES = 64
};

/* The targets assigned to this entry with their fencing tokens and states, as
   a JSON list for the leader.  Its last element is the processor and load of
   this VM; a keeper of the earlier program skips it, as it has no ID, but
   would refuse a message with a further field.  The caller frees it.  */
static char *
owned_targets_text (const struct job_entry *n)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < n->target_count; i++)
    {
      const struct owned_target *t = &n->targets[i];
      json_t *o = run_target_spec_to_json (&t->spec);

      json_object_set_new (o, "fence",
                           json_integer ((json_int_t)t->fencing_token));
      json_object_set_new (
          o, "state",
          json_integer (dispatcher_owned_state (&n->dispatcher, t)));
      json_array_append_new (array, o);
    }
  if (n->settings->cpu_milli != 0)
    json_array_append_new (
        array, json_build ("{s:I s:b s:I}", "vm_cpu_milli",
                           (json_int_t)n->settings->cpu_milli, "vm_short",
                           (int)n->load.is_short, "vm_used_percent",
                           (json_int_t)n->load.used_percent));
  return json_encode_new (array);
}

void
entry_assignment_send_heartbeat (struct job_entry *n, int64_t now)
{
  bool send_targets
      = n->targets_changed || n->targets_sent_term != n->assignment_term;
  char *targets = send_targets ? owned_targets_text (n) : NULL;
  struct peer_message m = { .type = PEER_ENTRY_HEARTBEAT };

  m.u.entry_heartbeat = (struct peer_entry_heartbeat){
    .boot_id = n->boot_id,
    .assignment_term = n->assignment_term,
    .assignment_number = n->assignment_number,
    .config_version = n->config.version,
    .leaving = n->leaving,
    .unassigned = !n->had_assignment,
    .domain = slice_of (n->settings->peer.domain),
    .targets = slice_of (targets == NULL ? "" : targets),
  };
  for (uint32_t i = 0; i < n->keeper_count; i++)
    peer_network_send (n->network, n->keepers[i], &m);
  free (targets);
  n->targets_changed = false;
  n->targets_sent_term = n->assignment_term;
  n->last_heartbeat_ms = now;
}

static bool
is_seed (const struct job_entry *n, const char *address)
{
  for (uint32_t i = 0; i < n->settings->seed_count; i++)
    if (strcmp (n->settings->seeds[i].address, address) == 0)
      return true;
  return false;
}

/* Makes space for another keeper: removes the one that was added first, but no
   seed and not FROM, whose message is being handled.  */
static void
evict_keeper (struct job_entry *n, const char *from)
{
  uint32_t i = 0;

  while (is_seed (n, n->keepers[i]) || strcmp (n->keepers[i], from) == 0)
    i++;
  peer_network_remove (n->network, n->keepers[i]);
  n->keeper_count--;
  memmove (n->keepers[i], n->keepers[i + 1],
           (n->keeper_count - i) * sizeof n->keepers[0]);
}

static void
connect_keeper (struct job_entry *n, const char *address, const char *from)
{
  for (uint32_t i = 0; i < n->keeper_count; i++)
    if (strcmp (n->keepers[i], address) == 0)
      return;
  if (n->keeper_count == ENTRY_KEEPER_LIMIT)
    evict_keeper (n, from);
  snprintf (n->keepers[n->keeper_count++], NAME_BYTES, "%s", address);
  peer_network_connect_address (n->network, address,
                                n->settings->peer.peer_port);
}

void
entry_assignment_receive_keepers (struct job_entry *n, const char *from,
                                  struct slice text)
{
  json_t *array = json_loadb (text.data, text.length, 0, NULL);
  size_t i;
  json_t *o;

  json_array_foreach (array, i, o) if (json_is_string (o))
      connect_keeper (n, json_string_value (o), from);
  json_decref (array);
}

/* Retains the dispatchers of OLD that have jobs of this entry, but marks them
   retired so that they get no new ones.  Without messages from this entry they
   would cancel its jobs.  */
static void
retain_busy (struct job_entry *n, const struct route_dispatcher *old,
             uint32_t old_count)
{
  uint32_t count = n->dispatcher_count;

  for (uint32_t i = 0; i < old_count; i++)
    {
      bool skip = !job_entry_has_jobs_at (n, old[i].vm);

      for (uint32_t k = 0; k < count && !skip; k++)
        skip = strcmp (n->dispatchers[k].vm, old[i].vm) == 0;
      if (skip || n->dispatcher_count == ENTRY_DISPATCHER_LIMIT)
        continue;
      n->dispatchers[n->dispatcher_count] = old[i];
      n->dispatchers[n->dispatcher_count].retired = true;
      n->dispatchers[n->dispatcher_count++].capacity_count = 0;
    }
}

/* Replaces the dispatchers by those of ASSIGNMENT.  Those that stay keep the
   free capacity that they last reported.  */
static void
apply_dispatchers (struct job_entry *n, const json_t *assignment)
{
  const json_t *array = json_object_get (assignment, "dispatchers");
  struct route_dispatcher *old
      = malloc ((n->dispatcher_count + 1) * sizeof *old);
  uint32_t old_count = n->dispatcher_count;
  size_t i;
  json_t *o;

  memcpy (old, n->dispatchers, old_count * sizeof *old);
  n->dispatcher_count = 0;
  json_array_foreach (array, i, o)
  {
    struct route_dispatcher *d = &n->dispatchers[n->dispatcher_count];
    const char *vm = json_get_text (o, "vm", "");

    if (n->dispatcher_count == ENTRY_DISPATCHER_LIMIT || vm[0] == '\0')
      break;
    memset (d, 0, sizeof *d);
    for (uint32_t k = 0; k < old_count; k++)
      if (strcmp (old[k].vm, vm) == 0)
        *d = old[k];
    d->retired = false;
    snprintf (d->vm, sizeof d->vm, "%s", vm);
    snprintf (d->domain, sizeof d->domain, "%s",
              json_get_text (o, "domain", ""));
    n->dispatcher_count++;
    if (strcmp (vm, n->settings->peer.vm) != 0)
      {
        peer_network_connect_address (n->network, vm,
                                      n->settings->peer.peer_port);
        d->reachable = peer_network_is_up (n->network, vm);
      }
  }
  retain_busy (n, old, old_count);
  free (old);
}

static void
apply_targets (struct job_entry *n, int64_t now, const json_t *assignment)
{
  const json_t *array = json_object_get (assignment, "targets");
  size_t i;
  json_t *o;

  free (n->targets);
  n->targets = calloc (json_array_size (array) + 1, sizeof *n->targets);
  n->target_count = 0;
  json_array_foreach (array, i, o)
  {
    struct owned_target *t = &n->targets[n->target_count];

    if (!run_target_spec_from_json (&t->spec, o))
      continue;
    t->fencing_token = (uint64_t)json_get_integer (o, "fence", 0);
    t->release = json_get_boolean (o, "release", false);
    run_target_cold_from_json (&t->spec, o, now);
    n->target_count++;
  }
  dispatcher_set_targets (&n->dispatcher, now, n->targets, n->target_count);
}

static bool
is_newer_assignment (const struct job_entry *n,
                     const struct peer_assignment *a)
{
  return a->term > n->assignment_term
         || (a->term == n->assignment_term
             && a->number > n->assignment_number);
}

void
entry_assignment_receive (struct job_entry *n, int64_t now, const char *from,
                          const struct peer_assignment *a)
{
  json_t *assignment;

  if (a->term >= n->assignment_term)
    {
      n->assignment_received_ms = now;
      if (strcmp (n->leader, from) != 0)
        {
          /* What the earlier leader had not passed on may be lost with it. */
          withdrawn_feed_reset (&n->withdrawn_feed);
          n->withdrawn_tries = 0;
        }
      snprintf (n->leader, sizeof n->leader, "%s", from);
    }
  if (a->text.length == 0 && a->term >= n->assignment_term)
    {
      /* A new leader requests the owned targets before it assigns any.  */
      if (a->term > n->assignment_term)
        n->assignment_number = 0;
      n->assignment_term = a->term;
      n->targets_changed = true;
      entry_assignment_send_heartbeat (n, now);
      return;
    }
  if (!is_newer_assignment (n, a))
    return;
  assignment = json_loadb (a->text.data, a->text.length, 0, NULL);
  if (assignment == NULL)
    {
      event_ring_add (EVENT_PEER_REFUSED, from, "assignment is not JSON");
      return;
    }
  n->assignment_term = a->term;
  n->assignment_number = a->number;
  n->had_assignment = true;
  if (json_object_get (assignment, "dispatchers") != NULL)
    apply_dispatchers (n, assignment);
  apply_targets (n, now, assignment);
  json_decref (assignment);
  counters_add (COUNTER_VIEWS_TAKEN, 1);
  event_ring_add (EVENT_VIEW_TAKEN, from,
                  "term=%" PRIu64 " number=%" PRIu64
                  " targets=%u dispatchers=%u",
                  a->term, a->number, n->target_count, n->dispatcher_count);
}

void
entry_assignment_receive_config (struct job_entry *n, const char *from,
                                 const struct peer_service_config *m)
{
  struct service_config config;
  struct error e;

  if (m->version <= n->config.version)
    return;
  service_config_init (&config);
  if (!n->decode (m->text.data, m->text.length, &config, &e))
    {
      event_ring_add (EVENT_CONFIG_REFUSED, from, "version=%" PRIu64 " %s",
                      m->version, e.message);
      service_config_done (&config);
      return;
    }
  event_ring_add (EVENT_CONFIG_IN_FORCE, from,
                  "version=%" PRIu64 " before=%" PRIu64 " queues=%u",
                  m->version, n->config.version, config.queue_count);
  service_config_done (&n->config);
  n->config = config;
  service_priorities_set (&n->dispatcher.scheduler.priorities, config.queues,
                          config.queue_count);
}

void
entry_assignment_receive_evacuations (struct job_entry *n, int64_t now,
                                      struct peer_conn *from,
                                      const struct peer_call *c)
{
  json_t *o = json_loadb (c->body.data, c->body.length, 0, NULL);
  struct evacuation_set set;
  bool valid = evacuation_set_from_json (&set, o);
  char reply[REPLY_BYTES];

  json_decref (o);
  if (!valid)
    {
      event_ring_add (EVENT_PEER_REFUSED, from->vm,
                      "set of evacuated domains is malformed");
      peer_conn_reply (from, c->id, STATUS_BAD_REQUEST, "");
      return;
    }
  if (dispatcher_set_evacuations (&n->dispatcher, now, &set))
    event_ring_add (EVENT_EVACUATION_IN_FORCE, from->vm,
                    "version=%" PRIu64 " domains=%u first=%s", set.version,
                    set.count, set.count == 0 ? "-" : set.list[0].domain);
  snprintf (reply, sizeof reply, "{\"version\":%" PRIu64 "}",
            n->dispatcher.evacuations.version);
  peer_conn_reply (from, c->id, STATUS_OK, reply);
}

uint32_t
entry_assignment_count_released (const struct job_entry *n)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < n->target_count; i++)
    count += dispatcher_owned_state (&n->dispatcher, &n->targets[i])
             != OWNED_HELD;
  return count;
}

void
job_entry_connect_seeds (struct job_entry *n)
{
  for (uint32_t i = 0; i < n->settings->seed_count; i++)
    connect_keeper (n, n->settings->seeds[i].address, "");
}
