/* A soak of ragwort-node: real keepers and entries as processes of their own,
   on loopback addresses, with workers, callers and an operator that speak the
   platform's protocol in this process.  Processes are killed, paused, stopped
   gracefully and started again in overlapping series; a keeper's disk is full
   or lost; the connections between VMs go through a forwarder that delays,
   silences, cuts one way and resets them; workers fall silent, lose answers,
   reset connections, fail, are reborn and have slow clocks.

   Checked all the while, from what callers and workers see:
   - no task runs twice at the same time,
   - a job whose every attempt was refused has run nothing,
   - every request gets an answer in its time, but for those that a kill or a
     pause of its entry cut,
   - a graceful stop cuts no request,
   - an acknowledged document is never read back older,
   - once the faults have ended, requests are served again.  */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uthash.h>
#include "base/now.h"
#include "tests/soak/fake_worker.h"
#include "tests/soak/fault_proxy.h"

enum
{
  KEEPERS = 3,
  ENTRIES = 3,
  NODES = KEEPERS + ENTRIES,
  WORKERS = 8,
  CALLS_A_SECOND = 30,
  TICK_MS = 10,
  HEARTBEAT_MS = 700,
  FAULT_GAP_MS = 900,
  CHANGE_GAP_MS = 1100,
  RESEND_MS = 1300,
  DEADLINE_MS = 2500,
  ANSWER_SLACK_MS = 700,
  SETTLE_MS = 8000,
  LAST_MS = 4000,
  GRACE_MS = 6000,
  START_UP_MS = 500,
  APPLY_MS = 2000,
  PEER_PORT = 18720,
  CALLER_PORT = 18721,
  READY_PORT = 18722,
  CONTROL_PORT = 18723,
  METRICS_PORT = 18724,
  WORKER_PORT = 18725,
  LISTEN_PORT = 18726, /* the peer port behind the forwarder */
  DELAY_MOST_MS = 300,
  FULL_DISK_BYTES = 64,
  WIPE_REST_MS = 8000,
  SERVED_PERCENT = 90,
  HARM_LIMIT = 4,
  TEXT_BYTES = 1024
};

struct node
{
  int index;
  char address[32];
  char folder[256];
  pid_t pid; /* 0 while down */
  bool paused;
  bool stopping;
  int64_t fault_ms; /* the last kill or pause of it */
  int64_t until_ms; /* when to resume or to start again */
  int64_t start_ms; /* the last start */
  bool full;        /* its disk takes no more bytes */
  int64_t full_until_ms;
};

/* A disturbance of the path between two VMs.  */
struct harm
{
  int from;
  int to;
  bool both;        /* ways */
  int64_t until_ms; /* 0: none */
};

/* A job, over all its attempts.  */
struct job
{
  char id[20];
  uint32_t started; /* tasks that workers began */
  uint32_t refused;
  uint32_t attempts;
  bool open; /* an attempt without a final answer */
  UT_hash_handle hh;
};

/* A task that runs somewhere.  */
struct running
{
  char task[WORKER_NAME_BYTES];
  uint32_t count;
  UT_hash_handle hh;
};

struct call
{
  struct job *job;
  struct node *entry;
  struct evhttp_connection *conn;
  int64_t sent_ms;
  bool stopping; /* its entry was stopping gracefully when it was sent */
};

static struct event_base *base;
static struct node nodes[NODES];
static struct fault_proxy proxy;
static struct harm harms[HARM_LIMIT];
static int64_t wiped_ms;
static struct fake_worker workers[WORKERS];
static struct job *jobs;
static struct running *runs;
static char root[128];
static const char *program;
static uint64_t seed = 1;
static int first_net = 31; /* 127.0.N.x and the next two are this soak's */
static int64_t seconds = 20;
static bool keep_logs;
/* The faults are drawn apart from the load, whose draws depend on answers:
   a seed has the same series of faults each time, as far as what they meet is
   the same.  */
static uint64_t fault_random;
static uint64_t load_random;
static int64_t begin_ms;
static int64_t heartbeat_ms;
static int64_t fault_ms;
static int64_t change_ms;
static int64_t call_ms;
static uint64_t next_version = 1;
static uint64_t acked_version;
static int64_t acked_ms;
static uint32_t violations;
static uint32_t answered;
static uint32_t served;
static uint32_t last_asked;
static uint32_t last_served;
static uint32_t changes_acked;
static uint32_t faults;

static uint32_t
next_random (uint64_t *state, uint32_t limit)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (uint32_t)(*state >> 11) % limit;
}

/* For the faults.  */
static uint32_t
draw (uint32_t limit)
{
  return next_random (&fault_random, limit);
}

/* For callers, operators and heartbeats.  */
static uint32_t
draw_load (uint32_t limit)
{
  return next_random (&load_random, limit);
}

static int64_t
elapsed_ms (void)
{
  return now_ms () - begin_ms;
}

static void
violation (const char *what, const char *id)
{
  violations++;
  printf ("%" PRId64 " ms: %s: %s\n", elapsed_ms (), what, id);
}

static void
note (const char *what, const char *id)
{
  printf ("%" PRId64 " ms: %s %s\n", elapsed_ms (), what, id);
}

/* The job of a task name, ID.OCCURRENCE.STEP.INDEX.  */
static struct job *
job_of (const char *task)
{
  char id[WORKER_NAME_BYTES];
  struct job *j;

  snprintf (id, sizeof id, "%.*s", (int)strcspn (task, "."), task);
  HASH_FIND_STR (jobs, id, j);
  return j;
}

static void
on_began (const struct fake_worker *w, const char *task)
{
  struct job *j = job_of (task);
  struct running *r;

  (void)w;
  if (j == NULL)
    {
      violation ("a task of no job was started", task);
      return;
    }
  j->started++;
  if (!j->open && j->refused == j->attempts)
    violation ("a task of a refused job was started", task);
  HASH_FIND_STR (runs, task, r);
  if (r == NULL)
    {
      r = calloc (1, sizeof *r);
      snprintf (r->task, sizeof r->task, "%s", task);
      HASH_ADD_STR (runs, task, r);
    }
  if (++r->count > 1)
    violation ("a task runs twice at the same time", task);
}

static void
on_ended (const struct fake_worker *w, const char *task, const char *how)
{
  struct running *r;

  (void)w;
  (void)how;
  HASH_FIND_STR (runs, task, r);
  if (r != NULL && r->count != 0)
    r->count--;
}

static const struct worker_events worker_events = { on_began, on_ended };

static bool
is_keeper (const struct node *n)
{
  return n->index < KEEPERS;
}

static void
write_settings (const struct node *n, bool first)
{
  char path[320];
  FILE *f;

  snprintf (path, sizeof path, "%s/settings.json", n->folder);
  f = fopen (path, "w");
  fprintf (f,
           "{\"vm\":\"node-%d\",\"role\":\"%s\",\"environment\":\"soak\","
           "\"address\":\"%s\",\"domain\":\"zone-%d\",\"peer_port\":%d,"
           "\"peer_listen_port\":%d,"
           "\"peer_secret\":\"0123456789abcdef\",\"metrics_port\":%d,"
           "\"seeds\":[\"127.0.%d.1:1\",\"127.0.%d.2:1\",\"127.0.%d.3:1\"],"
           "\"first_start\":%s,\"lost_keepers\":1,\"descriptors\":2000,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":%d,",
           n->index, is_keeper (n) ? "keeper" : "entry", n->address,
           n->index % 2, PEER_PORT, LISTEN_PORT, METRICS_PORT, first_net,
           first_net, first_net, first ? "true" : "false", GRACE_MS / 1000);
  if (is_keeper (n))
    fprintf (f, "\"control\":\"%s:%d\",\"data_folder\":\"%s/data\"}",
             n->address, CONTROL_PORT, n->folder);
  else
    fprintf (f, "\"callers\":\"%s:%d\",\"readiness\":\"%s:%d\"}", n->address,
             CALLER_PORT, n->address, READY_PORT);
  fclose (f);
}

static void
start_node (struct node *n, bool first)
{
  char path[320];
  char log[320];

  write_settings (n, first);
  snprintf (path, sizeof path, "%s/settings.json", n->folder);
  snprintf (log, sizeof log, "%s/log", n->folder);
  n->pid = fork ();
  if (n->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      signal (SIGXFSZ, SIG_IGN);
      execl (program, program, path, (char *)NULL);
      _exit (127);
    }
  n->paused = false;
  n->stopping = false;
  n->full = false;
  n->until_ms = 0;
  n->start_ms = now_ms ();
}

static void
kill_node (struct node *n)
{
  kill (n->pid, SIGKILL);
  waitpid (n->pid, NULL, 0);
  n->pid = 0;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 300 + draw (2000);
  note ("killed", n->address);
}

static void
pause_node (struct node *n)
{
  kill (n->pid, SIGSTOP);
  n->paused = true;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 200 + draw (3000);
  note ("paused", n->address);
}

static void
stop_node (struct node *n)
{
  kill (n->pid, SIGTERM);
  n->stopping = true;
  n->until_ms = now_ms () + GRACE_MS;
  note ("told to stop", n->address);
}

/* Resumes, collects and starts again what is due.  */
static void
tend_nodes (int64_t now)
{
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &nodes[i];

      if (n->paused && now >= n->until_ms)
        {
          kill (n->pid, SIGCONT);
          n->paused = false;
          n->fault_ms = now;
          note ("resumed", n->address);
        }
      else if (n->pid != 0 && !n->paused
               && waitpid (n->pid, NULL, WNOHANG) == n->pid)
        {
          if (!n->stopping)
            violation ("a process ended by itself", n->address);
          n->pid = 0;
          n->until_ms = now + 300;
        }
      else if (n->stopping && n->pid != 0 && now >= n->until_ms + 500)
        {
          violation ("a process outlived its grace", n->address);
          kill_node (n);
        }
      else if (n->pid == 0 && now >= n->until_ms)
        {
          start_node (n, false);
          note ("started", n->address);
        }
    }
}

/* Keepers that run undisturbed; a majority of them is left alone.  */
static uint32_t
sound_keepers (void)
{
  uint32_t count = 0;

  for (int i = 0; i < KEEPERS; i++)
    count += nodes[i].pid != 0 && !nodes[i].paused && !nodes[i].stopping
             && !nodes[i].full;
  return count;
}

/* Has the disk of N take no more bytes, by a limit of that process alone.  */
static void
set_full (struct node *n, bool full)
{
  struct rlimit limit = { RLIM_INFINITY, RLIM_INFINITY };

  if (full)
    limit.rlim_cur = FULL_DISK_BYTES;
  if (prlimit (n->pid, RLIMIT_FSIZE, &limit, NULL) != 0)
    return;
  n->full = full;
  n->full_until_ms = now_ms () + 500 + draw (3000);
  note (full ? "disk is full" : "disk has room", n->address);
}

static void
remove_folder (const char *folder)
{
  char command[320];

  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    printf ("cannot remove %s\n", folder);
}

/* Kills N, which comes back with an empty disk.  */
static void
wipe_node (struct node *n)
{
  char folder[300];

  kill_node (n);
  snprintf (folder, sizeof folder, "%s/data", n->folder);
  remove_folder (folder);
  wiped_ms = now_ms ();
  note ("lost its disk", n->address);
}

static void
fault_disk (int64_t now)
{
  struct node *n = &nodes[draw (KEEPERS)];

  if (sound_keepers () < KEEPERS || now - wiped_ms < WIPE_REST_MS)
    return;
  if (draw (2) == 0)
    set_full (n, true);
  else
    wipe_node (n);
}

static void
set_harm (const struct harm *h, bool cut, int64_t delay_ms)
{
  fault_proxy_cut (&proxy, h->from, h->to, cut);
  fault_proxy_delay (&proxy, h->from, h->to, delay_ms);
  if (!h->both)
    return;
  fault_proxy_cut (&proxy, h->to, h->from, cut);
  fault_proxy_delay (&proxy, h->to, h->from, delay_ms);
}

/* Disturbs the path between two VMs for a while.  Keepers are cut off from
   each other as little as they are lost: a majority stays together.  */
static void
fault_path (int64_t now)
{
  struct harm h = { .from = (int)draw (NODES), .to = (int)draw (NODES) };
  uint32_t kind = draw (4);

  if (h.from == h.to)
    return;
  printf ("%" PRId64 " ms: path %s to %s: %u\n", elapsed_ms (),
          nodes[h.from].address, nodes[h.to].address, kind);
  if (kind == 0)
    fault_proxy_reset (&proxy, h.from, h.to);
  else if (kind == 1)
    fault_proxy_silence (&proxy, h.from, h.to);
  for (int i = 0; i < HARM_LIMIT && kind > 1; i++)
    if (harms[i].until_ms == 0)
      {
        h.both = draw (2) == 0;
        h.until_ms = now + 300 + draw (3000);
        harms[i] = h;
        set_harm (&h, kind == 2,
                  kind == 3 ? 20 + (int64_t)draw (DELAY_MOST_MS) : 0);
        return;
      }
}

/* Ends the disturbances that are over, or all.  */
static void
end_harms (int64_t now, bool all)
{
  for (int i = 0; i < HARM_LIMIT; i++)
    if (harms[i].until_ms != 0 && (all || now >= harms[i].until_ms))
      {
        set_harm (&harms[i], false, 0);
        harms[i].until_ms = 0;
      }
  for (int i = 0; i < KEEPERS; i++)
    if (nodes[i].full && nodes[i].pid != 0
        && (all || now >= nodes[i].full_until_ms))
      set_full (&nodes[i], false);
}

static void
fault_worker (void)
{
  struct fake_worker *w = &workers[draw (WORKERS)];

  if (w->mood != WORKER_GOOD)
    w->mood = WORKER_GOOD;
  else if (draw (6) == 0)
    {
      fake_worker_reborn (w, now_ms ());
      note ("reborn", w->id);
    }
  else
    {
      w->mood = (enum worker_mood) (1 + draw (4));
      note ("out of order", w->id);
    }
}

static void
fault_node (void)
{
  struct node *n = &nodes[draw (NODES)];

  if (n->pid == 0 || n->paused || n->stopping
      || (is_keeper (n) && sound_keepers () < KEEPERS))
    return;
  switch (draw (3))
    {
    case 0:
      kill_node (n);
      break;
    case 1:
      pause_node (n);
      break;
    default:
      stop_node (n);
    }
}

static void
make_fault (int64_t now)
{
  if (elapsed_ms () > seconds * 1000 || now < fault_ms)
    return;
  fault_ms = now + FAULT_GAP_MS / 2 + draw (FAULT_GAP_MS);
  faults++;
  switch (draw (6))
    {
    case 0:
    case 1:
      fault_worker ();
      break;
    case 2:
    case 3:
      fault_node ();
      break;
    case 4:
      fault_path (now);
      break;
    default:
      fault_disk (now);
    }
}

static struct evhttp_connection *
connect_to (const char *address, uint16_t port, int64_t timeout_ms)
{
  struct evhttp_connection *c
      = evhttp_connection_base_new (base, NULL, address, port);
  struct timeval t = now_timeval (timeout_ms);

  evhttp_connection_set_timeout_tv (c, &t);
  evhttp_connection_free_on_completion (c);
  return c;
}

static void send_call (struct job *j);

static void
on_resend (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  send_call (arg);
}

static void
resend_later (struct job *j)
{
  struct timeval t = now_timeval (RESEND_MS);

  event_base_once (base, -1, EV_TIMEOUT, on_resend, j, &t);
}

static bool
was_disturbed (const struct call *c)
{
  return c->entry->fault_ms >= c->sent_ms - 50 || c->entry->paused;
}

static void
check_unanswered (const struct call *c)
{
  /* Nobody listens in the first moments of a process.  */
  if (was_disturbed (c) || c->sent_ms - c->entry->start_ms < START_UP_MS)
    return;
  if (c->entry->pid == 0 || c->entry->stopping)
    {
      /* A connection that a stopping process never took is no cut.  */
      if (now_ms () - c->sent_ms > 300)
        violation ("a graceful stop cut a request", c->job->id);
    }
  else if (!c->stopping)
    violation ("a request got no answer", c->job->id);
}

static void
on_answer (struct evhttp_request *req, void *arg)
{
  struct call *c = arg;
  struct job *j = c->job;
  int status = req == NULL ? 0 : evhttp_request_get_response_code (req);

  j->open = false;
  if (status == 0)
    check_unanswered (c);
  else if (now_ms () - c->sent_ms > DEADLINE_MS + ANSWER_SLACK_MS
           && !was_disturbed (c))
    violation ("an answer came late", j->id);
  answered += status != 0;
  if (status == 200)
    served++;
  if (elapsed_ms () > seconds * 1000 + SETTLE_MS)
    {
      last_asked++;
      last_served += status == 200;
    }
  if (status == 503)
    {
      j->refused++;
      if (j->refused == j->attempts && j->started != 0)
        violation ("a refused job has run", j->id);
    }
  else if (status != 200 && elapsed_ms () < seconds * 1000)
    {
      j->open = true;
      resend_later (j);
    }
  free (c);
}

static void
send_call (struct job *j)
{
  struct call *c = calloc (1, sizeof *c);
  struct evhttp_request *req = evhttp_request_new (on_answer, c);
  char deadline[16];
  char path[64];

  do
    c->entry = &nodes[KEEPERS + draw_load (ENTRIES)];
  while (c->entry->pid == 0 && draw_load (4) != 0);
  j->open = true;
  j->attempts++;
  c->job = j;
  c->sent_ms = now_ms ();
  c->stopping = c->entry->stopping || c->entry->pid == 0;
  snprintf (path, sizeof path, "/jobs/%s", j->id);
  snprintf (deadline, sizeof deadline, "%d", DEADLINE_MS);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Host",
                     "soak.example");
  evhttp_add_header (evhttp_request_get_output_headers (req),
                     "X-Ragwortline-Deadline-Ms", deadline);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Connection",
                     "close");
  evbuffer_add_printf (evhttp_request_get_output_buffer (req),
                       "{\"spec\":\"x\",\"best-effort\":true,\"steps\":[{"
                       "\"count\":%u,\"cpu\":4000,\"mem-mb\":64,"
                       "\"estimate-ms\":100}]}",
                       1 + draw_load (4));
  c->conn = connect_to (c->entry->address, CALLER_PORT,
                        DEADLINE_MS + 2 * ANSWER_SLACK_MS);
  evhttp_make_request (c->conn, req, EVHTTP_REQ_POST, path);
}

static void
make_calls (int64_t now)
{
  while (call_ms <= now
         && elapsed_ms () < seconds * 1000 + SETTLE_MS + LAST_MS)
    {
      struct job *j = calloc (1, sizeof *j);

      call_ms += 1000 / CALLS_A_SECOND;
      snprintf (j->id, sizeof j->id, "%08x%08x", draw_load (1U << 31),
                draw_load (1U << 31));
      HASH_ADD_STR (jobs, id, j);
      send_call (j);
    }
}

struct control_call
{
  uint64_t version; /* put; 0 for a read */
  uint64_t acked;   /* before the read was sent, long enough */
  struct fake_worker *worker;
  char *body;
  uint32_t hops;
};

static void send_control (struct control_call *c, const char *address);

static void
control_free (struct control_call *c)
{
  free (c->body);
  free (c);
}

static void
check_read (const struct control_call *c, struct evhttp_request *req)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  json_t *o = json_loadb ((char *)evbuffer_pullup (in, -1),
                          evbuffer_get_length (in), 0, NULL);

  if ((uint64_t)json_integer_value (json_object_get (o, "version")) < c->acked)
    violation ("an older document was read", "");
  json_decref (o);
}

static void
on_control (struct evhttp_request *req, void *arg)
{
  struct control_call *c = arg;
  int status = req == NULL ? 0 : evhttp_request_get_response_code (req);
  const char *location
      = status != 307 ? NULL
                      : evhttp_find_header (
                          evhttp_request_get_input_headers (req), "Location");
  char address[32];

  if (location != NULL && c->hops++ < 2
      && sscanf (location, "http://%31[0-9.]", address) == 1)
    {
      send_control (c, address);
      return;
    }
  if (c->version != 0 && status == 200)
    {
      changes_acked++;
      if (c->version > acked_version)
        {
          acked_version = c->version;
          acked_ms = now_ms ();
        }
    }
  if (c->version == 0 && c->worker == NULL && status == 200)
    check_read (c, req);
  if (c->version != 0 && status >= 400 && status < 500)
    violation ("a valid document was refused", "");
  control_free (c);
}

static void
send_control (struct control_call *c, const char *address)
{
  struct evhttp_request *req = evhttp_request_new (on_control, c);
  char path[96] = "/v1/config";

  evhttp_add_header (evhttp_request_get_output_headers (req), "Host", address);
  if (c->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (req), c->body,
                  strlen (c->body));
  if (c->worker != NULL)
    snprintf (path, sizeof path, "/v1/instances/%s", c->worker->id);
  evhttp_make_request (connect_to (address, CONTROL_PORT, 1000), req,
                       c->body != NULL ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                       path);
}

static struct control_call *
control_new (void)
{
  return calloc (1, sizeof (struct control_call));
}

static const char *
any_keeper (void)
{
  return nodes[draw_load (KEEPERS)].address;
}

static void
put_document (void)
{
  struct control_call *c = control_new ();
  char text[TEXT_BYTES];

  c->version = next_version++;
  snprintf (text, sizeof text,
            "{\"version\":%" PRIu64 ",\"routes\":[{\"name\":\"r\",\"host\":"
            "\"soak.example\",\"path-prefix\":\"/jobs/\",\"timeout-ms\":%d,"
            "\"target-duration-ms\":400,\"service\":\"svc\",\"max-attempts\":"
            "4,\"stretch\":2}],\"services\":[{\"name\":\"svc\"}]}",
            c->version, 1500 + (int)draw_load (500));
  c->body = strdup (text);
  send_control (c, any_keeper ());
}

static void
make_changes (int64_t now)
{
  struct control_call *read;

  if (now < change_ms)
    return;
  change_ms = now + CHANGE_GAP_MS / 2 + draw_load (CHANGE_GAP_MS);
  put_document ();
  read = control_new ();
  read->acked = now - acked_ms > APPLY_MS ? acked_version : 0;
  send_control (read, any_keeper ());
}

static void
send_heartbeats (int64_t now)
{
  if (now < heartbeat_ms)
    return;
  heartbeat_ms = now + HEARTBEAT_MS;
  for (int i = 0; i < WORKERS; i++)
    {
      struct control_call *c = control_new ();

      c->worker = &workers[i];
      c->body = fake_worker_heartbeat (&workers[i]);
      send_control (c, any_keeper ());
    }
}

static void
calm_down (void)
{
  static bool calm;

  if (calm || elapsed_ms () < seconds * 1000)
    return;
  calm = true;
  note ("the faults end", "");
  for (int i = 0; i < WORKERS; i++)
    workers[i].mood = WORKER_GOOD;
  end_harms (now_ms (), true);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  (void)arg;
  for (int i = 0; i < WORKERS; i++)
    fake_worker_tick (&workers[i], now);
  tend_nodes (now);
  make_fault (now);
  end_harms (now, false);
  calm_down ();
  send_heartbeats (now);
  make_changes (now);
  make_calls (now);
  if (elapsed_ms ()
      > seconds * 1000 + SETTLE_MS + LAST_MS + DEADLINE_MS + ANSWER_SLACK_MS)
    event_base_loopbreak (base);
}

static bool
set_up (void)
{
  char text[64];

  snprintf (root, sizeof root, "/tmp/ragwort-soak-XXXXXX");
  if (mkdtemp (root) == NULL)
    return false;
  for (int i = 0; i < NODES; i++)
    {
      nodes[i].index = i;
      snprintf (nodes[i].address, sizeof nodes[i].address, "127.0.%d.%d",
                i < KEEPERS ? first_net : first_net + 1, i % KEEPERS + 1);
      snprintf (nodes[i].folder, sizeof nodes[i].folder, "%s/node-%d", root,
                i);
      if (mkdir (nodes[i].folder, 0700) != 0
          || fault_proxy_add (&proxy, nodes[i].address, PEER_PORT) != i)
        return false;
      start_node (&nodes[i], true);
    }
  for (int i = 0; i < WORKERS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "w%d", i);
      snprintf (text, sizeof text, "127.0.%d.%d", first_net + 2, i + 1);
      if (!fake_worker_start (&workers[i], base, id, text, WORKER_PORT,
                              i % 2 == 0 ? "zone-0" : "zone-1", seed + i + 1,
                              &worker_events))
        return false;
    }
  return true;
}

/* Ends only what this program started.  */
static void
tear_down (bool keep)
{
  for (int i = 0; i < NODES; i++)
    if (nodes[i].pid != 0)
      {
        kill (nodes[i].pid, SIGKILL);
        waitpid (nodes[i].pid, NULL, 0);
      }
  if (keep)
    {
      printf ("logs are kept in %s\n", root);
      return;
    }
  remove_folder (root);
}

static void
free_tables (void)
{
  struct job *j;
  struct job *next_job;
  struct running *r;
  struct running *next_run;

  HASH_ITER (hh, jobs, j, next_job)
  {
    HASH_DEL (jobs, j);
    free (j);
  }
  HASH_ITER (hh, runs, r, next_run)
  {
    HASH_DEL (runs, r);
    free (r);
  }
  for (int i = 0; i < WORKERS; i++)
    fake_worker_done (&workers[i]);
  fault_proxy_done (&proxy);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 's':
      seed = strtoull (arg, NULL, 10);
      return 0;
    case 'k':
      keep_logs = true;
      return 0;
    case 'n':
      first_net = atoi (arg);
      return 0;
    case 't':
      seconds = strtoll (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARG:
      program = arg;
      return 0;
    case ARGP_KEY_END:
      if (program == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "The seed of the faults", 0 },
        { "keep", 'k', NULL, 0, "Keeps the logs of a run without a fault", 0 },
        { "net", 'n', "N", 0, "127.0.N.x and the next two nets are used (31)",
          0 },
        { "seconds", 't', "S", 0, "How long faults are made", 0 },
        { NULL, 0, NULL, 0, NULL, 0 } };

static const struct argp parser = {
  options,   parse_option,
  "PROGRAM", "Soaks PROGRAM, a ragwort-node, under faults drawn from a seed.",
  NULL,      NULL,
  NULL
};

int
main (int argc, char **argv)
{
  struct timeval tick = now_timeval (TICK_MS);
  struct event *timer;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  fault_random = seed * 0x9E3779B97F4A7C15U + 1;
  load_random = fault_random ^ 0xD1B54A32D192ED03U;
  base = event_base_new ();
  fault_proxy_init (&proxy, base, LISTEN_PORT);
  begin_ms = now_ms ();
  fault_ms = begin_ms + SETTLE_MS;
  call_ms = begin_ms + SETTLE_MS / 2;
  seconds += SETTLE_MS / 1000;
  if (!set_up ())
    {
      printf ("node_soak: cannot set up\n");
      return 2;
    }
  timer = event_new (base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (base);
  if (last_served * 100 < last_asked * SERVED_PERCENT || last_asked == 0)
    violation ("requests are not served again after the faults", "");
  if (changes_acked == 0)
    violation ("no document was acknowledged", "");
  printf ("seed %" PRIu64 ": %u faults, %u answered, %u served, after the "
          "faults %u of %u, %u changes acknowledged, %u violations\n",
          seed, faults, answered, served, last_served, last_asked,
          changes_acked, violations);
  tear_down (keep_logs || violations != 0);
  event_free (timer);
  free_tables ();
  event_base_free (base);
  return violations == 0 ? 0 : 1;
}
