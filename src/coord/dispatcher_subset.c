#include "coord/dispatcher_subset.h"

#include <string.h>
#include "coord/rendezvous.h"

/* The candidates with the highest weights so far, in descending order.  */
struct ranking
{
  const struct plan_entry *entries[SUBSET_LOCAL_LIMIT];
  uint64_t weights[SUBSET_LOCAL_LIMIT];
  uint32_t count;
  uint32_t limit;
};

static void
insert (struct ranking *r, const struct plan_entry *e, uint64_t weight)
{
  uint32_t at;

  if (r->count == r->limit)
    {
      if (r->weights[r->count - 1] >= weight)
        return;
      r->count--;
    }
  for (at = r->count; at > 0 && r->weights[at - 1] < weight; at--)
    {
      r->entries[at] = r->entries[at - 1];
      r->weights[at] = r->weights[at - 1];
    }
  r->entries[at] = e;
  r->weights[at] = weight;
  r->count++;
}

static void
add (struct dispatcher_subset *s, const struct plan_entry *e)
{
  s->entries[s->count++] = e;
  s->digest += rendezvous_weight (e->domain, e->vm) | 1;
}

static void
add_all (struct dispatcher_subset *s, const struct ranking *r)
{
  for (uint32_t i = 0; i < r->count; i++)
    add (s, r->entries[i]);
}

void
dispatcher_subset_make (const struct owner_plan *p, const struct plan_entry *e,
                        struct dispatcher_subset *s)
{
  struct ranking local = { .limit = SUBSET_LOCAL_LIMIT };
  struct ranking remote = { .limit = SUBSET_REMOTE_LIMIT };

  s->count = 0;
  s->digest = 1;
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      const struct plan_entry *d = p->entries[i];

      if (!d->alive || d->owned == 0)
        continue;
      if (d == e)
        add (s, d);
      else if (strcmp (d->domain, e->domain) == 0)
        insert (&local, d, rendezvous_weight (e->vm, d->vm));
      else
        insert (&remote, d, rendezvous_weight (e->vm, d->vm));
    }
  add_all (s, &local);
  add_all (s, &remote);
}
