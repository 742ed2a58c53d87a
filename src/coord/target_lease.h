/* The lease of a target, which covers all runs there: what a dispatcher may
   request for jobs with leases of their own (coord/job_lease).

   A target never shortens its lease.  So its end is kept at or before the
   earliest end of the job leases there, and a task is started only if its
   job's lease lasts at least as long as what the target holds already.  Times
   are on this VM's clock; target_clock_min_ms converts them, so that a target
   whose clock is slow ends its lease in time too.  */
#ifndef COORD_TARGET_LEASE_H
#define COORD_TARGET_LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_target.h"

/* The latest end of a lease that may be requested from T: LENGTH_MS from now,
   but no later than the lease of any job that has a run there, one that is
   being stopped included.  */
int64_t target_lease_limit_ms (const struct run_target *t, int64_t length_ms,
                               int64_t now_ms);

/* Whether a task of a job whose lease ends at JOB_END_MS may be started on
   T.  */
bool target_lease_admits (const struct run_target *t, int64_t job_end_ms,
                          int64_t now_ms);

/* Records that a lease until END_MS was requested from T, or may have been by
   an earlier owner.  */
void target_lease_requested (struct run_target *t, int64_t end_ms);

#endif
