/* What a dispatcher that shuts down still accepts.

   Load pattern: entries are stopped in turn while their failure domain is cut
   off.  The keepers' leader cannot assign their targets to other entries then,
   and targets that nobody uses are missing until the cut ends.  So a
   dispatcher goes on with each target until the leader requests its release,
   and accepts the jobs that are expected to end before the process does.  */
#ifndef COORD_DISPATCH_STOP_H
#define COORD_DISPATCH_STOP_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_scheduler.h"

struct dispatch_stop
{
  bool stopping;
  int64_t end_ms; /* while stopping: results must be known by then */
};

/* Starts the shutdown; results that are known by END_MS still reach their
   callers.  */
void dispatch_stop_begin (struct dispatch_stop *d, int64_t end_ms);

/* Whether a job that is expected to run for PATH_MS may be accepted by the
   dispatcher with the scheduler S: always while it is not shutting down.  */
bool dispatch_stop_accepts (const struct dispatch_stop *d,
                            const struct run_scheduler *s, int64_t path_ms,
                            int64_t now_ms);

#endif
