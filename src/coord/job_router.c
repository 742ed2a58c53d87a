#include "coord/job_router.h"

#include <string.h>
#include "coord/job_admission.h"

enum
{
  /* Older capacity reports are ignored, and older stamps, from which too
     little would be left of a job's lease.  */
  CAPACITY_MAX_AGE_MS = 700,

  /* Older reports do not show where a job fits: most tasks that ran then have
     ended.  */
  ROOM_MAX_AGE_MS = 150,

  /* The assumed time in which all usable cores of a dispatcher become free
     once.  A job that needs more than the free cores waits for a part of it,
     in proportion to the missing ones.  */
  TURNOVER_MS = 120,

  /* Cost of leaving the job's own failure domain, added to the expected wait:
     a few round trips and traffic between domains.  */
  OTHER_DOMAIN_MS = 12
};

static struct route_capacity *
find_capacity (const struct route_dispatcher *d, const char *service)
{
  for (uint32_t i = 0; i < d->capacity_count; i++)
    if (strcmp (d->capacities[i].service, service) == 0)
      return (struct route_capacity *)&d->capacities[i];
  return NULL;
}

static uint64_t
job_cpu (const struct job_spec *spec)
{
  uint64_t cpu = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    cpu += spec->steps[i].count * spec->steps[i].cpu_milli;
  return cpu;
}

int64_t
job_router_wait_ms (const struct route_dispatcher *d,
                    const struct job_spec *spec, int64_t now)
{
  const struct route_capacity *r = find_capacity (d, spec->service);
  uint64_t usable;
  uint64_t free_cpu;
  uint64_t need;
  uint64_t ahead;
  int64_t wait;

  if (!d->reachable || r == NULL || now - d->reported_ms > CAPACITY_MAX_AGE_MS)
    return -1;
  if (d->echo.confirmed.sent_ms == 0
      || now - d->echo.confirmed.received_ms > CAPACITY_MAX_AGE_MS)
    return -1;
  usable = r->cpu_milli * USABLE_CPU_PERCENT / 100;
  if (usable == 0)
    return -1;
  free_cpu = r->free_cpu_milli * USABLE_CPU_PERCENT / 100;
  need = r->sent_cpu_milli + job_cpu (spec);
  ahead = r->ranked.count == 0
              ? r->work_ahead
              : ranked_work_ahead (&r->ranked, spec->priority);
  wait = (int64_t)(ahead / usable);
  if (need > free_cpu)
    wait += (int64_t)((need - free_cpu) * TURNOVER_MS / usable);
  return wait;
}

static bool
is_tried (const char (*tried)[NAME_BYTES], uint32_t count, const char *vm)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (tried[i], vm) == 0)
      return true;
  return false;
}

/* The expected wait at D and the cost of leaving DOMAIN; -1 if D cannot be
   used.  */
static int64_t
route_cost (const struct route_dispatcher *d, const char *domain,
            const struct job_spec *spec, int64_t now)
{
  int64_t wait = job_router_wait_ms (d, spec, now);

  if (wait < 0 || strcmp (d->domain, domain) == 0)
    return wait;
  return wait + OTHER_DOMAIN_MS;
}

struct route_dispatcher *
job_router_choose (struct route_dispatcher *dispatchers, uint32_t count,
                   const char *domain, const struct job_spec *spec,
                   const char (*tried)[NAME_BYTES], uint32_t tried_count,
                   int64_t now)
{
  struct route_dispatcher *best = NULL;
  int64_t best_cost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct route_dispatcher *d = &dispatchers[i];
      int64_t cost = route_cost (d, domain, spec, now);

      if (cost < 0 || is_tried (tried, tried_count, d->vm))
        continue;
      if (best == NULL || cost < best_cost)
        {
          best = d;
          best_cost = cost;
        }
    }
  return best;
}

/* Subtracts the tasks of SPEC from C.  Returns false if they do not all
   fit.  */
static bool
subtract_tasks (struct free_capacity *c, const struct job_spec *spec)
{
  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      const struct job_step *step = &spec->steps[i];

      if (free_capacity_tasks (c, step->cpu_milli, step->count) < step->count)
        return false;
      free_capacity_subtract (c, step->cpu_milli, step->count);
    }
  return true;
}

/* Whether a recent report of D shows that all tasks of SPEC fit.  */
static bool
has_capacity (const struct route_dispatcher *d, const struct job_spec *spec,
              int64_t now)
{
  const struct route_capacity *r = find_capacity (d, spec->service);
  struct free_capacity left;

  if (r == NULL || now - d->reported_ms > ROOM_MAX_AGE_MS)
    return false;
  left = r->free_by_target;
  return subtract_tasks (&left, spec);
}

/* Like job_router_choose, among the dispatchers with capacity for all tasks;
   the tasks are subtracted from it.  */
static struct route_dispatcher *
choose_with_capacity (struct route_dispatcher *dispatchers, uint32_t count,
                      const char *domain, const struct job_spec *spec,
                      const char (*tried)[NAME_BYTES], uint32_t tried_count,
                      int64_t now)
{
  struct route_dispatcher *best = NULL;
  int64_t best_cost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct route_dispatcher *d = &dispatchers[i];
      int64_t cost = route_cost (d, domain, spec, now);

      if (cost < 0 || is_tried (tried, tried_count, d->vm)
          || !has_capacity (d, spec, now)
          || (best != NULL && cost >= best_cost))
        continue;
      best = d;
      best_cost = cost;
    }
  if (best != NULL)
    subtract_tasks (&find_capacity (best, spec->service)->free_by_target,
                    spec);
  return best;
}

struct route_dispatcher *
job_router_next (struct route_dispatcher *dispatchers, uint32_t count,
                 const char *domain, const struct service_priorities *p,
                 const struct job_spec *spec, const char (*tried)[NAME_BYTES],
                 uint32_t tried_count, int64_t now)
{
  const struct service_priority *s
      = service_priorities_find (p, spec->service);
  struct route_dispatcher *d = NULL;
  uint32_t limit = s != NULL && spec->priority == s->highest
                       ? ROUTE_PRIORITY_TRY_LIMIT
                       : ROUTE_TRY_LIMIT;

  if (s != NULL && tried_count < ROUTE_PRIORITY_TRY_LIMIT)
    d = choose_with_capacity (dispatchers, count, domain, spec, tried,
                              tried_count, now);
  if (d == NULL && tried_count < limit)
    d = job_router_choose (dispatchers, count, domain, spec, tried,
                           tried_count, now);
  return d;
}

uint32_t
job_router_try_limit (const struct service_priorities *p,
                      const struct job_spec *spec)
{
  return service_priorities_find (p, spec->service) != NULL
             ? ROUTE_PRIORITY_TRY_LIMIT
             : ROUTE_TRY_LIMIT;
}

enum route_next
job_router_after_refusal (enum refusal_reason reason, uint32_t tried_count,
                          uint32_t limit)
{
  if (reason == REFUSAL_DUPLICATE)
    return ROUTE_UNKNOWN;
  if (reason == REFUSAL_EXPIRED || reason == REFUSAL_TOO_LARGE
      || tried_count >= limit)
    return ROUTE_REFUSED;
  return ROUTE_ELSEWHERE;
}

void
job_router_sent (struct route_dispatcher *d, const struct job_spec *spec)
{
  struct route_capacity *r = find_capacity (d, spec->service);

  if (r == NULL)
    return;
  r->sent_cpu_milli += job_cpu (spec);
  r->sent_work += job_spec_work (spec);
}
