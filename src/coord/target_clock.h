/* Estimates a target's monotonic clock, which may run slightly slow.  */
#ifndef COORD_TARGET_CLOCK_H
#define COORD_TARGET_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct target_clock
{
  bool known;
  int64_t clock_ms;    /* target's clock in its latest answer */
  int64_t received_ms; /* our clock when that answer was received */
};

/* Records an answer with the target's clock CLOCK_MS, received at
   RECEIVED_MS.  */
void target_clock_observe (struct target_clock *c, int64_t clock_ms,
                           int64_t received_ms);

/* The lowest value that the target's clock can have at NOW_MS.  A lease with
   an earlier end time has expired.  */
int64_t target_clock_min_ms (const struct target_clock *c, int64_t now_ms);

/* Whether CLOCK_MS, in the answer to a call that was sent at SENT_MS, is lower
   than C allows: the target has restarted.  */
bool target_clock_was_reset (const struct target_clock *c, int64_t clock_ms,
                             int64_t sent_ms);

#endif
