#include "tests/unit/lease_world.h"

#include <string.h>

enum
{
  MILLION = 1000000,
  DELAY_MAX_MS = 8,
  LATE_MAX_MS = 3000,
  STOP_MAX_MS = 50,
  CALL_FAULT_CHANCE = 25,

  /* The longest lease that a target accepts.  */
  LEASE_MAX_MS = 1000,

  /* From a target's restart until the keepers hear of it.  */
  UNHEARD_MAX_MS = 2000
};

int64_t
world_random (struct world *w, int64_t limit)
{
  return prng_next (&w->prng, (uint32_t)limit);
}

bool
world_chance (struct world *w, int64_t n)
{
  return world_random (w, n) == 0;
}

int64_t
world_clock (const struct world *w, int vm)
{
  return w->now + w->nodes[vm].clock_offset_ms;
}

void
world_attempt_failed (struct world *w, uint32_t attempt)
{
  struct attempt *a = &w->attempts[attempt];
  struct caller *c = &w->callers[a->caller];

  if (!c->waiting || c->attempt != attempt)
    return;
  a->failed_ms = w->now;
  c->waiting = false;
  c->retries = true;
  c->next_ms = w->now + MODEL_RETRY_MS;
  w->run.failed++;
}

static struct packet_queue *
queue_of (struct world *w, int entry, int dispatcher, bool reply)
{
  return reply ? &w->queues[entry][EVENT_REPLIES + dispatcher]
               : &w->queues[dispatcher][EVENT_JOBS + entry];
}

void
world_send (struct world *w, int entry, int dispatcher, uint32_t generation,
            bool reply, const struct message *m)
{
  const struct link *l = &w->nodes[entry].links[dispatcher];
  struct packet_queue *q = queue_of (w, entry, dispatcher, reply);
  int64_t at = w->now + 1 + world_random (w, DELAY_MAX_MS);

  if (!w->nodes[reply ? entry : dispatcher].up || q->count == PACKETS
      || (l->silent && l->generation == generation))
    return;
  if (!reply && w->now < w->storm.end_ms && entry == w->storm.entry)
    at += w->storm.delay_ms;
  for (uint32_t i = 0; i < q->count; i++)
    if (q->packets[i].generation == generation && q->packets[i].at_ms > at)
      at = q->packets[i].at_ms;
  q->packets[q->count++] = (struct packet){ generation, at, *m };
}

static bool
has_arrived (const struct world *w, int vm, int source, const struct packet *p)
{
  return p->at_ms <= w->now && w->cut_until_ms[source % VMS][vm] <= w->now;
}

bool
world_has_packet (const struct world *w, int vm, int source)
{
  const struct packet_queue *q = &w->queues[vm][source];

  for (uint32_t i = 0; i < q->count; i++)
    if (has_arrived (w, vm, source, &q->packets[i]))
      return true;
  return false;
}

bool
world_receive (struct world *w, int vm, int source, struct packet *p)
{
  struct packet_queue *q = &w->queues[vm][source];

  for (uint32_t i = 0; i < q->count; i++)
    if (has_arrived (w, vm, source, &q->packets[i]))
      {
        *p = q->packets[i];
        q->count--;
        memmove (&q->packets[i], &q->packets[i + 1],
                 (q->count - i) * sizeof *p);
        return true;
      }
  return false;
}

/* A lost call is one that arrives never; a late one is carried out after its
   caller has given up.  */
void
world_call (struct world *w, int vm, struct call *c)
{
  struct call *call = NULL;

  for (int i = 0; i < CALLS && call == NULL; i++)
    if (!w->calls[i].used)
      call = &w->calls[i];
  if (call == NULL)
    return;
  if (call - w->calls >= w->call_limit)
    w->call_limit = (int)(call - w->calls) + 1;
  *call = *c;
  call->used = true;
  call->vm = vm;
  call->sent_ms = world_clock (w, vm);
  call->arrive_ms = w->now + 1 + world_random (w, DELAY_MAX_MS);
  if (w->with_faults && world_chance (w, CALL_FAULT_CHANCE))
    call->arrive_ms = world_chance (w, 2)
                          ? INT64_MAX
                          : w->now + world_random (w, LATE_MAX_MS);
  if (c->kind == CALL_STOP && w->now < w->storm.end_ms
      && w->now >= w->targets[c->target].stops_lost_from_ms)
    call->arrive_ms = INT64_MAX;
  call->answer_ms = INT64_MAX;
}

struct call *
world_answer (struct world *w, int vm, int target)
{
  for (int i = 0; i < w->call_limit; i++)
    {
      struct call *c = &w->calls[i];

      if (c->used && !c->abandoned && c->vm == vm && c->target == target
          && c->answer_ms <= w->now)
        return c;
    }
  return NULL;
}

static int64_t
target_clock_now (const struct world *w, const struct target *t)
{
  int64_t elapsed = w->now - t->started_ms;

  return elapsed - elapsed * t->slow_ppm / MILLION;
}

void
world_restart_target (struct world *w, int target)
{
  struct target *t = &w->targets[target];

  memset (t->runs, 0, sizeof t->runs);
  memset (t->highest_run, 0, sizeof t->highest_run);
  t->incarnation++;
  t->started_ms = w->now;
  t->heard_ms = w->now + 1 + world_random (w, UNHEARD_MAX_MS);
  t->lease_end_ms = 0;
  t->token = 0;
}

static struct run_record *
find_run (struct target *t, uint32_t attempt, uint64_t run)
{
  for (int i = 0; i < RUN_RECORDS; i++)
    if (t->runs[i].run == run && t->runs[i].attempt == attempt)
      return &t->runs[i];
  return NULL;
}

enum run_end
world_run_end (const struct world *w, int target, uint32_t attempt,
               uint64_t run)
{
  const struct target *t = &w->targets[target];

  for (int i = 0; i < RUN_RECORDS; i++)
    if (t->runs[i].run == run && t->runs[i].attempt == attempt)
      return t->runs[i].how;
  return RUN_END_STOPPED;
}

/* A lease is never shortened, and none is longer than LEASE_MAX_MS.  */
static void
extend_lease (const struct world *w, struct target *t, int64_t end_ms)
{
  int64_t limit_ms = target_clock_now (w, t) + LEASE_MAX_MS;

  if (end_ms > limit_ms)
    end_ms = limit_ms;
  if (end_ms > t->lease_end_ms)
    t->lease_end_ms = end_ms;
}

static uint32_t
running_on (const struct target *t)
{
  uint32_t n = 0;

  for (int i = 0; i < RUN_RECORDS; i++)
    n += t->runs[i].running;
  return n;
}

static enum call_outcome
carry_out_start (struct world *w, struct target *t, const struct call *c)
{
  uint32_t task = w->attempts[c->attempt].task;
  struct run_record *r = &t->runs[t->run_count % RUN_RECORDS];

  if (target_clock_now (w, t) > c->lease_end_ms)
    return CALL_REJECTED;
  extend_lease (w, t, c->lease_end_ms);
  if (c->run <= t->highest_run[task] || running_on (t) == SLOTS)
    return CALL_REJECTED;
  while (r->running)
    r = &t->runs[++t->run_count % RUN_RECORDS];
  *r = (struct run_record){ .running = true,
                            .attempt = c->attempt,
                            .run = c->run,
                            .end_ms = w->now + w->task_ms[task] };
  t->run_count++;
  t->highest_run[task] = (uint32_t)c->run;
  w->run.starts++;
  return CALL_DONE;
}

static void
carry_out_stop (struct world *w, struct target *t, const struct call *c)
{
  uint32_t *highest = &t->highest_run[w->attempts[c->attempt].task];
  struct run_record *r = find_run (t, c->attempt, c->run);

  if (c->run > *highest)
    *highest = (uint32_t)c->run;
  if (r == NULL || !r->running || r->stopping)
    return;
  r->stopping = true;
  r->end_ms = w->now + world_random (w, STOP_MAX_MS);
}

static void
carry_out_poll (const struct world *w, struct target *t, struct call *c)
{
  extend_lease (w, t, c->lease_end_ms);
  for (int i = 0; i < RUN_RECORDS; i++)
    if (t->runs[i].running)
      c->running[c->running_count++]
          = (struct listed_run){ t->runs[i].attempt, t->runs[i].run };
}

static void
carry_out (struct world *w, struct call *c)
{
  struct target *t = &w->targets[c->target];

  c->carried_out = true;
  if (c->incarnation != 0 && c->incarnation != t->incarnation)
    return; /* the connection has ended with the earlier one */
  c->answered_by = t->incarnation;
  c->clock_ms = target_clock_now (w, t);
  c->answer_ms = w->now + 1 + world_random (w, DELAY_MAX_MS);
  if (w->with_faults && world_chance (w, CALL_FAULT_CHANCE))
    c->answer_ms = world_chance (w, 2)
                       ? INT64_MAX
                       : w->now + world_random (w, LATE_MAX_MS);
  if (c->token < t->token)
    {
      c->outcome = CALL_FENCED;
      return;
    }
  t->token = c->token;
  switch (c->kind)
    {
    case CALL_START:
      c->outcome = carry_out_start (w, t, c);
      break;
    case CALL_STOP:
      carry_out_stop (w, t, c);
      break;
    case CALL_POLL:
      carry_out_poll (w, t, c);
      break;
    }
}

static void
end_runs (struct world *w, struct target *t)
{
  bool lapsed = target_clock_now (w, t) > t->lease_end_ms;

  for (int i = 0; i < RUN_RECORDS; i++)
    {
      struct run_record *r = &t->runs[i];

      if (!r->running || (!lapsed && w->now < r->end_ms))
        continue;
      r->running = false;
      r->how = lapsed        ? RUN_END_LAPSED
               : r->stopping ? RUN_END_STOPPED
                             : RUN_END_DONE;
      w->run.lapsed += lapsed;
    }
}

void
world_targets_step (struct world *w)
{
  for (int i = 0; i < TARGETS; i++)
    end_runs (w, &w->targets[i]);
  for (int i = 0; i < w->call_limit; i++)
    {
      struct call *c = &w->calls[i];

      if (!c->used)
        continue;
      if (!c->carried_out && c->arrive_ms <= w->now)
        carry_out (w, c);
      if (c->abandoned && (c->carried_out || c->arrive_ms == INT64_MAX))
        c->used = false;
    }
  while (w->call_limit != 0 && !w->calls[w->call_limit - 1].used)
    w->call_limit--;
}
