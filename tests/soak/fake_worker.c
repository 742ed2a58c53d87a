#include "tests/soak/fake_worker.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "base/now.h"

enum
{
  CPU_MILLI = 16000,
  TASK_CPU_MILLI = 4000,
  RUN_MIN_MS = 30,
  RUN_SPREAD_MS = 150,
  LEASE_MAX_MS = 1000,
  STATUS_OK = 200,
  STATUS_CONFLICT = 409,
  STATUS_MISDIRECTED = 421
};

static const struct worker_events *callbacks;

static uint32_t
next_random (struct fake_worker *w, uint32_t limit)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return (uint32_t)(w->random >> 11) % limit;
}

/* Returns the worker's monotonic clock, whose speed may differ from real
   time.  */
static int64_t
clock_ms (const struct fake_worker *w, int64_t now)
{
  return (now - w->started_ms) * w->clock_percent / 100;
}

static void
reply (struct fake_worker *w, struct evhttp_request *req, int status,
       json_t *body)
{
  struct evbuffer *out = evhttp_request_get_output_buffer (req);
  char *text;

  if (w->behaviour == WORKER_NO_REPLY)
    {
      json_decref (body);
      return;
    }
  json_object_set_new (body, "clock-ms",
                       json_integer ((json_int_t)clock_ms (w, now_ms ())));
  json_object_set_new (body, "born", json_integer ((json_int_t)w->started_ms));
  text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (out, text, strlen (text));
  free (text);
  json_decref (body);
  evhttp_send_reply (req, status, "", NULL);
}

static void
refuse (struct fake_worker *w, struct evhttp_request *req, const char *why)
{
  reply (w, req, STATUS_CONFLICT, json_pack ("{s:s}", "reason", why));
}

static void
answer_poll (struct fake_worker *w)
{
  struct evhttp_request *req = w->waiting_poll;
  json_t *running = json_array ();
  json_t *ended = json_array ();
  int64_t now = now_ms ();

  w->waiting_poll = NULL;
  evtimer_del (w->poll_timer);
  for (uint32_t i = 0; i < w->run_count; i++)
    {
      const struct worker_run *r = &w->runs[i];

      json_array_append_new (
          running, json_pack ("[s,I,s,I]", r->task, (json_int_t)r->run, "",
                              (json_int_t)((now - r->begin_ms) * 100
                                           / (r->end_ms - r->begin_ms + 1))));
    }
  for (uint32_t i = 0; i < w->end_count; i++)
    if (w->ends[i].number > w->waiting_last_seen)
      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)w->ends[i].number,
                            w->ends[i].task, (json_int_t)w->ends[i].run,
                            w->ends[i].outcome, ""));
  reply (w, req, STATUS_OK,
         json_pack ("{s:o,s:o}", "running-tasks", running, "ended", ended));
}

static void
end_run (struct fake_worker *w, uint32_t i, const char *outcome)
{
  struct worker_run r = w->runs[i];
  struct worker_end *e;

  w->runs[i] = w->runs[--w->run_count];
  if (w->end_count == WORKER_END_LIMIT)
    memmove (w->ends, w->ends + 1, --w->end_count * sizeof w->ends[0]);
  e = &w->ends[w->end_count++];
  e->number = ++w->end_number;
  memcpy (e->task, r.task, sizeof e->task);
  e->run = r.run;
  e->outcome = outcome;
  callbacks->ended (w, r.task, outcome);
}

void
fake_worker_tick (struct fake_worker *w, int64_t now)
{
  uint64_t before = w->end_number;
  uint32_t i = 0;

  while (i < w->run_count)
    {
      if (clock_ms (w, now) > w->lease_end_ms)
        end_run (w, i, "lapsed");
      else if (now >= w->runs[i].end_ms)
        end_run (w, i, w->behaviour == WORKER_FAILS ? "failed" : "done");
      else
        i++;
    }
  if (w->end_number != before && w->waiting_poll != NULL)
    answer_poll (w);
}

static void
extend_lease (struct fake_worker *w, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "until-ms"));
  int64_t limit_ms = clock_ms (w, now_ms ()) + LEASE_MAX_MS;

  if (until > limit_ms)
    until = limit_ms;
  if (until > w->lease_end_ms)
    w->lease_end_ms = until;
}

static bool
has_ended (const struct fake_worker *w, const char *task, uint64_t run)
{
  for (uint32_t i = 0; i < w->end_count; i++)
    if (w->ends[i].run >= run && strcmp (w->ends[i].task, task) == 0)
      return true;
  return false;
}

static void
handle_start (struct fake_worker *w, struct evhttp_request *req,
              const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint64_t run
      = (uint64_t)json_integer_value (json_object_get (body, "run-id"));
  int64_t until = json_integer_value (json_object_get (body, "until-ms"));
  int64_t now = now_ms ();
  struct worker_run *r;

  if (until < clock_ms (w, now))
    {
      refuse (w, req, "late");
      return;
    }
  extend_lease (w, body);
  if (has_ended (w, task, run))
    refuse (w, req, "old");
  else if ((w->run_count + 1) * TASK_CPU_MILLI > CPU_MILLI)
    refuse (w, req, "room");
  else
    {
      r = &w->runs[w->run_count++];
      snprintf (r->task, sizeof r->task, "%s", task);
      r->run = run;
      r->begin_ms = now;
      r->end_ms = now + RUN_MIN_MS + next_random (w, RUN_SPREAD_MS);
      callbacks->started (w, task);
      reply (w, req, STATUS_OK, json_object ());
    }
}

static void
handle_stop (struct fake_worker *w, struct evhttp_request *req,
             const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint64_t run
      = (uint64_t)json_integer_value (json_object_get (body, "run-id"));
  bool found = false;

  for (uint32_t i = 0; i < w->run_count && !found; i++)
    if (w->runs[i].run <= run && strcmp (w->runs[i].task, task) == 0)
      {
        end_run (w, i, "stopped");
        found = true;
      }
  if (!found && w->end_count < WORKER_END_LIMIT)
    {
      /* The start of this run may arrive later; record the stop so that it is
         refused.  */
      struct worker_end *e = &w->ends[w->end_count++];

      memset (e, 0, sizeof *e);
      snprintf (e->task, sizeof e->task, "%s", task);
      e->run = run;
      e->outcome = "stopped";
    }
  reply (w, req, STATUS_OK, json_object ());
  if (w->waiting_poll != NULL && found)
    answer_poll (w);
}

static void
on_poll_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct fake_worker *w = arg;

  (void)fd;
  (void)what;
  if (w->waiting_poll != NULL)
    answer_poll (w);
}

static void
on_poll_closed (struct evhttp_connection *conn, void *arg)
{
  struct fake_worker *w = arg;

  if (w->waiting_poll != NULL
      && evhttp_request_get_connection (w->waiting_poll) == conn)
    w->waiting_poll = NULL;
}

static void
handle_poll (struct fake_worker *w, struct evhttp_request *req,
             const json_t *body)
{
  int64_t wait = json_integer_value (json_object_get (body, "wait-ms"));
  struct timeval t = now_timeval (wait);

  extend_lease (w, body);
  if (w->waiting_poll != NULL)
    answer_poll (w);
  w->waiting_poll = req;
  w->waiting_last_seen
      = (uint64_t)json_integer_value (json_object_get (body, "last-seen"));
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_poll_closed, w);
  if (wait == 0 || w->end_number > w->waiting_last_seen)
    answer_poll (w);
  else
    evtimer_add (w->poll_timer, &t);
}

static void
handle_request (struct fake_worker *w, struct evhttp_request *req,
                const json_t *body)
{
  const char *path = evhttp_request_get_uri (req);
  uint64_t fencing_token
      = (uint64_t)json_integer_value (json_object_get (body, "fence-token"));

  if (fencing_token < w->fencing_token)
    {
      refuse (w, req, "fence");
      return;
    }
  w->fencing_token = fencing_token;
  if (strcmp (path, "/v1/run-start") == 0)
    handle_start (w, req, body);
  else if (strcmp (path, "/v1/run-stop") == 0)
    handle_stop (w, req, body);
  else
    handle_poll (w, req, body);
}

/* Closes the connection of REQ without a reply; evhttp frees both when it
   reads the end of file.  */
static void
abort_connection (struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);

  shutdown (bufferevent_getfd (evhttp_connection_get_bufferevent (conn)),
            SHUT_RDWR);
}

static void
on_call (struct evhttp_request *req, void *arg)
{
  struct fake_worker *w = arg;
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  const char *expected_id = evhttp_find_header (
      evhttp_request_get_input_headers (req), "X-Ragwortline-Expect-Instance");
  json_t *body = json_loadb ((char *)evbuffer_pullup (in, -1),
                             evbuffer_get_length (in), 0, NULL);

  if (expected_id == NULL || strcmp (expected_id, w->id) != 0)
    evhttp_send_reply (req, STATUS_MISDIRECTED, "", NULL);
  else if (w->behaviour == WORKER_RESETS)
    abort_connection (req);
  else if (w->behaviour != WORKER_IGNORES)
    handle_request (w, req, body);
  json_decref (body);
}

void
fake_worker_restart (struct fake_worker *w, int64_t now)
{
  while (w->run_count != 0)
    end_run (w, 0, "crashed");
  w->started_ms = now;
  w->fencing_token = 0;
  w->lease_end_ms = 0;
  w->end_count = 0;
  w->end_number = 0;
  w->sequence = 0;
  if (w->waiting_poll != NULL)
    answer_poll (w);
}

char *
fake_worker_heartbeat (struct fake_worker *w)
{
  char address[WORKER_NAME_BYTES + 8];
  json_t *o;
  char *text;

  snprintf (address, sizeof address, "%s:%u", w->address, w->port);
  o = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:{s:i,s:i,s:i},s:[s],s:I}",
                 "service", "svc", "address", address, "zone", w->zone,
                 "version", "v1", "slots", 8, "state", "ready", "born",
                 (json_int_t)w->started_ms, "capacity", "cpu", CPU_MILLI,
                 "mem-mb", 32768, "gpu", 0, "labels", "a", "seq",
                 (json_int_t)++w->sequence);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

bool
fake_worker_start (struct fake_worker *w, struct event_base *base,
                   const char *id, const char *address, uint16_t port,
                   const char *zone, uint64_t seed,
                   const struct worker_events *events)
{
  memset (w, 0, sizeof *w);
  callbacks = events;
  w->base = base;
  w->zone = zone;
  w->port = port;
  w->clock_percent = seed % 3 == 0 ? 98 : 100;
  w->random = seed * 0x9E3779B97F4A7C15U + 1;
  w->started_ms = now_ms ();
  snprintf (w->id, sizeof w->id, "%s", id);
  snprintf (w->address, sizeof w->address, "%s", address);
  w->poll_timer = evtimer_new (base, on_poll_timeout, w);
  w->http = evhttp_new (base);
  evhttp_set_gencb (w->http, on_call, w);
  return evhttp_bind_socket (w->http, address, port) == 0;
}

void
fake_worker_done (struct fake_worker *w)
{
  event_free (w->poll_timer);
  evhttp_free (w->http);
}
