/* The event-log lines about jobs at their entry and dispatcher, and about the
   runs of their tasks: who sent a job, when that entry was last heard, and how
   long the leases of its runs still last.  */
#ifndef CONTROLLER_JOB_EVENTS_H
#define CONTROLLER_JOB_EVENTS_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/dispatch_coordinator.h"

enum
{
  JOB_PART_BYTES = 48
};

/* A job that its entry no longer waits for.  */
struct given_up_job
{
  const struct job_spec *spec;
  uint64_t id;
  const char *dispatcher;
  int64_t sent_ms;
  int64_t reported_ms; /* last report of the dispatcher; 0: none */
  bool cancel_sent;
};

/* Writes the part of S as STEP.FIRST+COUNT, or "-" for a complete job.  */
void job_events_part (const struct job_spec *s, char text[JOB_PART_BYTES]);

/* Records that J was accepted.  Its coordinator had last been heard HEARD_MS
   before, and J arrived LATE_MS later than its fastest message would.  */
void job_events_accepted (const struct dispatch_job *j, int64_t heard_ms,
                          int64_t late_ms);

/* Records that the job of M from C was refused because it came too late.  */
void job_events_stale (const struct coordinator *c, const struct peer_job *m,
                       int64_t heard_ms, int64_t late_ms);

/* Records the end of J.  */
void job_events_ended (const struct dispatch_job *j, int64_t now_ms,
                       enum job_result result, enum refusal_reason reason);

/* Records that J is stopped before its end.  */
void job_events_stopped (const struct dispatch_job *j, int64_t now_ms,
                         const char *why);

void job_events_given_up (const struct given_up_job *g, int64_t now_ms,
                          const char *why);

/* Records that the run of task TASK of J on T is stopped.  */
void job_events_run_stopped (const struct run_target *t, int64_t now_ms,
                             const struct run_job *j, uint32_t task);

/* Records that the run REF on T is over, although T reported no end.  */
void job_events_run_lost (const struct run_target *t, int64_t now_ms,
                          const struct run_ref *ref, const char *why);

/* Likewise for all runs on T.  */
void job_events_runs_lost (const struct run_target *t, int64_t now_ms,
                           const char *why);

#endif
