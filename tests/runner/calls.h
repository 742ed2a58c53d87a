/* The HTTP calls of a scenario's callers and operators, many at a time, and
   what was answered.  */
#ifndef RUNNER_CALLS_H
#define RUNNER_CALLS_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "tests/runner/cluster.h"

struct call
{
  char name[CLUSTER_NAME_BYTES]; /* of the submission */
  char key[160];
  char vm[CLUSTER_NAME_BYTES];
  bool submission;
  bool may_repeat; /* an idempotent request, which may run again */
  int64_t deadline_ms;
  int64_t sent_wall_ms;
  int64_t answered_wall_ms;
  bool done;
  bool lost; /* the connection broke before an answer */
  bool vm_killed;
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
  uint32_t open;
};

void calls_init (struct calls *c, struct event_base *base);
void calls_done (struct calls *c);

/* Begins a call of METHOD and PATH at VM.  */
struct call *calls_begin (struct calls *c, const struct cluster_vm *vm,
                          const char *method, const char *path,
                          const char *token, const char *body);

/* "complete", "failed", "not_run", "unknown", "accepted", "error" or
   "lost".  */
const char *call_state (const struct call *c);

#endif
