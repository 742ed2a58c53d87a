#include "coord/free_capacity.h"

#include <string.h>

void
free_capacity_add (struct free_capacity *c, uint64_t cpu_milli)
{
  uint32_t at = FREE_CAPACITY_TARGETS;

  while (at > 0 && c->cpu_milli[at - 1] < cpu_milli)
    at--;
  if (at == FREE_CAPACITY_TARGETS)
    return;
  memmove (&c->cpu_milli[at + 1], &c->cpu_milli[at],
           (FREE_CAPACITY_TARGETS - 1 - at) * sizeof c->cpu_milli[0]);
  c->cpu_milli[at] = cpu_milli;
}

uint32_t
free_capacity_tasks (const struct free_capacity *c, uint64_t cpu_milli,
                     uint32_t limit)
{
  uint64_t n = 0;

  if (cpu_milli == 0)
    return limit;
  for (uint32_t i = 0; i < FREE_CAPACITY_TARGETS; i++)
    n += c->cpu_milli[i] / cpu_milli;
  return n < limit ? (uint32_t)n : limit;
}

void
free_capacity_subtract (struct free_capacity *c, uint64_t cpu_milli,
                        uint32_t count)
{
  for (uint32_t i = 0; i < FREE_CAPACITY_TARGETS && cpu_milli != 0; i++)
    while (count != 0 && c->cpu_milli[i] >= cpu_milli)
      {
        c->cpu_milli[i] -= cpu_milli;
        count--;
      }
}
