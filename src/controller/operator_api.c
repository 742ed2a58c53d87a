#include "controller/operator_api.h"

#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_text.h"
#include "base/counters.h"
#include "base/event_ring.h"
#include "coord/environment.h"

enum
{
  EVENTS_DEFAULT = 1000
};

bool
operator_api_authorize (const struct settings *s, struct http_call *c)
{
  const char *token = http_call_token (c);
  char sha256[SHA256_HEX_BYTES];

  if (token != NULL)
    {
      sha256_text (token, strlen (token), sha256);
      if (CRYPTO_memcmp (sha256, s->operator_token_sha256,
                         SHA256_HEX_BYTES - 1)
          == 0)
        return true;
    }
  http_call_refuse (c, 401, "not_an_operator", NULL,
                    "this call needs the operators' token");
  return false;
}

static void
handle_status (const struct operator_source *o, struct http_call *c)
{
  http_call_answer_json (c, 200, o->status (o->arg));
}

static void
handle_counters (const struct operator_source *o, struct http_call *c)
{
  http_call_answer_json (c, 200,
                         json_build ("{s:s s:o}", "vm", o->settings->vm,
                                     "counters", counters_json ()));
}

static void
handle_events (const struct operator_source *o, struct http_call *c)
{
  char key[128];
  char limit[16];
  bool by_key = http_call_query (c, "key", key, sizeof key);
  uint32_t max_events = http_call_query (c, "limit", limit, sizeof limit)
                            ? (uint32_t)strtoul (limit, NULL, 10)
                            : EVENTS_DEFAULT;

  http_call_answer_json (
      c, 200,
      json_build ("{s:s s:o}", "vm", o->settings->vm, "events",
                  event_ring_json (by_key ? key : NULL, max_events)));
}

static void
handle_stop (const struct operator_source *o, struct http_call *c)
{
  http_call_answer (c, 202, "{\"stopping\":true}");
  o->stop (o->arg);
}

struct operator_route
{
  enum http_method method;
  const char *path;
  void (*handle) (const struct operator_source *o, struct http_call *c);
};

static const struct operator_route routes[] = {
  { HTTP_GET, "/v1/status", handle_status },
  { HTTP_GET, "/v1/counters", handle_counters },
  { HTTP_GET, "/v1/events", handle_events },
  { HTTP_POST, "/v1/stop", handle_stop },
};

bool
operator_api_handle (const struct operator_source *o, struct http_call *c)
{
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (routes[i].method == c->method && strcmp (routes[i].path, c->path) == 0)
      {
        if (operator_api_authorize (o->settings, c))
          routes[i].handle (o, c);
        return true;
      }
  return false;
}
