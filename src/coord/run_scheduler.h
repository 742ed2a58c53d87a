/* Places the tasks of volatile jobs on targets.

   No I/O and no clock: the present time is an argument, and what is to be
   done goes out through struct run_scheduler_output.  The order of waiting is
   that of the latest start on time (earliest deadline first, less the work);
   a job that has begun comes before those that have not, since only whole
   jobs are of use; jobs that can only be late come last, the shortest work
   first.  The tasks of a job go to the targets that they fit best.

   A task has at most one run at a time: it goes back to waiting only once its
   run is known to have ended, or never to begin.  */
#ifndef COORD_RUN_SCHEDULER_H
#define COORD_RUN_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/queue_share.h"
#include "coord/run_job.h"
#include "coord/work_estimate.h"

/* What came of an order to start.  */
enum start_outcome
{
  START_ACCEPTED,
  START_NO_ROOM,
  START_OLD,       /* the run's number was used there */
  START_NOT_BEGUN, /* refused or never sent: it did not begin */
  START_REJECTED,  /* the target can make no sense of it */
  START_UNKNOWN    /* no answer: it is to be stopped, wherever it is */
};

/* How a run ended.  */
enum run_end
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_LAPSED
};

struct run_scheduler_output
{
  void (*start) (void *arg, struct run_target *t, struct run_job *j,
                 uint32_t task);
  void (*stop) (void *arg, struct run_target *t, struct run_job *j,
                uint32_t task);
  /* J has its result; it is not to be touched after return.  */
  void (*finished) (void *arg, struct run_job *j, enum job_result result,
                    enum refusal_reason reason, int64_t retry_ms);
  /* The lent tasks of J are no longer wanted.  NULL where none is lent.  */
  void (*recall) (void *arg, struct run_job *j);
  /* T is ejected, or admitted again; may be NULL.  */
  void (*health) (void *arg, const struct run_target *t);
};

struct run_scheduler
{
  const struct run_scheduler_output *output;
  void *arg;
  double far_factor; /* a task takes so many times as long off its data */
  struct work_estimate estimate;
  struct queue_share share;
  struct run_target **targets;
  uint32_t target_count;
  struct run_job *jobs;    /* by id */
  struct run_job *waiting; /* open jobs in order of arrival, doubly linked */
  uint64_t next_number;
};

void run_scheduler_init (struct run_scheduler *s,
                         const struct run_scheduler_output *output, void *arg);
void run_scheduler_done (struct run_scheduler *s);

/* A new target, SYNCING.  */
struct run_target *
run_scheduler_add_target (struct run_scheduler *s,
                          const struct run_target_spec *spec);

/* Forgets T; what ran there is over (see run_scheduler_runs_lost).  */
void run_scheduler_remove_target (struct run_scheduler *s, int64_t now_ms,
                                  struct run_target *t);

struct run_target *run_scheduler_target (const struct run_scheduler *s,
                                         const char *id);

/* Takes a job with PAYLOAD, or refuses it: then NULL is returned with *REASON
   and *RETRY_MS set, and no task of it has run.  HOLDER comes back with the
   result.  Call run_scheduler_pass after.  */
struct run_job *run_scheduler_submit (struct run_scheduler *s, int64_t now_ms,
                                      const struct job_spec *spec,
                                      void *holder,
                                      enum refusal_reason *reason,
                                      int64_t *retry_ms);

/* Nobody waits for J any more: its runs are stopped, and there is no
   result.  */
void run_scheduler_cancel (struct run_scheduler *s, int64_t now_ms,
                           struct run_job *j);

/* Gives up J, which has begun, with RESULT.  */
void run_scheduler_give_up (struct run_scheduler *s, int64_t now_ms,
                            struct run_job *j, enum job_result result,
                            enum refusal_reason reason);

/* What became of the order to start run RUN of the task called NAME on T.  */
void run_scheduler_started (struct run_scheduler *s, int64_t now_ms,
                            struct run_target *t, const char *name,
                            uint64_t run, enum start_outcome outcome);

/* Run RUN of the task called NAME has ended on T.  Returns false if it is not
   one of this scheduler's.  */
bool run_scheduler_ended (struct run_scheduler *s, int64_t now_ms,
                          struct run_target *t, const char *name, uint64_t run,
                          enum run_end how);

/* Run RUN of the task called NAME runs on T and has come to PERCENT.  Returns
   false if it should not run there.  */
bool run_scheduler_runs (struct run_scheduler *s, int64_t now_ms,
                         struct run_target *t, const char *name, uint64_t run,
                         uint32_t percent);

/* T has answered an order to stop run RUN of the task called NAME: it either
   tells of the run's end, or the run will never begin.  */
void run_scheduler_settled (struct run_scheduler *s, int64_t now_ms,
                            struct run_target *t, const char *name,
                            uint64_t run);

/* T has listed all that runs there (run_scheduler_runs, at NOW_MS) in answer
   to a question of ASKED_MS.  Runs that it should know by then and does not
   list are over.  Returns their number.  */
uint32_t run_scheduler_drop_unlisted (struct run_scheduler *s, int64_t now_ms,
                                      struct run_target *t, int64_t asked_ms);

/* All runs on T are over without an end of their own.  */
void run_scheduler_runs_lost (struct run_scheduler *s, int64_t now_ms,
                              struct run_target *t);

/* Starts what can be started, refuses what has become hopeless, and stops
   runs that stand still.  */
void run_scheduler_pass (struct run_scheduler *s, int64_t now_ms);

/* COUNT waiting tasks of J from FIRST on are run by another VM from now on,
   until run_scheduler_returned or output->recall.  */
void run_scheduler_lend (struct run_scheduler *s, int64_t now_ms,
                         struct run_job *j, uint32_t first, uint32_t count);

/* What came of tasks that were lent: JOB_DONE, or JOB_REFUSED if none of them
   has begun; else the whole job ends with RESULT.  J may be gone after.  */
void run_scheduler_returned (struct run_scheduler *s, int64_t now_ms,
                             struct run_job *j, uint32_t first, uint32_t count,
                             enum job_result result,
                             enum refusal_reason reason);

/* The jobs with waiting tasks, the most urgent first.  Returns their number;
 *RANKS is to be freed.  */
struct wait_rank;
uint32_t run_scheduler_rank (struct run_scheduler *s, int64_t now_ms,
                             struct wait_rank **ranks);

/* The work that waits for SERVICE in jobs that have begun or must start on
   time by START_BY_MS or sooner, against its cores.  */
struct job_backlog run_scheduler_backlog (const struct run_scheduler *s,
                                          const char *service,
                                          int64_t start_by_ms);

/* Jobs of QUEUE of which no task has begun.  */
uint32_t run_scheduler_waiting (const struct run_scheduler *s,
                                const char *queue);

#endif
