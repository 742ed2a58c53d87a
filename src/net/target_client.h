/* Starts and stops tasks on one target over HTTP, with evhttp and a pool of
   keep-alive connections.  docs/TARGETS.md describes the protocol.  */
#ifndef NET_TARGET_CLIENT_H
#define NET_TARGET_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "coord/outcome.h"
#include "base/settings.h"

struct target_client;

/* The parameters of a start.  */
struct target_start
{
  const char *task;
  const char *kind;
  const char *owner;
  uint64_t incarnation;
  const char *payload;
  int64_t timeout_ms;
};

/* The end of a start.  RESULT is a valid JSON text for OUTCOME_DONE, which the
   callback must free, and NULL otherwise.  ELAPSED_US is the time from the
   start until its end.  */
typedef void (*target_done) (void *arg, struct outcome outcome, char *result,
                             int64_t elapsed_us);

/* Creates a client of the target at ADDRESS and PORT.  A start opens a
   connection if none is idle, without a limit; a stop is dropped if none is
   idle and CONNECTIONS are open.  */
struct target_client *target_client_new (struct event_base *base,
                                         const char *address, uint16_t port,
                                         uint32_t connections);

/* Frees the client and its connections once no request is in progress.  */
void target_client_free (struct target_client *c);

/* Starts a task.  DONE is called exactly once, never before returning.  */
void target_client_start (struct target_client *c,
                          const struct target_start *s, target_done done,
                          void *arg);

/* Sends a stop of task TASK, and ignores the answer.  */
void target_client_stop (struct target_client *c, const char *task);

#endif
