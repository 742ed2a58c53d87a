#include "coord/run_progress.h"

enum
{
  /* A run whose progress has not grown between looks so far apart stands
     still, if by expectation it would have grown by a share at least.  */
  STALL_MS = 200,
  STALL_SHARE = 5,

  /* A run is overdue after so many times its expectation; it is stopped if by
     its progress it needs that much longer still and more: beginning anew
     elsewhere is quicker then, though a stop and a start are lost.  */
  OVERDUE_FACTOR = 2,
  RESTART_COST_MS = 100,

  /* So near its end a run is left alone, and so is one that was stopped this
     often: then the task is long, not its targets slow.  */
  NEAR_END_PERCENT = 95,
  STOPS_MOST = 2
};

/* Whether looks have shown no progress for as long as there should have
   been some.  */
static bool
stands_still (const struct run_task *k)
{
  int64_t still = k->listed_ms - k->progressed_ms;

  return still >= STALL_MS && still * STALL_SHARE >= k->expected_ms;
}

/* Whether K needs longer by its progress than if it began anew.  */
static bool
is_too_slow (const struct run_task *k, int64_t now)
{
  int64_t ran = k->listed_ms - k->began_ms;

  return now - k->began_ms > OVERDUE_FACTOR * k->expected_ms && k->percent != 0
         && ran * (RUN_PERCENT_DONE - k->percent) / k->percent
                > OVERDUE_FACTOR * k->expected_ms + RESTART_COST_MS;
}

double
run_progress_ratio (const struct run_task *k, int64_t now, uint32_t percent)
{
  double expected = k->expected_ms < 1 ? 1 : (double)k->expected_ms;

  return (double)(now - k->began_ms) * RUN_PERCENT_DONE
         / ((percent + 0.5) * expected);
}

bool
run_progress_should_restart (const struct run_task *k, int64_t now)
{
  return k->state == RUN_RUNNING && k->listed_ms != 0 && k->stops < STOPS_MOST
         && k->percent < NEAR_END_PERCENT
         && (stands_still (k) || is_too_slow (k, now));
}
