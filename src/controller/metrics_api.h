/* Serves this process's counters and histograms at /metrics, as text with one
   name and value per line.  */
#ifndef CONTROLLER_METRICS_API_H
#define CONTROLLER_METRICS_API_H

#include <event2/event.h>
#include <stdbool.h>
#include "base/error.h"
#include "base/node_settings.h"
#include "net/http_server.h"

struct metrics_api
{
  struct http_server *server;
};

/* Starts to listen.  Returns false with E set on failure.  */
bool metrics_api_start (struct metrics_api *m, struct event_base *base,
                        const struct node_settings *s, struct error *e);
void metrics_api_done (struct metrics_api *m);

#endif
