#include "controller/target_controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/dispatch_controller.h"
#include "net/target_client.h"

enum
{
  FORWARD_TIMEOUT_MS = 1000,
  LEASE_MS_MINIMUM = 500,
  LEASE_MS_MAXIMUM = 120000,
  LEASE_MS_DEFAULT = 15000
};

static const struct json_rule announce_rules[] = {
  { "target", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "address", RULE_TEXT, true, 2, ADDRESS_BYTES - 1, NULL, NULL },
  { "port", RULE_INTEGER, true, 1, 65535, NULL, NULL },
  { "domain", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "rack", RULE_NAME, false, 1, NAME_BYTES - 1, NULL, NULL },
  { "slots", RULE_INTEGER, true, 1, 4096, NULL, NULL },
  { "connections", RULE_INTEGER, false, 1, 65536, NULL, NULL },
  { "running", RULE_INTEGER, false, 0, 65536, NULL, NULL },
  { "lease_ms", RULE_INTEGER, false, LEASE_MS_MINIMUM, LEASE_MS_MAXIMUM, NULL,
    NULL },
  { "cpus", RULE_INTEGER, false, 1, 4096, NULL, NULL },
  { "memory_mb", RULE_INTEGER, false, 1, 16777216, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

/* An announcement or leave that was forwarded to the owner.  */
struct target_forward
{
  target_answer answer;
  void *arg;
};

static void
answer_error (target_answer answer, void *arg, int status, const char *code,
              const char *message)
{
  char *text = http_error_text (code, NULL, message);

  answer (arg, status, text);
  free (text);
}

static bool
parse (const char *body, size_t length, struct target_announcement *a,
       struct json_report *r)
{
  json_t *o = json_check_parse (body, length, announce_rules, r);

  if (o == NULL)
    return false;
  memset (a, 0, sizeof *a);
  snprintf (a->name, sizeof a->name, "%s", json_get_text (o, "target", ""));
  snprintf (a->address, sizeof a->address, "%s",
            json_get_text (o, "address", ""));
  a->port = (uint16_t)json_get_integer (o, "port", 0);
  snprintf (a->domain, sizeof a->domain, "%s",
            json_get_text (o, "domain", ""));
  snprintf (a->rack, sizeof a->rack, "%s", json_get_text (o, "rack", "none"));
  a->slots = (uint32_t)json_get_integer (o, "slots", 1);
  a->connections = (uint32_t)json_get_integer (o, "connections", a->slots);
  a->running = (uint32_t)json_get_integer (o, "running", 0);
  a->lease_ms = json_get_integer (o, "lease_ms", LEASE_MS_DEFAULT);
  a->cpus = json_get_integer (o, "cpus", 0);
  a->memory_mb = json_get_integer (o, "memory_mb", 0);
  json_decref (o);
  return true;
}

/* The entry that owns target ID of DOMAIN, or NULL if none is known.  */
static const struct group_member *
owner_of (const struct entry *n, const char *domain, const char *id)
{
  const struct group *g = control_view_group (&n->view, domain);

  return g == NULL ? NULL : group_owner (g, id);
}

static bool
is_self (const struct entry *n, const struct group_member *m)
{
  return m->boot_id == n->boot_id && strcmp (m->vm, n->settings->vm) == 0;
}

static void
on_forwarded (void *arg, enum call_outcome outcome,
              const struct peer_reply *reply)
{
  struct target_forward *f = arg;
  char *text;

  if (outcome == CALL_REPLIED)
    {
      text = strndup (reply->body.data, reply->body.length);
      f->answer (f->arg, (int)reply->status, text);
      free (text);
    }
  else
    answer_error (f->answer, f->arg, 503, "owner_unreachable",
                  "the entry that owns this target did not answer");
  free (f);
}

static void
forward (struct entry *n, const char *vm, enum peer_method method,
         const char *body, size_t length, target_answer answer, void *arg)
{
  struct target_forward *f = malloc (sizeof *f);
  struct peer_message m = { .type = PEER_CALL };

  f->answer = answer;
  f->arg = arg;
  m.u.call.method = method;
  m.u.call.team = slice_of ("");
  m.u.call.key = slice_of ("");
  m.u.call.timeout_ms = FORWARD_TIMEOUT_MS;
  m.u.call.body = (struct slice){ body, (uint32_t)length };
  peer_network_call (n->network, vm, &m, FORWARD_TIMEOUT_MS, on_forwarded, f);
}

/* Parses BODY and finds the target's owner.  If that fails, answers with an
   error and returns NULL.  */
static const struct group_member *
resolve (struct entry *n, const char *body, size_t length,
         struct target_announcement *a, char *id, target_answer answer,
         void *arg)
{
  const struct group_member *owner;
  struct json_report report;

  if (!parse (body, length, a, &report))
    {
      answer_error (answer, arg, 400, "invalid_announcement", report.text);
      return NULL;
    }
  if (settings_domain_index (n->settings, a->domain) < 0)
    {
      answer_error (answer, arg, 400, "invalid_announcement",
                    "domain: names no failure domain of this system");
      return NULL;
    }
  target_table_id (id, a);
  owner = owner_of (n, a->domain, id);
  if (owner == NULL)
    answer_error (answer, arg, 503, "no_owner",
                  "no entry of the target's failure domain is known yet");
  return owner;
}

static void
answer_owner (struct entry *n, const struct target_announcement *a,
              target_answer answer, void *arg)
{
  char text[320];

  snprintf (text, sizeof text,
            "{\"owner\":\"%s\",\"owner_address\":\"%s\",\"owner_port\":%u,"
            "\"incarnation\":%" PRIu64 ",\"lease_ms\":%" PRId64 "}",
            n->settings->vm, n->settings->address, n->settings->http_port,
            n->submissions.group.incarnation, a->lease_ms);
  answer (arg, 200, text);
}

void
target_announce (struct entry *n, const char *body, size_t length,
                 bool forwarded, target_answer answer, void *arg)
{
  struct target_announcement a;
  char id[TARGET_ID_BYTES];
  const struct group_member *owner
      = resolve (n, body, length, &a, id, answer, arg);
  struct target *t;
  bool joined;

  if (owner == NULL)
    return;
  if (!is_self (n, owner))
    {
      if (forwarded)
        answer_error (answer, arg, 503, "owner_changing",
                      "the target's owner is changing");
      else
        forward (n, owner->vm, METHOD_ANNOUNCE, body, length, answer, arg);
      return;
    }
  counters_add (COUNTER_TARGET_ANNOUNCES, 1);
  t = target_table_announce (&n->targets, now_ms (), &a, &joined);
  if (t->handing_over)
    t->leaving = t->handing_over = false; /* owned by this entry again */
  if (t->client == NULL)
    t->client = target_client_new (n->base, a.address, a.port, a.connections);
  if (joined)
    event_ring_add (EVENT_TARGET_JOINED, t->id, "slots=%u rack=%s", a.slots,
                    a.rack);
  answer_owner (n, &a, answer, arg);
  dispatch_run (n);
}

void
target_leave (struct entry *n, const char *body, size_t length, bool forwarded,
              target_answer answer, void *arg)
{
  struct target_announcement a;
  char id[TARGET_ID_BYTES];
  const struct group_member *owner
      = resolve (n, body, length, &a, id, answer, arg);
  struct target *t;

  if (owner == NULL)
    return;
  if (!is_self (n, owner) && !forwarded)
    {
      forward (n, owner->vm, METHOD_LEAVE, body, length, answer, arg);
      return;
    }
  t = target_table_find (&n->targets, id);
  if (t != NULL && !t->leaving)
    {
      t->leaving = true;
      event_ring_add (EVENT_TARGET_LEAVING, t->id, "running=%u", t->in_use);
      answer_owner (n, &a, answer, arg);
      target_remove_if_unused (n, t);
      return;
    }
  answer_owner (n, &a, answer, arg);
}

static void
drop (struct entry *n, struct target *t)
{
  target_client_free (t->client);
  target_table_remove (&n->targets, t);
}

void
target_remove_if_unused (struct entry *n, struct target *t)
{
  if (t->in_use != 0 || (t->handing_over && t->lease_until_ms > now_ms ()))
    return;
  if (t->leaving || t->lease_until_ms + t->announcement.lease_ms < now_ms ())
    drop (n, t);
}

struct hand_over
{
  struct entry *entry;
  char id[TARGET_ID_BYTES];
};

static void
on_handed_over (void *arg, int status, const char *json)
{
  struct hand_over *h = arg;
  struct target *t = target_table_find (&h->entry->targets, h->id);

  (void)json;
  if (t != NULL && status == 200)
    {
      t->handing_over = false;
      target_remove_if_unused (h->entry, t);
    }
  free (h);
}

/* Announces T to its new owner VM at once, and again at each tick until VM has
   accepted it, instead of waiting for T's next announcement.  */
static void
hand_over (struct entry *n, struct target *t, const char *vm)
{
  json_t *o = json_build (
      "{s:s s:s s:i s:s s:s s:i s:i s:i s:I}", "target", t->announcement.name,
      "address", t->announcement.address, "port", (int)t->announcement.port,
      "domain", t->announcement.domain, "rack", t->announcement.rack, "slots",
      (int)t->announcement.slots, "connections",
      (int)t->announcement.connections, "running",
      (int)(t->in_use + t->reserved), "lease_ms",
      (json_int_t)t->announcement.lease_ms);
  char *body = json_encode (o);
  struct hand_over *h = malloc (sizeof *h);

  h->entry = n;
  memcpy (h->id, t->id, sizeof h->id);
  t->leaving = true;
  t->handing_over = true;
  forward (n, vm, METHOD_ANNOUNCE, body, strlen (body), on_handed_over, h);
  free (body);
  json_decref (o);
}

void
target_tick (struct entry *n, int64_t now)
{
  struct target *t;
  struct target *next;

  HASH_ITER (hh, n->targets.targets, t, next)
  {
    const struct group_member *owner
        = owner_of (n, t->announcement.domain, t->id);

    if ((!t->leaving || t->handing_over) && owner != NULL
        && !is_self (n, owner))
      hand_over (n, t, owner->vm);
    if (!t->leaving && t->lease_until_ms <= now
        && t->lease_until_ms > now - 1000 && t->in_use == 0)
      event_ring_add (EVENT_TARGET_LAPSED, t->id, "%s", "");
    target_remove_if_unused (n, t);
  }
}

void
target_drop_all (struct entry *n)
{
  struct target *t;
  struct target *next;

  HASH_ITER (hh, n->targets.targets, t, next)
  drop (n, t);
}
