#include "controller/entry_leases.h"

#include <string.h>
#include <utlist.h>
#include "controller/job_renewal.h"
#include "controller/routed_job.h"

enum
{
  /* The age of a confirmed stamp: the longest interval of capacity requests,
     rounded up to ticks of the entry, and the tick that confirms it.  */
  STAMP_AGE_MS = 350
};

int64_t
entry_leases_target_ms (int64_t job_lease_ms, int64_t limit_ms)
{
  int64_t left = job_lease_ms - STAMP_AGE_MS;

  return left < limit_ms ? left : limit_ms;
}

void
entry_leases_init (struct job_entry *n, int64_t now)
{
  const struct lease_stamp start = { now, now };

  n->own_echo = (struct lease_echo){ start, start };
}

static void
confirm_stamps (struct job_entry *n)
{
  lease_echo_confirm (&n->own_echo);
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    lease_echo_confirm (&n->dispatchers[i].echo);
}

void
entry_leases_tick (struct job_entry *n, int64_t now)
{
  struct routed_job *j;

  lease_echo_receive (&n->own_echo, now, now);
  if (n->drop_callers == NULL || n->drop_callers (n->drop_callers_arg, now))
    confirm_stamps (n);
  DL_FOREACH (n->jobs, j)
  if (j->local != NULL)
    dispatcher_extend_lease (j->local, entry_leases_own_end_ms (n, j));
}

int64_t
entry_leases_own_end_ms (const struct job_entry *n, const struct routed_job *j)
{
  return n->own_echo.latest.sent_ms
         + entry_leases_grant_ms (n, j, &n->own_echo);
}

int64_t
entry_leases_grant_ms (const struct job_entry *n, const struct routed_job *j,
                       const struct lease_echo *echo)
{
  if (j->parent != NULL)
    return job_lease_pass_on_ms (echo, j->parent->lease_end_ms);
  return job_lease_grant_ms (echo, n->lease_limit_ms, j->lease_deadline_ms);
}

void
entry_leases_pack (const struct job_entry *n, const struct route_dispatcher *d,
                   msgpack_sbuffer *buffer)
{
  const struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (strcmp (j->vm, d->vm) == 0)
    {
      struct job_renewal r = { j->id, entry_leases_grant_ms (n, j, &d->echo) };

      job_renewal_pack (&r, buffer);
    }
}
