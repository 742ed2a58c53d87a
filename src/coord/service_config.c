#include "coord/service_config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
service_config_init (struct service_config *c)
{
  memset (c, 0, sizeof *c);
}

void
service_config_done (struct service_config *c)
{
  free (c->queues);
  free (c->services);
  service_config_init (c);
}

/* Whether HOST, which may carry a port, equals QUEUE_HOST.  */
static bool
is_host (const char *host, const char *queue_host)
{
  size_t n = strlen (queue_host);

  return strncasecmp (host, queue_host, n) == 0
         && (host[n] == '\0' || host[n] == ':');
}

const struct queue_rule *
service_config_queue (const struct service_config *c, const char *host,
                      const char *path)
{
  const struct queue_rule *best = NULL;
  size_t best_length = 0;

  for (uint32_t i = 0; i < c->queue_count; i++)
    {
      const struct queue_rule *q = &c->queues[i];
      size_t n = strlen (q->prefix);

      if ((best == NULL || n > best_length)
          && strncmp (path, q->prefix, n) == 0 && is_host (host, q->host))
        {
          best = q;
          best_length = n;
        }
    }
  return best;
}

const struct service_rule *
service_config_service (const struct service_config *c, const char *name)
{
  for (uint32_t i = 0; i < c->service_count; i++)
    if (strcmp (c->services[i].name, name) == 0)
      return &c->services[i];
  return NULL;
}
