#include "controller/job_entry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/histogram.h"
#include "base/now.h"
#include "controller/entry_dispatchers.h"
#include "controller/entry_assignment.h"
#include "controller/job_events.h"
#include "controller/entry_leases.h"
#include "controller/entry_withdrawal.h"
#include "controller/entry_withdrawn.h"
#include "controller/routed_job.h"

enum
{
  TICK_MS = 25,
  HEARTBEAT_MS = 300,

  /* A longer time between two ticks is logged as a stall of the event loop. */
  STALL_MS = 250,

  /* Retry-After of a job that is refused for lack of processor time here.  The
     load balancer sends most repeats to other entries.  */
  SHED_RETRY_MS = 1000,

  /* Minimum duration of a graceful stop.  */
  LEAVE_MIN_MS = 1200,

  /* Time left of the grace period when the last results are known; the
     process answers its last callers 0.8 s before the end.  */
  DISPATCH_MARGIN_MS = 1200
};

static void route (struct job_entry *n, int64_t now, struct routed_job *j);

static void
job_free (struct job_entry *n, struct routed_job *j)
{
  DL_DELETE (n->jobs, j);
  n->job_count--;
  event_free (j->answer_event);
  free (j->payload);
  free (j);
}

static void
on_answer_event (evutil_socket_t fd, short what, void *arg)
{
  struct routed_job *j = arg;
  job_answered answered = j->answered;
  void *answered_arg = j->arg;
  struct job_answer answer = j->answer;

  (void)fd;
  (void)what;
  job_free (j->entry, j);
  answered (answered_arg, &answer);
}

/* Schedules the answer of J, to be delivered from the event loop.  */
static void
answer (struct routed_job *j, enum job_result result,
        enum refusal_reason reason, int64_t retry_ms)
{
  j->local = NULL;
  j->vm[0] = '\0';
  j->answer = (struct job_answer){ result, reason, retry_ms };
  event_active (j->answer_event, EV_TIMEOUT, 0);
}

/* Answers J, which no further dispatcher is to be offered.  */
static void
answer_refused (struct routed_job *j, enum route_next next)
{
  answer (j, next == ROUTE_UNKNOWN ? JOB_UNKNOWN : JOB_REFUSED,
          j->answer.reason, j->answer.retry_ms);
}

static uint32_t
try_limit (const struct job_entry *n, const struct routed_job *j)
{
  return job_router_try_limit (&n->dispatcher.scheduler.priorities, &j->spec);
}

static void
handle_result (struct job_entry *n, int64_t now, struct routed_job *j,
               enum job_result result, enum refusal_reason reason,
               int64_t retry_ms)
{
  enum route_next next;

  j->local = NULL;
  j->vm[0] = '\0';
  if (result != JOB_REFUSED)
    {
      answer (j, result, reason, retry_ms);
      return;
    }
  j->answer = (struct job_answer){ result, reason, retry_ms };
  next = job_router_after_refusal (reason, j->tried_count, try_limit (n, j));
  if (next == ROUTE_ELSEWHERE)
    route (n, now, j);
  else
    answer_refused (j, next);
}

static void
on_local_done (void *arg, enum job_result result, enum refusal_reason reason,
               int64_t retry_ms, int64_t waited_ms)
{
  struct routed_job *j = arg;

  (void)waited_ms;
  handle_result (j->entry, now_ms (), j, result, reason, retry_ms);
}

static bool
send_job (struct job_entry *n, int64_t now, struct routed_job *j,
          const struct route_dispatcher *d)
{
  struct peer_message m = { .type = PEER_JOB };
  msgpack_sbuffer steps;
  bool sent;

  msgpack_sbuffer_init (&steps);
  job_spec_pack_steps (&j->spec, &steps);
  m.u.job
      = (struct peer_job){ .id = j->id,
                           .echo_ms = d->echo.latest.sent_ms,
                           .lease_ms = entry_leases_grant_ms (n, j, &d->echo),
                           .key = slice_of (j->spec.key),
                           .queue = slice_of (j->spec.queue),
                           .service = slice_of (j->spec.service),
                           .priority = j->spec.priority,
                           .attempts = j->spec.attempts,
                           .age_ms = now - j->arrived_ms,
                           .deadline_ms = j->deadline_ms - now,
                           .floor_ms = j->spec.floor_ms,
                           .stretch_milli = j->spec.stretch_milli,
                           .is_part = j->spec.part.is_part,
                           .part_step = j->spec.part.step,
                           .part_first = j->spec.part.first,
                           .part_run = j->spec.part.run,
                           .steps = { steps.data == NULL ? "" : steps.data,
                                      (uint32_t)steps.size },
                           .payload = j->spec.payload };
  sent = peer_network_send (n->network, d->vm, &m);
  msgpack_sbuffer_destroy (&steps);
  return sent;
}

/* Sends J to D.  Returns false if it could not be sent, or if D is this VM and
   refused it; the reason is then in J's answer.  */
static bool
submit_to (struct job_entry *n, int64_t now, struct routed_job *j,
           struct route_dispatcher *d)
{
  memcpy (j->tried[j->tried_count++], d->vm, NAME_BYTES);
  job_router_sent (d, &j->spec);
  if (strcmp (d->vm, n->settings->peer.vm) != 0)
    {
      if (!send_job (n, now, j, d))
        return false;
      memcpy (j->vm, d->vm, sizeof j->vm);
      j->sent_ms = now;
      event_ring_add (
          EVENT_DISPATCH_ROUTED, j->spec.key,
          "to=%s try=%u wait_ms=%" PRId64 " capacity_age_ms=%" PRId64
          " queue=%s tasks=%u view=%" PRIu64 ".%" PRIu64,
          d->vm, j->tried_count, job_router_wait_ms (d, &j->spec, now),
          now - d->reported_ms, j->spec.queue, job_spec_task_count (&j->spec),
          n->assignment_term, n->assignment_number);
      return true;
    }
  j->spec.age_ms = now - j->arrived_ms;
  j->spec.deadline_ms = j->deadline_ms - now;
  j->sent_ms = now;
  j->spec.lease_ms = job_lease_left_ms (entry_leases_own_end_ms (n, j), now);
  j->answer.result = JOB_REFUSED;
  j->local = dispatcher_submit (&n->dispatcher, now, &j->spec, on_local_done,
                                j, &j->answer.reason, &j->answer.retry_ms);
  return j->local != NULL;
}

static void
route (struct job_entry *n, int64_t now, struct routed_job *j)
{
  enum route_next next = ROUTE_REFUSED;

  entry_dispatchers_refresh_own (n, now);
  for (;;)
    {
      struct route_dispatcher *d = job_router_next (
          n->dispatchers, n->dispatcher_count, n->settings->peer.domain,
          &n->dispatcher.scheduler.priorities, &j->spec,
          (const char (*)[NAME_BYTES])j->tried, j->tried_count, now);

      if (d == NULL)
        break;
      if (submit_to (n, now, j, d))
        return;
      next = job_router_after_refusal (j->answer.reason, j->tried_count,
                                       try_limit (n, j));
      if (next != ROUTE_ELSEWHERE)
        break;
    }
  answer_refused (j, next);
}

static struct routed_job *
job_new (struct job_entry *n, int64_t now, const struct job_spec *spec,
         job_answered answered, void *arg)
{
  struct routed_job *j = calloc (1, sizeof *j);

  j->entry = n;
  j->id = ++n->next_id;
  j->spec = *spec;
  j->payload = malloc (spec->payload.length + 1);
  memcpy (j->payload, spec->payload.data, spec->payload.length);
  j->payload[spec->payload.length] = '\0';
  j->spec.payload.data = j->payload;
  j->arrived_ms = now - spec->age_ms;
  j->deadline_ms = now + spec->deadline_ms;
  j->answered = answered;
  j->arg = arg;
  j->answer.reason = REFUSAL_NO_TARGET;
  j->answer_event = event_new (n->base, -1, 0, on_answer_event, j);
  DL_APPEND (n->jobs, j);
  n->job_count++;
  return j;
}

void
job_entry_set_callers_drop (struct job_entry *n, callers_drop drop, void *arg)
{
  n->drop_callers = drop;
  n->drop_callers_arg = arg;
}

/* Refuses J, which no dispatcher has seen, since this VM is short of processor
   time.  */
static void
shed (const struct job_entry *n, struct routed_job *j)
{
  counters_add (COUNTER_JOBS_SHED, 1);
  event_ring_add (EVENT_JOB_SHED, j->spec.key,
                  "queue=%s rule=vm_short used_percent=%u late_ms=%" PRId64
                  " shed_percent=%u callers=%u",
                  j->spec.queue, n->load.used_percent, n->load.late_ms,
                  n->load.shed_percent, n->job_count);
  answer (j, JOB_REFUSED, REFUSAL_OVERLOAD, SHED_RETRY_MS);
}

struct routed_job *
job_entry_submit (struct job_entry *n, int64_t now, int64_t sent_after_ms,
                  const struct job_spec *spec, job_answered answered,
                  void *arg)
{
  struct routed_job *j = job_new (n, now, spec, answered, arg);

  j->lease_deadline_ms = sent_after_ms + spec->deadline_ms;
  if (vm_load_sheds (&n->load))
    shed (n, j);
  else
    route (n, now, j);
  return j;
}

struct routed_job *
job_entry_submit_part (struct job_entry *n, int64_t now,
                       const struct job_spec *spec,
                       const struct run_job *parent,
                       const struct route_dispatcher *d, job_answered answered,
                       void *arg)
{
  struct routed_job *j = job_new (n, now, spec, answered, arg);

  j->parent = parent;
  j->tried_count = ROUTE_PRIORITY_TRY_LIMIT;
  if (send_job (n, now, j, d))
    {
      memcpy (j->vm, d->vm, sizeof j->vm);
      j->sent_ms = now;
    }
  else
    answer (j, JOB_REFUSED, REFUSAL_LOST_PEER, 0);
  return j;
}

static bool
send_cancel (struct job_entry *n, const struct routed_job *j)
{
  struct peer_message m = { .type = PEER_JOB_CANCEL };

  m.u.job_cancel.id = j->id;
  return peer_network_send (n->network, j->vm, &m);
}

/* Returns false if the cancellation could not be sent.  */
static bool
cancel_at_dispatcher (struct job_entry *n, int64_t now, struct routed_job *j)
{
  if (j->local != NULL)
    dispatcher_cancel (&n->dispatcher, now, j->local, "cancelled");
  else if (j->vm[0] != '\0')
    return send_cancel (n, j);
  return true;
}

/* Cancels J, if a dispatcher has it.  Returns false if the cancellation could
   not be sent.  */
static bool
give_up (struct job_entry *n, int64_t now, struct routed_job *j,
         const char *why)
{
  bool at_dispatcher = j->local != NULL || j->vm[0] != '\0';
  bool sent = cancel_at_dispatcher (n, now, j);

  if (at_dispatcher)
    job_events_given_up (j, now, why, sent);
  return sent;
}

bool
job_entry_cancel (struct job_entry *n, int64_t now, struct routed_job *j)
{
  bool sent = j->spec.part.is_part ? cancel_at_dispatcher (n, now, j)
                                   : give_up (n, now, j, "caller_gone");

  job_free (n, j);
  return sent;
}

void
job_entry_withdraw (struct job_entry *n, int64_t now, struct routed_job *j)
{
  entry_withdrawn_add (n, now, j->spec.key);
  give_up (n, now, j, "withdrawn");
  answer (j, JOB_UNKNOWN, REFUSAL_WITHDRAWN, 0);
}

uint64_t
job_entry_job_id (const struct routed_job *j)
{
  return j->id;
}

struct routed_job *
job_entry_find (const struct job_entry *n, const char *key)
{
  struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (strcmp (j->spec.key, key) == 0 && !j->spec.part.is_part)
    return j;
  return NULL;
}

bool
job_entry_withdraw_repeated (struct job_entry *n, int64_t now, const char *key)
{
  struct routed_job *j = job_entry_find (n, key);

  if (j == NULL)
    return false;
  give_up (n, now, j, "repeated");
  answer (j, JOB_UNKNOWN, REFUSAL_NONE, 0);
  return true;
}

uint32_t
job_entry_waiting (const struct job_entry *n, const char *queue)
{
  return run_scheduler_waiting_jobs (&n->dispatcher.scheduler, queue);
}

const struct service_config *
job_entry_config (const struct job_entry *n)
{
  return &n->config;
}

bool
job_entry_is_ready (const struct job_entry *n)
{
  return !n->leaving && n->config.version != 0
         && vm_load_is_ready (&n->load, now_ms ())
         && (entry_dispatchers_any_usable (n)
             || entry_dispatchers_all_evacuated (n));
}

static struct routed_job *
find_job (struct job_entry *n, uint64_t id, const char *vm)
{
  struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (j->id == id && strcmp (j->vm, vm) == 0)
    return j;
  return NULL;
}

static void
receive_end (struct job_entry *n, int64_t now, const char *vm,
             const struct peer_job_end *m)
{
  struct routed_job *j = find_job (n, m->id, vm);

  if (j != NULL)
    handle_result (n, now, j, (enum job_result)m->result,
                   (enum refusal_reason)m->reason, m->retry_ms);
}

static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct job_entry *n = arg;
  int64_t now = now_ms ();

  if (dispatcher_receive (&n->dispatcher, now, from, m))
    return;
  switch (m->type)
    {
    case PEER_ASSIGNMENT:
      entry_assignment_receive (n, now, from->vm, &m->u.assignment);
      break;
    case PEER_KEEPERS:
      entry_assignment_receive_keepers (n, from->vm, m->u.keepers.text);
      break;
    case PEER_SERVICE_CONFIG:
      entry_assignment_receive_config (n, from->vm, &m->u.service_config);
      break;
    case PEER_CALL:
      if (m->u.call.method == METHOD_WITHDRAW)
        entry_withdrawal_handle_call (n, now, from, &m->u.call);
      else if (m->u.call.method == METHOD_WITHDRAWN)
        entry_withdrawn_handle_call (n, now, from, &m->u.call);
      else if (m->u.call.method == METHOD_EVACUATIONS)
        entry_assignment_receive_evacuations (n, now, from, &m->u.call);
      break;
    case PEER_JOB_END:
      receive_end (n, now, from->vm, &m->u.job_end);
      break;
    case PEER_CAPACITY:
      entry_dispatchers_receive_capacity (n, now, from->vm, &m->u.capacity);
      break;
    default:
      break;
    }
}

/* Answers the jobs sent to VM, whose connection has closed, with JOB_UNKNOWN,
   since they may have run.  */
static void
fail_jobs_at (struct job_entry *n, int64_t now, const char *vm)
{
  struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (strcmp (j->vm, vm) == 0)
    {
      job_events_given_up (j, now, "link_lost", false);
      answer (j, JOB_UNKNOWN, REFUSAL_LOST_PEER, 0);
    }
}

static void
on_link (void *arg, const char *vm, bool up)
{
  struct job_entry *n = arg;
  struct route_dispatcher *d = entry_dispatchers_find (n, vm);

  if (!up)
    fail_jobs_at (n, now_ms (), vm);
  if (d != NULL)
    {
      d->reachable = up;
      d->reported_ms = 0;
      d->polled_ms = 0;
      memset (&d->echo, 0, sizeof d->echo);
    }
  if (up)
    {
      n->targets_changed = true;
      n->last_heartbeat_ms = 0;
      withdrawn_feed_reset (&n->withdrawn_feed);
      n->withdrawn_tries = 0;
    }
}

static void
on_disconnected (void *arg, struct peer_conn *from)
{
  struct job_entry *n = arg;

  dispatcher_peer_disconnected (&n->dispatcher, now_ms (), from);
}

static const struct peer_network_events network_events
    = { on_message, on_link, on_disconnected };

bool
job_entry_has_jobs_at (const struct job_entry *n, const char *vm)
{
  const struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (strcmp (j->vm, vm) == 0)
    return true;
  return false;
}

static void
expire_jobs (struct job_entry *n, int64_t now)
{
  struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (now > j->deadline_ms && (j->local != NULL || j->vm[0] != '\0'))
    {
      give_up (n, now, j, "expired");
      answer (j, JOB_UNKNOWN, REFUSAL_EXPIRED, 0);
    }
}

/* Logs a change of whether this VM is short of processor time, and reports it
   to the keepers' leader.  */
static void
report_load (struct job_entry *n)
{
  const struct vm_load *l = &n->load;

  counters_add (COUNTER_SHORT_OF_CPU, l->is_short);
  event_ring_add (l->is_short ? EVENT_VM_SHORT : EVENT_VM_NOT_SHORT,
                  n->settings->name,
                  "used_percent=%u late_ms=%" PRId64
                  " shed_percent=%u callers=%u targets=%u",
                  l->used_percent, l->late_ms, l->shed_percent, n->job_count,
                  n->target_count);
  n->targets_changed = true;
  n->last_heartbeat_ms = 0;
}

static void
update_load (struct job_entry *n, int64_t now)
{
  int64_t duration = now - n->last_tick_ms;

  vm_load_tick (&n->load, duration, duration - TICK_MS);
  if (!vm_load_is_due (&n->load, now))
    return;
  if (vm_load_update (&n->load, now, now_cpu_us ()))
    report_load (n);
  n->dispatcher.delay_ms = vm_load_delay_ms (&n->load);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct job_entry *n = arg;
  int64_t now = now_ms ();
  uint32_t released = entry_assignment_count_released (n);

  (void)fd;
  (void)what;
  histogram_add (HISTOGRAM_LOOP_STALL, now - n->last_tick_ms - TICK_MS);
  update_load (n, now);
  if (now - n->last_tick_ms > STALL_MS)
    event_ring_add (EVENT_LOOP_STALLED, n->settings->name, "ms=%" PRId64,
                    now - n->last_tick_ms);
  n->last_tick_ms = now;
  expire_jobs (n, now);
  entry_leases_tick (n, now);
  entry_dispatchers_poll (n, now);
  entry_withdrawn_tick (n, now);
  if (released != n->released_reported)
    {
      n->released_reported = released;
      n->targets_changed = true;
      n->last_heartbeat_ms = 0;
    }
  if (now - n->last_heartbeat_ms >= HEARTBEAT_MS)
    entry_assignment_send_heartbeat (n, now);
}

bool
job_entry_start (struct job_entry *n, struct event_base *base,
                 const struct node_settings *s, uint64_t boot_id,
                 const struct target_port_ops *ops, config_decode decode,
                 struct error *e)
{
  struct timeval tick = now_timeval (TICK_MS);

  memset (n, 0, sizeof *n);
  n->base = base;
  n->settings = s;
  n->boot_id = boot_id;
  n->decode = decode;
  n->last_tick_ms = now_ms ();
  n->lease_limit_ms = job_lease_limit_ms (s->caller_retry_ms);
  entry_leases_init (n, n->last_tick_ms);
  vm_load_init (&n->load, s->cpu_milli, n->last_tick_ms, now_cpu_us ());
  service_config_init (&n->config);
  withdrawn_jobs_init (&n->withdrawn, WITHDRAWN_LIMIT);
  n->network
      = peer_network_new (base, &s->peer, boot_id, &network_events, n, e);
  if (n->network == NULL)
    return false;
  dispatcher_init (
      &n->dispatcher, base, ops,
      entry_leases_target_ms (n->lease_limit_ms, s->lease_limit_ms));
  if (s->far_factor >= 1)
    n->dispatcher.scheduler.remote_factor = s->far_factor;
  delegation_controller_init (&n->delegation, n);
  job_entry_connect_seeds (n);
  n->tick = event_new (base, -1, EV_PERSIST, on_tick, n);
  event_add (n->tick, &tick);
  return true;
}

void
job_entry_done (struct job_entry *n)
{
  if (n->network == NULL)
    return;
  n->stopped = true;
  event_free (n->tick);
  delegation_controller_done (&n->delegation);
  while (n->jobs != NULL)
    job_free (n, n->jobs);
  dispatcher_done (&n->dispatcher);
  peer_network_free (n->network);
  service_config_done (&n->config);
  withdrawn_jobs_done (&n->withdrawn);
  free (n->targets);
}

void
job_entry_leave (struct job_entry *n, int64_t now)
{
  if (n->leaving)
    return;
  n->leaving = true;
  n->leaving_since_ms = now;
  event_ring_add (EVENT_PROCESS_STOPPING, n->settings->name,
                  "callers=%u jobs=%u targets=%u", n->job_count,
                  dispatcher_open_jobs (&n->dispatcher), n->target_count);
  dispatcher_leave (&n->dispatcher, now,
                    now + n->settings->stop_grace_ms - DISPATCH_MARGIN_MS);
  entry_assignment_send_heartbeat (n, now);
}

void
job_entry_abandon (struct job_entry *n, int64_t now)
{
  struct routed_job *j;

  DL_FOREACH (n->jobs, j)
  if (j->local != NULL || j->vm[0] != '\0')
    {
      give_up (n, now, j, "leaving");
      answer (j, JOB_UNKNOWN, REFUSAL_LEAVING, 0);
    }
}

bool
job_entry_may_exit (const struct job_entry *n, int64_t now)
{
  return n->leaving && n->job_count == 0
         && dispatcher_open_jobs (&n->dispatcher) == 0 && n->target_count == 0
         && now - n->leaving_since_ms >= LEAVE_MIN_MS;
}
