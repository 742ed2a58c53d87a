/* Chooses the target for a task.

   Load pattern: targets of two sizes that hold two or three tasks, some of
   them slow or with recent faults, and jobs that all prefer the rack of their
   data.  Targets on that rack come first, and cold ones last.  A remote or
   slow target is chosen only if the task still ends on time there, or is late
   already.  Among equal candidates the one with the lowest run_target_cost is
   chosen.  */
#ifndef COORD_RUN_PLACEMENT_H
#define COORD_RUN_PLACEMENT_H

#include "coord/run_scheduler.h"

enum
{
  /* The assumed run time on a cold target, as a multiple of the usual one.
     Targets report how long they are cold, but not how slow that makes
     them.  */
  RUN_COLD_FACTOR = 2
};

/* The target on which to start TASK of J now, or NULL if the task must
   wait.  */
struct run_target *run_placement_choose (const struct run_scheduler *s,
                                         const struct run_job *j,
                                         uint32_t task, int64_t now_ms);

/* The expected run time on T of a task of STEP that is expected to take
   LOCAL_MS on the rack of its data.  */
int64_t run_placement_expected_ms (const struct run_scheduler *s,
                                   const struct run_target *t,
                                   const struct job_step *step,
                                   int64_t local_ms);

#endif
