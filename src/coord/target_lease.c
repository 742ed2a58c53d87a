#include "coord/target_lease.h"

#include "coord/job_lease.h"
#include "coord/run_job.h"

int64_t
target_lease_limit_ms (const struct run_target *t, int64_t length_ms,
                       int64_t now)
{
  int64_t end = now + length_ms;

  for (uint32_t i = 0; i < t->run_count; i++)
    if (t->runs[i].job->lease_end_ms < end)
      end = t->runs[i].job->lease_end_ms;
  return end;
}

bool
target_lease_admits (const struct run_target *t, int64_t job_end_ms,
                     int64_t now)
{
  return job_lease_left_ms (job_end_ms, now) >= JOB_LEASE_START_MS
         && job_end_ms >= t->lease_end_ms
         && !job_lease_is_ending (
             target_lease_limit_ms (t, JOB_LEASE_STOP_MS, now), now);
}

void
target_lease_requested (struct run_target *t, int64_t end_ms)
{
  if (end_ms > t->lease_end_ms)
    t->lease_end_ms = end_ms;
}
