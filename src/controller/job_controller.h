/* The life of a submission at its executor: replicated, opened, run, ended,
   answered.  */
#ifndef CONTROLLER_JOB_CONTROLLER_H
#define CONTROLLER_JOB_CONTROLLER_H

#include "controller/entry.h"

/* Begins S, a new record of this entry's, or a request without a record.  */
void job_begin (struct entry *n, struct submission *s);

/* Ends S if nothing of it is left to run.  */
void job_check_finished (struct entry *n, struct submission *s);

/* Begins no further task of S; it ends, for REASON, with the running ones.  */
void job_doom (struct entry *n, struct submission *s, const char *reason);

/* Cancels S: queued tasks are dropped, each running one is sent one stop.  */
void job_cancel (struct entry *n, struct submission *s);

/* Ends the submissions whose deadline is over.  */
void job_tick (struct entry *n, int64_t now_ms);

/* Takes over the records of executors that left the group.  */
void job_take_over (struct entry *n);

/* Gives up all submissions: this VM has left its group, whose other members
   answer for them now.  */
void job_abandon_all (struct entry *n);

#endif
