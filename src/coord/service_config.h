/* The decoded configuration of an open deployment: its queues, the services
   that run their tasks, and the response times promised to callers.  The
   highest version is active.  */
#ifndef COORD_SERVICE_CONFIG_H
#define COORD_SERVICE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  CONFIG_NAME_BYTES = 64,
  CONFIG_PATH_BYTES = 128,
  STRETCH_SCALE = 1000
};

/* A queue: the jobs that callers post under a host and a path.  */
struct queue_rule
{
  char name[CONFIG_NAME_BYTES];
  char host[CONFIG_PATH_BYTES];
  char prefix[CONFIG_PATH_BYTES];
  char service[CONFIG_NAME_BYTES];

  /* A job is on time if it ends within the stretch times the expected run time
     of its critical path, plus the floor.  */
  uint32_t stretch_milli; /* in thousandths */
  int64_t floor_ms;

  uint32_t priority;  /* 0 is the highest */
  uint32_t attempts;  /* failed runs of a task after which its job fails */
  int64_t timeout_ms; /* how long callers wait if they send no deadline */
};

struct service_rule
{
  char name[CONFIG_NAME_BYTES];
  char health_path[CONFIG_PATH_BYTES];
  bool enforces_capacity; /* its targets refuse tasks that do not fit */
};

struct service_config
{
  uint64_t version;
  struct queue_rule *queues;
  uint32_t queue_count;
  struct service_rule *services;
  uint32_t service_count;

  /* limits of callers' requests; 0: not configured */
  uint32_t body_bytes;
  uint32_t head_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

void service_config_init (struct service_config *c);
void service_config_done (struct service_config *c);

/* The queue of HOST, which may carry a port, whose prefix is the longest that
   matches PATH, or NULL.  */
const struct queue_rule *service_config_queue (const struct service_config *c,
                                               const char *host,
                                               const char *path);

/* The service called NAME, or NULL.  */
const struct service_rule *
service_config_service (const struct service_config *c, const char *name);

#endif
