#include "controller/entry_dispatchers.h"

#include <string.h>
#include "controller/entry_leases.h"

enum
{
  /* Intervals of the capacity requests: to dispatchers that have jobs of this
     entry, whose leases the requests renew, to others of its own failure
     domain, and to those of other domains.  */
  POLL_BUSY_MS = 100,
  POLL_LOCAL_MS = 150,
  POLL_REMOTE_MS = 300,

  /* Time without a report after which the connection to a dispatcher that has
     jobs of this entry is closed.  */
  DISPATCHER_TIMEOUT_MS = 900
};

struct route_dispatcher *
entry_dispatchers_find (struct job_entry *n, const char *vm)
{
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    if (strcmp (n->dispatchers[i].vm, vm) == 0)
      return &n->dispatchers[i];
  return NULL;
}

static void
set_capacity (struct route_dispatcher *d,
              const struct dispatch_capacity *capacities, uint32_t count,
              int64_t now)
{
  d->reported_ms = now;
  d->capacity_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct route_capacity *r = &d->capacities[i];

      memset (r, 0, sizeof *r);
      memcpy (r->service, capacities[i].service, sizeof r->service);
      r->cpu_milli = capacities[i].cpu_milli;
      r->free_cpu_milli = capacities[i].free_cpu_milli;
      r->free_by_target = capacities[i].free_by_target;
      r->work_ahead = capacities[i].work_ahead;
      r->ranked = capacities[i].ranked;
    }
}

/* The capacity of other dispatchers is as old as their last report; that of
   this VM is read directly.  */
void
entry_dispatchers_refresh_own (struct job_entry *n, int64_t now)
{
  struct route_dispatcher *d
      = entry_dispatchers_find (n, n->settings->peer.vm);
  struct dispatch_capacity capacities[ROUTE_SERVICE_LIMIT];

  if (d == NULL)
    return;
  d->reachable = true;
  d->echo = n->own_echo;
  set_capacity (d, capacities,
                dispatcher_capacity (&n->dispatcher, now, capacities,
                                     ROUTE_SERVICE_LIMIT),
                now);
}

void
entry_dispatchers_request_capacity (struct job_entry *n, int64_t now,
                                    struct route_dispatcher *d)
{
  struct peer_message m = { .type = PEER_KEEPALIVE };
  msgpack_sbuffer leases;

  msgpack_sbuffer_init (&leases);
  entry_leases_pack (n, d, &leases);
  d->polled_ms = now;
  m.u.keepalive.echo_ms = d->echo.latest.sent_ms;
  m.u.keepalive.leases
      = (struct slice){ leases.data == NULL ? "" : leases.data,
                        (uint32_t)leases.size };
  peer_network_send (n->network, d->vm, &m);
  msgpack_sbuffer_destroy (&leases);
}

bool
entry_dispatchers_any_usable (const struct job_entry *n)
{
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    if (n->dispatchers[i].reachable && n->dispatchers[i].capacity_count != 0)
      return true;
  return false;
}

bool
entry_dispatchers_all_evacuated (const struct job_entry *n)
{
  bool any = false;

  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    {
      const struct route_dispatcher *d = &n->dispatchers[i];

      if (d->retired)
        continue;
      if (evacuation_set_find (&n->dispatcher.evacuations, d->domain) == NULL)
        return false;
      any = true;
    }
  return any;
}

void
entry_dispatchers_receive_capacity (struct job_entry *n, int64_t now,
                                    const char *vm,
                                    const struct peer_capacity *m)
{
  struct route_dispatcher *d = entry_dispatchers_find (n, vm);
  struct dispatch_capacity capacities[ROUTE_SERVICE_LIMIT];

  if (d == NULL)
    return;
  d->reachable = true;
  lease_echo_receive (&d->echo, m->sent_ms, now);
  if (d->retired)
    d->reported_ms = now;
  else
    set_capacity (
        d, capacities,
        dispatch_capacity_unpack (capacities, ROUTE_SERVICE_LIMIT, m->packed),
        now);
  delegation_controller_receive_capacity (&n->delegation);
}

static int64_t
poll_interval_ms (const struct job_entry *n, const struct route_dispatcher *d,
                  bool has_jobs)
{
  if (has_jobs)
    return POLL_BUSY_MS;
  return strcmp (d->domain, n->settings->peer.domain) == 0 ? POLL_LOCAL_MS
                                                           : POLL_REMOTE_MS;
}

void
entry_dispatchers_poll (struct job_entry *n, int64_t now)
{
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    {
      struct route_dispatcher *d = &n->dispatchers[i];
      bool has_jobs;

      if (strcmp (d->vm, n->settings->peer.vm) == 0
          || now - d->polled_ms < POLL_BUSY_MS)
        continue;
      has_jobs = job_entry_has_jobs_at (n, d->vm);
      if (has_jobs && d->reachable && d->reported_ms != 0
          && now - d->reported_ms > DISPATCHER_TIMEOUT_MS)
        {
          peer_network_reset (n->network, d->vm);
          continue;
        }
      if (now - d->polled_ms >= poll_interval_ms (n, d, has_jobs))
        entry_dispatchers_request_capacity (n, now, d);
    }
}
