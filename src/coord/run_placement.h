/* Which target a task goes to.

   Load pattern: workers of two sizes that hold two or three tasks, some of
   them slow or lately failing, and jobs that all want the rack of their data.
   A task goes where it fits best; to its data first, and away from it only
   where it still ends on time or is late already.  */
#ifndef COORD_RUN_PLACEMENT_H
#define COORD_RUN_PLACEMENT_H

#include "coord/run_scheduler.h"

/* The target for TASK of J now, or NULL if it is to wait.  */
struct run_target *run_placement_choose (const struct run_scheduler *s,
                                         const struct run_job *j,
                                         uint32_t task, int64_t now_ms);

/* How long a task of STEP takes on T, if EXPECTED_MS with its data at
   hand.  */
int64_t run_placement_expected_ms (const struct run_scheduler *s,
                                   const struct run_target *t,
                                   const struct job_step *step,
                                   int64_t expected_ms);

#endif
