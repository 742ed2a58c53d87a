/* The order in which waiting jobs get free capacity.

   Load pattern: short and long jobs compete for the same cores, and there are
   fewer cores than work.  Started jobs go first, since callers get no result
   of an unfinished job; then jobs that can still be on time, by their latest
   start on time; then jobs that can only be late, the least work first.  */
#ifndef COORD_WAIT_ORDER_H
#define COORD_WAIT_ORDER_H

#include <stdint.h>
#include "coord/run_scheduler.h"

/* The position of a job in the order: by group, by rank, then by key, the
   lowest first.  */
struct wait_rank
{
  int group;     /* 0: started, 1: can be on time, 2: late */
  uint32_t rank; /* priority where the service sheds load by it, else 0 */
  int64_t key;   /* latest start in ms; for late jobs the work in core ms */
  struct run_job *job;
};

struct wait_rank wait_rank_of (struct run_job *j, int64_t now_ms);

/* For qsort over struct wait_rank.  */
int wait_rank_compare (const void *a, const void *b);

#endif
