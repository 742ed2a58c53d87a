/* Soak test of ragwort-node: runs real keeper and entry processes on loopback
   addresses, while fake workers, callers and an operator in this process use
   the platform's protocol.  Faults overlap: processes are killed, paused,
   stopped gracefully and restarted; a keeper's disk is full or wiped; the
   connections between VMs go through a proxy that delays, black-holes, blocks
   (also in one direction) and resets them; workers ignore requests, send no
   replies, reset connections, fail their runs, restart and have slow clocks.

   Checked throughout, from what callers and workers observe:
   - no task runs twice at the same time,
   - a job whose attempts were all refused has run no task,
   - every request is answered in time, unless its entry was killed or paused,
   - a graceful stop interrupts no request,
   - a read never returns a configuration older than an acknowledged one,
   - once the faults have ended, requests are served again.  */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uthash.h>
#include "base/now.h"
#include "tests/soak/soak.h"

struct soak soak = { .seed = 1, .first_net = 31, .seconds = 20 };

/* A job with all its attempts.  */
struct job
{
  char id[20];
  uint32_t started; /* tasks that workers started */
  uint32_t refused;
  uint32_t attempts;
  bool pending; /* an attempt has no final answer yet */
  UT_hash_handle hh;
};

/* A task, and the number of workers that run it now.  */
struct running_task
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
  bool stopping; /* its entry was stopping or down when it was sent */
};

static struct job *jobs;
static struct running_task *running_tasks;
static char root[128];
static bool keep_logs;
static int64_t next_call_ms;
static uint32_t answered;
static uint32_t served;
static uint32_t final_requests;
static uint32_t final_served;

static uint32_t
next_random (uint64_t *state, uint32_t limit)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (uint32_t)(*state >> 11) % limit;
}

uint32_t
soak_random_fault (uint32_t limit)
{
  return next_random (&soak.fault_random, limit);
}

uint32_t
soak_random_load (uint32_t limit)
{
  return next_random (&soak.load_random, limit);
}

int64_t
soak_elapsed_ms (void)
{
  return now_ms () - soak.begin_ms;
}

void
soak_violation (const char *what, const char *id)
{
  soak.violations++;
  printf ("%" PRId64 " ms: %s: %s\n", soak_elapsed_ms (), what, id);
}

void
soak_log (const char *what, const char *id)
{
  printf ("%" PRId64 " ms: %s %s\n", soak_elapsed_ms (), what, id);
}

/* Returns the job of a task name of the form ID.OCCURRENCE.STEP.INDEX, or
   NULL.  */
static struct job *
find_job (const char *task)
{
  char id[WORKER_NAME_BYTES];
  struct job *j;

  snprintf (id, sizeof id, "%.*s", (int)strcspn (task, "."), task);
  HASH_FIND_STR (jobs, id, j);
  return j;
}

static void
on_started (const struct fake_worker *w, const char *task)
{
  struct job *j = find_job (task);
  struct running_task *r;

  (void)w;
  if (j == NULL)
    {
      soak_violation ("a task of an unknown job was started", task);
      return;
    }
  j->started++;
  if (!j->pending && j->refused == j->attempts)
    soak_violation ("a task of a refused job was started", task);
  HASH_FIND_STR (running_tasks, task, r);
  if (r == NULL)
    {
      r = calloc (1, sizeof *r);
      snprintf (r->task, sizeof r->task, "%s", task);
      HASH_ADD_STR (running_tasks, task, r);
    }
  if (++r->count > 1)
    soak_violation ("a task runs twice at the same time", task);
}

static void
on_ended (const struct fake_worker *w, const char *task, const char *outcome)
{
  struct running_task *r;

  (void)w;
  (void)outcome;
  HASH_FIND_STR (running_tasks, task, r);
  if (r != NULL && r->count != 0)
    r->count--;
}

static const struct worker_events worker_events = { on_started, on_ended };

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

  event_base_once (soak.base, -1, EV_TIMEOUT, on_resend, j, &t);
}

/* Whether the entry of C is paused, or was killed, paused or resumed since
   shortly before C was sent.  */
static bool
was_disturbed (const struct call *c)
{
  return c->entry->fault_ms >= c->sent_ms - 50 || c->entry->paused;
}

static void
check_unanswered (const struct call *c)
{
  /* A process does not listen yet just after its start.  */
  if (was_disturbed (c) || c->sent_ms - c->entry->start_ms < START_UP_MS)
    return;
  if (c->entry->pid == 0 || c->entry->stopping)
    {
      /* A connection that a stopping process never accepted does not count as
         an interrupted request.  */
      if (now_ms () - c->sent_ms > 300)
        soak_violation ("a graceful stop interrupted a request", c->job->id);
    }
  else if (!c->stopping)
    soak_violation ("a request got no answer", c->job->id);
}

static void
on_answer (struct evhttp_request *req, void *arg)
{
  struct call *c = arg;
  struct job *j = c->job;
  int status = req == NULL ? 0 : evhttp_request_get_response_code (req);

  j->pending = false;
  if (status == 0)
    check_unanswered (c);
  else if (now_ms () - c->sent_ms > DEADLINE_MS + ANSWER_SLACK_MS
           && !was_disturbed (c))
    soak_violation ("an answer came late", j->id);
  answered += status != 0;
  if (status == 200)
    served++;
  if (soak_elapsed_ms () > soak.seconds * 1000 + SETTLE_MS)
    {
      final_requests++;
      final_served += status == 200;
    }
  if (status == 503)
    {
      j->refused++;
      if (j->refused == j->attempts && j->started != 0)
        soak_violation ("a refused job has run", j->id);
    }
  else if (status != 200 && soak_elapsed_ms () < soak.seconds * 1000)
    {
      j->pending = true;
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
    c->entry = &soak.nodes[KEEPERS + soak_random_load (ENTRIES)];
  while (c->entry->pid == 0 && soak_random_load (4) != 0);
  j->pending = true;
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
                       1 + soak_random_load (4));
  c->conn = soak_connect (c->entry->address, CALLER_PORT,
                          DEADLINE_MS + 2 * ANSWER_SLACK_MS);
  evhttp_make_request (c->conn, req, EVHTTP_REQ_POST, path);
}

static void
send_calls (int64_t now)
{
  while (next_call_ms <= now
         && soak_elapsed_ms ()
                < soak.seconds * 1000 + SETTLE_MS + FINAL_PHASE_MS)
    {
      struct job *j = calloc (1, sizeof *j);

      next_call_ms += 1000 / CALLS_PER_SECOND;
      snprintf (j->id, sizeof j->id, "%08x%08x", soak_random_load (1U << 31),
                soak_random_load (1U << 31));
      HASH_ADD_STR (jobs, id, j);
      send_call (j);
    }
}

static void
end_fault_phase (void)
{
  static bool ended;

  if (ended || soak_elapsed_ms () < soak.seconds * 1000)
    return;
  ended = true;
  soak_log ("the faults end", "");
  for (int i = 0; i < WORKERS; i++)
    soak.workers[i].behaviour = WORKER_NORMAL;
  soak_end_faults (now_ms (), true);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  (void)arg;
  for (int i = 0; i < WORKERS; i++)
    fake_worker_tick (&soak.workers[i], now);
  soak_update_nodes (now);
  soak_inject_fault (now);
  soak_end_faults (now, false);
  end_fault_phase ();
  soak_send_heartbeats (now);
  soak_send_changes (now);
  send_calls (now);
  if (soak_elapsed_ms () > soak.seconds * 1000 + SETTLE_MS + FINAL_PHASE_MS
                               + DEADLINE_MS + ANSWER_SLACK_MS)
    event_base_loopbreak (soak.base);
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
      soak.nodes[i].index = i;
      snprintf (
          soak.nodes[i].address, sizeof soak.nodes[i].address, "127.0.%d.%d",
          i < KEEPERS ? soak.first_net : soak.first_net + 1, i % KEEPERS + 1);
      snprintf (soak.nodes[i].folder, sizeof soak.nodes[i].folder,
                "%s/node-%d", root, i);
      if (mkdir (soak.nodes[i].folder, 0700) != 0
          || fault_proxy_add (&soak.proxy, soak.nodes[i].address, PEER_PORT)
                 != i)
        return false;
      soak_start_node (&soak.nodes[i], true);
    }
  for (int i = 0; i < WORKERS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "w%d", i);
      snprintf (text, sizeof text, "127.0.%d.%d", soak.first_net + 2, i + 1);
      if (!fake_worker_start (&soak.workers[i], soak.base, id, text,
                              WORKER_PORT, i % 2 == 0 ? "zone-0" : "zone-1",
                              soak.seed + i + 1, &worker_events))
        return false;
    }
  return true;
}

/* Kills the processes that this program started; removes the folder, or
   keeps it with the logs if KEEP.  */
static void
tear_down (bool keep)
{
  for (int i = 0; i < NODES; i++)
    if (soak.nodes[i].pid != 0)
      {
        kill (soak.nodes[i].pid, SIGKILL);
        waitpid (soak.nodes[i].pid, NULL, 0);
      }
  if (keep)
    {
      printf ("logs are kept in %s\n", root);
      return;
    }
  soak_remove_folder (root);
}

static void
free_tables (void)
{
  struct job *j;
  struct job *next_job;
  struct running_task *r;
  struct running_task *next_task;

  HASH_ITER (hh, jobs, j, next_job)
  {
    HASH_DEL (jobs, j);
    free (j);
  }
  HASH_ITER (hh, running_tasks, r, next_task)
  {
    HASH_DEL (running_tasks, r);
    free (r);
  }
  for (int i = 0; i < WORKERS; i++)
    fake_worker_done (&soak.workers[i]);
  fault_proxy_done (&soak.proxy);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 's':
      soak.seed = strtoull (arg, NULL, 10);
      return 0;
    case 'k':
      keep_logs = true;
      return 0;
    case 'n':
      soak.first_net = atoi (arg);
      return 0;
    case 't':
      soak.seconds = strtoll (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARG:
      soak.program = arg;
      return 0;
    case ARGP_KEY_END:
      if (soak.program == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "Seed of the faults and the load (1)", 0 },
        { "keep", 'k', NULL, 0, "Keep the logs of a run without violations",
          0 },
        { "net", 'n', "N", 0,
          "Use 127.0.N.x and the next two /24 networks (31)", 0 },
        { "seconds", 't', "S", 0, "Duration of the faults (20)", 0 },
        { NULL, 0, NULL, 0, NULL, 0 } };

static const struct argp parser
    = { options,   parse_option,
        "PROGRAM", "Tests PROGRAM, a ragwort-node, under random faults.",
        NULL,      NULL,
        NULL };

int
main (int argc, char **argv)
{
  struct timeval tick = now_timeval (TICK_MS);
  struct event *timer;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  soak.fault_random = soak.seed * 0x9E3779B97F4A7C15U + 1;
  soak.load_random = soak.fault_random ^ 0xD1B54A32D192ED03U;
  soak.base = event_base_new ();
  fault_proxy_init (&soak.proxy, soak.base, LISTEN_PORT);
  soak.begin_ms = now_ms ();
  soak.fault_due_ms = soak.begin_ms + SETTLE_MS;
  next_call_ms = soak.begin_ms + SETTLE_MS / 2;
  soak.seconds += SETTLE_MS / 1000;
  if (!set_up ())
    {
      printf ("node_soak: cannot set up\n");
      return 2;
    }
  timer = event_new (soak.base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (soak.base);
  if (final_served * 100 < final_requests * SERVED_PERCENT
      || final_requests == 0)
    soak_violation ("requests are not served again after the faults", "");
  if (soak.changes_acked == 0)
    soak_violation ("no document was acknowledged", "");
  printf ("seed %" PRIu64 ": %u faults, %u answered, %u served, after the "
          "faults %u of %u, %u changes acknowledged, %u violations\n",
          soak.seed, soak.faults, answered, served, final_served,
          final_requests, soak.changes_acked, soak.violations);
  tear_down (keep_logs || soak.violations != 0);
  event_free (timer);
  free_tables ();
  event_base_free (soak.base);
  return soak.violations == 0 ? 0 : 1;
}
