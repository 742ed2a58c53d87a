/* Decides whether a job can start on time, and after what delay a refused
   caller should retry.

   Load pattern: bursts of up to 1.8 times a queue's load while a seventh of
   the targets is lost.  A job on time is worth five times a late one, and a
   queue that admits every job ends up serving all of them late.  A job is
   refused at once if the work ahead of it takes longer than its objective
   allows; a waiting job is refused once it has expired, that is, when even a
   late result would be of no use.  */
#ifndef COORD_JOB_ADMISSION_H
#define COORD_JOB_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Share of the targets' cores that can be used: the rest is left over
     because tasks are not divisible.  */
  USABLE_CPU_PERCENT = 84
};

/* The time limits of a job, on the clock of the VM that decides.  */
struct job_times
{
  int64_t arrived_ms;  /* when its request was read */
  int64_t start_by_ms; /* the latest start on time */
  int64_t due_ms;      /* the latest end on time */
  int64_t expires_ms;  /* a later start is of no use to the caller */
  int64_t deadline_ms; /* when the caller stops waiting */
};

/* Returns the times of a job that arrived at ARRIVED_MS and whose critical
   path is expected to take CRITICAL_PATH_MS.  Its objective is STRETCH_MILLI
   thousandths of the critical path plus FLOOR_MS.  */
struct job_times job_times_make (int64_t arrived_ms, int64_t critical_path_ms,
                                 uint32_t stretch_milli, int64_t floor_ms,
                                 int64_t deadline_ms);

/* The work ahead of a job and the cores that process it.  */
struct job_backlog
{
  uint64_t work_ahead; /* thousandths of a core times ms */
  uint64_t cpu_milli;  /* of all usable targets */
};

/* The expected wait in ms until the first start; INT32_MAX if there are no
   cores.  */
int64_t job_admission_wait_ms (const struct job_backlog *b);

/* Whether a job with times T is expected to start on time.  */
bool job_admission_accepts (const struct job_times *t,
                            const struct job_backlog *b, int64_t now_ms);

/* The delay in ms after which a refused caller should retry: the time for the
   work ahead, plus a jitter of up to as much again that is derived from SPREAD
   (any number), so that callers refused together do not retry together.  */
int64_t job_admission_retry_ms (const struct job_backlog *b, uint64_t spread);

#endif
