/* The loop of a VM of the simulation.  */
#include "tests/unit/lease_node.h"

#include <string.h>

enum
{
  TICK_MS = 20,
  PASS_EVENTS = 8, /* read in one pass; others wait */
  PASS_MS = 3,
  SLOW_PASS_MS = 250
};

void
node_start (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];
  uint32_t generations[VMS];
  uint32_t next_id = n->next_id;
  int64_t offset = n->clock_offset_ms;
  const struct lease_stamp start
      = { world_clock (w, vm), world_clock (w, vm) };

  for (int i = 0; i < VMS; i++)
    generations[i] = n->links[i].generation + 1;
  memset (n, 0, sizeof *n);
  n->up = true;
  n->next_id = next_id;
  n->clock_offset_ms = offset;
  n->next_pass_ms = w->now;
  for (int i = 0; i < VMS; i++)
    n->links[i].generation = generations[i];
  n->links[vm].echo = (struct lease_echo){ start, start };
}

static bool
is_ready (struct world *w, int vm, int event)
{
  const struct channel *c;

  if (event < EVENT_CHANNELS)
    return world_has_packet (w, vm, event);
  if (event >= EVENT_PORTS)
    return world_answer (w, vm, event - EVENT_PORTS) != NULL;
  c = &w->channels[event - EVENT_CHANNELS];
  return c->used && c->vm == vm
         && (c->read ? c->gone_ms <= w->now : c->request_ms <= w->now);
}

/* Collects ready events, in random order.  */
static void
begin_pass (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];

  n->in_pass = true;
  n->ready_count = 0;
  for (int i = 0; i < EVENTS; i++)
    if (is_ready (w, vm, i))
      n->ready[n->ready_count++] = i;
  for (uint32_t i = n->ready_count; i > 1; i--)
    {
      uint32_t other = (uint32_t)world_random (w, i);
      int swapped = n->ready[i - 1];

      n->ready[i - 1] = n->ready[other];
      n->ready[other] = swapped;
    }
  if (n->ready_count > PASS_EVENTS)
    n->ready_count = PASS_EVENTS;
}

static void
handle_event (struct world *w, int vm, int event)
{
  if (event < EVENT_JOBS)
    node_handle_reply (w, vm, event - EVENT_REPLIES);
  else if (event < EVENT_CHANNELS)
    node_handle_jobs (w, vm, event - EVENT_JOBS);
  else if (event < EVENT_PORTS)
    node_handle_channel (w, vm, (uint32_t)(event - EVENT_CHANNELS));
  else
    node_handle_answers (w, vm, event - EVENT_PORTS);
}

/* Timers come after all other events of a pass.  */
static void
end_pass (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];

  n->in_pass = false;
  n->next_pass_ms
      = w->now + 1
        + world_random (w, w->now < n->slow_until_ms ? SLOW_PASS_MS : PASS_MS);
  if (w->now < n->next_tick_ms)
    return;
  n->next_tick_ms = w->now + TICK_MS;
  node_tick_jobs (w, vm);
  node_tick_ports (w, vm);
  node_tick_entry (w, vm);
}

/* The loop may stall after each event.  */
void
node_step (struct world *w, int vm)
{
  struct node *n = &w->nodes[vm];

  if (!n->up || w->now < n->busy_until_ms)
    return;
  if (!n->in_pass)
    {
      if (w->now < n->next_pass_ms)
        return;
      begin_pass (w, vm);
    }
  while (n->ready_count != 0)
    {
      handle_event (w, vm, n->ready[--n->ready_count]);
      if (n->stall_ms != 0)
        {
          n->busy_until_ms = w->now + n->stall_ms;
          n->stall_ms = 0;
          return;
        }
    }
  end_pass (w, vm);
}
