#include "coord/task_delegation.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "coord/wait_order.h"

enum
{
  /* Older capacity reports are not used for offers.  */
  DELEGATION_MAX_AGE_MS = 40
};

static struct route_capacity *
find_capacity (struct route_dispatcher *d, const char *service)
{
  for (uint32_t i = 0; i < d->capacity_count; i++)
    if (strcmp (d->capacities[i].service, service) == 0)
      return &d->capacities[i];
  return NULL;
}

/* The number of tasks of STEP that fit in the free capacity of D; 0 if D has
   waiting work of its own or no recent report.  */
static uint32_t
capacity_for (struct route_dispatcher *d, const struct run_job *j,
              const struct job_step *step, int64_t now)
{
  const struct route_capacity *r = find_capacity (d, j->spec.service);

  if (!d->reachable || r == NULL || r->work_ahead != 0
      || now - d->reported_ms > DELEGATION_MAX_AGE_MS
      || d->reported_ms <= d->refused_ms)
    return 0;
  return free_capacity_tasks (&r->free_by_target, step->cpu_milli,
                              JOB_TASK_LIMIT);
}

/* The dispatcher other than SELF with the most free capacity for tasks of
   STEP, in DOMAIN if any there has some; sets *CAPACITY to the number of
   tasks.  Returns NULL if there is none.  */
static struct route_dispatcher *
best_delegate (struct route_dispatcher *dispatchers, uint32_t count,
               const char *self, const char *domain, const struct run_job *j,
               const struct job_step *step, int64_t now, uint32_t *capacity)
{
  struct route_dispatcher *best = NULL;
  bool best_local = false;

  *capacity = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct route_dispatcher *d = &dispatchers[i];
      bool local = strcmp (d->domain, domain) == 0;
      uint32_t n;

      if (strcmp (d->vm, self) == 0)
        continue;
      n = capacity_for (d, j, step, now);
      if (n == 0 || (best_local && !local)
          || (local == best_local && best != NULL && n <= *capacity))
        continue;
      best = d;
      best_local = local;
      *capacity = n;
    }
  return best;
}

/* The number of consecutive waiting tasks of J from AT on in the same step. */
static uint32_t
waiting_range (const struct run_job *j, uint32_t at)
{
  uint32_t n = 0;

  while (at + n < j->task_count && j->tasks[at + n].state == RUN_WAITING
         && j->tasks[at + n].step == j->tasks[at].step)
    n++;
  return n;
}

uint32_t
task_delegation_choose (struct run_scheduler *s,
                        struct route_dispatcher *dispatchers, uint32_t count,
                        const char *self, const char *domain, int64_t now,
                        struct delegation_offer *offers)
{
  struct wait_rank *ranks;
  uint32_t n = run_scheduler_rank (s, now, &ranks);
  uint32_t made = 0;

  for (uint32_t r = 0; r < n; r++)
    {
      struct run_job *j = ranks[r].job;
      uint32_t at = 0;

      while (!j->spec.part.is_part && at < j->task_count
             && made < DELEGATION_OFFER_LIMIT)
        {
          uint32_t range = waiting_range (j, at);
          const struct job_step *step = run_job_step (j, at);
          struct route_dispatcher *to;
          uint32_t capacity;

          if (range == 0 || !run_job_step_may_begin (j, j->tasks[at].step))
            {
              at += range == 0 ? 1 : range;
              continue;
            }
          to = best_delegate (dispatchers, count, self, domain, j, step, now,
                              &capacity);
          if (to == NULL)
            break;
          if (range > capacity)
            range = capacity;
          offers[made++] = (struct delegation_offer){ j, at, range, to };
          free_capacity_subtract (
              &find_capacity (to, j->spec.service)->free_by_target,
              step->cpu_milli, range);
          at += range;
        }
    }
  free (ranks);
  return made;
}

bool
task_delegation_is_needed (const struct run_scheduler *s)
{
  const struct run_job *j;

  DL_FOREACH (s->waiting, j)
  if (j->waiting_count != 0 && !j->spec.part.is_part)
    return true;
  return false;
}

/* The free cores of D in its last report, over all services.  */
static uint64_t
reported_free_cpu (const struct route_dispatcher *d)
{
  uint64_t cpu = 0;

  for (uint32_t i = 0; i < d->capacity_count; i++)
    cpu += d->capacities[i].free_cpu_milli;
  return cpu;
}

/* Whether ONE has precedence over OTHER: in DOMAIN first, then by free
   cores.  */
static bool
is_queried_first (const struct route_dispatcher *one,
                  const struct route_dispatcher *other, const char *domain)
{
  bool one_local = strcmp (one->domain, domain) == 0;
  bool other_local = strcmp (other->domain, domain) == 0;

  if (one_local != other_local)
    return one_local;
  return reported_free_cpu (one) > reported_free_cpu (other);
}

/* Inserts D into the ordered list of the N dispatchers to query, which has at
   most DELEGATION_QUERY_LIMIT.  Returns their number.  */
static uint32_t
insert_queried (struct route_dispatcher **queried, uint32_t n,
                struct route_dispatcher *d, const char *domain)
{
  uint32_t at = n;

  if (n == DELEGATION_QUERY_LIMIT)
    {
      if (!is_queried_first (d, queried[n - 1], domain))
        return n;
      at = n - 1;
    }
  for (; at > 0 && is_queried_first (d, queried[at - 1], domain); at--)
    queried[at] = queried[at - 1];
  queried[at] = d;
  return n == DELEGATION_QUERY_LIMIT ? n : n + 1;
}

uint32_t
task_delegation_query (struct route_dispatcher *dispatchers, uint32_t count,
                       const char *self, const char *domain, int64_t now,
                       struct route_dispatcher **queried)
{
  uint32_t n = 0;
  uint32_t due = 0;

  for (uint32_t i = 0; i < count; i++)
    if (dispatchers[i].reachable && strcmp (dispatchers[i].vm, self) != 0)
      n = insert_queried (queried, n, &dispatchers[i], domain);
  for (uint32_t i = 0; i < n; i++)
    if (now - queried[i]->queried_ms >= DELEGATION_QUERY_MS)
      {
        queried[i]->queried_ms = now;
        queried[due++] = queried[i];
      }
  return due;
}

void
task_delegation_refused (struct route_dispatcher *to, int64_t now)
{
  to->refused_ms = now;
}

void
task_delegation_spec (const struct delegation_offer *o, int64_t now,
                      struct job_spec *spec)
{
  const struct run_job *j = o->job;
  uint32_t failures = 0;
  uint64_t run = 0;

  for (uint32_t i = o->first; i < o->first + o->count; i++)
    {
      if (j->tasks[i].run > run)
        run = j->tasks[i].run;
      if (j->tasks[i].failures > failures)
        failures = j->tasks[i].failures;
    }
  *spec = j->spec;
  spec->steps[0] = *run_job_step (j, o->first);
  spec->steps[0].count = o->count;
  spec->steps[0].after = 0;
  spec->step_count = 1;
  spec->attempts = j->spec.attempts - failures;
  spec->part = (struct job_part){ true, j->tasks[o->first].step,
                                  j->tasks[o->first].index, run };
  spec->age_ms = now - j->times.arrived_ms;
  spec->deadline_ms = j->times.deadline_ms - now;
  spec->payload = (struct slice){ j->payload, j->payload_length };
}
