/* Admission control of a scheduler.  A job is admitted if its tasks fit on the
   targets of its service, no earlier attempt of it is still active, and there
   is free capacity or else its queue's share and the work ahead leave it
   enough time (queue_share, job_admission).  */
#ifndef COORD_RUN_ADMISSION_H
#define COORD_RUN_ADMISSION_H

#include "coord/run_scheduler.h"

/* Returns the reason why a job of SPEC can never run on the targets of S, or
   REFUSAL_NONE.  */
enum refusal_reason run_admission_check_fit (const struct run_scheduler *s,
                                             const struct job_spec *spec);

/* Whether an earlier attempt of any task of SPEC may still be active.  */
bool run_admission_is_duplicate (const struct run_scheduler *s,
                                 const struct job_spec *spec);

/* The number of tasks of SPEC, of steps that depend on no other step, that
   could start now.  */
uint32_t run_admission_fitting (const struct run_scheduler *s,
                                const struct job_spec *spec, int64_t now_ms);

/* Returns the reason why J must not wait here, or REFUSAL_NONE.  A job that
   can start at once is admitted.  Otherwise its queue must not have used up
   its share and the work ahead in B must leave the job time to start, or the
   overload policy decides; tasks delegated by another VM are refused, since
   they must not wait here.  */
enum refusal_reason run_admission_check_load (struct run_scheduler *s,
                                              int64_t now_ms,
                                              const struct run_job *j,
                                              const struct job_backlog *b);

#endif
