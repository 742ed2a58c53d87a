#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"
#include "tests/soak/caller_connections.h"
#include "tests/soak/soak.h"

enum
{
  CLOSING_CALLERS = 4, /* one in so many wants its connection closed */
  LEAVING_CALLERS = 6, /* one in so many does not send its job again */
  BURST_FACTOR = 4,
  BURST_MIN_MS = 300,
  BURST_SPREAD_MS = 1500
};

/* The request of one attempt.  */
struct call
{
  struct job *job;
  uint32_t attempt;
  struct evhttp_connection *connection;
  struct evbuffer_cb_entry *watch; /* of the bytes to be written */
};

static struct job *jobs;
static int64_t next_call_us;
static int64_t burst_until_ms;
static uint32_t answered;
static uint32_t served;
static uint32_t final_requests;
static uint32_t final_served;

struct job *
soak_find_job (const char *task)
{
  char id[WORKER_NAME_BYTES];
  struct job *j;

  snprintf (id, sizeof id, "%.*s", (int)strcspn (task, "."), task);
  HASH_FIND_STR (jobs, id, j);
  return j;
}

static void send_call (struct job *j, struct node *entry);
static struct node *choose_entry (void);

static void
on_resend (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  send_call (arg, choose_entry ());
}

static void
resend_later (struct job *j)
{
  struct timeval t = now_timeval (RESEND_MS);

  event_base_once (soak.base, -1, EV_TIMEOUT, on_resend, j, &t);
}

/* Whether the entry of A is paused, or was killed, paused or resumed since
   shortly before A was sent.  */
static bool
was_disturbed (const struct attempt *a)
{
  return a->entry->fault_ms >= a->sent_ms - 50 || a->entry->paused;
}

static void
check_unanswered (const struct attempt *a, const struct job *j)
{
  if (was_disturbed (a) || a->sent_ms < a->entry->listen_ms)
    return;
  if (a->entry->pid != 0 && a->entry->listen_ms == 0)
    return;
  if (a->entry->pid == 0 || a->entry->stopping)
    {
      /* A connection that a stopping process never accepted does not count as
         an interrupted request.  */
      if (a->written_ms != 0 && a->ended_ms - a->written_ms > 300)
        soak_job_violation ("a graceful stop interrupted a request", j);
    }
  else if (!a->stopping)
    soak_job_violation ("a request got no answer", j);
}

/* Whether the answer to A came late even if it came right after the last
   tick.  */
static bool
came_late (const struct attempt *a)
{
  return soak_last_tick_ms () - a->written_ms
         > DEADLINE_MS + ANSWER_SLACK_MS - TICK_MS;
}

static void
count_answer (int status)
{
  answered += status != 0;
  served += status == 200;
  if (soak_elapsed_ms () <= soak.seconds * 1000 + SETTLE_MS)
    return;
  final_requests++;
  final_served += status == 200;
}

static struct evbuffer *
output_of (const struct call *c)
{
  return bufferevent_get_output (
      evhttp_connection_get_bufferevent (c->connection));
}

static void
on_output (struct evbuffer *output, const struct evbuffer_cb_info *info,
           void *arg)
{
  const struct call *c = arg;

  if (info->n_deleted != 0 && evbuffer_get_length (output) == 0)
    c->job->attempts[c->attempt].written_ms = now_ms ();
}

static void
on_answer (struct evhttp_request *req, void *arg)
{
  struct call *c = arg;
  struct job *j = c->job;
  struct attempt *a = &j->attempts[c->attempt];

  evbuffer_remove_cb_entry (output_of (c), c->watch);
  caller_connection_release (a->entry, c->connection);
  free (c);
  a->call = NULL;
  a->status = req == NULL ? 0 : evhttp_request_get_response_code (req);
  a->ended_ms = now_ms ();
  j->pending = false;
  if (a->status == 0)
    check_unanswered (a, j);
  else if (came_late (a) && !was_disturbed (a))
    soak_job_violation ("an answer came late", j);
  count_answer (a->status);
  if (a->status == 503)
    {
      j->refused++;
      if (j->refused == j->attempt_count && j->started != 0)
        soak_job_violation ("a refused job has run", j);
    }
  else if (a->status != 200 && !soak_faults_ended ())
    {
      j->pending = true;
      resend_later (j);
    }
}

/* Breaks the connection of attempt A of J: in half of the cases with a
   reset.  */
static void
break_call (struct job *j, struct attempt *a)
{
  evbuffer_remove_cb_entry (output_of (a->call), a->call->watch);
  caller_connection_break (a->call->connection, soak_random_load (2) == 0);
  free (a->call);
  a->call = NULL;
  a->ended_ms = now_ms ();
  j->pending = soak_random_load (LEAVING_CALLERS) != 0;
  if (j->pending)
    resend_later (j);
}

void
soak_break_callers (struct node *entry)
{
  struct job *j;
  struct job *next;

  soak_node_event (entry, "callers' connections break");
  HASH_ITER (hh, jobs, j, next)
  {
    struct attempt *a = &j->attempts[j->attempt_count - 1];

    if (a->entry == entry && a->call != NULL)
      break_call (j, a);
  }
}

static struct node *
choose_entry (void)
{
  struct node *n;

  do
    n = &soak.nodes[soak.keeper_count + soak_random_load (soak.entry_count)];
  while (n->pid == 0 && soak_random_load (4) != 0);
  return n;
}

static void
send_call (struct job *j, struct node *entry)
{
  struct call *c = calloc (1, sizeof *c);
  struct evhttp_request *req = evhttp_request_new (on_answer, c);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char text[64];

  j->attempts = realloc (j->attempts,
                         (j->attempt_count + 1) * sizeof (struct attempt));
  *c = (struct call){ .job = j,
                      .attempt = j->attempt_count++,
                      .connection = caller_connection_take (entry) };
  c->watch = evbuffer_add_cb (output_of (c), on_output, c);
  j->attempts[c->attempt]
      = (struct attempt){ .entry = entry,
                          .call = c,
                          .sent_ms = now_ms (),
                          .stopping = entry->stopping || entry->pid == 0 };
  j->pending = true;
  evhttp_add_header (headers, "Host", "soak.example");
  snprintf (text, sizeof text, "%d", DEADLINE_MS);
  evhttp_add_header (headers, "X-Ragwortline-Deadline-Ms", text);
  if (soak_random_load (CLOSING_CALLERS) == 0)
    evhttp_add_header (headers, "Connection", "close");
  evbuffer_add_printf (evhttp_request_get_output_buffer (req),
                       "{\"spec\":\"%u %" PRId64 "\",\"best-effort\":true,"
                       "\"steps\":[{\"count\":%u,\"cpu\":%u,\"mem-mb\":64,"
                       "\"estimate-ms\":%" PRId64 "}]}",
                       j->attempt_count, j->length_ms, j->task_count,
                       j->cpu_milli, j->length_ms);
  snprintf (text, sizeof text, "/jobs/%s", j->id);
  evhttp_make_request (c->connection, req, EVHTTP_REQ_POST, text);
}

static struct job *
job_new (uint32_t task_count, uint32_t cpu_milli)
{
  struct job *j = calloc (1, sizeof *j);

  snprintf (j->id, sizeof j->id, "%08x%08x", soak_random_load (1U << 31),
            soak_random_load (1U << 31));
  j->task_count = task_count;
  j->cpu_milli = cpu_milli;
  j->length_ms = soak.run_min_ms
                 + soak_random_load (soak.run_max_ms - soak.run_min_ms + 1);
  HASH_ADD_STR (jobs, id, j);
  return j;
}

void
soak_send_large_jobs (struct node *entry, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    send_call (job_new (1, WORKER_SLOTS * WORKER_TASK_CPU_MILLI), entry);
}

void
soak_start_burst (int64_t now)
{
  burst_until_ms = now + BURST_MIN_MS + soak_random_load (BURST_SPREAD_MS);
  soak_log ("burst of calls", "");
}

static uint32_t
calls_per_second (int64_t now)
{
  return now < burst_until_ms ? soak.calls_per_second * BURST_FACTOR
                              : soak.calls_per_second;
}

void
soak_send_calls (int64_t now)
{
  int64_t now_us = now * 1000;

  if (next_call_us == 0)
    next_call_us = (soak.begin_ms + SETTLE_MS / 2) * 1000;
  while (next_call_us <= now_us
         && soak_elapsed_ms ()
                < soak.seconds * 1000 + SETTLE_MS + FINAL_PHASE_MS)
    {
      next_call_us += 1000000 / calls_per_second (now);
      send_call (job_new (1 + soak_random_load (JOB_TASKS_MAX),
                          WORKER_TASK_CPU_MILLI),
                 choose_entry ());
    }
}

void
soak_finish_calls (void)
{
  if (final_served * 100 < final_requests * SERVED_PERCENT
      || final_requests == 0)
    soak_violation ("requests are not served again after the faults", "");
  printf ("seed %" PRIu64 ": %u faults, %u answered, %u served, after the "
          "faults %u of %u, ",
          soak.seed, soak.faults, answered, served, final_served,
          final_requests);
}

void
soak_free_jobs (void)
{
  struct job *j;
  struct job *next;

  caller_connections_free ();
  HASH_ITER (hh, jobs, j, next)
  {
    HASH_DEL (jobs, j);
    free (j->attempts);
    free (j);
  }
}
