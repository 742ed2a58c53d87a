/* The free capacity of a dispatcher: the free cores of the targets that have
   the most.  Other VMs compute from it how many tasks fit; the total would not
   do, since each task must fit on one target.  */
#ifndef COORD_ROOM_FREE_H
#define COORD_ROOM_FREE_H

#include <stdint.h>

enum
{
  ROOM_FREE_TARGETS = 8
};

struct room_free
{
  uint64_t milli[ROOM_FREE_TARGETS]; /* thousandths of a core, descending */
};

/* Adds a target with CPU_MILLI free.  It is dropped if ROOM_FREE_TARGETS
   others have as much.  */
void room_free_add (struct room_free *r, uint64_t cpu_milli);

/* The number of tasks of CPU_MILLI that fit, at most LIMIT.  */
uint32_t room_free_tasks (const struct room_free *r, uint64_t cpu_milli,
                          uint32_t limit);

/* Subtracts the capacity for COUNT tasks of CPU_MILLI.  The values may then be
   out of order.  */
void room_free_take (struct room_free *r, uint64_t cpu_milli, uint32_t count);

#endif
