#include "coord/room_free.h"

#include <string.h>

void
room_free_add (struct room_free *r, uint64_t cpu)
{
  uint32_t at = ROOM_FREE_TARGETS;

  while (at > 0 && r->milli[at - 1] < cpu)
    at--;
  if (at == ROOM_FREE_TARGETS)
    return;
  memmove (&r->milli[at + 1], &r->milli[at],
           (ROOM_FREE_TARGETS - 1 - at) * sizeof r->milli[0]);
  r->milli[at] = cpu;
}

uint32_t
room_free_tasks (const struct room_free *r, uint64_t cpu, uint32_t limit)
{
  uint64_t n = 0;

  if (cpu == 0)
    return limit;
  for (uint32_t i = 0; i < ROOM_FREE_TARGETS; i++)
    n += r->milli[i] / cpu;
  return n < limit ? (uint32_t)n : limit;
}

void
room_free_take (struct room_free *r, uint64_t cpu, uint32_t count)
{
  for (uint32_t i = 0; i < ROOM_FREE_TARGETS && cpu != 0; i++)
    while (count != 0 && r->milli[i] >= cpu)
      {
        r->milli[i] -= cpu;
        count--;
      }
}
