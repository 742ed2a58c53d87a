#include "coord/target_channel.h"

bool
target_channel_answered (struct target_channel *c, struct target_clock *clock,
                         const struct channel_answer *a)
{
  if (!c->confirmed && !a->is_named
      && target_clock_was_reset (clock, a->clock_ms, a->sent_ms))
    return false;
  c->confirmed = true;
  target_clock_observe (clock, a->clock_ms, a->received_ms);
  return true;
}

enum channel_step
target_channel_step (const struct target_channel *c,
                     const struct target_clock *clock, int64_t lease_end_ms,
                     int64_t now)
{
  if (!c->confirmed)
    return CHANNEL_PROBE;
  if (lease_end_ms <= target_clock_min_ms (clock, now))
    return CHANNEL_DROP;
  return CHANNEL_SEND;
}
