/* fake_target: simulates targets for tests.  It announces itself to entries,
   runs each task as a timer, and appends its events to a record file, from
   which tests check what really ran.  Each line of the file is "WALL_MS TARGET
   EVENT TASK DETAIL", with the event "start" (the detail is the task's kind),
   "end" (the outcome), "stop", "refuse" or "leave".  A task that is answered
   or dropped at once has no "end" line.

   One process simulates COUNT targets on consecutive ports.  */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <jansson.h>
#include <uthash.h>
#include "base/json_check.h"
#include "base/now.h"

enum
{
  ENTRY_LIMIT = 32,
  TARGET_LIMIT = 256,
  ANNOUNCE_TIMEOUT_S = 2,
  RETRY_MS = 200,
  FLUSH_MS = 200 /* time to send the last replies at exit */
};

enum fault_mode
{
  MODE_OK,
  MODE_FAIL, /* every task starts and fails at once */
  MODE_DROP, /* the connection is closed after the start */
  MODE_BUSY  /* every start is refused as not run */
};

struct fake_options
{
  const char *name;
  const char *address;
  uint16_t port;
  const char *domain;
  const char *rack;
  int slots;
  int count;
  int run_ms;
  int lease_ms;
  const char *token;
  const char *record;
  enum fault_mode mode;
  bool stubborn; /* accepts starts even while leaving */
  char entries[ENTRY_LIMIT][64];
  int entry_count;
};

struct fake_task
{
  struct fake_target *target;
  char id[256];
  struct evhttp_request *request;
  struct event *timer;
  UT_hash_handle hh;
};

struct fake_target
{
  char name[64];
  uint16_t port;
  struct fake_task *tasks;
  uint64_t incarnation;
  char owner[64]; /* address:port to announce to; empty until an
                     entry has sent it */
  int next_entry;
  struct event *announce_timer;
  bool leaving;
  bool left;
};

static struct fake_options settings = { .name = "target",
                                        .address = "127.0.0.1",
                                        .domain = "",
                                        .rack = "rack-1",
                                        .slots = 8,
                                        .count = 1,
                                        .run_ms = 50,
                                        .lease_ms = 3000,
                                        .token = "target-token",
                                        .record = NULL,
                                        .mode = MODE_OK };
static struct event_base *base;
static struct fake_target targets[TARGET_LIMIT];
static int record_fd = -1;

static const struct argp_option options[] = {
  { "name", 'n', "NAME", 0, "Name; with --count the prefix of the names", 0 },
  { "address", 'a', "IP", 0, "Address to listen on", 0 },
  { "port", 'p', "PORT", 0, "First port", 0 },
  { "domain", 'd', "DOMAIN", 0, "Failure domain", 0 },
  { "rack", 'r', "RACK", 0, "Rack", 0 },
  { "slots", 's', "N", 0, "Slots", 0 },
  { "count", 'c', "N", 0, "Number of targets to simulate", 0 },
  { "run-ms", 't', "MS", 0, "Run time of tasks whose payload has no run_ms",
    0 },
  { "lease-ms", 'l', "MS", 0, "Lease of an announcement", 0 },
  { "token", 'k', "TOKEN", 0, "The targets' token", 0 },
  { "record", 'f', "FILE", 0, "Append every event to FILE", 0 },
  { "mode", 'm', "MODE", 0, "ok, fail, drop or busy", 0 },
  { "stubborn", 'S', "0|1", 0, "Accept tasks even while leaving", 0 },
  { "entry", 'e', "IP:PORT", 0, "An entry to announce to; may be repeated",
    0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static enum fault_mode
parse_mode (const char *text)
{
  static const char *const names[] = { "ok", "fail", "drop", "busy" };

  for (int i = 0; i < 4; i++)
    if (strcmp (text, names[i]) == 0)
      return (enum fault_mode)i;
  fprintf (stderr, "fake_target: unknown mode %s\n", text);
  exit (2);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct fake_options *o = &settings;

  (void)state;
  switch (key)
    {
    case 'n':
      o->name = arg;
      break;
    case 'a':
      o->address = arg;
      break;
    case 'p':
      o->port = (uint16_t)atoi (arg);
      break;
    case 'd':
      o->domain = arg;
      break;
    case 'r':
      o->rack = arg;
      break;
    case 's':
      o->slots = atoi (arg);
      break;
    case 'c':
      o->count = atoi (arg);
      break;
    case 't':
      o->run_ms = atoi (arg);
      break;
    case 'l':
      o->lease_ms = atoi (arg);
      break;
    case 'k':
      o->token = arg;
      break;
    case 'f':
      o->record = arg;
      break;
    case 'S':
      o->stubborn = atoi (arg) != 0;
      break;
    case 'm':
      o->mode = parse_mode (arg);
      break;
    case 'e':
      snprintf (o->entries[o->entry_count++ % ENTRY_LIMIT], 64, "%s", arg);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static void
record (const struct fake_target *target, const char *event, const char *task,
        const char *detail)
{
  char line[512];
  int n;

  if (record_fd < 0)
    return;
  n = snprintf (line, sizeof line, "%" PRId64 " %s %s %s %s\n", now_wall_ms (),
                target->name, event, task, detail);
  if (write (record_fd, line, (size_t)n) != n)
    perror ("fake_target: record");
}

static void announce (struct fake_target *target);
static void exit_if_all_left (struct fake_target *target);

static void
reply (struct evhttp_request *request, int code, const char *outcome,
       const char *body)
{
  struct evbuffer *b = evbuffer_new ();

  evbuffer_add_printf (b, "%s", body);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Ragwort-Outcome", outcome);
  evhttp_send_reply (request, code, outcome, b);
  evbuffer_free (b);
}

static void
end_task (struct fake_task *t, int code, const char *outcome, const char *body)
{
  struct fake_target *target = t->target;

  record (target, "end", t->id, outcome);
  HASH_DEL (target->tasks, t);
  event_free (t->timer);
  reply (t->request, code, outcome, body);
  free (t);
  exit_if_all_left (target);
}

static void
on_task_finished (evutil_socket_t fd, short what, void *arg)
{
  struct fake_task *t = arg;
  char body[400];

  (void)fd;
  (void)what;
  snprintf (body, sizeof body, "{\"target\":\"%s\",\"task\":\"%s\"}",
            t->target->name, t->id);
  end_task (t, 200, "done", body);
}

static json_t *
read_payload (struct evhttp_request *request)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  size_t n = evbuffer_get_length (in);

  return json_loadb (n == 0 ? "" : (const char *)evbuffer_pullup (in, -1), n,
                     JSON_DECODE_ANY, NULL);
}

static const char *
header (struct evhttp_request *request, const char *name)
{
  const char *v
      = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return v == NULL ? "" : v;
}

/* Returns why a start must be refused, or NULL.  */
static const char *
refusal_reason (struct fake_target *target, uint64_t incarnation)
{
  if (target->leaving && !settings.stubborn)
    return "leaving";
  if (incarnation < target->incarnation)
    return "an entry of a later incarnation owns this target";
  if (settings.mode == MODE_BUSY
      || (int)HASH_COUNT (target->tasks) >= settings.slots)
    return "no free slot";
  return NULL;
}

static void
start_task (struct fake_target *target, struct evhttp_request *request,
            int64_t ms)
{
  struct timeval after = now_timeval (ms);
  struct fake_task *t = calloc (1, sizeof *t);

  t->target = target;
  t->request = request;
  snprintf (t->id, sizeof t->id, "%s", header (request, "Ragwort-Task"));
  t->timer = evtimer_new (base, on_task_finished, t);
  HASH_ADD_STR (target->tasks, id, t);
  evtimer_add (t->timer, &after);
}

static void
on_start (struct evhttp_request *request, void *arg)
{
  struct fake_target *target = arg;
  const char *task = header (request, "Ragwort-Task");
  const char *start = header (request, "Ragwort-Start");
  const char *number = strstr (start, "incarnation=");
  /* A start without an incarnation comes from a benchmark that calls the
     target directly.  */
  uint64_t incarnation = number == NULL ? target->incarnation
                                        : strtoull (number + 12, NULL, 10);
  const char *reason = refusal_reason (target, incarnation);
  json_t *payload;
  int64_t run_ms;

  if (reason != NULL)
    {
      record (target, "refuse", task, "-");
      reply (request, 409, "not_run", reason);
      return;
    }
  target->incarnation = incarnation;
  payload = read_payload (request);
  run_ms = json_get_integer (payload, "run_ms", settings.run_ms);
  record (target, "start", task, header (request, "Ragwort-Kind"));
  if (settings.mode == MODE_FAIL || json_get_boolean (payload, "fail", false))
    reply (request, 500, "failed", "{}");
  else if (settings.mode == MODE_DROP
           || json_get_boolean (payload, "drop", false))
    evhttp_connection_free (evhttp_request_get_connection (request));
  else if (run_ms == 0)
    reply (request, 200, "done", "{}");
  else
    start_task (target, request, run_ms);
  json_decref (payload);
}

static void
on_stop (struct evhttp_request *request, void *arg)
{
  struct fake_target *target = arg;
  const char *task = header (request, "Ragwort-Task");
  struct fake_task *t;

  record (target, "stop", task, "-");
  HASH_FIND_STR (target->tasks, task, t);
  if (t != NULL)
    end_task (t, 500, "failed", "{}");
  reply (request, 200, "done", "{}");
}

static void
schedule_announce (struct fake_target *target, int64_t ms)
{
  struct timeval t = now_timeval (ms);

  evtimer_add (target->announce_timer, &t);
}

struct announce_call
{
  struct fake_target *target;
  struct evhttp_connection *connection;
  bool leave;
};

static void
read_owner (struct fake_target *target, struct evhttp_request *request)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  size_t n = evbuffer_get_length (in);
  json_t *o = json_loadb (n == 0 ? "" : (const char *)evbuffer_pullup (in, -1),
                          n, 0, NULL);
  uint64_t incarnation = (uint64_t)json_get_integer (o, "incarnation", 0);

  if (incarnation > target->incarnation)
    target->incarnation = incarnation;
  snprintf (target->owner, sizeof target->owner, "%s:%d",
            json_get_text (o, "owner_address", ""),
            (int)json_get_integer (o, "owner_port", 0));
  json_decref (o);
}

static void
on_free_connection (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (arg);
}

static void
on_announced (struct evhttp_request *request, void *arg)
{
  struct announce_call *c = arg;
  struct fake_target *target = c->target;
  bool accepted
      = request != NULL && evhttp_request_get_response_code (request) == 200;
  struct timeval now = now_timeval (0);

  event_base_once (base, -1, EV_TIMEOUT, on_free_connection, c->connection,
                   &now);
  if (accepted)
    read_owner (target, request);
  else
    {
      target->owner[0] = '\0';
      target->next_entry++;
    }
  if (c->leave && accepted && !target->left)
    {
      target->left = true;
      record (target, "leave", "-", "-");
    }
  schedule_announce (target,
                     accepted && !c->leave ? settings.lease_ms / 3 : RETRY_MS);
  free (c);
  exit_if_all_left (target);
}

static char *
announcement (const struct fake_target *target)
{
  json_t *o = json_pack (
      "{s:s s:s s:i s:s s:s s:i s:i s:i s:i s:i s:i}", "target", target->name,
      "address", settings.address, "port", (int)target->port, "domain",
      settings.domain, "rack", settings.rack, "slots", settings.slots,
      "connections", 64, "running", (int)HASH_COUNT (target->tasks),
      "lease_ms", settings.lease_ms, "cpus", 16, "memory_mb", 32768);
  char *text = json_dumps (o, JSON_COMPACT);

  json_decref (o);
  return text;
}

static void
announce (struct fake_target *target)
{
  const char *to
      = target->owner[0] != '\0'
            ? target->owner
            : settings.entries[target->next_entry % settings.entry_count];
  struct announce_call *c = calloc (1, sizeof *c);
  struct evhttp_request *request = evhttp_request_new (on_announced, c);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char address[64];
  char bearer[128];
  char *text = announcement (target);

  snprintf (address, sizeof address, "%.*s", (int)strcspn (to, ":"), to);
  c->target = target;
  c->leave = target->leaving;
  c->connection = evhttp_connection_base_new (
      base, NULL, address, (uint16_t)atoi (strchr (to, ':') + 1));
  evhttp_connection_set_timeout (c->connection, ANNOUNCE_TIMEOUT_S);
  snprintf (bearer, sizeof bearer, "Bearer %s", settings.token);
  evhttp_add_header (headers, "Host", to);
  evhttp_add_header (headers, "Authorization", bearer);
  evhttp_add_header (headers, "Connection", "close");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "%s", text);
  evhttp_make_request (c->connection, request, EVHTTP_REQ_POST,
                       target->leaving ? "/v1/targets/leave"
                                       : "/v1/targets/announce");
  free (text);
}

static void
on_announce_timer (evutil_socket_t fd, short what, void *arg)
{
  struct fake_target *target = arg;

  (void)fd;
  (void)what;
  if (!target->left)
    announce (target);
}

/* Exits the event loop once every target has announced its leave and runs no
   task.  */
static void
exit_if_all_left (struct fake_target *target)
{
  struct timeval flush = now_timeval (FLUSH_MS);

  (void)target;
  for (int i = 0; i < settings.count; i++)
    if (!targets[i].left || targets[i].tasks != NULL)
      return;
  event_base_loopexit (base, &flush);
}

static void
on_terminate (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  for (int i = 0; i < settings.count; i++)
    {
      targets[i].leaving = true;
      schedule_announce (&targets[i], 0);
    }
}

static bool
start_target (int i)
{
  struct fake_target *target = &targets[i];
  struct evhttp *http = evhttp_new (base);

  if (settings.count == 1)
    snprintf (target->name, sizeof target->name, "%s", settings.name);
  else
    snprintf (target->name, sizeof target->name, "%s-%d", settings.name, i);
  target->port = (uint16_t)(settings.port + i);
  target->next_entry = i;
  evhttp_set_cb (http, "/v1/tasks/start", on_start, target);
  evhttp_set_cb (http, "/v1/tasks/stop", on_stop, target);
  if (evhttp_bind_socket (http, settings.address, target->port) != 0)
    {
      fprintf (stderr, "fake_target: cannot listen on %s:%u\n",
               settings.address, target->port);
      return false;
    }
  target->announce_timer = evtimer_new (base, on_announce_timer, target);
  schedule_announce (target, 0);
  return true;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Simulates targets for tests.",
          NULL,    NULL,         NULL };
  struct event *term;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  if (settings.entry_count == 0 || settings.count > TARGET_LIMIT)
    {
      fprintf (stderr, "fake_target: --entry is missing, or --count above "
                       "256\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  if (settings.record != NULL)
    record_fd = open (settings.record, O_WRONLY | O_CREAT | O_APPEND, 0600);
  base = event_base_new ();
  for (int i = 0; i < settings.count; i++)
    if (!start_target (i))
      return 3;
  term = evsignal_new (base, SIGTERM, on_terminate, NULL);
  event_add (term, NULL);
  event_base_dispatch (base);
  return 0;
}
