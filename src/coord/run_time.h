/* Run time statistics per task kind.  The run time that the configuration
   declares for a kind is only a hint; after a few runs the observed mean
   replaces it.  */
#ifndef COORD_RUN_TIME_H
#define COORD_RUN_TIME_H

#include <stdint.h>
#include "base/settings.h"

enum
{
  RUN_TIME_KIND_LIMIT = 256
};

struct run_time_kind
{
  char name[NAME_BYTES];
  uint64_t runs;
  double mean_ms;
  double tail_ms; /* about the 95th percentile */
};

struct run_time
{
  struct run_time_kind kinds[RUN_TIME_KIND_LIMIT];
  uint32_t count;
};

void run_time_init (struct run_time *r);

/* Records a run of KIND that took ELAPSED_MS.  It is ignored if KIND is new
   and RUN_TIME_KIND_LIMIT kinds are known.  */
void run_time_add (struct run_time *r, const char *kind, double elapsed_ms);

/* The mean run time of KIND in ms, or DECLARED_MS if there were too few
   runs.  */
double run_time_mean (const struct run_time *r, const char *kind,
                      double declared_ms);

#endif
