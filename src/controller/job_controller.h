/* Executes submissions: replicates the record, queues and runs the tasks,
   replicates the answer and sends it to the caller.  */
#ifndef CONTROLLER_JOB_CONTROLLER_H
#define CONTROLLER_JOB_CONTROLLER_H

#include "controller/entry.h"

/* Starts S, a new record of this entry or a request without a record.  */
void job_begin (struct entry *n, struct submission *s);

/* Ends S if none of its tasks is left to run.  */
void job_check_finished (struct entry *n, struct submission *s);

/* Starts no further task of S.  S ends, failed for REASON, once its running
   tasks have ended.  */
void job_mark_failed (struct entry *n, struct submission *s,
                      const char *reason);

/* Cancels S: drops its queued tasks, sends one stop to each running one.  */
void job_cancel (struct entry *n, struct submission *s);

/* Ends the submissions whose deadline has passed.  */
void job_tick (struct entry *n, int64_t now_ms);

/* Takes over the records of executors that have left the group.  */
void job_take_over (struct entry *n);

/* Drops all records and answers their waiting callers with outcome "unknown":
   this VM has been removed from its group, whose other members own the records
   now.  */
void job_abandon_all (struct entry *n);

#endif
