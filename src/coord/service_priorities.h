/* The services whose queues have different priorities in the configuration.
   Only there load is shed by priority (overload_policy).  */
#ifndef COORD_SERVICE_PRIORITIES_H
#define COORD_SERVICE_PRIORITIES_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/service_config.h"

struct service_priority
{
  char service[CONFIG_NAME_BYTES];
  uint32_t highest; /* the lowest number among its queues */
};

struct service_priorities
{
  struct service_priority *services;
  uint32_t count;
};

void service_priorities_init (struct service_priorities *p);
void service_priorities_done (struct service_priorities *p);

/* Replaces the content of P by what follows from COUNT queues.  */
void service_priorities_set (struct service_priorities *p,
                             const struct queue_rule *queues, uint32_t count);

/* The priorities of SERVICE, or NULL if its queues do not differ.  */
const struct service_priority *
service_priorities_find (const struct service_priorities *p,
                         const char *service);

#endif
