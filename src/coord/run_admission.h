/* Whether a scheduler takes a job: by what its targets are, by what runs there
   of earlier attempts, by room, by the queues' shares and by the work ahead
   (queue_share, job_admission).  */
#ifndef COORD_RUN_ADMISSION_H
#define COORD_RUN_ADMISSION_H

#include "coord/run_scheduler.h"

/* Why a job of SPEC can never run on the targets of S, or REFUSAL_NONE.  */
enum refusal_reason run_admission_check_fit (const struct run_scheduler *s,
                                             const struct job_spec *spec);

/* Whether an earlier attempt of a task of SPEC may still run.  */
bool run_admission_is_duplicate (const struct run_scheduler *s,
                                 const struct job_spec *spec);

/* Whether to take J: at once if it need not wait, else if its queue has not
   had its share and the work ahead B leaves it time.  Tasks that are run for
   another VM do not wait here.  */
bool run_admission_accepts (struct run_scheduler *s, int64_t now_ms,
                            const struct run_job *j,
                            const struct job_backlog *b);

#endif
