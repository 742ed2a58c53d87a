#include "coord/peer_table.h"

#include <string.h>

void
peer_table_init (struct peer_table *t, const struct settings *s)
{
  memset (t, 0, sizeof *t);
  t->lease_ms = s->lease_ms;
  for (uint32_t i = 0; i < s->vm_count; i++)
    {
      const struct vm_settings *v = &s->vms[i];

      if (v->role != ROLE_ENTRY || strcmp (v->name, s->vm) == 0)
        continue;
      t->peers[t->count].vm = v;
      t->peers[t->count].same_domain = strcmp (v->domain, s->domain) == 0;
      t->count++;
    }
}

struct peer *
peer_table_find (struct peer_table *t, const char *vm)
{
  for (uint32_t i = 0; i < t->count; i++)
    if (strcmp (t->peers[i].vm->name, vm) == 0)
      return &t->peers[i];
  return NULL;
}

bool
peer_is_alive (const struct peer_table *t, const struct peer *p,
               int64_t now_ms)
{
  return p->last_seen_ms != 0 && now_ms - p->last_seen_ms < t->lease_ms;
}

struct peer *
peer_table_pick (struct peer_table *t, int64_t now_ms, double own_share)
{
  struct peer *best = NULL;
  double best_share = own_share;

  for (uint32_t i = 0; i < t->count; i++)
    {
      struct peer *p = &t->peers[i];
      double share;

      if (p->free_capacity == 0 || p->total_slots == 0 || p->draining
          || !peer_is_alive (t, p, now_ms))
        continue;
      share = (double)p->free_capacity / p->total_slots;
      if (share > best_share
          || (best != NULL && share == best_share && p->same_domain
              && !best->same_domain))
        {
          best = p;
          best_share = share;
        }
    }
  return best;
}

uint32_t
peer_table_total_slots (const struct peer_table *t, int64_t now_ms)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < t->count; i++)
    if (!t->peers[i].draining && peer_is_alive (t, &t->peers[i], now_ms))
      n += t->peers[i].total_slots;
  return n;
}
