#include "coord/queue_share.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Recorded work decays to 1/e in this time: a burst counts within some tenths
   of a second, and no longer after a few seconds.  */
static const double decay_ms = 700;

void
queue_share_init (struct queue_share *s)
{
  memset (s, 0, sizeof *s);
}

static void
decay (struct share_queue *q, int64_t now)
{
  double left;

  if (now <= q->updated_ms)
    return;
  left = exp (-(double)(now - q->updated_ms) / decay_ms);
  q->requested *= left;
  q->granted *= left;
  q->updated_ms = now;
}

static struct share_queue *
find (struct queue_share *s, const char *queue)
{
  for (uint32_t i = 0; i < s->count; i++)
    if (strcmp (s->queues[i].name, queue) == 0)
      return &s->queues[i];
  return NULL;
}

/* The slot for a new queue: a free one, or that of the queue that recently
   requested the least.  */
static struct share_queue *
find_slot (struct queue_share *s, int64_t now)
{
  struct share_queue *min = &s->queues[0];

  if (s->count < SHARE_QUEUE_LIMIT)
    return &s->queues[s->count++];
  for (uint32_t i = 0; i < s->count; i++)
    {
      decay (&s->queues[i], now);
      if (s->queues[i].requested < min->requested)
        min = &s->queues[i];
    }
  return min;
}

void
queue_share_request (struct queue_share *s, int64_t now, const char *queue,
                     const char *service, uint64_t work)
{
  struct share_queue *q = find (s, queue);

  if (q == NULL)
    {
      q = find_slot (s, now);
      *q = (struct share_queue){ .updated_ms = now };
      snprintf (q->name, sizeof q->name, "%s", queue);
    }
  snprintf (q->service, sizeof q->service, "%s", service);
  decay (q, now);
  q->requested += (double)work;
}

void
queue_share_grant (struct queue_share *s, int64_t now, const char *queue,
                   uint64_t work)
{
  struct share_queue *q = find (s, queue);

  if (q == NULL)
    return;
  decay (q, now);
  q->granted += (double)work;
}

/* The max-min fair share of WORK for each queue of SERVICE that requests more
   than it.  INFINITY if all requests can be granted.  */
static double
fair_share (const struct queue_share *s, const char *service, double work)
{
  bool served[SHARE_QUEUE_LIMIT] = { false };
  double left = work;

  for (;;)
    {
      uint32_t waiting = 0;
      bool changed = false;
      double share;

      for (uint32_t i = 0; i < s->count; i++)
        waiting += !served[i] && strcmp (s->queues[i].service, service) == 0;
      if (waiting == 0)
        return INFINITY;
      share = left / waiting;
      for (uint32_t i = 0; i < s->count; i++)
        if (!served[i] && strcmp (s->queues[i].service, service) == 0
            && s->queues[i].requested <= share)
          {
            served[i] = true;
            left -= s->queues[i].requested;
            changed = true;
          }
      if (!changed)
        return share;
    }
}

bool
queue_share_is_exhausted (struct queue_share *s, int64_t now,
                          const char *queue, const char *service, uint64_t cpu)
{
  const struct share_queue *q = find (s, queue);

  if (q == NULL)
    return false;
  for (uint32_t i = 0; i < s->count; i++)
    decay (&s->queues[i], now);
  return q->granted >= fair_share (s, service, (double)cpu * decay_ms);
}

void
queue_share_revoke (struct queue_share *s, int64_t now, const char *queue,
                    uint64_t work)
{
  struct share_queue *q = find (s, queue);

  if (q == NULL)
    return;
  decay (q, now);
  q->granted = fmax (0, q->granted - (double)work);
}

bool
queue_share_is_below (struct queue_share *s, int64_t now, const char *queue,
                      const char *service, uint64_t cpu, uint32_t percent)
{
  const struct share_queue *q = find (s, queue);
  double share;

  if (q == NULL)
    return false;
  for (uint32_t i = 0; i < s->count; i++)
    decay (&s->queues[i], now);
  share = fmin (q->requested, fair_share (s, service, (double)cpu * decay_ms));
  return q->granted * 100 < share * percent;
}
