/* The event-log lines about jobs at their entry and dispatcher: who sent a
   job, when that entry was last heard, and how long the leases of its runs
   still last.  */
#ifndef CONTROLLER_JOB_EVENTS_H
#define CONTROLLER_JOB_EVENTS_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/dispatch_coordinator.h"

struct routed_job;

enum
{
  JOB_PART_BYTES = 48
};

/* Writes the part of S as STEP.FIRST+COUNT, or "-" for a complete job.  */
void job_events_part (const struct job_spec *s, char text[JOB_PART_BYTES]);

/* Records that J was accepted; its lease counts from a stamp of this VM that
   is ECHO_AGE_MS old.  */
void job_events_accepted (const struct dispatch_job *j, int64_t now_ms,
                          int64_t echo_age_ms);

/* Records that the job of M from C was refused because too little is left of
   its lease.  */
void job_events_stale (const struct coordinator *c, const struct peer_job *m,
                       int64_t now_ms);

/* Records the end of J.  */
void job_events_ended (const struct dispatch_job *j, int64_t now_ms,
                       enum job_result result, enum refusal_reason reason);

/* Records that J is stopped before its end.  */
void job_events_stopped (const struct dispatch_job *j, int64_t now_ms,
                         const char *why);

/* Records that the entry no longer waits for J at its dispatcher.  */
void job_events_given_up (const struct routed_job *j, int64_t now_ms,
                          const char *why, bool cancel_sent);

#endif
