/* Decides from the progress in status polls whether to stop a run and restart
   its task on another target.

   Load pattern: targets that answer while their tasks stall, and targets that
   are several times slower than others.  A run that is merely long is not
   restarted, since it would be as long elsewhere.  */
#ifndef COORD_RUN_PROGRESS_H
#define COORD_RUN_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_scheduler.h"

enum
{
  RUN_PERCENT_DONE = 100
};

/* The ratio of the projected to the expected run time of TASK, if its progress
   is PERCENT, which must not be 0, at NOW_MS.  */
double run_progress_ratio (const struct run_task *task, int64_t now_ms,
                           uint32_t percent);

/* Whether the run of TASK has stalled or is so slow that a restart elsewhere
   is quicker.  */
bool run_progress_should_restart (const struct run_task *task, int64_t now_ms);

#endif
