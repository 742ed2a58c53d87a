#include "controller/dispatch_coordinator.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/event_ring.h"
#include "controller/job_events.h"

enum
{
  /* Time without a timely job or keepalive after which a coordinator's jobs
     are cancelled.  Its callers retry at the earliest 1.3 s after a broken
     connection; by then its runs must have been stopped or their leases must
     have expired.  */
  COORDINATOR_TIMEOUT_MS = 800,

  /* A message whose delay exceeds the lowest one by more than this was held up
     by a frozen VM or a blocked link: its sender may have given up on it.  */
  MESSAGE_STALE_MS = 400,

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
                  now - c->last_seen_ms);
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

/* A coordinator is removed only when its connection ends: its lowest delay is
   needed to detect late messages.  */
void
dispatch_coordinators_check (struct dispatcher *d, int64_t now)
{
  struct coordinator *c;

  DL_FOREACH (d->coordinators, c)
  if (now - c->last_seen_ms > COORDINATOR_TIMEOUT_MS)
    cancel_jobs (d, c, now, "silent");
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

/* How much longer than the fastest message of C one took that C sent at
   SENT_MS, on its own clock.  */
static int64_t
late_ms (const struct coordinator *c, int64_t now, int64_t sent_ms)
{
  return c->has_delay ? now - sent_ms - c->min_delay_ms : 0;
}

/* Whether a message that C sent at SENT_MS, on its own clock, arrived without
   undue delay.  False until a message of the connection has been recorded,
   since there is no delay to compare with: a job that comes first is
   refused.  */
static bool
is_timely (const struct coordinator *c, int64_t now, int64_t sent_ms)
{
  return c->has_delay && late_ms (c, now, sent_ms) <= MESSAGE_STALE_MS;
}

/* Records a message that C sent at SENT_MS, on its own clock.  */
static void
record_message (struct coordinator *c, int64_t now, int64_t sent_ms)
{
  int64_t delay = now - sent_ms;

  if (!c->has_delay || delay < c->min_delay_ms)
    c->min_delay_ms = delay;
  c->has_delay = true;
  if (is_timely (c, now, sent_ms))
    c->last_seen_ms = now;
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
  bool timely = is_timely (c, now, m->sent_ms);
  int64_t heard = now - c->last_seen_ms;
  int64_t late = late_ms (c, now, m->sent_ms);

  record_message (c, now, m->sent_ms);
  memset (&spec, 0, sizeof spec);
  spec.priority = (uint32_t)m->priority;
  spec.attempts = (uint32_t)m->attempts;
  spec.stretch_milli = (uint32_t)m->stretch_milli;
  spec.floor_ms = m->floor_ms;
  spec.age_ms = m->age_ms;
  spec.deadline_ms = m->deadline_ms;
  spec.payload = m->payload;
  spec.part = (struct job_part){ m->is_part != 0, (uint32_t)m->part_step,
                                 (uint32_t)m->part_first, m->part_run };
  if (timely && slice_copy (m->key, spec.key, sizeof spec.key)
      && slice_copy (m->queue, spec.queue, sizeof spec.queue)
      && slice_copy (m->service, spec.service, sizeof spec.service)
      && job_spec_unpack_steps (&spec, m->steps))
    j = dispatcher_accept (d, now, &spec, &reason, &retry_ms);
  if (!timely)
    job_events_stale (c, m, heard, late);
  if (j == NULL)
    {
      dispatch_coordinator_send_result (&refused, JOB_REFUSED, reason,
                                        retry_ms, -1);
      return;
    }
  j->coordinator = c;
  j->id = m->id;
  DL_APPEND (c->jobs, j);
  job_events_accepted (j, heard, late);
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

static void
send_capacity (const struct dispatcher *d, struct coordinator *c,
               int64_t echo_ms)
{
  struct peer_message m = { .type = PEER_CAPACITY };
  struct dispatch_capacity capacities[CAPACITY_LIMIT];
  msgpack_sbuffer packed;

  msgpack_sbuffer_init (&packed);
  dispatch_capacity_pack (capacities,
                          dispatcher_capacity (d, capacities, CAPACITY_LIMIT),
                          &packed);
  m.u.capacity.echo_ms = echo_ms;
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
      c->last_seen_ms = now;
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
      record_message (c, now, m->u.keepalive.sent_ms);
      send_capacity (d, c, m->u.keepalive.sent_ms);
    }
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
