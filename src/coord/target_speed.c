#include "coord/target_speed.h"

#include <math.h>

enum
{
  /* With fewer runs the speed is unknown.  The runs of one job are often wrong
     in the same direction, so that 8 of them count as few.  */
  MIN_RUNS = 32,

  /* The mean of fewer targets differs much from dispatcher to dispatcher.  */
  MIN_TARGETS = 8
};

/* Weight of a new run in the moving average.  The logarithm of a run time over
   its estimate has a standard deviation of about 0.32; with this weight that
   of the average is 0.04.  */
static const double run_weight = 0.03;

/* A run counts as at most this far from the average: about three standard
   deviations of a run.  */
static const double max_step = 1;

/* The logarithm of the lowest and highest factor, 0.4 and 1.8.  Targets with
   larger factors are slow rather than different: their runs must become
   overdue (run_progress).  */
static const double min_log = -0.92;
static const double max_log = 0.59;

/* The average decays to 1/e in this time without runs.  */
static const double decay_ms = 120000;

/* Standard deviation of the learnt logarithms of many targets from which
   speeds are in effect, and below which no longer.  Equal targets have one of
   0.04 to 0.06, targets of 1.0, 1.0 and 1.3 one of 0.12.  Among few targets
   chance makes a larger one: the variance must be larger by FEW_TARGETS over
   their number.  */
static const double differs_from = 0.1;
static const double differs_until = 0.08;
static const double few_targets = 4;

static double
limit (double x, double low, double high)
{
  if (x < low)
    return low;
  return x > high ? high : x;
}

static double
present_log (const struct target_speed *t, int64_t now)
{
  double age = now > t->updated_ms ? (double)(now - t->updated_ms) : 0;

  return t->log_ratio * exp (-age / decay_ms);
}

void
target_speed_add (struct target_speed *t, int64_t now, double ratio)
{
  double before = present_log (t, now);
  double seen = log (limit (ratio, 0.01, 100));
  double weight;

  t->runs++;
  weight = fmax (1.0 / t->runs, run_weight);
  t->log_ratio
      = limit (before + weight * limit (seen - before, -max_step, max_step),
               min_log, max_log);
  t->updated_ms = now;
}

bool
target_speed_is_known (const struct target_speed *t)
{
  return t->runs >= MIN_RUNS;
}

void
speed_spread_add (struct speed_spread *s, const struct target_speed *t,
                  int64_t now)
{
  double x;

  if (!target_speed_is_known (t))
    return;
  x = present_log (t, now);
  s->count++;
  s->sum += x;
  s->sum_squares += x * x;
}

bool
speed_spread_differs (const struct speed_spread *s, bool in_effect)
{
  double threshold = in_effect ? differs_until : differs_from;
  double required;
  double mean;

  if (s->count < MIN_TARGETS)
    return false;
  required = threshold * threshold * (1 + few_targets / s->count);
  mean = s->sum / s->count;
  return s->sum_squares / s->count - mean * mean >= required;
}

double
speed_spread_factor (const struct speed_spread *s,
                     const struct target_speed *t, int64_t now)
{
  if (s->count == 0 || !target_speed_is_known (t))
    return 1;
  return exp (
      limit (present_log (t, now) - s->sum / s->count, min_log, max_log));
}
