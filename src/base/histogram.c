#include "base/histogram.h"

struct histogram_data histograms[HISTOGRAM_COUNT];

#define HISTOGRAM_NAME(id, name) name,
static const char *const names[] = { HISTOGRAM_TABLE (HISTOGRAM_NAME) };
#undef HISTOGRAM_NAME

uint64_t
histogram_bound_ms (uint32_t i)
{
  return (uint64_t)1 << i;
}

void
histogram_add (enum histogram h, int64_t ms)
{
  struct histogram_data *d = &histograms[h];
  uint64_t value = ms < 0 ? 0 : (uint64_t)ms;
  uint32_t i = 0;

  while (i < HISTOGRAM_BUCKETS - 1 && value > histogram_bound_ms (i))
    i++;
  d->bucket[i]++;
  d->count++;
  d->sum_ms += value;
}

const char *
histogram_name (enum histogram h)
{
  return names[h];
}
