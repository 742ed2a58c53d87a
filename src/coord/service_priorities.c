#include "coord/service_priorities.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
service_priorities_init (struct service_priorities *p)
{
  memset (p, 0, sizeof *p);
}

void
service_priorities_done (struct service_priorities *p)
{
  free (p->services);
  service_priorities_init (p);
}

/* Adds the service of QUEUE, which one of the COUNT queues differs from in
   priority, unless it is known.  */
static void
add_service (struct service_priorities *p, const struct queue_rule *queue,
             const struct queue_rule *queues, uint32_t count)
{
  struct service_priority *s;

  if (service_priorities_find (p, queue->service) != NULL)
    return;
  p->services = realloc (p->services,
                         (p->count + 1) * sizeof (struct service_priority));
  s = &p->services[p->count++];
  snprintf (s->service, sizeof s->service, "%s", queue->service);
  s->highest = queue->priority;
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (queues[i].service, queue->service) == 0
        && queues[i].priority < s->highest)
      s->highest = queues[i].priority;
}

void
service_priorities_set (struct service_priorities *p,
                        const struct queue_rule *queues, uint32_t count)
{
  service_priorities_done (p);
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < i; k++)
      if (queues[i].priority != queues[k].priority
          && strcmp (queues[i].service, queues[k].service) == 0)
        add_service (p, &queues[i], queues, count);
}

const struct service_priority *
service_priorities_find (const struct service_priorities *p,
                         const char *service)
{
  for (uint32_t i = 0; i < p->count; i++)
    if (strcmp (p->services[i].service, service) == 0)
      return &p->services[i];
  return NULL;
}
