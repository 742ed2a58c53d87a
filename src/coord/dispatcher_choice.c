#include "coord/dispatcher_choice.h"

#include <string.h>
#include "coord/rendezvous.h"

/* The best candidates so far, the heaviest first.  */
struct ranking
{
  const struct plan_entry *entries[CHOICE_NEAR_LIMIT];
  uint64_t weights[CHOICE_NEAR_LIMIT];
  uint32_t count;
  uint32_t limit;
};

static void
rank (struct ranking *r, const struct plan_entry *e, uint64_t weight)
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
choose (struct dispatcher_choice *c, const struct plan_entry *e)
{
  c->entries[c->count++] = e;
  c->digest += rendezvous_weight (e->domain, e->vm) | 1;
}

static void
choose_all (struct dispatcher_choice *c, const struct ranking *r)
{
  for (uint32_t i = 0; i < r->count; i++)
    choose (c, r->entries[i]);
}

void
dispatcher_choice_make (const struct owner_plan *p, const struct plan_entry *e,
                        struct dispatcher_choice *c)
{
  struct ranking near = { .limit = CHOICE_NEAR_LIMIT };
  struct ranking far = { .limit = CHOICE_FAR_LIMIT };

  c->count = 0;
  c->digest = 1;
  for (uint32_t i = 0; i < p->entry_count; i++)
    {
      const struct plan_entry *d = p->entries[i];

      if (!d->alive || d->owned == 0)
        continue;
      if (d == e)
        choose (c, d);
      else if (strcmp (d->domain, e->domain) == 0)
        rank (&near, d, rendezvous_weight (e->vm, d->vm));
      else
        rank (&far, d, rendezvous_weight (e->vm, d->vm));
    }
  choose_all (c, &near);
  choose_all (c, &far);
}
