/* The free capacity of a dispatcher: the free cores of each of the targets
   that have the most.  Other VMs compute from it how many tasks fit; the total
   would not be enough, since each task must fit on one target.  */
#ifndef COORD_FREE_CAPACITY_H
#define COORD_FREE_CAPACITY_H

#include <stdint.h>

enum
{
  FREE_CAPACITY_TARGETS = 8
};

struct free_capacity
{
  /* in thousandths of a core, in descending order */
  uint64_t cpu_milli[FREE_CAPACITY_TARGETS];
};

/* Adds a target with CPU_MILLI free.  It is dropped if FREE_CAPACITY_TARGETS
   others have as much.  */
void free_capacity_add (struct free_capacity *c, uint64_t cpu_milli);

/* The number of tasks of CPU_MILLI that fit, at most LIMIT.  */
uint32_t free_capacity_tasks (const struct free_capacity *c,
                              uint64_t cpu_milli, uint32_t limit);

/* Subtracts the capacity for COUNT tasks of CPU_MILLI.  The values may then be
   out of order.  */
void free_capacity_subtract (struct free_capacity *c, uint64_t cpu_milli,
                             uint32_t count);

#endif
