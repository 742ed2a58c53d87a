/* The waiting work of a dispatcher by rank (run_job), for services that shed
   load by priority.  A capacity report carries it, so that the wait of an
   urgent job is not computed from work that it goes before.  */
#ifndef COORD_RANKED_WORK_H
#define COORD_RANKED_WORK_H

#include <stdint.h>

enum
{
  RANKED_WORK_LIMIT = 4
};

struct ranked_work_item
{
  uint32_t rank;
  uint64_t work; /* thousandths of a core times ms */
};

struct ranked_work
{
  /* The lowest ranks, in ascending order; the last one has the work of all
     higher ranks too.  */
  struct ranked_work_item items[RANKED_WORK_LIMIT];
  uint32_t count;
};

void ranked_work_add (struct ranked_work *w, uint32_t rank, uint64_t work);

/* The work that goes before a job of RANK, or at the same time.  */
uint64_t ranked_work_ahead (const struct ranked_work *w, uint32_t rank);

#endif
