/* The HTTP calls of a scenario's callers and operators, which may run
   concurrently, and their answers.  */
#ifndef RUNNER_CALLS_H
#define RUNNER_CALLS_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "tests/runner/cluster.h"

struct call
{
  char name[CLUSTER_NAME_BYTES]; /* of the submission, in the script */
  char key[160];
  char vm[CLUSTER_NAME_BYTES];
  bool submission;
  bool may_repeat; /* idempotent: its task may start more than once */
  int64_t deadline_ms;
  int64_t sent_wall_ms;
  int64_t answered_wall_ms;
  bool done;
  bool lost;      /* the connection broke before an answer */
  bool vm_killed; /* or frozen, so that it may get no answer */
  int status;
  char *text; /* the answer's body */
  json_t *body;
  struct call *next;
};

struct calls
{
  struct event_base *base;
  struct call *first;
  struct call **last;
  uint32_t pending_count;
};

void calls_init (struct calls *c, struct event_base *base);
void calls_done (struct calls *c);

/* Sends METHOD and PATH to VM and returns without waiting for the answer.  The
   call is owned by C.  */
struct call *calls_send (struct calls *c, const struct cluster_vm *vm,
                         const char *method, const char *path,
                         const char *token, const char *body);

/* Returns "open" while there is no answer, "lost" if the connection broke, the
   answer's state or outcome ("complete", "accepted", "failed", "not_run",
   "unknown"), or else "ok" or "error" by the HTTP status.  */
const char *call_state (const struct call *c);

#endif
