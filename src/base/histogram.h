/* Named latency histograms of this process.  To add a histogram, add a row to
   the table below.  */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

/* JOB_WAIT is the time until a job's first start, 0 without one; RUN_START the
   time from a start call to its answer; LOOP_STALL how late a periodic timer
   of the event loop ran.  */
#define HISTOGRAM_TABLE(ROW)                                                  \
  ROW (JOB_WAIT, "job_wait_ms")                                               \
  ROW (JOB_TOTAL, "job_total_ms")                                             \
  ROW (RUN_START, "run_start_ms")                                             \
  ROW (RUN_TIME, "run_time_ms")                                               \
  ROW (STORE_SYNC, "store_sync_ms")                                           \
  ROW (LOOP_STALL, "loop_stall_ms")

#define HISTOGRAM_ENUM(id, name) HISTOGRAM_##id,
enum histogram
{
  HISTOGRAM_TABLE (HISTOGRAM_ENUM) HISTOGRAM_COUNT
};
#undef HISTOGRAM_ENUM

enum
{
  /* The upper bounds are 1, 2, 4 ... ms; the last bucket is unbounded.  */
  HISTOGRAM_BUCKETS = 16
};

struct histogram_data
{
  uint64_t bucket[HISTOGRAM_BUCKETS];
  uint64_t count;
  uint64_t sum_ms;
};

extern struct histogram_data histograms[HISTOGRAM_COUNT];

/* Adds one observation of MS milliseconds; a negative one counts as 0.  */
void histogram_add (enum histogram h, int64_t ms);

const char *histogram_name (enum histogram h);

/* Returns the upper bound of bucket I, in milliseconds.  */
uint64_t histogram_bound_ms (uint32_t i);

#endif
