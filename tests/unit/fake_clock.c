#include "tests/unit/fake_clock.h"

#include <stdbool.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* Linked in place of the function of the C library.  */
int replaced_gettime (clockid_t id,
                      struct timespec *t) __asm__("clock_gettime");

static bool stopped;
static int64_t stopped_us;
static int64_t offset_us; /* of the running clocks to the real ones */

static int64_t
real_us (clockid_t id)
{
  struct timespec t;

  syscall (SYS_clock_gettime, id, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static bool
is_monotonic (clockid_t id)
{
  return id == CLOCK_MONOTONIC || id == CLOCK_MONOTONIC_COARSE
         || id == CLOCK_BOOTTIME;
}

int
replaced_gettime (clockid_t id, struct timespec *t)
{
  int64_t us;

  if (!is_monotonic (id) || (!stopped && offset_us == 0))
    return (int)syscall (SYS_clock_gettime, id, t);
  us = stopped ? stopped_us : real_us (id) + offset_us;
  t->tv_sec = us / 1000000;
  t->tv_nsec = us % 1000000 * 1000;
  return 0;
}

void
fake_clock_stop (void)
{
  stopped_us = real_us (CLOCK_BOOTTIME) + offset_us;
  stopped = true;
}

void
fake_clock_advance (int64_t ms)
{
  stopped_us += ms * 1000;
}

void
fake_clock_resume (void)
{
  int64_t ahead_us = stopped_us - real_us (CLOCK_BOOTTIME);

  if (ahead_us > offset_us)
    offset_us = ahead_us;
  stopped = false;
}
