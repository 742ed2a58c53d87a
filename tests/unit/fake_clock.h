/* A clock that a test can stop: now_ms and the timers of event loops then move
   only when the test advances it, so that a test of times does not depend on
   the speed of the machine.  Replaces clock_gettime in the unit program.  */
#ifndef UNIT_FAKE_CLOCK_H
#define UNIT_FAKE_CLOCK_H

#include <stdint.h>

/* Stops the monotonic clocks.  */
void fake_clock_stop (void);

/* Moves the stopped clocks forward.  */
void fake_clock_advance (int64_t ms);

/* Lets the clocks run on from where they are; they never go back.  */
void fake_clock_resume (void);

#endif
