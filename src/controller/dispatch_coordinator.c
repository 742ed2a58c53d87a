#include "controller/dispatch_coordinator.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/event_ring.h"
#include "controller/job_events.h"
#include "controller/job_renewal.h"
#include "coord/job_lease.h"
#include "coord/run_admission.h"

enum
{
  CAPACITY_LIMIT = 16
};

void
dispatch_coordinator_send_result (const struct dispatch_job *j,
                                  enum job_result result,
                                  enum refusal_reason reason, int64_t retry_ms,
                                  int64_t waited_ms)
{
  struct peer_message m = { .type = PEER_JOB_END };

  m.u.job_end = (struct peer_job_end){ .id = j->id,
                                       .result = (uint64_t)result,
                                       .retry_ms = retry_ms,
                                       .waited_ms = waited_ms,
                                       .reason = (uint64_t)reason };
  peer_conn_send (j->coordinator->conn, &m);
}

/* Ends the jobs of C whose connection has ended.  */
static void
cancel_jobs (struct dispatcher *d, struct coordinator *c, int64_t now,
             const char *why)
{
  uint32_t n = 0;

  while (c->jobs != NULL)
    {
      struct dispatch_job *j = c->jobs;

      DL_DELETE (c->jobs, j);
      dispatcher_cancel (d, now, j, why);
      n++;
    }
  if (n == 0)
    return;
  event_ring_add (EVENT_COORDINATOR_LOST, c->vm,
                  "why=%s jobs=%u silent_ms=%" PRId64, why, n,
                  now - c->heard_ms);
  dispatcher_request_pass (d);
}

static void
remove_coordinator (struct dispatcher *d, struct coordinator *c, int64_t now,
                    const char *why)
{
  cancel_jobs (d, c, now, why);
  DL_DELETE (d->coordinators, c);
  peer_conn_release (c->conn);
  free (c);
}

/* Ends the jobs of C whose leases are not renewed, and tells C.  */
static void
end_unrenewed (struct dispatcher *d, struct coordinator *c, int64_t now)
{
  struct dispatch_job *j;
  struct dispatch_job *next;

  DL_FOREACH_SAFE (c->jobs, j, next)
  {
    bool started = j->run->first_start_ms >= 0;

    if (!job_lease_is_ending (j->run->lease_end_ms, now))
      continue;
    dispatch_coordinator_send_result (j, started ? JOB_UNKNOWN : JOB_REFUSED,
                                      REFUSAL_LEASE, 0, -1);
    DL_DELETE (c->jobs, j);
    dispatcher_cancel (d, now, j, refusal_reason_name (REFUSAL_LEASE));
  }
}

void
dispatch_coordinators_check (struct dispatcher *d, int64_t now)
{
  struct coordinator *c;

  DL_FOREACH (d->coordinators, c)
  end_unrenewed (d, c, now);
}

static struct coordinator *
find_coordinator (const struct dispatcher *d, const struct peer_conn *from)
{
  struct coordinator *c;

  DL_FOREACH (d->coordinators, c)
  if (c->conn == from)
    return c;
  return NULL;
}

static void
receive_job (struct dispatcher *d, int64_t now, struct coordinator *c,
             const struct peer_job *m)
{
  struct dispatch_job refused = { .coordinator = c, .id = m->id };
  struct job_spec spec;
  enum refusal_reason reason = REFUSAL_STALE;
  int64_t retry_ms = 0;
  struct dispatch_job *j = NULL;
  bool valid;

  memset (&spec, 0, sizeof spec);
  spec.priority = (uint32_t)m->priority;
  spec.attempts = (uint32_t)m->attempts;
  spec.stretch_milli = (uint32_t)m->stretch_milli;
  spec.floor_ms = m->floor_ms;
  spec.age_ms = m->age_ms;
  spec.deadline_ms = m->deadline_ms;
  spec.lease_ms = job_lease_left_ms (
      job_lease_end_ms (m->echo_ms, m->lease_ms, now), now);
  spec.payload = m->payload;
  spec.part = (struct job_part){ m->is_part != 0, (uint32_t)m->part_step,
                                 (uint32_t)m->part_first, m->part_run };
  valid = slice_copy (m->key, spec.key, sizeof spec.key)
          && slice_copy (m->queue, spec.queue, sizeof spec.queue)
          && slice_copy (m->service, spec.service, sizeof spec.service)
          && job_spec_unpack_steps (&spec, m->steps);
  if (valid && run_admission_is_duplicate (&d->scheduler, &spec))
    reason = REFUSAL_DUPLICATE;
  else if (valid && spec.lease_ms >= JOB_LEASE_START_MS)
    j = dispatcher_accept (d, now, &spec, &reason, &retry_ms);
  else
    job_events_stale (c, m, now);
  if (j == NULL)
    {
      dispatch_coordinator_send_result (&refused, JOB_REFUSED, reason,
                                        retry_ms, -1);
      return;
    }
  j->coordinator = c;
  j->id = m->id;
  DL_APPEND (c->jobs, j);
  job_events_accepted (j, now, now - m->echo_ms);
}

static void
receive_cancel (struct dispatcher *d, int64_t now, struct coordinator *c,
                uint64_t id)
{
  struct dispatch_job *j;
  struct dispatch_job *next;

  DL_FOREACH_SAFE (c->jobs, j, next)
  if (j->id == id)
    {
      DL_DELETE (c->jobs, j);
      dispatcher_cancel (d, now, j, "cancelled");
    }
}

/* The leases that a keepalive of COORDINATOR renews.  */
struct renewal
{
  struct coordinator *coordinator;
  int64_t echo_ms;
  int64_t now_ms;
};

static void
renew_job (void *arg, const struct job_renewal *r)
{
  const struct renewal *renewal = arg;
  struct dispatch_job *j;

  DL_FOREACH (renewal->coordinator->jobs, j)
  if (j->id == r->id)
    {
      run_job_extend_lease (
          j->run,
          job_lease_end_ms (renewal->echo_ms, r->lease_ms, renewal->now_ms));
      return;
    }
}

static void
receive_keepalive (struct coordinator *c, int64_t now,
                   const struct peer_keepalive *m)
{
  struct renewal renewal = { c, m->echo_ms, now };

  job_renewal_unpack (m->leases, renew_job, &renewal);
}

static void
send_capacity (const struct dispatcher *d, struct coordinator *c, int64_t now)
{
  struct peer_message m = { .type = PEER_CAPACITY };
  struct dispatch_capacity capacities[CAPACITY_LIMIT];
  msgpack_sbuffer packed;

  msgpack_sbuffer_init (&packed);
  dispatch_capacity_pack (
      capacities, dispatcher_capacity (d, now, capacities, CAPACITY_LIMIT),
      &packed);
  m.u.capacity.sent_ms = now;
  m.u.capacity.packed = (struct slice){ packed.data == NULL ? "" : packed.data,
                                        (uint32_t)packed.size };
  peer_conn_send (c->conn, &m);
  msgpack_sbuffer_destroy (&packed);
}

bool
dispatcher_receive (struct dispatcher *d, int64_t now, struct peer_conn *from,
                    const struct peer_message *m)
{
  struct coordinator *c;

  if (m->type != PEER_JOB && m->type != PEER_JOB_CANCEL
      && m->type != PEER_KEEPALIVE)
    return false;
  c = find_coordinator (d, from);
  if (c == NULL)
    {
      c = calloc (1, sizeof *c);
      c->conn = peer_conn_hold (from);
      c->heard_ms = now;
      snprintf (c->vm, sizeof c->vm, "%s", from->vm);
      DL_APPEND (d->coordinators, c);
    }
  switch (m->type)
    {
    case PEER_JOB:
      receive_job (d, now, c, &m->u.job);
      break;
    case PEER_JOB_CANCEL:
      receive_cancel (d, now, c, m->u.job_cancel.id);
      break;
    default:
      receive_keepalive (c, now, &m->u.keepalive);
      send_capacity (d, c, now);
    }
  c->heard_ms = now;
  return true;
}

void
dispatcher_peer_disconnected (struct dispatcher *d, int64_t now,
                              const struct peer_conn *from)
{
  struct coordinator *c = find_coordinator (d, from);

  if (c != NULL)
    remove_coordinator (d, c, now, "closed");
}

void
dispatch_coordinators_done (struct dispatcher *d, int64_t now)
{
  while (d->coordinators != NULL)
    remove_coordinator (d, d->coordinators, now, "stop");
}
