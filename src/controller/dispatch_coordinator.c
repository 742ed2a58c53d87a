#include "controller/dispatch_coordinator.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/event_ring.h"

enum
{
  /* A coordinator that is silent for so long is taken for lost.  Its callers
     come back 1.3 s after a broken connection at the earliest, and its runs
     take a stop or a lease to end.  */
  COORDINATOR_SILENT_MS = 800,

  /* An order that was under way for so long longer than the quickest one came
     out of a frozen VM or a blocked link: its sender may have given up.  */
  ORDER_STALE_MS = 400,

  ROOM_LIMIT = 16
};

void
dispatch_coordinator_tell (const struct dispatch_job *j,
                           enum job_result result, enum refusal_reason reason,
                           int64_t retry_ms, int64_t waited_ms)
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
      dispatcher_cancel (d, now, j);
      n++;
    }
  if (n == 0)
    return;
  event_ring_add (EVENT_COORDINATOR_LOST, c->vm,
                  "why=%s jobs=%u silent_ms=%" PRId64, why, n,
                  now - c->heard_ms);
  dispatcher_want_pass (d);
}

static void
drop_coordinator (struct dispatcher *d, struct coordinator *c, int64_t now,
                  const char *why)
{
  cancel_jobs (d, c, now, why);
  DL_DELETE (d->coordinators, c);
  peer_conn_release (c->conn);
  free (c);
}

/* The coordinators stay until their connections end: how quick they were tells
   what comes late from them.  */
void
dispatch_coordinators_check (struct dispatcher *d, int64_t now)
{
  struct coordinator *c;

  DL_FOREACH (d->coordinators, c)
  if (now - c->heard_ms > COORDINATOR_SILENT_MS)
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

/* Whether what C sent at SENT_MS by its own clock has come as quickly as it
   should.  Nothing is known of the first message of a connection.  */
static bool
is_timely (const struct coordinator *c, int64_t now, int64_t sent_ms)
{
  return c->has_delay && now - sent_ms - c->least_delay_ms <= ORDER_STALE_MS;
}

/* Takes in a sign of life that C sent at SENT_MS.  */
static void
hear (struct coordinator *c, int64_t now, int64_t sent_ms)
{
  int64_t delay = now - sent_ms;

  if (!c->has_delay || delay < c->least_delay_ms)
    c->least_delay_ms = delay;
  c->has_delay = true;
  if (is_timely (c, now, sent_ms))
    c->heard_ms = now;
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

  hear (c, now, m->sent_ms);
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
    j = dispatcher_take (d, now, &spec, &reason, &retry_ms);
  if (j == NULL)
    {
      dispatch_coordinator_tell (&refused, JOB_REFUSED, reason, retry_ms, -1);
      return;
    }
  j->coordinator = c;
  j->id = m->id;
  DL_APPEND (c->jobs, j);
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
      dispatcher_cancel (d, now, j);
    }
}

static void
send_room (const struct dispatcher *d, struct coordinator *c, int64_t echo_ms)
{
  struct peer_message m = { .type = PEER_ROOM };
  struct dispatch_room rooms[ROOM_LIMIT];
  msgpack_sbuffer packed;

  msgpack_sbuffer_init (&packed);
  dispatch_rooms_pack (rooms, dispatcher_rooms (d, rooms, ROOM_LIMIT),
                       &packed);
  m.u.room.echo_ms = echo_ms;
  m.u.room.text = (struct slice){ packed.data == NULL ? "" : packed.data,
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
      && m->type != PEER_KEEP)
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
      hear (c, now, m->u.keep.sent_ms);
      send_room (d, c, m->u.keep.sent_ms);
    }
  return true;
}

void
dispatcher_peer_gone (struct dispatcher *d, int64_t now,
                      const struct peer_conn *from)
{
  struct coordinator *c = find_coordinator (d, from);

  if (c != NULL)
    drop_coordinator (d, c, now, "closed");
}

void
dispatch_coordinators_done (struct dispatcher *d, int64_t now)
{
  while (d->coordinators != NULL)
    drop_coordinator (d, d->coordinators, now, "stop");
}
