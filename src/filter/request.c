#include "filter/request.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"

enum
{
  REFUSAL_BYTES = 4200
};

static const request_filter caller_chain[]
    = { filter_authenticate, filter_parse,  filter_home,
        filter_idempotency,  filter_kinds,  filter_quota,
        filter_admission,    filter_accept, NULL };

static const request_filter forwarded_chain[]
    = { filter_parse,     filter_idempotency, filter_kinds, filter_quota,
        filter_admission, filter_accept,      NULL };

struct request *
request_new (struct entry *n, const char *body, size_t length)
{
  struct request *r = calloc (1, sizeof *r);

  r->references = 1;
  r->entry = n;
  r->body = body;
  r->body_length = length;
  r->begun_ms = now_ms ();
  return r;
}

struct request *
request_hold (struct request *r)
{
  r->references++;
  return r;
}

void
request_release (struct request *r)
{
  if (--r->references != 0)
    return;
  json_decref (r->root);
  json_decref (r->tasks);
  free (r->canonical_text);
  if (r->submission != NULL)
    submission_release (r->submission);
  if (r->call != NULL)
    http_call_release (r->call);
  if (r->from != NULL)
    peer_conn_release (r->from);
  free (r->allocated_body);
  free (r);
}

static void
answer_caller (struct request *r, int status, const char *json)
{
  const struct group *g = &r->entry->submissions.group;
  char prefix[KEY_BYTES];

  submission_key_prefix (prefix, sizeof prefix, g->domain, g->incarnation,
                         now_wall_ms ());
  if (g->incarnation != 0)
    http_call_set_header (r->call, "Ragwort-Key-Prefix", prefix);
  http_call_answer (r->call, status, json);
}

void
request_answer (struct request *r, int status, const char *json)
{
  if (r->call != NULL)
    answer_caller (r, status, json);
  else
    peer_conn_reply (r->from, r->call_id, status, json);
}

enum filter_result
request_refuse (struct request *r, int status, const char *code,
                const char *outcome, const char *format, ...)
{
  char message[REFUSAL_BYTES];
  va_list args;
  char *text;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  text = http_error_text (code, outcome, message);
  counters_add (strcmp (outcome, "not_run") == 0 ? COUNTER_REFUSALS_NOT_RUN
                                                 : COUNTER_REFUSALS_UNKNOWN,
                1);
  event_ring_add (EVENT_JOB_REFUSED, r->key.text, "team=%s %s: %s", r->team,
                  code, message);
  request_answer (r, status, text);
  free (text);
  return FILTER_ANSWERED;
}

const char *
request_refusal_outcome (const struct request *r)
{
  json_t *o;
  bool keyed;

  if (r->root != NULL)
    return r->keyless ? "not_run" : "unknown";
  o = json_loadb (r->body, r->body_length, 0, NULL);
  keyed = o == NULL || json_object_get (o, "key") != NULL;
  json_decref (o);
  return keyed ? "unknown" : "not_run";
}

static void
run_chain (struct request *r, const request_filter *chain)
{
  while (*chain != NULL && (*chain) (r) == FILTER_PASS)
    chain++;
}

void
request_run_caller (struct request *r)
{
  run_chain (r, caller_chain);
}

void
request_run_forwarded (struct request *r)
{
  run_chain (r, forwarded_chain);
}
