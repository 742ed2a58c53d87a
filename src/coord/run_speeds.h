/* What a dispatcher learns from its targets' finished runs: the run times of
   queues (work_estimate) and the factors on them of the targets
   (target_speed).  The run time of a queue is that on a target of mean speed,
   so that it does not depend on where its tasks happen to run.  */
#ifndef COORD_RUN_SPEEDS_H
#define COORD_RUN_SPEEDS_H

#include "coord/run_scheduler.h"

/* Records that a run of the task K of J on T has ended after ELAPSED_MS with
   success.  Runs remote from their data are ignored.  */
void run_speeds_note (struct run_scheduler *s, struct run_target *t,
                      int64_t now_ms, const struct run_job *j,
                      const struct run_task *k, int64_t elapsed_ms);

/* Updates the factors of all targets if that is due.  */
void run_speeds_update (struct run_scheduler *s, int64_t now_ms);

/* The cores of T, in thousandths, as a number of cores of mean speed.  */
uint64_t run_speeds_cpu (const struct run_target *t);

#endif
