/* The jobs that a dispatcher runs for entries that hold the callers, its
   coordinators: what they send, and what becomes of their jobs when they fall
   silent.  */
#ifndef CONTROLLER_DISPATCH_COORDINATOR_H
#define CONTROLLER_DISPATCH_COORDINATOR_H

#include "controller/dispatcher.h"

/* An entry that holds callers whose jobs run here.  */
struct coordinator
{
  struct peer_conn *conn;
  char vm[NAME_BYTES];
  int64_t heard_ms;
  bool has_delay;
  int64_t least_delay_ms; /* of our clock against its own, at the quickest */
  struct dispatch_job *jobs;
  struct coordinator *prev;
  struct coordinator *next;
};

struct dispatch_job
{
  struct dispatcher *dispatcher;
  struct run_job *run;

  /* a caller of this VM */
  dispatch_done done;
  void *arg;

  /* or a coordinator's */
  struct coordinator *coordinator;
  uint64_t id;
  struct dispatch_job *prev;
  struct dispatch_job *next;
};

/* Tells the coordinator of J what came of it.  */
void dispatch_coordinator_tell (const struct dispatch_job *j,
                                enum job_result result,
                                enum refusal_reason reason, int64_t retry_ms,
                                int64_t waited_ms);

/* Stops the jobs of coordinators that have been silent for long.  */
void dispatch_coordinators_check (struct dispatcher *d, int64_t now_ms);

/* Stops the jobs of all coordinators and forgets them.  */
void dispatch_coordinators_done (struct dispatcher *d, int64_t now_ms);

/* For the dispatcher: takes a job, or returns NULL with *REASON and *RETRY_MS
   set.  */
struct dispatch_job *dispatcher_take (struct dispatcher *d, int64_t now_ms,
                                      const struct job_spec *spec,
                                      enum refusal_reason *reason,
                                      int64_t *retry_ms);

#endif
