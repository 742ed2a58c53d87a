/* The waiting jobs of a scheduler: their order, and the work ahead of a job.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "coord/run_scheduler.h"
#include "coord/run_speeds.h"
#include "coord/wait_order.h"

bool
run_scheduler_may_use (const struct run_target *t)
{
  return t->phase == TARGET_READY && !t->spec.draining && !t->releasing
         && !t->evacuated && !t->health.ejected;
}

struct job_backlog
run_scheduler_backlog (const struct run_scheduler *s, const char *service,
                       int64_t start_by)
{
  struct job_backlog b = { 0, 0 };
  struct run_job *j;

  for (uint32_t i = 0; i < s->target_count; i++)
    if (run_scheduler_may_use (s->targets[i])
        && strcmp (s->targets[i]->spec.service, service) == 0)
      b.cpu_milli += run_speeds_cpu (s->targets[i]);
  DL_FOREACH (s->waiting, j)
  if (strcmp (j->spec.service, service) == 0
      && (j->first_start_ms >= 0 || j->times.start_by_ms <= start_by))
    b.work_ahead += j->work * j->waiting_count / j->task_count;
  return b;
}

struct job_backlog
run_scheduler_backlog_of (const struct run_scheduler *s,
                          const struct run_job *j)
{
  struct job_backlog b
      = run_scheduler_backlog (s, j->spec.service, j->times.start_by_ms);
  const struct run_job *o;

  if (!j->by_priority)
    return b;
  b.work_ahead = 0;
  DL_FOREACH (s->waiting, o)
  if (strcmp (o->spec.service, j->spec.service) == 0
      && (o->first_start_ms >= 0 || o->rank < j->rank
          || (o->rank == j->rank
              && o->times.start_by_ms <= j->times.start_by_ms)))
    b.work_ahead += o->work * o->waiting_count / o->task_count;
  return b;
}

struct ranked_work
run_scheduler_ranked_work (const struct run_scheduler *s, const char *service)
{
  struct ranked_work w = { .count = 0 };
  const struct run_job *j;

  if (service_priorities_find (&s->priorities, service) == NULL)
    return w;
  DL_FOREACH (s->waiting, j)
  if (strcmp (j->spec.service, service) == 0 && j->waiting_count != 0)
    ranked_work_add (&w, j->first_start_ms >= 0 ? 0 : j->rank,
                     j->work * j->waiting_count / j->task_count);
  return w;
}

uint32_t
run_scheduler_waiting_jobs (const struct run_scheduler *s, const char *queue)
{
  struct run_job *j;
  uint32_t n = 0;

  DL_FOREACH (s->waiting, j)
  n += j->first_start_ms < 0 && strcmp (j->spec.queue, queue) == 0;
  return n;
}

uint32_t
run_scheduler_rank (struct run_scheduler *s, int64_t now,
                    struct wait_rank **ranks)
{
  struct run_job *j;
  uint32_t n = 0;

  *ranks = NULL;
  DL_FOREACH (s->waiting, j)
  n += j->waiting_count != 0;
  if (n == 0)
    return 0;
  *ranks = malloc (n * sizeof **ranks);
  n = 0;
  DL_FOREACH (s->waiting, j)
  if (j->waiting_count != 0)
    (*ranks)[n++] = wait_rank_of (j, now);
  qsort (*ranks, n, sizeof **ranks, wait_rank_compare);
  return n;
}
