/* The dispatcher of a VM of the simulation: its targets.  */
#include <string.h>
#include "coord/target_lease.h"
#include "tests/unit/lease_node.h"

enum
{
  START_LEASE_MS = 320,
  LEASE_END_MARGIN_MS = 60,
  CALL_TIMEOUT_MS = 300,
  SYNC_PAUSE_MS = 25,
  POLL_PAUSE_MAX_MS = 450
};

void
node_send_stop (struct world *w, int vm, int target, uint32_t attempt,
                uint64_t run)
{
  struct call c = { .kind = CALL_STOP,
                    .target = target,
                    .token = w->nodes[vm].ports[target].token,
                    .attempt = attempt,
                    .run = run };

  world_call (w, vm, &c);
}

void
node_stop_run (struct world *w, int vm, struct local_job *j)
{
  if (j->state != TASK_STARTING && j->state != TASK_RUNNING)
    return;
  j->state = TASK_STOPPING;
  j->stop_answered_ms = 0;
  j->stop_sent_ms = world_clock (w, vm);
  node_send_stop (w, vm, j->target, j->attempt, j->run);
}

/* Until when a lease of at most LIMIT_MS may be requested.  */
static int64_t
lease_limit (const struct world *w, const struct port *p, int64_t now,
             int64_t limit_ms)
{
  struct run_target others = p->target;

  if (w->defect == LEASE_IGNORES_JOB)
    return now + limit_ms;
  if (w->defect != LEASE_STOPPING_IGNORED)
    return target_lease_limit_ms (&p->target, limit_ms, now);
  for (uint32_t i = 0; i < others.run_count;)
    if (others.runs[i].job->closed)
      others.runs[i] = others.runs[--others.run_count];
    else
      i++;
  return target_lease_limit_ms (&others, limit_ms, now);
}

/* Returns the lease end to request on the target's clock, 0 for none.  */
static int64_t
request_lease (const struct world *w, struct port *p, int64_t now,
               int64_t limit_ms)
{
  int64_t until = lease_limit (w, p, now, limit_ms);

  if (until <= now)
    return 0;
  target_lease_requested (&p->target, until);
  return target_clock_min_ms (&p->clock, until);
}

/* The incarnation that alone may carry out a call of P that requests a
   lease.  */
static uint32_t
lease_incarnation (const struct world *w, const struct port *p)
{
  return w->defect == LEASE_ANY_INCARNATION ? 0 : p->incarnation;
}

static void
send_poll (struct world *w, int vm, int target)
{
  struct port *p = &w->nodes[vm].ports[target];
  int64_t now = world_clock (w, vm);
  struct call c = { .kind = CALL_POLL, .target = target, .token = p->token };

  if (p->target.phase == TARGET_READY && p->target.run_count != 0
      && p->unanswered_since_ms == 0)
    c.lease_end_ms = request_lease (w, p, now, w->lease_ms);
  if (c.lease_end_ms != 0)
    c.incarnation = lease_incarnation (w, p);
  p->polling = true;
  p->poll_sent_ms = now;
  world_call (w, vm, &c);
}

void
node_start_run (struct world *w, int vm, struct local_job *j, int target)
{
  struct port *p = &w->nodes[vm].ports[target];
  struct run_target *t = &p->target;
  struct call c = { .kind = CALL_START,
                    .target = target,
                    .token = p->token,
                    .incarnation = lease_incarnation (w, p),
                    .attempt = j->attempt,
                    .run = ++j->run };

  j->state = TASK_STARTING;
  j->started = true;
  j->target = target;
  j->start_answered_ms = 0;
  j->stop_answered_ms = 0;
  t->runs[t->run_count++].job = &j->job;
  c.lease_end_ms = request_lease (w, p, world_clock (w, vm), START_LEASE_MS);
  world_call (w, vm, &c);
}

bool
node_may_start (const struct world *w, const struct port *p,
                int64_t lease_end_ms, int64_t now)
{
  return p->owned && p->target.phase == TARGET_READY && p->clock.known
         && p->target.run_count < SLOTS
         && (w->defect == LEASE_START_ANYWHERE
             || target_lease_admits (&p->target, lease_end_ms, now));
}

static void
remove_run (struct node *n, struct local_job *j)
{
  struct run_target *t = &n->ports[j->target].target;

  for (uint32_t i = 0; i < t->run_count; i++)
    if (t->runs[i].job == &j->job)
      {
        t->runs[i] = t->runs[--t->run_count];
        break;
      }
  j->state = TASK_WAITING;
}

/* The run of J is known to have ended.  */
static void
run_ended (struct world *w, int vm, struct local_job *j, enum run_end how)
{
  remove_run (&w->nodes[vm], j);
  if (how == RUN_END_DONE)
    node_close_job (w, vm, j, JOB_DONE);
  else
    node_free_if_finished (j);
}

static struct local_job *
job_of_run (struct node *n, int target, uint32_t attempt, uint64_t run)
{
  for (int i = 0; i < JOBS; i++)
    {
      struct local_job *j = &n->jobs[i];

      if (j->used && j->target == target && j->attempt == attempt
          && j->run == run && j->state != TASK_WAITING
          && j->state != TASK_DELEGATED)
        return j;
    }
  return NULL;
}

/* Drops what runs on TARGET: all leases have expired, or another VM owns it.
 */
static void
drop_runs (struct world *w, int vm, int target, bool lost)
{
  struct node *n = &w->nodes[vm];

  for (int i = 0; i < JOBS; i++)
    {
      struct local_job *j = &n->jobs[i];

      if (!j->used || j->target != target || j->state == TASK_WAITING
          || j->state == TASK_DELEGATED)
        continue;
      remove_run (n, j);
      if (lost)
        node_close_job (w, vm, j, JOB_UNKNOWN);
      node_free_if_finished (j);
    }
}

static void
no_answer (struct world *w, int vm, struct call *c)
{
  struct node *n = &w->nodes[vm];
  struct port *p = &n->ports[c->target];
  int64_t now = world_clock (w, vm);
  struct local_job *j = job_of_run (n, c->target, c->attempt, c->run);

  c->abandoned = true;
  if (!p->owned || p->token != c->token)
    return;
  if (p->unanswered_since_ms == 0)
    p->unanswered_since_ms = now;
  if (c->kind == CALL_POLL)
    {
      p->polling = false;
      p->next_poll_ms = now;
    }
  else if (c->kind == CALL_START && j != NULL)
    node_stop_run (w, vm, j);
}

void
node_tick_ports (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];
  int64_t now = world_clock (w, vm);

  for (int i = 0; i < w->call_limit; i++)
    {
      struct call *c = &w->calls[i];

      if (c->used && !c->abandoned && c->vm == vm
          && now - c->sent_ms >= CALL_TIMEOUT_MS)
        no_answer (w, vm, c);
    }
  for (int i = 0; i < TARGETS; i++)
    {
      struct port *p = &n->ports[i];

      if (!p->owned)
        continue;
      if (p->unanswered_since_ms != 0
          && now > p->target.lease_end_ms + LEASE_END_MARGIN_MS)
        drop_runs (w, vm, i, false);
      if (!p->polling && now >= p->next_poll_ms)
        send_poll (w, vm, i);
    }
}

static bool
is_listed (const struct call *c, const struct local_job *j)
{
  for (uint32_t i = 0; i < c->running_count; i++)
    if (c->running[i].attempt == j->attempt && c->running[i].run == j->run)
      return true;
  return false;
}

static void
poll_answered (struct world *w, int vm, const struct call *c)
{
  struct node *n = &w->nodes[vm];
  struct port *p = &n->ports[c->target];
  uint32_t unknown = 0;

  p->polling = false;
  if (!p->polled && w->defect != LEASE_OWNER_FORGETS)
    target_lease_requested (&p->target, world_clock (w, vm) + w->lease_ms);
  p->polled = true;
  for (int i = 0; i < JOBS; i++)
    {
      struct local_job *j = &n->jobs[i];

      if (!j->used || j->target != c->target || j->state == TASK_WAITING
          || j->state == TASK_DELEGATED || is_listed (c, j))
        continue;
      if ((j->start_answered_ms != 0 && j->start_answered_ms < c->sent_ms)
          || (j->stop_answered_ms != 0 && j->stop_answered_ms < c->sent_ms))
        run_ended (w, vm, j, world_run_end (w, c->target, j->attempt, j->run));
    }
  for (uint32_t i = 0; i < c->running_count; i++)
    {
      const struct listed_run *r = &c->running[i];

      if (job_of_run (n, c->target, r->attempt, r->run) != NULL)
        continue;
      unknown++;
      node_send_stop (w, vm, c->target, r->attempt, r->run);
    }
  if (unknown == 0)
    p->target.phase = TARGET_READY;
  p->next_poll_ms
      = world_clock (w, vm)
        + (unknown != 0 ? SYNC_PAUSE_MS : world_random (w, POLL_PAUSE_MAX_MS));
  if (unknown == 0 && c->lease_end_ms == 0 && p->target.run_count != 0)
    p->next_poll_ms = 0;
}

static void
start_answered (struct world *w, int vm, const struct call *c)
{
  struct node *n = &w->nodes[vm];
  struct local_job *j = job_of_run (n, c->target, c->attempt, c->run);

  if (j == NULL)
    return;
  if (c->outcome != CALL_DONE)
    {
      remove_run (n, j);
      node_free_if_finished (j);
      return;
    }
  j->start_answered_ms = world_clock (w, vm);
  if (j->state == TASK_STARTING)
    j->state = TASK_RUNNING;
  n->ports[c->target].next_poll_ms = 0;
}

static void
handle_answer (struct world *w, int vm, const struct call *c)
{
  struct node *n = &w->nodes[vm];
  struct port *p = &n->ports[c->target];
  struct local_job *j;

  if (!p->owned || p->token != c->token)
    return;
  if (p->incarnation == 0)
    p->incarnation = c->answered_by;
  if (c->outcome == CALL_FENCED || c->answered_by != p->incarnation)
    {
      p->owned = false;
      drop_runs (w, vm, c->target, true);
      return;
    }
  p->unanswered_since_ms = 0;
  target_clock_observe (&p->clock, c->clock_ms, world_clock (w, vm));
  switch (c->kind)
    {
    case CALL_START:
      start_answered (w, vm, c);
      break;
    case CALL_STOP:
      j = job_of_run (n, c->target, c->attempt, c->run);
      if (j != NULL)
        j->stop_answered_ms = world_clock (w, vm);
      p->next_poll_ms = 0;
      break;
    case CALL_POLL:
      poll_answered (w, vm, c);
      break;
    }
}

void
node_handle_answers (struct world *w, int vm, int target)
{
  struct call *c = world_answer (w, vm, target);

  while (c != NULL)
    {
      struct call copy = *c;

      c->used = false;
      handle_answer (w, vm, &copy);
      c = world_answer (w, vm, target);
    }
}

void
node_own (struct world *w, int vm, int target, uint64_t token)
{
  struct port *p = &w->nodes[vm].ports[target];

  if (p->owned)
    drop_runs (w, vm, target, true);
  memset (p, 0, sizeof *p);
  p->owned = true;
  p->token = token;
  p->target.phase = TARGET_SYNCING;
}
