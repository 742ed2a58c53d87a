/* The speed of a target, learnt from its own finished runs.

   Load pattern: targets of one service run the same task at lasting speeds of
   0.55 to 1.3 times the mean, estimates of run times are wrong by 40 % in
   either direction, and single runs are several times longer.  The speed is
   the moving average of the logarithm of the run time over the queue's
   estimate.  A run that is far from the average counts as one at the limit,
   and the speed is bounded, so that a faulty target is still found by its
   health (target_health).

   A target with few runs, as after a change of its owner, has the speed of the
   mean.  Without new runs a speed decays to the mean within minutes.

   Speeds are relative to the mean of the targets of a service, and are used
   only if they clearly differ from each other.  */
#ifndef COORD_TARGET_SPEED_H
#define COORD_TARGET_SPEED_H

#include <stdbool.h>
#include <stdint.h>

struct target_speed
{
  double log_ratio; /* mean logarithm of run time over estimate */
  uint32_t runs;
  int64_t updated_ms;
};

/* Records that a run took RATIO times the estimate, which must not include the
   target's own speed.  */
void target_speed_add (struct target_speed *t, int64_t now_ms, double ratio);

/* Whether there were enough runs to tell the speed.  */
bool target_speed_is_known (const struct target_speed *t);

/* The sums over the targets of a service from which their factors follow.
   Initialise it with zeros.  */
struct speed_spread
{
  uint32_t count;
  double sum;
  double sum_squares;
};

/* Adds the target T, unless its speed is unknown.  */
void speed_spread_add (struct speed_spread *s, const struct target_speed *t,
                       int64_t now_ms);

/* Whether the speeds of the targets clearly differ.  IN_EFFECT is the previous
   answer.  */
bool speed_spread_differs (const struct speed_spread *s, bool in_effect);

/* The factor on the run times of T relative to the mean of S: less than 1 for
   a fast target, 1 for one of unknown speed.  */
double speed_spread_factor (const struct speed_spread *s,
                            const struct target_speed *t, int64_t now_ms);

#endif
