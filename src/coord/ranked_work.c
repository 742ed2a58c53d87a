#include "coord/ranked_work.h"

#include <string.h>

void
ranked_work_add (struct ranked_work *w, uint32_t rank, uint64_t work)
{
  uint32_t at = 0;

  while (at < w->count && w->items[at].rank < rank)
    at++;
  if (at == RANKED_WORK_LIMIT)
    at--;
  else if (at == w->count || w->items[at].rank != rank)
    {
      if (w->count == RANKED_WORK_LIMIT)
        {
          w->items[w->count - 2].work += w->items[w->count - 1].work;
          w->count--;
        }
      memmove (&w->items[at + 1], &w->items[at],
               (w->count - at) * sizeof w->items[0]);
      w->items[at] = (struct ranked_work_item){ rank, 0 };
      w->count++;
    }
  w->items[at].work += work;
}

uint64_t
ranked_work_ahead (const struct ranked_work *w, uint32_t rank)
{
  uint64_t work = 0;

  for (uint32_t i = 0; i < w->count && w->items[i].rank <= rank; i++)
    work += w->items[i].work;
  return work;
}
