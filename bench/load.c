/* load: a load generator.  Sends submissions and measures their latency.

   Closed loop (--outstanding): N callers, each of which waits for its answer
   before it sends the next submission.  Open loop (--rate): submissions arrive
   as a Poisson process of that rate, independent of the answers.  Latency is
   measured from the time at which a submission was due, so that waiting for a
   free connection counts (no coordinated omission).
   Prints the result as one JSON object.  */
#include <argp.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <inttypes.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"

enum
{
  SERVER_LIMIT = 32,
  CONNECTION_LIMIT = 4000,
  ANSWER_LIMIT = 8000000,
  TICK_MS = 1
};

struct load_options
{
  const char *servers[SERVER_LIMIT];
  int server_count;
  const char *path;
  const char *token;
  const char *kind;
  int tasks;
  int run_ms;
  int slow_ms;    /* run time of the tasks of each slow_every-th submission */
  int slow_every; /* 0: no submission is slow */
  int outstanding;
  double rate;
  double seconds;
  int deadline_ms;
  bool non_idempotent;
  uint64_t seed;
};

struct connection
{
  struct bufferevent *bev;
  int64_t due_us;
  struct connection *next_idle;
  int server;
};

static struct load_options config = { .path = "/v1/jobs",
                                      .token = "token-shop",
                                      .kind = "check",
                                      .tasks = 1,
                                      .run_ms = 0,
                                      .outstanding = 8,
                                      .seconds = 3,
                                      .deadline_ms = 10000,
                                      .seed = 1 };
static struct event_base *base;
static struct connection *idle;
static int open_connections;
static int in_flight;
static float *latencies_ms;
static uint32_t answers;
static uint64_t complete;
static uint64_t refused;
static uint64_t unknown;
static uint64_t failed;
static uint64_t broken;
static int64_t begin_us;
static int64_t end_us;
static int64_t last_us;
static double next_due_us;
static uint64_t random_state;

/* Due times of submissions that wait for a free connection: a queue from
   waiting_head up to waiting_tail.  */
static double *waiting_due_us;
static size_t waiting_head;
static size_t waiting_tail;

static const struct argp_option options[] = {
  { "server", 's', "IP:PORT", 0, "Server to send to; may be repeated", 0 },
  { "path", 'p', "PATH", 0, "/v1/jobs, /v1/requests or /v1/tasks/start", 0 },
  { "token", 't', "TOKEN", 0, "The team's token", 0 },
  { "kind", 'k', "KIND", 0, "The tasks' kind", 0 },
  { "tasks", 'n', "N", 0, "Number of tasks per job", 0 },
  { "run-ms", 'r', "MS", 0, "Run time of a task", 0 },
  { "slow-ms", 'l', "MS", 0,
    "Run time of the tasks of the slow jobs; needs --slow-every", 0 },
  { "slow-every", 'e', "N", 0, "Make every N-th job slow; needs --slow-ms",
    0 },
  { "outstanding", 'o', "N", 0, "Closed loop with N callers", 0 },
  { "rate", 'a', "R", 0, "Open loop with R submissions a second", 0 },
  { "seconds", 'd', "S", 0, "Duration of the load", 0 },
  { "deadline-ms", 'D', "MS", 0, "The submissions' deadline", 0 },
  { "non-idempotent", 'x', NULL, 0, "Send non-idempotent requests", 0 },
  { "seed", 'S', "N", 0, "Seed of the random arrival times", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct load_options *o = &config;

  (void)state;
  switch (key)
    {
    case 's':
      o->servers[o->server_count++ % SERVER_LIMIT] = arg;
      break;
    case 'p':
      o->path = arg;
      break;
    case 't':
      o->token = arg;
      break;
    case 'k':
      o->kind = arg;
      break;
    case 'n':
      o->tasks = atoi (arg);
      break;
    case 'r':
      o->run_ms = atoi (arg);
      break;
    case 'l':
      o->slow_ms = atoi (arg);
      break;
    case 'e':
      o->slow_every = atoi (arg);
      break;
    case 'o':
      o->outstanding = atoi (arg);
      break;
    case 'a':
      o->rate = atof (arg);
      break;
    case 'd':
      o->seconds = atof (arg);
      break;
    case 'D':
      o->deadline_ms = atoi (arg);
      break;
    case 'x':
      o->non_idempotent = true;
      break;
    case 'S':
      o->seed = strtoull (arg, NULL, 10);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static double
next_random (void)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (double)(random_state >> 11) / 9007199254740992.0;
}

static void
write_tasks (struct evbuffer *b, int run_ms)
{
  for (int i = 0; i < config.tasks; i++)
    evbuffer_add_printf (
        b, "%s{\"kind\":\"%s\",\"payload\":{\"run_ms\":%d,\"number\":%d}}",
        i == 0 ? "" : ",", config.kind, run_ms, i);
}

static struct evbuffer *
make_body (void)
{
  static uint64_t number;
  struct evbuffer *b = evbuffer_new ();
  bool slow
      = config.slow_every != 0 && ++number % (uint64_t)config.slow_every == 0;
  int run_ms = slow ? config.slow_ms : config.run_ms;

  if (strcmp (config.path, "/v1/jobs") == 0)
    {
      evbuffer_add_printf (b, "{\"deadline_ms\":%d,\"tasks\":[",
                           config.deadline_ms);
      write_tasks (b, run_ms);
      evbuffer_add_printf (b, "]}");
    }
  else if (strcmp (config.path, "/v1/requests") == 0)
    evbuffer_add_printf (b,
                         "{\"deadline_ms\":%d,\"idempotent\":%s,\"kind\":"
                         "\"%s\",\"payload\":{\"run_ms\":%d,\"number\":0}}",
                         config.deadline_ms,
                         config.non_idempotent ? "false" : "true", config.kind,
                         run_ms);
  else
    evbuffer_add_printf (b, "{\"run_ms\":%d,\"number\":0}", run_ms);
  return b;
}

static void
send_submission (struct connection *c, int64_t due_us)
{
  static uint64_t number;
  struct evbuffer *out = bufferevent_get_output (c->bev);
  struct evbuffer *body = make_body ();

  c->due_us = due_us;
  in_flight++;
  evbuffer_add_printf (out,
                       "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                       "%s\r\nRagwort-Task: t/load-%" PRIu64
                       "#0\r\nRagwort-Kind: %s\r\nRagwort-Start: "
                       "direct\r\nContent-Length: %zu\r\n\r\n",
                       config.path, config.token, ++number, config.kind,
                       evbuffer_get_length (body));
  evbuffer_add_buffer (out, body);
  evbuffer_free (body);
}

static void
count_answer (int status, const char *body)
{
  if (status == 200
      && (strcmp (config.path, "/v1/tasks/start") == 0
          || strstr (body, "\"state\":\"complete\"") != NULL))
    complete++;
  else if (strstr (body, "\"outcome\":\"not_run\"") != NULL)
    refused++;
  else if (strstr (body, "\"outcome\":\"unknown\"") != NULL)
    unknown++;
  else
    failed++;
}

static void
handle_answer (struct connection *c, int status, const char *body)
{
  int64_t now = now_us ();

  in_flight--;
  last_us = now;
  count_answer (status, body);
  if (answers < ANSWER_LIMIT)
    latencies_ms[answers++] = (float)(now - c->due_us) / 1000;
  if (config.rate == 0)
    {
      if (now < end_us)
        send_submission (c, now);
      return;
    }
  if (waiting_head < waiting_tail)
    {
      send_submission (c, (int64_t)waiting_due_us[waiting_head++]);
      return;
    }
  c->next_idle = idle;
  idle = c;
}

/* Handles the next answer.  Returns false if it has not been received
   completely.  */
static bool
read_answer (struct connection *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);
  struct evbuffer_ptr header_end = evbuffer_search (in, "\r\n\r\n", 4, NULL);
  size_t length;
  const char *at;
  char *text;

  if (header_end.pos < 0)
    return false;
  text = (char *)evbuffer_pullup (in, header_end.pos + 4);
  at = memmem (text, (size_t)header_end.pos, "Content-Length:", 15);
  length = at == NULL ? 0 : strtoul (at + 15, NULL, 10);
  if (evbuffer_get_length (in) < (size_t)header_end.pos + 4 + length)
    return false;
  text = malloc ((size_t)header_end.pos + 5 + length);
  evbuffer_remove (in, text, (size_t)header_end.pos + 4 + length);
  text[(size_t)header_end.pos + 4 + length] = '\0';
  handle_answer (c, atoi (text + 9), text + header_end.pos + 4);
  free (text);
  return true;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  (void)bev;
  while (read_answer (arg))
    ;
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)arg;
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) == 0)
    return;
  broken++;
  in_flight--;
  open_connections--;
  bufferevent_free (bev);
}

static struct connection *
open_connection (void)
{
  struct connection *c = calloc (1, sizeof *c);
  const char *server = config.servers[open_connections % config.server_count];
  struct sockaddr_in to = { .sin_family = AF_INET };
  const char *colon = strchr (server, ':');
  char address[32];
  int on = 1;

  snprintf (address, sizeof address, "%.*s", (int)(colon - server), server);
  inet_pton (AF_INET, address, &to.sin_addr);
  to.sin_port = htons ((uint16_t)atoi (colon + 1));
  c->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (c->bev, on_read, NULL, on_event, c);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (c->bev, (struct sockaddr *)&to, sizeof to)
      != 0)
    exit (3);
  setsockopt (bufferevent_getfd (c->bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  open_connections++;
  return c;
}

static void
send_due (int64_t due_us)
{
  struct connection *c = idle;

  if (c != NULL)
    idle = c->next_idle;
  else if (open_connections < CONNECTION_LIMIT)
    c = open_connection ();
  if (c != NULL)
    send_submission (c, due_us);
  else if (waiting_tail < ANSWER_LIMIT)
    waiting_due_us[waiting_tail++] = (double)due_us;
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  int64_t now = now_us ();

  (void)fd;
  (void)what;
  (void)arg;
  while (config.rate != 0 && next_due_us <= (double)now
         && next_due_us < (double)end_us)
    {
      send_due ((int64_t)next_due_us);
      next_due_us += -log (1 - next_random ()) * 1e6 / config.rate;
    }
  if (now > end_us && (in_flight <= 0 || now > end_us + 30000000))
    event_base_loopbreak (base);
}

static int
compare (const void *a, const void *b)
{
  float x = *(const float *)a;
  float y = *(const float *)b;

  return x < y ? -1 : x > y;
}

static double
quantile (double q)
{
  return answers == 0 ? 0 : latencies_ms[(size_t)(q * (answers - 1))];
}

static void
print_result (void)
{
  double seconds = (double)(last_us - begin_us) / 1e6;

  qsort (latencies_ms, answers, sizeof latencies_ms[0], compare);
  printf ("{\"answers\":%u,\"complete\":%" PRIu64 ",\"refused\":%" PRIu64
          ",\"unknown\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"broken\":%" PRIu64
          ",\"seconds\":%.3f,\"tasks_per_s\":%.0f,"
          "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"p999_ms\":%.3f}\n",
          answers, complete, refused, unknown, failed, broken, seconds,
          (double)complete * config.tasks / seconds, quantile (0.5),
          quantile (0.99), quantile (0.999));
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Sends load and measures answers.",
          NULL,    NULL,         NULL };
  struct timeval tick = now_timeval (TICK_MS);
  struct event *timer;

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  if (config.server_count == 0)
    return 2;
  random_state = config.seed * 0x9E3779B97F4A7C15U + 1;
  latencies_ms = malloc (ANSWER_LIMIT * sizeof *latencies_ms);
  waiting_due_us = malloc (ANSWER_LIMIT * sizeof *waiting_due_us);
  base = event_base_new ();
  begin_us = now_us ();
  end_us = begin_us + (int64_t)(config.seconds * 1e6);
  next_due_us = (double)begin_us;
  for (int i = 0; config.rate == 0 && i < config.outstanding; i++)
    send_submission (open_connection (), begin_us);
  timer = event_new (base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (base);
  print_result ();
  return 0;
}
