#include "controller/metrics_api.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/histogram.h"

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404
};

static void
add_counters (struct evbuffer *out)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    evbuffer_add_printf (out, "ragwort_%s %" PRIu64 "\n",
                         counters_name ((enum counter)i), counters.value[i]);
}

static void
add_histogram (struct evbuffer *out, enum histogram h)
{
  const struct histogram_data *d = &histograms[h];
  const char *name = histogram_name (h);
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < HISTOGRAM_BUCKETS - 1; i++)
    {
      cumulative += d->bucket[i];
      evbuffer_add_printf (
          out, "ragwort_%s_bucket{le=\"%" PRIu64 "\"} %" PRIu64 "\n", name,
          histogram_bound_ms (i), cumulative);
    }
  evbuffer_add_printf (out,
                       "ragwort_%s_bucket{le=\"+Inf\"} %" PRIu64
                       "\nragwort_%s_sum %" PRIu64
                       "\nragwort_%s_count %" PRIu64 "\n",
                       name, d->count, name, d->sum_ms, name, d->count);
}

static void
on_call (void *arg, struct http_call *c)
{
  struct evbuffer *out;

  (void)arg;
  if (c->method != HTTP_GET || strcmp (c->path, "/metrics") != 0)
    {
      http_call_refuse (c, STATUS_NOT_FOUND, "not_found", NULL,
                        "only /metrics is served here");
      return;
    }
  out = evbuffer_new ();
  add_counters (out);
  for (int h = 0; h < HISTOGRAM_COUNT; h++)
    add_histogram (out, (enum histogram)h);
  evbuffer_add (out, "", 1);
  http_call_answer (c, STATUS_OK, (const char *)evbuffer_pullup (out, -1));
  evbuffer_free (out);
}

bool
metrics_api_start (struct metrics_api *m, struct event_base *base,
                   const struct node_settings *s, struct error *e)
{
  struct settings *own = malloc (sizeof *own);

  node_settings_port (s, &s->metrics, NODE_PORT_SMALL, own);
  m->server = http_server_new (base, own, on_call, m, e);
  free (own);
  return m->server != NULL;
}

void
metrics_api_done (struct metrics_api *m)
{
  if (m->server != NULL)
    http_server_free (m->server);
}
