/* Whether a run should be stopped and made elsewhere, by what looks have shown
   of its progress.

   Load pattern: targets on which tasks stand still while they answer, and
   targets that are several times slower than others.  A run that is merely
   long is left alone: it would be as long elsewhere.  */
#ifndef COORD_RUN_PROGRESS_H
#define COORD_RUN_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_scheduler.h"

enum
{
  RUN_PERCENT_DONE = 100
};

/* How long K will take against its expectation, if it has come to PERCENT,
   which is not 0, by NOW_MS.  */
double run_progress_ratio (const struct run_task *k, int64_t now_ms,
                           uint32_t percent);

bool run_progress_should_restart (const struct run_task *k, int64_t now_ms);

#endif
