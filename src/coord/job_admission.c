#include "coord/job_admission.h"

#include "coord/service_config.h"

enum
{
  /* A late job is of use until this many times its objective.  */
  LATE_OBJECTIVES = 3,

  RETRY_MIN_MS = 500,
  RETRY_MAX_MS = 10000
};

struct job_times
job_times_make (int64_t arrived, int64_t critical_path, uint32_t stretch_milli,
                int64_t floor_ms, int64_t deadline)
{
  int64_t objective = critical_path * stretch_milli / STRETCH_SCALE + floor_ms;
  struct job_times t
      = { .arrived_ms = arrived,
          .start_by_ms = arrived + objective - critical_path,
          .due_ms = arrived + objective,
          .expires_ms = arrived + LATE_OBJECTIVES * objective - critical_path,
          .deadline_ms = deadline };

  if (t.expires_ms > deadline - critical_path)
    t.expires_ms = deadline - critical_path;
  if (t.start_by_ms > t.expires_ms)
    t.start_by_ms = t.expires_ms;
  return t;
}

int64_t
job_admission_wait_ms (const struct job_backlog *b)
{
  uint64_t usable = b->cpu_milli * USABLE_CPU_PERCENT / 100;

  if (usable == 0)
    return INT32_MAX;
  return (int64_t)(b->work_ahead / usable);
}

bool
job_admission_accepts (const struct job_times *t, const struct job_backlog *b,
                       int64_t now)
{
  return now + job_admission_wait_ms (b) <= t->start_by_ms;
}

int64_t
job_admission_retry_ms (const struct job_backlog *b, uint64_t spread)
{
  int64_t wait = job_admission_wait_ms (b);

  if (wait < RETRY_MIN_MS)
    wait = RETRY_MIN_MS;
  if (wait > RETRY_MAX_MS / 2)
    wait = RETRY_MAX_MS / 2;
  return wait + (int64_t)(spread % (uint64_t)wait);
}
