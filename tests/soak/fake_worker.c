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
#include <uthash.h>
#include <utlist.h>
#include "base/now.h"

enum
{
  RUN_DEFAULT_MS = 100,
  LEASE_MAX_MS = 1000,
  STOP_MAX_MS = 50,
  WAIT_MAX_MS = 2000,
  ENDS_PER_REPLY = 500,
  LATE_SHORT_MS = 400,
  LATE_LONG_MS = 4000,
  SLOW_CLOCK_PERCENT = 98,
  LOSSY_REQUESTS = 4, /* one in so many is lost */
  STATUS_OK = 200,
  STATUS_CONFLICT = 409,
  STATUS_MISDIRECTED = 421
};

struct worker_end
{
  uint64_t number;
  char task[WORKER_NAME_BYTES];
  uint64_t run;
  const char *outcome;
  struct worker_end *prev;
  struct worker_end *next;
};

/* The highest run of a task that was stopped or has ended.  */
struct worker_memory
{
  char task[WORKER_NAME_BYTES];
  uint64_t run;
  UT_hash_handle hh;
};

/* A request that is executed after its sender has given up on it.  */
struct held_request
{
  char *path;
  json_t *body;
  char from[WORKER_ADDRESS_BYTES];
  int64_t due_ms;
  struct held_request *prev;
  struct held_request *next;
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

int64_t
fake_worker_clock_ms (const struct fake_worker *w, int64_t now)
{
  return (now - w->started_ms) * w->clock_percent / 100;
}

int64_t
fake_worker_lease_end_ms (const struct fake_worker *w)
{
  return w->started_ms + w->lease_end_ms * 100 / w->clock_percent;
}

/* Sends BODY in reply to REQ, which is NULL if nobody waits for it.  */
static void
reply (struct fake_worker *w, struct evhttp_request *req, int status,
       json_t *body)
{
  char *text;

  if (req == NULL)
    {
      json_decref (body);
      return;
    }
  json_object_set_new (
      body, "clock-ms",
      json_integer ((json_int_t)fake_worker_clock_ms (w, now_ms ())));
  json_object_set_new (body, "born", json_integer ((json_int_t)w->started_ms));
  text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (evhttp_request_get_output_buffer (req), text, strlen (text));
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
  const struct worker_end *e;
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
  DL_FOREACH (w->ends, e)
  if (json_array_size (ended) < ENDS_PER_REPLY)
    json_array_append_new (
        ended, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                          (json_int_t)e->run, e->outcome, ""));
  reply (w, req, STATUS_OK,
         json_pack ("{s:o,s:o}", "running-tasks", running, "ended", ended));
}

static uint64_t
remembered_run (const struct fake_worker *w, const char *task)
{
  const struct worker_memory *m;

  HASH_FIND_STR (w->memory, task, m);
  return m == NULL ? 0 : m->run;
}

/* Records that no run of TASK up to RUN may start any more.  */
static void
remember_run (struct fake_worker *w, const char *task, uint64_t run)
{
  struct worker_memory *m;

  HASH_FIND_STR (w->memory, task, m);
  if (m == NULL)
    {
      m = calloc (1, sizeof *m);
      snprintf (m->task, sizeof m->task, "%s", task);
      HASH_ADD_STR (w->memory, task, m);
    }
  if (run > m->run)
    m->run = run;
}

static void
end_run (struct fake_worker *w, uint32_t i, const char *outcome)
{
  struct worker_run r = w->runs[i];
  struct worker_end *e = calloc (1, sizeof *e);

  w->runs[i] = w->runs[--w->run_count];
  e->number = ++w->end_number;
  memcpy (e->task, r.task, sizeof e->task);
  e->run = r.run;
  e->outcome = outcome;
  DL_APPEND (w->ends, e);
  remember_run (w, r.task, r.run);
  callbacks->ended (w, &r, outcome);
}

static void
forget_ends (struct fake_worker *w, uint64_t last_seen)
{
  while (w->ends != NULL && w->ends->number <= last_seen)
    {
      struct worker_end *e = w->ends;

      DL_DELETE (w->ends, e);
      free (e);
    }
}

static void
extend_lease (struct fake_worker *w, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "until-ms"));
  int64_t limit_ms = fake_worker_clock_ms (w, now_ms ()) + LEASE_MAX_MS;

  if (until > limit_ms)
    until = limit_ms;
  if (until > w->lease_end_ms)
    w->lease_end_ms = until;
}

static struct worker_run *
find_run (struct fake_worker *w, const char *task, uint64_t run)
{
  for (uint32_t i = 0; i < w->run_count; i++)
    if (w->runs[i].run == run && strcmp (w->runs[i].task, task) == 0)
      return &w->runs[i];
  return NULL;
}

static void
start_run (struct fake_worker *w, const char *task, uint64_t run,
           const char *spec, const char *from)
{
  struct worker_run *r = &w->runs[w->run_count++];
  unsigned int length_ms = RUN_DEFAULT_MS;

  memset (r, 0, sizeof *r);
  snprintf (r->task, sizeof r->task, "%s", task);
  snprintf (r->starter, sizeof r->starter, "%s", from);
  sscanf (spec, "%u %u", &r->attempt, &length_ms);
  r->run = run;
  r->begin_ms = now_ms ();
  r->end_ms = r->begin_ms + length_ms;
  callbacks->started (w, r);
}

static void
handle_start (struct fake_worker *w, struct evhttp_request *req,
              const json_t *body, const char *from)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint64_t run
      = (uint64_t)json_integer_value (json_object_get (body, "run-id"));
  int64_t until = json_integer_value (json_object_get (body, "until-ms"));

  if (until <= fake_worker_clock_ms (w, now_ms ()))
    {
      refuse (w, req, "late");
      return;
    }
  extend_lease (w, body);
  if (run <= remembered_run (w, task))
    refuse (w, req, "old");
  else if (find_run (w, task, run) != NULL)
    reply (w, req, STATUS_OK, json_object ());
  else if (w->run_count == WORKER_SLOTS)
    refuse (w, req, "room");
  else
    {
      start_run (w, task, run, spec == NULL ? "" : spec, from);
      reply (w, req, STATUS_OK, json_object ());
    }
}

/* Stops a run within STOP_MAX_MS; its capacity is free when its end is
   listed.  */
static void
handle_stop (struct fake_worker *w, struct evhttp_request *req,
             const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint64_t run
      = (uint64_t)json_integer_value (json_object_get (body, "run-id"));
  struct worker_run *r = find_run (w, task, run);

  remember_run (w, task, run);
  if (r != NULL && r->stop_ms == 0)
    r->stop_ms = now_ms () + next_random (w, STOP_MAX_MS);
  reply (w, req, STATUS_OK, json_object ());
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
  uint64_t last_seen
      = (uint64_t)json_integer_value (json_object_get (body, "last-seen"));
  struct timeval t = now_timeval (wait < WAIT_MAX_MS ? wait : WAIT_MAX_MS);

  extend_lease (w, body);
  forget_ends (w, last_seen);
  if (req == NULL)
    return;
  if (w->waiting_poll != NULL)
    answer_poll (w);
  w->waiting_poll = req;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_poll_closed, w);
  if (wait == 0 || w->ends != NULL)
    answer_poll (w);
  else
    evtimer_add (w->poll_timer, &t);
}

static void
handle_request (struct fake_worker *w, struct evhttp_request *req,
                const char *path, const json_t *body, const char *from)
{
  uint64_t fencing_token
      = (uint64_t)json_integer_value (json_object_get (body, "fence-token"));

  if (fencing_token < w->fencing_token)
    {
      refuse (w, req, "fence");
      return;
    }
  w->fencing_token = fencing_token;
  if (strcmp (path, "/v1/run-start") == 0)
    handle_start (w, req, body, from);
  else if (strcmp (path, "/v1/run-stop") == 0)
    handle_stop (w, req, body);
  else
    handle_poll (w, req, body);
}

/* Holds a request back: half of them for less than a short lease.  */
static void
hold_request (struct fake_worker *w, const char *path, json_t *body,
              const char *from)
{
  struct held_request *h = calloc (1, sizeof *h);

  h->path = strdup (path);
  h->body = json_incref (body);
  snprintf (h->from, sizeof h->from, "%s", from);
  h->due_ms = now_ms ()
              + next_random (w, next_random (w, 2) == 0 ? LATE_SHORT_MS
                                                        : LATE_LONG_MS);
  DL_APPEND (w->held, h);
}

static void
free_held (struct fake_worker *w, struct held_request *h)
{
  DL_DELETE (w->held, h);
  json_decref (h->body);
  free (h->path);
  free (h);
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
  const char *path = evhttp_request_get_uri (req);
  json_t *body = json_loadb ((char *)evbuffer_pullup (in, -1),
                             evbuffer_get_length (in), 0, NULL);
  char *from;
  uint16_t port;

  evhttp_connection_get_peer (evhttp_request_get_connection (req), &from,
                              &port);
  if (expected_id == NULL || strcmp (expected_id, w->id) != 0)
    evhttp_send_reply (req, STATUS_MISDIRECTED, "", NULL);
  else
    switch (callbacks->behaviour (w, from))
      {
      case WORKER_RESETS:
        abort_connection (req);
        break;
      case WORKER_IGNORES:
        break;
      case WORKER_LOSSY:
        if (next_random (w, LOSSY_REQUESTS) != 0)
          handle_request (w, req, path, body, from);
        break;
      case WORKER_LATE:
        hold_request (w, path, body, from);
        break;
      case WORKER_NO_REPLY:
        handle_request (w, NULL, path, body, from);
        break;
      default:
        handle_request (w, req, path, body, from);
      }
  json_decref (body);
}

void
fake_worker_tick (struct fake_worker *w, int64_t now)
{
  uint64_t before = w->end_number;
  struct held_request *h;
  struct held_request *next;
  uint32_t i = 0;

  while (i < w->run_count)
    {
      const struct worker_run *r = &w->runs[i];

      if (fake_worker_clock_ms (w, now) > w->lease_end_ms)
        end_run (w, i, "lapsed");
      else if (now >= r->end_ms && w->behaviour != WORKER_STANDS)
        end_run (w, i, w->behaviour == WORKER_FAILS ? "failed" : "done");
      else if (r->stop_ms != 0 && now >= r->stop_ms)
        end_run (w, i, "stopped");
      else
        i++;
    }
  DL_FOREACH_SAFE (w->held, h, next)
  if (now >= h->due_ms)
    {
      handle_request (w, NULL, h->path, h->body, h->from);
      free_held (w, h);
    }
  if (w->end_number != before && w->waiting_poll != NULL)
    answer_poll (w);
}

/* Forgets what a restart or the end of W forgets.  */
static void
clear_memory (struct fake_worker *w)
{
  struct worker_memory *m;
  struct worker_memory *next;

  forget_ends (w, UINT64_MAX);
  while (w->held != NULL)
    free_held (w, w->held);
  HASH_ITER (hh, w->memory, m, next)
  {
    HASH_DEL (w->memory, m);
    free (m);
  }
}

void
fake_worker_restart (struct fake_worker *w, int64_t now)
{
  while (w->run_count != 0)
    end_run (w, 0, "crashed");
  clear_memory (w);
  w->drain_until_ms = 0;
  w->started_ms = now;
  w->fencing_token = 0;
  w->lease_end_ms = 0;
  w->end_number = 0;
  w->sequence = 0;
  w->waiting_poll = NULL;
  evtimer_del (w->poll_timer);
}

char *
fake_worker_heartbeat (struct fake_worker *w)
{
  char address[WORKER_ADDRESS_BYTES + 8];
  json_t *o;
  char *text;

  snprintf (address, sizeof address, "%s:%u", w->address, w->port);
  o = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:{s:i,s:i,s:i},s:[s],s:I}",
                 "service", "svc", "address", address, "zone", w->zone,
                 "version", "v1", "slots", 8, "state",
                 w->drain_until_ms == 0 ? "ready" : "draining", "born",
                 (json_int_t)w->started_ms, "capacity", "cpu",
                 WORKER_SLOTS * WORKER_TASK_CPU_MILLI, "mem-mb", 32768, "gpu",
                 0, "labels", "a", "seq", (json_int_t)++w->sequence);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

bool
fake_worker_start (struct fake_worker *w, struct event_base *base,
                   const struct worker_setup *setup)
{
  memset (w, 0, sizeof *w);
  callbacks = setup->events;
  w->base = base;
  w->port = setup->port;
  w->clock_percent = setup->seed % 3 == 0 ? SLOW_CLOCK_PERCENT : 100;
  w->random = setup->seed * 0x9E3779B97F4A7C15U + 1;
  w->started_ms = now_ms ();
  snprintf (w->id, sizeof w->id, "%s", setup->id);
  snprintf (w->zone, sizeof w->zone, "%s", setup->zone);
  snprintf (w->address, sizeof w->address, "%s", setup->address);
  w->poll_timer = evtimer_new (base, on_poll_timeout, w);
  w->http = evhttp_new (base);
  evhttp_set_gencb (w->http, on_call, w);
  return evhttp_bind_socket (w->http, setup->address, setup->listen_port) == 0;
}

void
fake_worker_done (struct fake_worker *w)
{
  clear_memory (w);
  event_free (w->poll_timer);
  evhttp_free (w->http);
}
