/* Clock readings.  Only event loops and controllers read a clock; the decision
   logic takes the present time as an argument, so that tests can set it.  */
#ifndef BASE_NOW_H
#define BASE_NOW_H

#include <stdint.h>
#include <sys/time.h>

/* Monotonic time in milliseconds, including time during which the VM is
   suspended.  */
int64_t now_ms (void);

/* The same clock in microseconds.  */
int64_t now_us (void);

/* The processor time that this process has used, in microseconds.  */
int64_t now_cpu_us (void);

/* Converts MS milliseconds to a struct timeval for the event loop.  */
struct timeval now_timeval (int64_t ms);

/* Wall-clock time in milliseconds since the epoch.  */
int64_t now_wall_ms (void);

#endif
