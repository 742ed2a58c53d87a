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
  RUN_LEAST_MS = 30,
  RUN_SPREAD_MS = 150,
  LEASE_MOST_MS = 1000,
  STATUS_OK = 200,
  STATUS_CONFLICT = 409,
  STATUS_MISDIRECTED = 421
};

static const struct worker_events *told;

static uint32_t
next_random (struct fake_worker *w, uint32_t limit)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return (uint32_t)(w->random >> 11) % limit;
}

/* What the worker's steady clock shows.  */
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

  if (w->mood == WORKER_MUTE)
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
answer_look (struct fake_worker *w)
{
  struct evhttp_request *req = w->waiting;
  json_t *running = json_array ();
  json_t *ended = json_array ();
  int64_t now = now_ms ();

  w->waiting = NULL;
  evtimer_del (w->waiting_timer);
  for (uint32_t i = 0; i < w->run_count; i++)
    {
      const struct worker_run *r = &w->runs[i];

      json_array_append_new (
          running, json_pack ("[s,I,s,I]", r->task, (json_int_t)r->run, "",
                              (json_int_t)((now - r->begin_ms) * 100
                                           / (r->end_ms - r->begin_ms + 1))));
    }
  for (uint32_t i = 0; i < w->end_count; i++)
    if (w->ends[i].number > w->waiting_noted)
      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)w->ends[i].number,
                            w->ends[i].task, (json_int_t)w->ends[i].run,
                            w->ends[i].how, ""));
  reply (w, req, STATUS_OK,
         json_pack ("{s:o,s:o}", "running-tasks", running, "ended", ended));
}

static void
end_run (struct fake_worker *w, uint32_t i, const char *how)
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
  e->how = how;
  told->ended (w, r.task, how);
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
        end_run (w, i, w->mood == WORKER_FAILS ? "failed" : "done");
      else
        i++;
    }
  if (w->end_number != before && w->waiting != NULL)
    answer_look (w);
}

static void
take_lease (struct fake_worker *w, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "until-ms"));
  int64_t most = clock_ms (w, now_ms ()) + LEASE_MOST_MS;

  if (until > most)
    until = most;
  if (until > w->lease_end_ms)
    w->lease_end_ms = until;
}

static bool
was_there (const struct fake_worker *w, const char *task, uint64_t run)
{
  for (uint32_t i = 0; i < w->end_count; i++)
    if (w->ends[i].run >= run && strcmp (w->ends[i].task, task) == 0)
      return true;
  return false;
}

static void
take_start (struct fake_worker *w, struct evhttp_request *req,
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
  take_lease (w, body);
  if (was_there (w, task, run))
    refuse (w, req, "old");
  else if ((w->run_count + 1) * TASK_CPU_MILLI > CPU_MILLI)
    refuse (w, req, "room");
  else
    {
      r = &w->runs[w->run_count++];
      snprintf (r->task, sizeof r->task, "%s", task);
      r->run = run;
      r->begin_ms = now;
      r->end_ms = now + RUN_LEAST_MS + next_random (w, RUN_SPREAD_MS);
      told->began (w, task);
      reply (w, req, STATUS_OK, json_object ());
    }
}

static void
take_stop (struct fake_worker *w, struct evhttp_request *req,
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
      /* A run that is not there yet is refused later.  */
      struct worker_end *e = &w->ends[w->end_count++];

      memset (e, 0, sizeof *e);
      snprintf (e->task, sizeof e->task, "%s", task);
      e->run = run;
      e->how = "stopped";
    }
  reply (w, req, STATUS_OK, json_object ());
  if (w->waiting != NULL && found)
    answer_look (w);
}

static void
on_waited (evutil_socket_t fd, short what, void *arg)
{
  struct fake_worker *w = arg;

  (void)fd;
  (void)what;
  if (w->waiting != NULL)
    answer_look (w);
}

static void
on_look_gone (struct evhttp_connection *conn, void *arg)
{
  struct fake_worker *w = arg;

  if (w->waiting != NULL && evhttp_request_get_connection (w->waiting) == conn)
    w->waiting = NULL;
}

static void
take_look (struct fake_worker *w, struct evhttp_request *req,
           const json_t *body)
{
  int64_t wait = json_integer_value (json_object_get (body, "wait-ms"));
  struct timeval t = now_timeval (wait);

  take_lease (w, body);
  if (w->waiting != NULL)
    answer_look (w);
  w->waiting = req;
  w->waiting_noted
      = (uint64_t)json_integer_value (json_object_get (body, "last-seen"));
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_look_gone, w);
  if (wait == 0 || w->end_number > w->waiting_noted)
    answer_look (w);
  else
    evtimer_add (w->waiting_timer, &t);
}

static void
take_call (struct fake_worker *w, struct evhttp_request *req,
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
    take_start (w, req, body);
  else if (strcmp (path, "/v1/run-stop") == 0)
    take_stop (w, req, body);
  else
    take_look (w, req, body);
}

/* Ends the connection of REQ without an answer; evhttp frees both when it sees
   the end.  */
static void
cut (struct evhttp_request *req)
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
  const char *life = evhttp_find_header (
      evhttp_request_get_input_headers (req), "X-Ragwortline-Expect-Instance");
  json_t *body = json_loadb ((char *)evbuffer_pullup (in, -1),
                             evbuffer_get_length (in), 0, NULL);

  if (life == NULL || strcmp (life, w->id) != 0)
    evhttp_send_reply (req, STATUS_MISDIRECTED, "", NULL);
  else if (w->mood == WORKER_RESETS)
    cut (req);
  else if (w->mood != WORKER_DEAF)
    take_call (w, req, body);
  json_decref (body);
}

void
fake_worker_reborn (struct fake_worker *w, int64_t now)
{
  while (w->run_count != 0)
    end_run (w, 0, "crashed");
  w->started_ms = now;
  w->fencing_token = 0;
  w->lease_end_ms = 0;
  w->end_count = 0;
  w->end_number = 0;
  w->sequence = 0;
  if (w->waiting != NULL)
    answer_look (w);
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
  told = events;
  w->base = base;
  w->zone = zone;
  w->port = port;
  w->clock_percent = seed % 3 == 0 ? 98 : 100;
  w->random = seed * 0x9E3779B97F4A7C15U + 1;
  w->started_ms = now_ms ();
  snprintf (w->id, sizeof w->id, "%s", id);
  snprintf (w->address, sizeof w->address, "%s", address);
  w->waiting_timer = evtimer_new (base, on_waited, w);
  w->http = evhttp_new (base);
  evhttp_set_gencb (w->http, on_call, w);
  return evhttp_bind_socket (w->http, address, port) == 0;
}

void
fake_worker_done (struct fake_worker *w)
{
  event_free (w->waiting_timer);
  evhttp_free (w->http);
}
