/* The event-log lines about runs on targets: their number, the fencing token,
   and how long the latest lease still lasts.  */
#ifndef CONTROLLER_RUN_EVENTS_H
#define CONTROLLER_RUN_EVENTS_H

#include <stdint.h>
#include "controller/target_runner.h"

/* A start that was ordered.  */
struct run_start
{
  uint64_t run;
  int64_t ordered_ms;
  int64_t lease_end_ms; /* on the target's clock */
};

/* Records the answer REPLY to START, of TASK.  */
void run_events_start_answered (const struct target_runner *r, int64_t now_ms,
                                const char *task,
                                const struct run_start *start,
                                const struct port_reply *reply);

/* Records that this VM no longer owns R's target, by REPLY.  */
void run_events_target_lost (const struct target_runner *r, int64_t now_ms,
                             const struct port_reply *reply);

/* Records the answer REPLY to the stop of run RUN of TASK.  */
void run_events_stop_answered (const struct target_runner *r, int64_t now_ms,
                               const char *task, uint64_t run,
                               const struct port_reply *reply);

/* Records that a poll, which renews the leases there, got no answer, if it is
   the first in a row and tasks run there.  */
void run_events_not_renewed (const struct target_runner *r, int64_t now_ms,
                             enum port_outcome outcome);

/* Records that the run of task TASK of J on T is stopped.  */
void run_events_stopped (const struct run_target *t, int64_t now_ms,
                         const struct run_job *j, uint32_t task);

/* Records that all runs on T are over, although T reported no end.  */
void run_events_all_lost (const struct run_target *t, int64_t now_ms,
                          const char *why);

/* Likewise for the runs that run_scheduler_drop_unlisted will drop.  */
void run_events_unlisted (const struct target_runner *r, int64_t now_ms);

#endif
