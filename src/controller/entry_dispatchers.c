#include "controller/entry_dispatchers.h"

#include <string.h>

enum
{
  /* Dispatchers are asked for their room so often; those elsewhere seldom,
     unless they have jobs of ours and must know that we live.  */
  POLL_NEAR_MS = 150,
  POLL_FAR_MS = 300,

  /* A dispatcher that has jobs of ours and says nothing for so long is taken
     for lost.  */
  DISPATCHER_SILENT_MS = 900
};

struct route_dispatcher *
entry_dispatchers_find (struct job_entry *n, const char *vm)
{
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    if (strcmp (n->dispatchers[i].vm, vm) == 0)
      return &n->dispatchers[i];
  return NULL;
}

static void
set_rooms (struct route_dispatcher *d, const struct dispatch_room *rooms,
           uint32_t count, int64_t now)
{
  d->heard_ms = now;
  d->room_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct route_room *r = &d->rooms[i];

      memset (r, 0, sizeof *r);
      memcpy (r->service, rooms[i].service, sizeof r->service);
      r->cpu_milli = rooms[i].cpu_milli;
      r->free_cpu_milli = rooms[i].free_cpu_milli;
      r->free_targets = rooms[i].free_targets;
      r->work_ahead = rooms[i].work_ahead;
    }
}

/* What is known of the others is a moment old; of this VM it is not.  */
void
entry_dispatchers_refresh_own (struct job_entry *n, int64_t now)
{
  struct route_dispatcher *d
      = entry_dispatchers_find (n, n->settings->peer.vm);
  struct dispatch_room rooms[ROUTE_ROOM_LIMIT];

  if (d == NULL)
    return;
  d->reachable = true;
  set_rooms (d, rooms,
             dispatcher_rooms (&n->dispatcher, rooms, ROUTE_ROOM_LIMIT), now);
}

void
entry_dispatchers_ask (struct job_entry *n, int64_t now,
                       const struct route_dispatcher *d)
{
  struct peer_message m = { .type = PEER_KEEP };

  m.u.keep.sent_ms = now;
  peer_network_send (n->network, d->vm, &m);
}

bool
entry_dispatchers_any (const struct job_entry *n)
{
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    if (n->dispatchers[i].reachable && n->dispatchers[i].room_count != 0)
      return true;
  return false;
}

void
entry_dispatchers_receive_room (struct job_entry *n, int64_t now,
                                const char *vm, const struct peer_room *m)
{
  struct route_dispatcher *d = entry_dispatchers_find (n, vm);
  struct dispatch_room rooms[ROUTE_ROOM_LIMIT];

  if (d == NULL)
    return;
  d->reachable = true;
  if (d->retired)
    d->heard_ms = now;
  else
    set_rooms (d, rooms,
               dispatch_rooms_unpack (rooms, ROUTE_ROOM_LIMIT, m->text), now);
  lending_controller_room_heard (&n->lending);
}

/* Asks the dispatchers for their rooms; those that say nothing while they have
   jobs of ours are given up.  */
void
entry_dispatchers_poll (struct job_entry *n, int64_t now)
{
  if (now - n->poll_ms < POLL_NEAR_MS)
    return;
  n->poll_ms = now;
  for (uint32_t i = 0; i < n->dispatcher_count; i++)
    {
      struct route_dispatcher *d = &n->dispatchers[i];
      bool busy;

      if (strcmp (d->vm, n->settings->peer.vm) == 0)
        continue;
      busy = job_entry_has_jobs_at (n, d->vm);
      if (busy && d->reachable && d->heard_ms != 0
          && now - d->heard_ms > DISPATCHER_SILENT_MS)
        {
          peer_network_reset (n->network, d->vm);
          continue;
        }
      if (busy || strcmp (d->domain, n->settings->peer.domain) == 0
          || now - d->heard_ms >= POLL_FAR_MS)
        entry_dispatchers_ask (n, now, d);
    }
}
