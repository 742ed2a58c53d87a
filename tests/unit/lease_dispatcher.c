/* The dispatcher of a VM of the simulation: its jobs.  */
#include "tests/unit/lease_node.h"

enum
{
  DELEGATE_CHANCE = 6,
  WAIT_LIMIT_MS = 1500,
  STOP_RETRY_MS = 25
};

struct local_job *
node_find_job (struct node *n, int from, uint32_t generation, uint32_t id)
{
  for (int i = 0; i < JOBS; i++)
    {
      struct local_job *j = &n->jobs[i];

      if (j->used && !j->closed && j->from == from && j->id == id
          && j->generation == generation)
        return j;
    }
  return NULL;
}

static void
send_end (struct world *w, int vm, const struct local_job *j,
          enum job_result result)
{
  struct message m
      = { .kind = MESSAGE_JOB_END, .id = j->id, .result = result };

  if (j->from == vm)
    node_routed_ended (w, vm, j->id, result);
  else
    world_send (w, j->from, vm, j->generation, true, &m);
}

void
node_free_if_finished (struct local_job *j)
{
  if (j->closed && j->state == TASK_WAITING)
    j->used = false;
}

/* Ends J and stops its run; it exists until the run is known to have ended. */
void
node_cancel_job (struct world *w, int vm, struct local_job *j)
{
  j->closed = true;
  j->job.closed = true;
  if (j->state == TASK_DELEGATED)
    node_revoke_part (w, vm, j);
  node_stop_run (w, vm, j);
  node_free_if_finished (j);
}

void
node_close_job (struct world *w, int vm, struct local_job *j,
                enum job_result result)
{
  if (j->closed)
    return;
  j->closed = true;
  send_end (w, vm, j, result);
  node_cancel_job (w, vm, j);
}

void
node_part_ended (struct world *w, int vm, struct local_job *j,
                 enum job_result result)
{
  if (!j->used || j->closed || j->state != TASK_DELEGATED)
    return;
  j->state = TASK_WAITING;
  if (result != JOB_REFUSED)
    node_close_job (w, vm, j, result);
}

static int64_t
lease_end_of (const struct world *w, int vm, int64_t echo_ms, int64_t granted)
{
  int64_t now = world_clock (w, vm);

  if (w->defect == LEASE_BY_ARRIVAL)
    return now + granted;
  return job_lease_end_ms (echo_ms, granted, now);
}

static bool
is_known (const struct world *w, const struct node *n, uint32_t attempt)
{
  for (int i = 0; i < JOBS; i++)
    if (n->jobs[i].used
        && w->attempts[n->jobs[i].attempt].task == w->attempts[attempt].task)
      return true;
  return false;
}

static void
try_start (struct world *w, int vm, struct local_job *j)
{
  struct node *n = &w->nodes[vm];
  int first = (int)world_random (w, TARGETS);

  if (!j->is_part && !j->started && world_chance (w, DELEGATE_CHANCE))
    {
      node_delegate (w, vm, j);
      return;
    }
  for (int i = 0; i < TARGETS; i++)
    {
      int target = (first + i) % TARGETS;

      if (node_may_start (w, &n->ports[target], j->job.lease_end_ms,
                          world_clock (w, vm)))
        {
          node_start_run (w, vm, j, target);
          return;
        }
    }
  if (j->is_part && !j->started)
    node_close_job (w, vm, j, JOB_REFUSED);
}

void
node_receive_job (struct world *w, int vm, int from, uint32_t generation,
                  const struct message *m)
{
  struct node *n = &w->nodes[vm];
  int64_t now = world_clock (w, vm);
  struct local_job job = { .used = true,
                           .from = from,
                           .generation = generation,
                           .id = m->id,
                           .attempt = m->attempt,
                           .is_part = m->is_part,
                           .arrived_ms = now };

  job.job.lease_end_ms = lease_end_of (w, vm, m->echo_ms, m->lease_ms);
  if (job_lease_left_ms (job.job.lease_end_ms, now) >= JOB_LEASE_START_MS
      && !is_known (w, n, m->attempt))
    for (int i = 0; i < JOBS; i++)
      if (!n->jobs[i].used)
        {
          n->jobs[i] = job;
          try_start (w, vm, &n->jobs[i]);
          return;
        }
  send_end (w, vm, &job, JOB_REFUSED);
}

void
node_receive_keepalive (struct world *w, int vm, int from, uint32_t generation,
                        const struct message *m)
{
  struct message reply
      = { .kind = MESSAGE_CAPACITY, .echo_ms = world_clock (w, vm) };

  for (uint32_t i = 0; i < m->grant_count; i++)
    {
      struct local_job *j
          = node_find_job (&w->nodes[vm], from, generation, m->grants[i].id);
      int64_t end = lease_end_of (w, vm, m->echo_ms, m->grants[i].ms);

      if (j != NULL && end > j->job.lease_end_ms)
        j->job.lease_end_ms = end;
    }
  if (from != vm)
    world_send (w, from, vm, generation, true, &reply);
}

void
node_handle_jobs (struct world *w, int vm, int from)
{
  struct node *n = &w->nodes[vm];
  struct packet p;

  while (world_receive (w, vm, EVENT_JOBS + from, &p))
    switch (p.m.kind)
      {
      case MESSAGE_JOB:
        node_receive_job (w, vm, from, p.generation, &p.m);
        break;
      case MESSAGE_KEEPALIVE:
        node_receive_keepalive (w, vm, from, p.generation, &p.m);
        break;
      case MESSAGE_CANCEL:
        if (node_find_job (n, from, p.generation, p.m.id) != NULL)
          node_cancel_job (w, vm,
                           node_find_job (n, from, p.generation, p.m.id));
        break;
      default:
        for (int i = 0; i < JOBS; i++)
          if (n->jobs[i].used && !n->jobs[i].closed && n->jobs[i].from == from
              && n->jobs[i].generation == p.generation)
            node_cancel_job (w, vm, &n->jobs[i]);
      }
}

void
node_tick_jobs (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];
  int64_t now = world_clock (w, vm);

  for (int i = 0; i < JOBS; i++)
    {
      struct local_job *j = &n->jobs[i];

      if (!j->used)
        continue;
      if (!j->closed && job_lease_is_ending (j->job.lease_end_ms, now))
        node_close_job (w, vm, j,
                        j->started || j->state == TASK_DELEGATED
                            ? JOB_UNKNOWN
                            : JOB_REFUSED);
      else if (!j->closed && j->state == TASK_WAITING)
        {
          if (!j->started && now - j->arrived_ms > WAIT_LIMIT_MS)
            node_close_job (w, vm, j, JOB_REFUSED);
          else
            try_start (w, vm, j);
        }
      else if (j->state == TASK_STOPPING && j->stop_answered_ms == 0
               && now - j->stop_sent_ms >= STOP_RETRY_MS)
        {
          j->stop_sent_ms = now;
          node_send_stop (w, vm, j->target, j->attempt, j->run);
        }
    }
}
