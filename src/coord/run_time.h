/* Learnt run times per task kind.  What jobs declare is a hint only; after a
   few runs the learnt figures replace it.  */
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

/* Takes in a run of KIND that took ELAPSED_MS.  */
void run_time_add (struct run_time *r, const char *kind, double elapsed_ms);

/* The expected run time of KIND, or DECLARED_MS before enough runs.  */
double run_time_mean (const struct run_time *r, const char *kind,
                      double declared_ms);

#endif
