#include "coord/wait_order.h"

struct wait_rank
wait_rank_of (struct run_job *j, int64_t now)
{
  struct wait_rank r = { 1, j->rank, j->times.start_by_ms, j };

  if (j->first_start_ms >= 0)
    r.group = 0;
  else if (now > j->times.start_by_ms)
    {
      r.group = 2;
      r.key = (int64_t)(j->work / (uint64_t)STRETCH_SCALE);
    }
  return r;
}

int
wait_rank_compare (const void *a, const void *b)
{
  const struct wait_rank *x = a;
  const struct wait_rank *y = b;

  if (x->group != y->group)
    return x->group - y->group;
  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return x->job->number < y->job->number ? -1 : 1;
}
