/* The entry of a VM of the simulation.  */
#include "tests/unit/lease_node.h"

enum
{
  KEEPALIVE_MS = 100,
  DISPATCHER_TIMEOUT_MS = 900,
  QUERY_CHANCE = 3
};

static struct routed_task *
find_routed (struct node *n, uint32_t id)
{
  for (int i = 0; i < JOBS; i++)
    if (n->routed[i].used && n->routed[i].id == id)
      return &n->routed[i];
  return NULL;
}

/* The stamps of L as the defect of W has them.  */
static struct lease_echo
used_echo (const struct world *w, const struct link *l)
{
  struct lease_echo used = l->echo;

  if (w->defect == LEASE_ECHO_LATEST)
    used.confirmed = used.latest;
  if (w->defect == LEASE_ECHO_TWO_TICKS)
    used.confirmed = l->earlier;
  return used;
}

/* What the entry of VM grants R now, from the latest stamp on.  */
static int64_t
grant_ms (const struct world *w, int vm, const struct routed_task *r)
{
  const struct node *n = &w->nodes[vm];
  const struct attempt *a = &w->attempts[r->attempt];
  struct lease_echo e = used_echo (w, &n->links[r->to]);

  if (r->parent < 0)
    return job_lease_grant_ms (&e, job_lease_limit_ms (MODEL_RETRY_MS),
                               a->deadline_ms + n->clock_offset_ms);
  if (w->defect == LEASE_DELEGATE_FULL)
    return job_lease_limit_ms (MODEL_RETRY_MS);
  return job_lease_pass_on_ms (&e, n->jobs[r->parent].job.lease_end_ms);
}

static struct routed_task *
add_routed (struct node *n, uint32_t attempt, int to, int parent,
            uint32_t channel)
{
  for (int i = 0; i < JOBS; i++)
    if (!n->routed[i].used)
      {
        n->routed[i] = (struct routed_task){ true, ++n->next_id, attempt,
                                             to,   parent,       channel };
        return &n->routed[i];
      }
  return NULL;
}

static void
submit (struct world *w, int vm, struct routed_task *r)
{
  struct node *n = &w->nodes[vm];
  const struct link *l = &n->links[r->to];
  struct message m = { .kind = MESSAGE_JOB,
                       .id = r->id,
                       .attempt = r->attempt,
                       .is_part = r->parent >= 0,
                       .echo_ms = l->echo.latest.sent_ms,
                       .lease_ms = grant_ms (w, vm, r) };

  if (r->to == vm)
    node_receive_job (w, vm, vm, l->generation, &m);
  else
    world_send (w, vm, r->to, l->generation, false, &m);
}

static void
cancel_routed (struct world *w, int vm, struct routed_task *r)
{
  struct node *n = &w->nodes[vm];
  struct message m = { .kind = MESSAGE_CANCEL, .id = r->id };
  uint32_t generation = n->links[r->to].generation;
  struct local_job *j = node_find_job (n, vm, generation, r->id);

  r->used = false;
  if (r->to != vm)
    world_send (w, vm, r->to, generation, false, &m);
  else if (j != NULL)
    node_cancel_job (w, vm, j);
}

/* The entry answers the caller of channel C.  */
static void
answer (struct world *w, uint32_t c, enum job_result result)
{
  struct channel *channel = &w->channels[c];
  struct caller *caller = &w->callers[w->attempts[channel->attempt].caller];

  if (!channel->used)
    return;
  channel->used = false;
  if (result == JOB_UNKNOWN)
    world_attempt_failed (w, channel->attempt);
  else if (caller->waiting && caller->attempt == channel->attempt)
    {
      caller->waiting = false;
      caller->next_ms = w->now + 1 + world_random (w, 100);
      w->run.done += result == JOB_DONE;
    }
}

void
node_routed_ended (struct world *w, int vm, uint32_t id,
                   enum job_result result)
{
  struct node *n = &w->nodes[vm];
  struct routed_task *r = find_routed (n, id);

  if (r == NULL)
    return;
  r->used = false;
  if (r->parent >= 0)
    node_part_ended (w, vm, &n->jobs[r->parent], result);
  else
    answer (w, r->channel, result);
}

/* The connection to a dispatcher has ended; a new one is opened.  */
static void
lose_link (struct world *w, int vm, int dispatcher)
{
  struct node *n = &w->nodes[vm];
  struct link *l = &n->links[dispatcher];

  *l = (struct link){ .generation = l->generation + 1,
                      .heard_ms = world_clock (w, vm) };
  for (int i = 0; i < JOBS; i++)
    if (n->routed[i].used && n->routed[i].to == dispatcher)
      node_routed_ended (w, vm, n->routed[i].id, JOB_UNKNOWN);
}

static bool
has_jobs_at (const struct node *n, int dispatcher)
{
  for (int i = 0; i < JOBS; i++)
    if (n->routed[i].used && n->routed[i].to == dispatcher)
      return true;
  return false;
}

static void
send_keepalive (struct world *w, int vm, int dispatcher)
{
  struct node *n = &w->nodes[vm];
  const struct link *l = &n->links[dispatcher];
  struct message m
      = { .kind = MESSAGE_KEEPALIVE, .echo_ms = l->echo.latest.sent_ms };

  for (int i = 0; i < JOBS; i++)
    {
      const struct routed_task *r = &n->routed[i];

      if (r->used && r->to == dispatcher && m.grant_count < GRANTS)
        m.grants[m.grant_count++]
            = (struct grant){ r->id, grant_ms (w, vm, r) };
    }
  if (dispatcher == vm)
    node_receive_keepalive (w, vm, vm, l->generation, &m);
  else
    world_send (w, vm, dispatcher, l->generation, false, &m);
}

static void
drop_channel (struct world *w, int vm, uint32_t index)
{
  struct node *n = &w->nodes[vm];

  w->channels[index].used = false;
  for (int i = 0; i < JOBS; i++)
    if (n->routed[i].used && n->routed[i].parent < 0
        && n->routed[i].channel == index)
      cancel_routed (w, vm, &n->routed[i]);
}

/* Drops the callers that have left, with no regard to what was read.  */
static void
drop_callers (struct world *w, int vm)
{
  if (w->defect == LEASE_ECHO_TICK || w->defect == LEASE_ECHO_TWO_TICKS)
    return;
  for (uint32_t i = 0; i < CHANNELS; i++)
    {
      const struct channel *c = &w->channels[i];

      if (c->used && c->vm == vm && c->read && c->gone_ms <= w->now)
        drop_channel (w, vm, i);
    }
}

static void
confirm_stamps (struct world *w, int vm)
{
  for (int i = 0; i < VMS; i++)
    {
      struct link *l = &w->nodes[vm].links[i];

      l->earlier = l->echo.confirmed;
      lease_echo_confirm (&l->echo);
    }
}

void
node_tick_entry (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];
  int64_t now = world_clock (w, vm);
  bool due = w->now >= n->next_keepalive_ms;

  lease_echo_receive (&n->links[vm].echo, now, now);
  drop_callers (w, vm);
  confirm_stamps (w, vm);
  for (int i = 0; i < VMS; i++)
    {
      struct link *l = &n->links[i];
      struct message closed = { .kind = MESSAGE_CLOSED };

      if (i != vm && has_jobs_at (n, i)
          && now - l->heard_ms > DISPATCHER_TIMEOUT_MS)
        {
          world_send (w, vm, i, l->generation, false, &closed);
          lose_link (w, vm, i);
        }
      if (due)
        send_keepalive (w, vm, i);
    }
  if (due)
    n->next_keepalive_ms = w->now + KEEPALIVE_MS;
}

/* Whether the end of the connection is found when its request is read.  */
static bool
has_left (const struct world *w, const struct channel *c)
{
  return w->defect != LEASE_ACCEPTS_LEFT && w->defect != LEASE_ECHO_TWO_TICKS
         && c->gone_ms <= w->now;
}

static void
read_request (struct world *w, int vm, uint32_t index)
{
  struct node *n = &w->nodes[vm];
  struct channel *c = &w->channels[index];
  int to = (int)world_random (w, VMS);
  struct routed_task *r;

  c->read = true;
  if (has_left (w, c))
    {
      c->used = false;
      return;
    }
  if (n->links[to].echo.confirmed.sent_ms == 0)
    to = vm;
  r = add_routed (n, c->attempt, to, -1, index);
  if (r == NULL)
    answer (w, index, JOB_REFUSED);
  else
    submit (w, vm, r);
}

void
node_handle_channel (struct world *w, int vm, uint32_t index)
{
  struct channel *c = &w->channels[index];

  if (!c->used || c->vm != vm)
    return;
  if (!c->read)
    read_request (w, vm, index);
  else if (c->gone_ms <= w->now)
    drop_channel (w, vm, index);
}

/* Capacity is also requested between two ticks, to delegate tasks.  */
static void
receive_capacity (struct world *w, int vm, int from, const struct message *m)
{
  lease_echo_receive (&w->nodes[vm].links[from].echo, m->echo_ms,
                      world_clock (w, vm));
  if (world_chance (w, QUERY_CHANCE))
    send_keepalive (w, vm, from);
}

void
node_handle_reply (struct world *w, int vm, int from)
{
  struct link *l = &w->nodes[vm].links[from];
  struct packet p;

  while (world_receive (w, vm, EVENT_REPLIES + from, &p))
    {
      if (p.generation != l->generation)
        continue;
      l->heard_ms = world_clock (w, vm);
      if (p.m.kind == MESSAGE_CAPACITY)
        receive_capacity (w, vm, from, &p.m);
      else if (p.m.kind == MESSAGE_JOB_END)
        node_routed_ended (w, vm, p.m.id, p.m.result);
      else if (p.m.kind == MESSAGE_CLOSED)
        lose_link (w, vm, from);
    }
}

void
node_delegate (struct world *w, int vm, struct local_job *j)
{
  struct node *n = &w->nodes[vm];
  int to = (int)world_random (w, VMS);
  struct routed_task *r;

  if (to == vm || n->links[to].echo.confirmed.sent_ms == 0)
    return;
  r = add_routed (n, j->attempt, to, (int)(j - n->jobs), 0);
  if (r == NULL)
    return;
  j->state = TASK_DELEGATED;
  w->run.delegated++;
  submit (w, vm, r);
}

void
node_revoke_part (struct world *w, int vm, struct local_job *j)
{
  struct node *n = &w->nodes[vm];

  for (int i = 0; i < JOBS; i++)
    if (n->routed[i].used && n->routed[i].parent == j - n->jobs)
      cancel_routed (w, vm, &n->routed[i]);
  j->state = TASK_WAITING;
}
