#include "coord/target_clock.h"

enum
{
  /* The most that a target's clock may run slow.  */
  CLOCK_SLOW_PERCENT = 2,

  /* Rounding of the times in a comparison.  */
  CLOCK_ROUNDING_MS = 5
};

void
target_clock_observe (struct target_clock *c, int64_t clock,
                      int64_t received_ms)
{
  /* Ignores an answer that was reordered behind a newer one.  */
  if (c->known && clock < c->clock_ms)
    return;
  c->known = true;
  c->clock_ms = clock;
  c->received_ms = received_ms;
}

int64_t
target_clock_min_ms (const struct target_clock *c, int64_t now)
{
  int64_t elapsed = now - c->received_ms;

  if (elapsed > 0)
    elapsed = elapsed * (100 - CLOCK_SLOW_PERCENT) / 100;
  return c->clock_ms + elapsed;
}

bool
target_clock_was_reset (const struct target_clock *c, int64_t clock,
                        int64_t sent_ms)
{
  return c->known
         && clock + CLOCK_ROUNDING_MS < target_clock_min_ms (c, sent_ms);
}
