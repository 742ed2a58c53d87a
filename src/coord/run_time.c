#include "coord/run_time.h"

#include <stdio.h>
#include <string.h>

#define MEAN_GAIN 0.05
#define TAIL_QUANTILE 0.95
#define TAIL_STEP 0.05

enum
{
  MIN_RUNS = 5 /* with fewer the declared time is used */
};

void
run_time_init (struct run_time *r)
{
  memset (r, 0, sizeof *r);
}

static struct run_time_kind *
find (const struct run_time *r, const char *kind)
{
  for (uint32_t i = 0; i < r->count; i++)
    if (strcmp (r->kinds[i].name, kind) == 0)
      return (struct run_time_kind *)&r->kinds[i];
  return NULL;
}

/* The mean is an exponential moving average.  The tail quantile is tracked by
   stochastic approximation: a large step up if a run is above it, a small step
   down if it is below.  */
void
run_time_add (struct run_time *r, const char *kind, double elapsed_ms)
{
  struct run_time_kind *k = find (r, kind);
  double gain;

  if (k == NULL)
    {
      if (r->count == RUN_TIME_KIND_LIMIT)
        return;
      k = &r->kinds[r->count++];
      snprintf (k->name, sizeof k->name, "%s", kind);
      k->mean_ms = elapsed_ms;
      k->tail_ms = elapsed_ms;
    }
  k->runs++;
  gain = 1.0 / (double)k->runs > MEAN_GAIN ? 1.0 / (double)k->runs : MEAN_GAIN;
  k->mean_ms += gain * (elapsed_ms - k->mean_ms);
  if (elapsed_ms > k->tail_ms)
    k->tail_ms += TAIL_STEP * TAIL_QUANTILE * k->mean_ms;
  else
    k->tail_ms -= TAIL_STEP * (1 - TAIL_QUANTILE) * k->mean_ms;
}

double
run_time_mean (const struct run_time *r, const char *kind, double declared_ms)
{
  const struct run_time_kind *k = find (r, kind);

  return k == NULL || k->runs < MIN_RUNS ? declared_ms : k->mean_ms;
}
