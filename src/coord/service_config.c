#include "coord/service_config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
service_config_init (struct service_config *d)
{
  memset (d, 0, sizeof *d);
}

void
service_config_done (struct service_config *d)
{
  free (d->queues);
  free (d->services);
  service_config_init (d);
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
service_config_queue (const struct service_config *d, const char *host,
                      const char *path)
{
  const struct queue_rule *best = NULL;
  size_t best_length = 0;

  for (uint32_t i = 0; i < d->queue_count; i++)
    {
      const struct queue_rule *q = &d->queues[i];
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
service_config_service (const struct service_config *d, const char *name)
{
  for (uint32_t i = 0; i < d->service_count; i++)
    if (strcmp (d->services[i].name, name) == 0)
      return &d->services[i];
  return NULL;
}
