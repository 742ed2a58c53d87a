/* The coordinators of a dispatcher: other entries that send it jobs.  Handles
   their messages, and ends their jobs when the leases are not renewed.  */
#ifndef CONTROLLER_DISPATCH_COORDINATOR_H
#define CONTROLLER_DISPATCH_COORDINATOR_H

#include "controller/dispatcher.h"

/* An entry that has sent jobs or capacity requests to this dispatcher.  */
struct coordinator
{
  struct peer_conn *conn;
  char vm[NAME_BYTES];
  int64_t heard_ms; /* arrival of its last job, cancellation or keepalive */
  struct dispatch_job *jobs;
  struct coordinator *prev;
  struct coordinator *next;
};

struct dispatch_job
{
  struct dispatcher *dispatcher;
  struct run_job *run;

  /* for a job of a caller of this VM */
  dispatch_done done;
  void *arg;

  /* for a job of a coordinator */
  struct coordinator *coordinator;
  uint64_t id;
  struct dispatch_job *prev;
  struct dispatch_job *next;
};

/* Sends the result of J to its coordinator.  */
void dispatch_coordinator_send_result (const struct dispatch_job *j,
                                       enum job_result result,
                                       enum refusal_reason reason,
                                       int64_t retry_ms, int64_t waited_ms);

/* Ends the jobs of coordinators whose leases are not renewed.  */
void dispatch_coordinators_check (struct dispatcher *d, int64_t now_ms);

/* Cancels the jobs of all coordinators and frees the coordinators.  */
void dispatch_coordinators_done (struct dispatcher *d, int64_t now_ms);

/* Accepts a job for the dispatcher D.  If it is refused, returns NULL and
   sets *REASON and *RETRY_MS.  */
struct dispatch_job *dispatcher_accept (struct dispatcher *d, int64_t now_ms,
                                        const struct job_spec *spec,
                                        enum refusal_reason *reason,
                                        int64_t *retry_ms);

#endif
