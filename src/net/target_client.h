/* Starts and stops tasks on one target over HTTP, by evhttp, on a pool of
   kept-alive connections.  docs/TARGETS.md is the protocol.  */
#ifndef NET_TARGET_CLIENT_H
#define NET_TARGET_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "coord/outcome.h"
#include "base/settings.h"

struct target_client;

/* What a start says.  */
struct target_start
{
  const char *task;
  const char *kind;
  const char *owner;
  uint64_t incarnation;
  const char *payload;
  int64_t timeout_ms;
};

/* How a start ended.  RESULT is a checked JSON text for OUTCOME_DONE, which
   the callback's function owns, and NULL otherwise.  ELAPSED_US is the time
   from the start until its end.  */
typedef void (*target_done) (void *arg, struct outcome outcome, char *result,
                             int64_t elapsed_us);

/* A client of the target at ADDRESS and PORT with at most CONNECTIONS.  */
struct target_client *target_client_new (struct event_base *base,
                                         const char *address, uint16_t port,
                                         uint32_t connections);

/* Closes the connections once no start is under way.  */
void target_client_free (struct target_client *c);

/* Starts a task.  DONE is called exactly once, never before returning.  */
void target_client_start (struct target_client *c,
                          const struct target_start *s, target_done done,
                          void *arg);

/* Asks for task TASK to be stopped; no answer is awaited.  */
void target_client_stop (struct target_client *c, const char *task);

#endif
