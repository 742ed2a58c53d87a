/* The free cores of the targets with most of them, so that others can tell
   how many whole tasks would fit.  */
#ifndef COORD_ROOM_FREE_H
#define COORD_ROOM_FREE_H

#include <stdint.h>

enum
{
  ROOM_FREE_TARGETS = 8
};

struct room_free
{
  uint64_t milli[ROOM_FREE_TARGETS]; /* thousandths of a core; most first */
};

/* Counts a target with CPU_MILLI free.  */
void room_free_add (struct room_free *r, uint64_t cpu_milli);

/* The number of tasks of CPU_MILLI that fit, at most LIMIT.  */
uint32_t room_free_tasks (const struct room_free *r, uint64_t cpu_milli,
                          uint32_t limit);

/* Takes the room of COUNT tasks of CPU_MILLI.  */
void room_free_take (struct room_free *r, uint64_t cpu_milli, uint32_t count);

#endif
