#include "base/now.h"

#include <time.h>

static int64_t
read_us (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t
now_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

int64_t
now_ms (void)
{
  return now_us () / 1000;
}

int64_t
now_cpu_us (void)
{
  return read_us (CLOCK_PROCESS_CPUTIME_ID);
}

struct timeval
now_timeval (int64_t ms)
{
  return (struct timeval){ .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };
}

int64_t
now_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000;
}
