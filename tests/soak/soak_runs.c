#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/now.h"
#include "tests/soak/path_faults.h"
#include "tests/soak/soak.h"

enum
{
  STATUS_DONE = 200,
  STATUS_REFUSED = 503,

  /* Events of nodes this long before a job's first attempt are printed.  */
  HISTORY_BEFORE_MS = 2000
};

static int64_t
since_begin (int64_t at_ms)
{
  return at_ms - soak.begin_ms;
}

/* Returns the attempt that L belongs to, or NULL.  */
static const struct attempt *
attempt_of (const struct live_run *l)
{
  uint32_t n = l->run.attempt;

  if (l->job == NULL || n == 0 || n > l->job->attempt_count)
    return NULL;
  return &l->job->attempts[n - 1];
}

static void
print_run (const struct live_run *l)
{
  printf ("    run %" PRIu64 " of %s on %s (%s), attempt %u, started by %s at "
          "%" PRId64 ", ends at %" PRId64 ", lease ends at %" PRId64 "%s\n",
          l->run.run, l->run.task, l->worker->id, l->worker->address,
          l->run.attempt, l->run.starter, since_begin (l->run.begin_ms),
          since_begin (l->run.end_ms),
          since_begin (fake_worker_lease_end_ms (l->worker)),
          l->run.stop_ms == 0 ? "" : ", is being stopped");
}

static void
print_attempts (const struct job *j)
{
  for (uint32_t i = 0; i < j->attempt_count; i++)
    {
      const struct attempt *a = &j->attempts[i];

      printf ("    attempt %u: entry %s, sent at %" PRId64, i + 1,
              a->entry->address, since_begin (a->sent_ms));
      if (a->ended_ms == 0)
        printf (", open\n");
      else
        printf (", ended at %" PRId64 " with %d\n", since_begin (a->ended_ms),
                a->status);
    }
}

static void
print_history (const struct node *n, int64_t from_ms)
{
  uint32_t first
      = n->history_count > NODE_HISTORY ? n->history_count - NODE_HISTORY : 0;

  printf ("    %s:", n->address);
  for (uint32_t i = first; i < n->history_count; i++)
    {
      const struct node_event *e = &n->history[i % NODE_HISTORY];

      if (e->at_ms >= from_ms)
        printf (" %s at %" PRId64 ";", e->what, e->at_ms);
    }
  printf ("\n");
}

static bool
is_entry_of (const struct node *n, const struct job *j)
{
  for (uint32_t i = 0; i < j->attempt_count; i++)
    if (j->attempts[i].entry == n)
      return true;
  return false;
}

/* Prints the attempts of J, what happened to their entries and to the VMs ONE
   and OTHER, which may be NULL, and how late the soak itself was.  */
static void
print_job (const struct job *j, const struct node *one,
           const struct node *other)
{
  int64_t from_ms = since_begin (j->attempts[0].sent_ms) - HISTORY_BEFORE_MS;

  print_attempts (j);
  for (uint32_t i = 0; i < soak.node_count; i++)
    {
      const struct node *n = &soak.nodes[i];

      if (n == one || n == other || is_entry_of (n, j))
        print_history (n, from_ms);
    }
  printf ("    soak: late by %" PRId64 " ms at most in the last 2 s\n",
          soak_recently_late_ms ());
}

void
soak_job_violation (const char *what, const struct job *j)
{
  soak_violation (what, j->id);
  print_job (j, NULL, NULL);
}

static void
print_trace (const struct live_run *l, const struct live_run *other)
{
  print_run (l);
  if (other != NULL)
    print_run (other);
  print_job (l->job, l->starter, other == NULL ? NULL : other->starter);
}

static struct live_run *
live_run_new (const struct fake_worker *w, const struct worker_run *r,
              struct job *j)
{
  struct live_run *l = calloc (1, sizeof *l);

  l->worker = &soak.workers[w - soak.workers];
  l->run = *r;
  l->job = j;
  l->starter = soak_node_at (r->starter);
  return l;
}

static void
on_started (const struct fake_worker *w, const struct worker_run *r)
{
  struct job *j = soak_find_job (r->task);
  struct live_run *l;
  const struct live_run *other;

  if (j == NULL)
    {
      soak_violation ("a task of an unknown job was started", r->task);
      return;
    }
  j->started++;
  l = live_run_new (w, r, j);
  soak.last_starters[w - soak.workers] = l->starter;
  if (!j->pending && j->refused == j->attempt_count)
    {
      soak_violation ("a task of a refused job was started", r->task);
      print_trace (l, NULL);
    }
  DL_FOREACH (soak.runs, other)
  if (strcmp (other->run.task, r->task) == 0)
    {
      soak_violation ("a task runs twice at the same time", r->task);
      print_trace (other, l);
    }
  DL_APPEND (soak.runs, l);
}

static void
on_ended (const struct fake_worker *w, const struct worker_run *r,
          const char *outcome)
{
  struct live_run *l;
  struct live_run *next;

  DL_FOREACH_SAFE (soak.runs, l, next)
  if (l->worker == w && l->run.run == r->run
      && strcmp (l->run.task, r->task) == 0)
    {
      if (l->reported)
        printf ("%" PRId64 " ms: the run of %s on %s has ended: %s\n",
                soak_elapsed_ms (), r->task, w->id, outcome);
      DL_DELETE (soak.runs, l);
      free (l);
    }
}

const struct worker_events soak_worker_events
    = { on_started, on_ended, path_faults_behaviour };

/* Callers whose attempt got no answer, or one that leaves open whether the job
   has run, send it again after RESEND_MS; by then no run of that attempt may
   be left.  */
void
soak_check_runs (int64_t now)
{
  struct live_run *l;

  DL_FOREACH (soak.runs, l)
  {
    const struct attempt *a = attempt_of (l);

    if (l->reported || a == NULL || a->ended_ms == 0
        || a->status == STATUS_DONE || a->status == STATUS_REFUSED
        || now - a->ended_ms <= RESEND_MS)
      continue;
    l->reported = true;
    soak_violation ("a run outlives its caller's retry", l->run.task);
    print_trace (l, NULL);
  }
}

/* Whether another VM than the entry of its waiting caller has started L.  */
static bool
is_remote (const struct live_run *l)
{
  const struct attempt *a = attempt_of (l);

  return a != NULL && a->ended_ms == 0 && l->starter != NULL
         && l->starter != a->entry;
}

struct live_run *
soak_random_run (void)
{
  struct live_run *l;
  uint32_t draw = soak_random_fault (1U << 20);
  uint32_t count = 0;

  DL_FOREACH (soak.runs, l)
  count += is_remote (l);
  if (count == 0)
    return NULL;
  draw %= count;
  DL_FOREACH (soak.runs, l)
  if (is_remote (l) && draw-- == 0)
    break;
  return l;
}

struct node *
soak_caller_entry (const struct live_run *l)
{
  return attempt_of (l)->entry;
}

void
soak_free_runs (void)
{
  while (soak.runs != NULL)
    {
      struct live_run *l = soak.runs;

      DL_DELETE (soak.runs, l);
      free (l);
    }
}
