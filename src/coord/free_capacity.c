#include "coord/free_capacity.h"

#include <string.h>

void
free_capacity_add (struct free_capacity *c, uint64_t cpu)
{
  uint32_t at = FREE_CAPACITY_TARGETS;

  while (at > 0 && c->milli[at - 1] < cpu)
    at--;
  if (at == FREE_CAPACITY_TARGETS)
    return;
  memmove (&c->milli[at + 1], &c->milli[at],
           (FREE_CAPACITY_TARGETS - 1 - at) * sizeof c->milli[0]);
  c->milli[at] = cpu;
}

uint32_t
free_capacity_tasks (const struct free_capacity *c, uint64_t cpu,
                     uint32_t limit)
{
  uint64_t n = 0;

  if (cpu == 0)
    return limit;
  for (uint32_t i = 0; i < FREE_CAPACITY_TARGETS; i++)
    n += c->milli[i] / cpu;
  return n < limit ? (uint32_t)n : limit;
}

void
free_capacity_subtract (struct free_capacity *c, uint64_t cpu, uint32_t count)
{
  for (uint32_t i = 0; i < FREE_CAPACITY_TARGETS && cpu != 0; i++)
    while (count != 0 && c->milli[i] >= cpu)
      {
        c->milli[i] -= cpu;
        count--;
      }
}
