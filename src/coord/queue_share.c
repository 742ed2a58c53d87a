#include "coord/queue_share.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Work fades to a third in this time, so a burst is seen within some tenths
   of a second and forgotten within seconds.  */
static const double fade_ms = 700;

void
queue_share_init (struct queue_share *s)
{
  memset (s, 0, sizeof *s);
}

static void
fade (struct share_queue *q, int64_t now)
{
  double left;

  if (now <= q->at_ms)
    return;
  left = exp (-(double)(now - q->at_ms) / fade_ms);
  q->asked *= left;
  q->granted *= left;
  q->at_ms = now;
}

static struct share_queue *
find (struct queue_share *s, const char *queue)
{
  for (uint32_t i = 0; i < s->count; i++)
    if (strcmp (s->queues[i].name, queue) == 0)
      return &s->queues[i];
  return NULL;
}

/* The place of a queue that is new: a free one, or that of the queue which
   asked for least lately.  */
static struct share_queue *
place (struct queue_share *s, int64_t now)
{
  struct share_queue *least = &s->queues[0];

  if (s->count < SHARE_QUEUE_LIMIT)
    return &s->queues[s->count++];
  for (uint32_t i = 0; i < s->count; i++)
    {
      fade (&s->queues[i], now);
      if (s->queues[i].asked < least->asked)
        least = &s->queues[i];
    }
  return least;
}

void
queue_share_ask (struct queue_share *s, int64_t now, const char *queue,
                 const char *service, uint64_t work)
{
  struct share_queue *q = find (s, queue);

  if (q == NULL)
    {
      q = place (s, now);
      *q = (struct share_queue){ .at_ms = now };
      snprintf (q->name, sizeof q->name, "%s", queue);
    }
  snprintf (q->service, sizeof q->service, "%s", service);
  fade (q, now);
  q->asked += (double)work;
}

void
queue_share_grant (struct queue_share *s, int64_t now, const char *queue,
                   uint64_t work)
{
  struct share_queue *q = find (s, queue);

  if (q == NULL)
    return;
  fade (q, now);
  q->granted += (double)work;
}

/* The largest share that is the same for all queues of SERVICE which ask for
   more, when WORK is divided.  Infinite if all can be granted.  */
static double
even_share (const struct queue_share *s, const char *service, double work)
{
  bool served[SHARE_QUEUE_LIMIT] = { false };
  double left = work;

  for (;;)
    {
      uint32_t waiting = 0;
      bool changed = false;
      double even;

      for (uint32_t i = 0; i < s->count; i++)
        waiting += !served[i] && strcmp (s->queues[i].service, service) == 0;
      if (waiting == 0)
        return INFINITY;
      even = left / waiting;
      for (uint32_t i = 0; i < s->count; i++)
        if (!served[i] && strcmp (s->queues[i].service, service) == 0
            && s->queues[i].asked <= even)
          {
            served[i] = true;
            left -= s->queues[i].asked;
            changed = true;
          }
      if (!changed)
        return even;
    }
}

bool
queue_share_is_spent (struct queue_share *s, int64_t now, const char *queue,
                      const char *service, uint64_t cpu)
{
  const struct share_queue *q = find (s, queue);

  if (q == NULL)
    return false;
  for (uint32_t i = 0; i < s->count; i++)
    fade (&s->queues[i], now);
  return q->granted >= even_share (s, service, (double)cpu * fade_ms);
}
