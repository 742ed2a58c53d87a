/* Whether a job can still be served in time, and when its caller should come
   back if not.

   Load pattern: bursts of up to 1.8 times a queue's load while a seventh of
   the targets is gone.  A job on time is worth five times a late one, so a
   queue that lets everybody wait ends up serving all of them late.  A job is
   refused at once where the work that is due before it already takes longer
   than its objective allows; one that waits is refused at the moment when it
   could not even be late any more.  */
#ifndef COORD_JOB_ADMISSION_H
#define COORD_JOB_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Part of the targets' cores that whole tasks can use.  */
  USABLE_CPU_PERCENT = 84
};

/* A job's times, all on the clock of the one who decides.  */
struct job_times
{
  int64_t arrived_ms;  /* its request was read */
  int64_t start_by_ms; /* the latest start on time */
  int64_t expires_ms;  /* a start after this is of no use to the caller */
  int64_t deadline_ms; /* the caller stops waiting */
};

/* The times of a job that arrived at ARRIVED_MS, whose longest chain of tasks
   is expected to take CHAIN_MS.  */
struct job_times job_times_make (int64_t arrived_ms, int64_t chain_ms,
                                 uint32_t stretch_milli, int64_t floor_ms,
                                 int64_t deadline_ms);

/* The work ahead of a job and what works it off.  */
struct job_backlog
{
  uint64_t work_ahead; /* thousandths of a core times ms */
  uint64_t cpu_milli;  /* of all targets that may be used */
};

/* The expected wait until the first start, in ms.  */
int64_t job_admission_wait_ms (const struct job_backlog *b);

/* Whether to take a job with T at NOW_MS.  */
bool job_admission_accepts (const struct job_times *t,
                            const struct job_backlog *b, int64_t now_ms);

/* When a refused caller may find room: once the work ahead is done, spread
   over as much time again by SPREAD (any number) so that those refused
   together do not return together.  */
int64_t job_admission_retry_ms (const struct job_backlog *b, uint64_t spread);

#endif
