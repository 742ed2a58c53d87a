#include "coord/work_estimate.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MIN_RUNS = 20 /* with fewer the declared time is used */
};

/* Weight of a new run in the exponential moving averages.  */
static const double run_weight = 0.03;

/* Weight of the queue's mean in the estimate; the rest is that of the declared
   time, corrected by the queue's bias.  */
static const double queue_mean_weight = 0.5;

void
work_estimate_init (struct work_estimate *e)
{
  memset (e, 0, sizeof *e);
}

void
work_estimate_done (struct work_estimate *e)
{
  free (e->queues);
  work_estimate_init (e);
}

static struct estimate_queue *
find (const struct work_estimate *e, const char *queue)
{
  for (uint32_t i = 0; i < e->count; i++)
    if (strcmp (e->queues[i].name, queue) == 0)
      return &e->queues[i];
  return NULL;
}

static struct estimate_queue *
find_or_add (struct work_estimate *e, const char *queue)
{
  struct estimate_queue *q = find (e, queue);

  if (q != NULL || e->count == ESTIMATE_QUEUE_LIMIT)
    return q;
  e->queues = realloc (e->queues, (e->count + 1) * sizeof *e->queues);
  q = &e->queues[e->count++];
  memset (q, 0, sizeof *q);
  snprintf (q->name, sizeof q->name, "%s", queue);
  return q;
}

void
work_estimate_add (struct work_estimate *e, const char *queue,
                   int64_t declared_ms, int64_t elapsed_ms)
{
  struct estimate_queue *q = find_or_add (e, queue);
  double run = log ((double)(elapsed_ms < 1 ? 1 : elapsed_ms));
  double ratio = run - log ((double)(declared_ms < 1 ? 1 : declared_ms));
  double weight;

  if (q == NULL)
    return;
  q->runs++;
  weight = 1.0 / q->runs > run_weight ? 1.0 / q->runs : run_weight;
  q->mean_log_run += weight * (run - q->mean_log_run);
  q->mean_log_ratio += weight * (ratio - q->mean_log_ratio);
}

bool
work_estimate_is_learnt (const struct work_estimate *e, const char *queue)
{
  const struct estimate_queue *q = find (e, queue);

  return q != NULL && q->runs >= MIN_RUNS;
}

int64_t
work_estimate_ms (const struct work_estimate *e, const char *queue,
                  int64_t declared_ms)
{
  const struct estimate_queue *q = find (e, queue);
  double declared = (double)(declared_ms < 1 ? 1 : declared_ms);
  double corrected;

  if (q == NULL || q->runs < MIN_RUNS)
    return (int64_t)declared;
  corrected = log (declared) + q->mean_log_ratio;
  return (int64_t)ceil (exp (queue_mean_weight * q->mean_log_run
                             + (1 - queue_mean_weight) * corrected));
}
