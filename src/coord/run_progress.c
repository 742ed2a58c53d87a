#include "coord/run_progress.h"

enum
{
  /* A run has stalled if its progress did not rise for the longer of STALL_MS
     and its expected run time divided by STALL_FRACTION.  */
  STALL_MS = 200,
  STALL_FRACTION = 5,

  /* A run is overdue after OVERDUE_FACTOR times its expected run time.  It is
     stopped if its remaining time exceeds that plus RESTART_COST_MS, the time
     for a stop and a start: a restart elsewhere is quicker then.  */
  OVERDUE_FACTOR = 2,
  RESTART_COST_MS = 100,

  /* A run near its end is not stopped, nor is a task that was stopped
     MAX_STOPS times: then the task is long rather than its targets slow.  */
  NEAR_END_PERCENT = 95,
  MAX_STOPS = 2
};

/* Whether status polls have shown no progress for so long that the run must
   have stalled.  */
static bool
is_stalled (const struct run_task *task)
{
  int64_t stalled_ms = task->listed_ms - task->progressed_ms;

  return stalled_ms >= STALL_MS
         && stalled_ms * STALL_FRACTION >= task->expected_ms;
}

/* Whether TASK is overdue and would end sooner if restarted elsewhere.  */
static bool
is_too_slow (const struct run_task *task, int64_t now)
{
  int64_t ran = task->listed_ms - task->began_ms;

  return now - task->began_ms > OVERDUE_FACTOR * task->expected_ms
         && task->percent != 0
         && ran * (RUN_PERCENT_DONE - task->percent) / task->percent
                > OVERDUE_FACTOR * task->expected_ms + RESTART_COST_MS;
}

double
run_progress_ratio (const struct run_task *task, int64_t now, uint32_t percent)
{
  double expected = task->expected_ms < 1 ? 1 : (double)task->expected_ms;

  return (double)(now - task->began_ms) * RUN_PERCENT_DONE
         / ((percent + 0.5) * expected);
}

bool
run_progress_should_restart (const struct run_task *task, int64_t now)
{
  return task->state == RUN_RUNNING && task->listed_ms != 0
         && task->stops < MAX_STOPS && task->percent < NEAR_END_PERCENT
         && (is_stalled (task) || is_too_slow (task, now));
}
