#include "tests/unit/lease_model.h"

#include <stdlib.h>
#include "coord/target_lease.h"
#include "tests/unit/lease_node.h"

enum
{
  RUN_MS = 30000,
  QUIET_TASK_MS = 2000,
  TASK_MIN_MS = 200,
  TASK_MAX_MS = 2500,
  BUDGET_MIN_MS = 2500,
  BUDGET_MAX_MS = 8000,
  QUIET_BUDGET_MS = 8000,
  REQUEST_MAX_MS = 20,

  /* A caller's end of a connection reaches the entry within this time.  */
  GONE_MAX_MS = 60,

  /* The longest lease that targets accept.  */
  SHORT_LEASE_MS = 700,
  LONG_LEASE_MS = 1000,

  CLOCK_OFFSET_MAX_MS = 100000000,
  SLOW_MAX_PPM = 20000,

  /* Chances per ms.  */
  FAULT_CHANCE = 1500,
  RESTART_CHANCE = 2000,
  STORM_CHANCE = 1500,
  GIVE_UP_CHANCE = 10000,
  STORM_GIVE_UP_CHANCE = 1500,

  STORM_MS = 2500,
  DELAY_MAX_MS = 900,
  LATE_JOBS_CHANCE = 3,
  LATE_MIN_MS = 450,
  SYNC_MAX_MS = 400,
  LATE_GIVE_UP_CHANCE = 60,
  POWER_LOSS_MAX_MS = 3000,
  KILL_MAX_MS = 500,
  CUT_MAX_MS = 2000,
  STALL_MAX_MS = 2500,
  SLOW_MAX_MS = 2500,
  SILENT_DEADLINE_CHANCE = 3
};

static void
report_violation (struct world *w, const char *what)
{
  if (w->run.violation == NULL)
    w->run.violation = what;
}

/* The callers.  */

static struct channel *
free_channel (struct world *w)
{
  for (int i = 0; i < CHANNELS; i++)
    if (!w->channels[i].used)
      return &w->channels[i];
  return NULL;
}

static uint32_t
new_task (struct world *w)
{
  w->task_ms[w->task_count]
      = w->with_faults
            ? TASK_MIN_MS + world_random (w, TASK_MAX_MS - TASK_MIN_MS)
            : QUIET_TASK_MS;
  return w->task_count++;
}

static void
submit (struct world *w, uint32_t caller)
{
  struct caller *c = &w->callers[caller];
  struct channel *channel = free_channel (w);
  int vm = (int)world_random (w, VMS);
  int64_t budget
      = w->with_faults
            ? BUDGET_MIN_MS + world_random (w, BUDGET_MAX_MS - BUDGET_MIN_MS)
            : QUIET_BUDGET_MS;

  if (channel == NULL || !w->nodes[vm].up || w->attempt_count == ATTEMPTS
      || w->task_count == TASKS)
    return;
  if (!c->retries)
    c->task = new_task (w);
  c->retries = false;
  c->waiting = true;
  c->attempt = w->attempt_count++;
  w->attempts[c->attempt] = (struct attempt){ c->task, caller, w->now + budget,
                                              INT64_MAX, INT64_MAX };
  *channel = (struct channel){ .used = true,
                               .vm = vm,
                               .attempt = c->attempt,
                               .request_ms
                               = w->now + 1 + world_random (w, REQUEST_MAX_MS),
                               .gone_ms = INT64_MAX };
  w->run.attempts++;
}

static struct channel *
channel_of (struct world *w, uint32_t attempt)
{
  for (int i = 0; i < CHANNELS; i++)
    if (w->channels[i].used && w->channels[i].attempt == attempt)
      return &w->channels[i];
  return NULL;
}

/* The caller's connection ends; its entry is told.  */
static void
break_channel (struct world *w, uint32_t attempt)
{
  struct channel *c = channel_of (w, attempt);

  if (c != NULL && c->gone_ms == INT64_MAX)
    {
      c->gone_ms = w->now + world_random (w, GONE_MAX_MS);
      if (c->gone_ms <= c->request_ms)
        c->gone_ms = c->request_ms;
      w->attempts[attempt].gone_ms = c->gone_ms;
    }
  world_attempt_failed (w, attempt);
}

/* At its deadline a caller gives up; if its connection has gone silent, its
   entry is not told.  */
static void
callers_step (struct world *w)
{
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      struct caller *c = &w->callers[i];

      if (!c->waiting)
        {
          if (w->now >= c->next_ms)
            submit (w, i);
        }
      else if (w->now >= w->attempts[c->attempt].deadline_ms
               && world_chance (w, SILENT_DEADLINE_CHANCE))
        world_attempt_failed (w, c->attempt);
      else if (w->now >= w->attempts[c->attempt].deadline_ms
               || (w->with_faults && world_chance (w, GIVE_UP_CHANCE)))
        break_channel (w, c->attempt);
    }
}

/* The faults.  */

/* The callers of the entry of VM see their connections end.  */
static void
end_channels (struct world *w, int vm)
{
  for (int i = 0; i < CHANNELS; i++)
    {
      struct channel *c = &w->channels[i];

      if (!c->used || c->vm != vm)
        continue;
      c->used = false;
      world_attempt_failed (w, c->attempt);
    }
}

/* The other sides of the connections of VM are told that they have ended.  */
static void
close_links (struct world *w, int vm)
{
  struct message m = { .kind = MESSAGE_CLOSED };

  for (int i = 0; i < VMS; i++)
    {
      if (i == vm)
        continue;
      world_send (w, vm, i, w->nodes[vm].links[i].generation, false, &m);
      world_send (w, i, vm, w->nodes[i].links[vm].generation, true, &m);
    }
}

/* The process on VM ends.  A VM that loses power tells nobody, until it is
   started again and resets the old connections.  */
static void
stop_node (struct world *w, int vm, bool power)
{
  struct node *n = &w->nodes[vm];

  if (!n->up)
    return;
  n->up = false;
  n->lost_power = power;
  n->start_ms = w->now + 20
                + world_random (w, power ? POWER_LOSS_MAX_MS : KILL_MAX_MS);
  end_channels (w, vm);
  for (int i = 0; i < EVENT_CHANNELS; i++)
    w->queues[vm][i].count = 0;
  for (int i = 0; i < CALLS; i++)
    if (w->calls[i].vm == vm)
      w->calls[i].abandoned = true;
  if (!power)
    close_links (w, vm);
}

static void
assign_target (struct world *w, int target, int vm)
{
  struct target *t = &w->targets[target];

  t->owner = vm;
  t->owner_token++;
  if (w->nodes[vm].up)
    node_own (w, vm, target, t->owner_token);
}

static void
start_nodes (struct world *w)
{
  for (int vm = 0; vm < VMS; vm++)
    {
      struct node *n = &w->nodes[vm];

      if (n->up || w->now < n->start_ms)
        continue;
      if (n->lost_power)
        {
          close_links (w, vm);
          n->clock_offset_ms = 1 + world_random (w, CLOCK_OFFSET_MAX_MS);
        }
      node_start (w, vm);
      for (int i = 0; i < TARGETS; i++)
        if (w->targets[i].owner == vm)
          assign_target (w, i, vm);
    }
}

/* The loop of VM stalls, between its passes or in the next one.  */
static void
stall (struct world *w, int vm, int64_t limit_ms)
{
  struct node *n = &w->nodes[vm];
  int64_t length = 1 + world_random (w, limit_ms);

  if (world_chance (w, 2))
    n->stall_ms = length;
  else
    n->busy_until_ms = w->now + length;
}

static void
cut (struct world *w, int from, int to)
{
  w->cut_until_ms[from][to] = w->now + world_random (w, CUT_MAX_MS);
}

/* Targets restart; later the keepers hear of it and assign them.  */
static void
restart_targets (struct world *w)
{
  if (world_chance (w, RESTART_CHANCE))
    world_restart_target (w, (int)world_random (w, TARGETS));
  for (int i = 0; i < TARGETS; i++)
    if (w->now == w->targets[i].heard_ms)
      assign_target (w, i, (int)world_random (w, VMS));
}

static void
inject_fault (struct world *w)
{
  int vm = (int)world_random (w, VMS);
  int other = (int)world_random (w, VMS);
  struct link *l = &w->nodes[vm].links[other];
  struct message closed = { .kind = MESSAGE_CLOSED };

  w->run.faults++;
  switch (world_random (w, 8))
    {
    case 0:
      stop_node (w, vm, true);
      break;
    case 1:
      stop_node (w, vm, false);
      break;
    case 2:
      l->silent = true;
      break;
    case 3:
      world_send (w, vm, other, l->generation, false, &closed);
      world_send (w, vm, other, l->generation, true, &closed);
      break;
    case 4:
      assign_target (w, (int)world_random (w, TARGETS), vm);
      break;
    case 5:
      stall (w, vm, STALL_MAX_MS);
      break;
    case 6:
      w->nodes[vm].slow_until_ms = w->now + world_random (w, SLOW_MAX_MS);
      break;
    default:
      cut (w, vm, other);
    }
}

/* The entry stalls and is lost or cut off, its callers leave, other VMs stall
   and stops are lost, in random order.  Its loop may be slow meanwhile.  */
static void
begin_loss (struct world *w, struct storm *s)
{
  s->delay_ms = world_chance (w, 2) ? world_random (w, DELAY_MAX_MS) : 0;
  s->give_up_chance = 100 + world_random (w, STORM_GIVE_UP_CHANCE);
  s->entry_ends_ms = w->now + world_random (w, STORM_MS);
  if (world_chance (w, 2))
    w->nodes[s->entry].slow_until_ms = s->end_ms;
  for (int i = 0; i < VMS; i++)
    s->stalls_ms[i] = w->now + world_random (w, STORM_MS);
  for (int i = 0; i < TARGETS; i++)
    {
      w->targets[i].stops_lost_from_ms
          = world_chance (w, 3) ? w->now : INT64_MAX;
      w->targets[i].assigned_ms = world_chance (w, 8)
                                      ? w->now + world_random (w, STORM_MS)
                                      : INT64_MAX;
    }
}

/* The jobs of the entry arrive late, with little left of their leases, and its
   callers leave at once; targets get other owners, then stops are lost.  */
static void
begin_late_jobs (struct world *w, struct storm *s)
{
  s->delay_ms = LATE_MIN_MS + world_random (w, DELAY_MAX_MS - LATE_MIN_MS);
  s->give_up_chance = LATE_GIVE_UP_CHANCE;
  s->entry_ends_ms = INT64_MAX;
  for (int i = 0; i < VMS; i++)
    s->stalls_ms[i] = INT64_MAX;
  for (int i = 0; i < TARGETS; i++)
    {
      struct target *t = &w->targets[i];

      t->assigned_ms = w->now + world_random (w, STORM_MS);
      t->stops_lost_from_ms = t->assigned_ms + world_random (w, SYNC_MAX_MS);
    }
}

static void
begin_storm (struct world *w)
{
  struct storm *s = &w->storm;

  w->run.faults++;
  s->end_ms = w->now + STORM_MS;
  s->entry = (int)world_random (w, VMS);
  if (world_chance (w, LATE_JOBS_CHANCE))
    begin_late_jobs (w, s);
  else
    begin_loss (w, s);
}

static void
end_entry (struct world *w, int entry)
{
  switch (world_random (w, 4))
    {
    case 0:
      stop_node (w, entry, true);
      break;
    case 1:
      stop_node (w, entry, false);
      break;
    case 2:
      for (int i = 0; i < VMS; i++)
        cut (w, entry, i);
      break;
    default:
      stall (w, entry, STALL_MAX_MS);
    }
}

static void
storm_step (struct world *w)
{
  struct storm *s = &w->storm;

  if (w->now > s->end_ms)
    {
      if (world_chance (w, STORM_CHANCE))
        begin_storm (w);
      return;
    }
  if (w->now == s->entry_ends_ms)
    end_entry (w, s->entry);
  for (int i = 0; i < VMS; i++)
    if (w->now == s->stalls_ms[i])
      stall (w, i, STALL_MAX_MS);
  for (int i = 0; i < TARGETS; i++)
    if (w->now == w->targets[i].assigned_ms)
      assign_target (w, i, (int)world_random (w, VMS));
  for (int i = 0; i < CHANNELS; i++)
    if (w->channels[i].used && w->channels[i].vm == s->entry
        && world_chance (w, s->give_up_chance))
      break_channel (w, w->channels[i].attempt);
}

/* The checks.  */

static void
check_run (struct world *w, const struct run_record *r)
{
  const struct attempt *a = &w->attempts[r->attempt];
  int64_t late;

  if (a->failed_ms == INT64_MAX)
    return;
  late = w->now - a->failed_ms;
  if (late > w->run.latest_ms)
    w->run.latest_ms = late;
  if (late >= MODEL_RETRY_MS)
    report_violation (w, "a run went on when its caller was back");
}

static void
check_leases (struct world *w, int vm)
{
  const struct node *n = &w->nodes[vm];

  for (int i = 0; i < JOBS; i++)
    {
      const struct local_job *j = &n->jobs[i];
      int64_t gone_ms = w->attempts[j->attempt].gone_ms;

      if (j->used && gone_ms != INT64_MAX
          && j->job.lease_end_ms - n->clock_offset_ms
                 > gone_ms + job_lease_limit_ms (MODEL_RETRY_MS))
        report_violation (w, "a lease was renewed for a caller that had left");
    }
}

static void
check (struct world *w)
{
  uint32_t tasks[TARGETS * SLOTS];
  uint32_t count = 0;

  for (int t = 0; t < TARGETS; t++)
    for (int i = 0; i < RUN_RECORDS; i++)
      {
        const struct run_record *r = &w->targets[t].runs[i];
        uint32_t task;

        if (!r->running)
          continue;
        check_run (w, r);
        task = w->attempts[r->attempt].task;
        for (uint32_t k = 0; k < count; k++)
          if (tasks[k] == task)
            report_violation (w, "a task ran twice at the same time");
        tasks[count++] = task;
      }
  for (int vm = 0; vm < VMS; vm++)
    if (w->nodes[vm].up)
      check_leases (w, vm);
}

static void
init_world (struct world *w, uint64_t seed)
{
  prng_init (&w->prng, seed);
  w->lease_ms = world_chance (w, 2) ? SHORT_LEASE_MS : LONG_LEASE_MS;
  for (int vm = 0; vm < VMS; vm++)
    {
      w->nodes[vm].clock_offset_ms = 1 + world_random (w, CLOCK_OFFSET_MAX_MS);
      node_start (w, vm);
    }
  for (int i = 0; i < TARGETS; i++)
    {
      w->targets[i].slow_ppm = world_random (w, SLOW_MAX_PPM + 1);
      w->targets[i].incarnation = 1;
      assign_target (w, i, i % VMS);
    }
  for (uint32_t i = 0; i < CALLERS; i++)
    w->callers[i].next_ms = 500 + world_random (w, 1000);
}

static void
step (struct world *w)
{
  w->now++;
  w->run.steps++;
  if (w->with_faults && world_chance (w, FAULT_CHANCE))
    inject_fault (w);
  if (w->with_faults)
    restart_targets (w);
  if (w->with_faults)
    storm_step (w);
  start_nodes (w);
  callers_step (w);
  world_targets_step (w);
  for (int i = 0; i < VMS; i++)
    node_step (w, i);
  check (w);
}

struct lease_run
lease_model_run (uint64_t seed, bool with_faults, enum lease_defect defect)
{
  struct world *w = calloc (1, sizeof *w);
  struct lease_run run;

  w->with_faults = with_faults;
  w->defect = defect;
  init_world (w, seed);
  while (w->now < RUN_MS && w->run.violation == NULL)
    step (w);
  run = w->run;
  free (w);
  return run;
}
