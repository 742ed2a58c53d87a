/* Clock readings.  Only the loops and controllers read a clock; functions
   that decide take the present time as an argument.  */
#ifndef BASE_NOW_H
#define BASE_NOW_H

#include <stdint.h>
#include <sys/time.h>

/* Monotonic time in milliseconds, counting while the VM is suspended.  */
int64_t now_ms (void);

/* The same clock in microseconds.  */
int64_t now_us (void);

/* MS milliseconds, for the event loop.  */
struct timeval now_timeval (int64_t ms);

/* Wall time in milliseconds since the epoch.  */
int64_t now_wall_ms (void);

#endif
