/* The scheduler of a dispatcher: places the tasks of volatile jobs
   (job_spec.h) on targets.

   It does no I/O and reads no clock: the present time is an argument, and
   starts, stops and results are passed to struct run_scheduler_output.

   Jobs are served by least slack: the one that must start soonest to be on
   time goes first.  Started jobs precede those that have not started, since
   callers get no result of an unfinished job; jobs that can only be late come
   last, those with the least work first (wait_order).  Each task is placed on
   the target with the lowest cost (run_placement).

   A task has at most one run at a time: it returns to RUN_WAITING only once
   its run is known to have ended, or is known never to begin.  */
#ifndef COORD_RUN_SCHEDULER_H
#define COORD_RUN_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/queue_share.h"
#include "coord/ranked_work.h"
#include "coord/run_job.h"
#include "coord/service_priorities.h"
#include "coord/work_estimate.h"

/* The outcome of a start request to a target.  */
enum start_outcome
{
  START_ACCEPTED,
  START_NO_CAPACITY,
  START_STALE,     /* run number already used, or the request came too late */
  START_NOT_BEGUN, /* refused or never sent: the run did not begin */
  START_REJECTED,  /* the target finds the request invalid */
  START_UNKNOWN    /* no answer: the run may exist and must be stopped */
};

enum run_end
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_LAPSED /* its lease expired */
};

/* The scheduler's decisions, to be carried out by its owner.  */
struct run_scheduler_output
{
  void (*start) (void *arg, struct run_target *t, struct run_job *j,
                 uint32_t task);
  void (*stop) (void *arg, struct run_target *t, struct run_job *j,
                uint32_t task);
  /* J has ended with RESULT.  If it was refused, the caller should retry after
     RETRY_MS.  J must not be used after return.  */
  void (*finished) (void *arg, struct run_job *j, enum job_result result,
                    enum refusal_reason reason, int64_t retry_ms);
  /* The delegated tasks of J are no longer needed.  May be NULL if no task is
     ever delegated.  */
  void (*revoke) (void *arg, struct run_job *j);
  /* T was ejected or readmitted; see T->health.ejected.  May be NULL.  */
  void (*health) (void *arg, const struct run_target *t);
};

struct run_scheduler
{
  const struct run_scheduler_output *output;
  void *arg;
  double remote_factor; /* run time off the data's rack, relative to on it */
  struct work_estimate estimate;
  struct queue_share share;
  struct service_priorities priorities; /* set by the owner */
  struct run_target **targets;
  uint32_t target_count;
  struct run_job *jobs;    /* by id */
  struct run_job *waiting; /* list of open jobs, in order of arrival */
  uint64_t next_number;
  int64_t speeds_updated_ms; /* last update of the targets' speed factors */

  /* How often the speeds of a service have come into effect or ceased to be,
     and the latest such change.  */
  uint32_t speed_changes;
  char speeds_service[CONFIG_NAME_BYTES];
  bool speeds_in_effect;

  bool check_displaced; /* in the next pass */

  /* What was ahead of the job by priority that was refused last.  */
  struct overload_ahead refused_ahead;
};

void run_scheduler_init (struct run_scheduler *s,
                         const struct run_scheduler_output *output, void *arg);
void run_scheduler_done (struct run_scheduler *s);

/* Adds a target in phase TARGET_SYNCING.  */
struct run_target *
run_scheduler_add_target (struct run_scheduler *s,
                          const struct run_target_spec *spec);

/* Removes and frees T.  Its runs are dropped as in
   run_scheduler_runs_lost.  */
void run_scheduler_remove_target (struct run_scheduler *s, int64_t now_ms,
                                  struct run_target *t);

struct run_target *run_scheduler_target (const struct run_scheduler *s,
                                         const char *id);

/* Admits a job.  Returns NULL with *REASON and *RETRY_MS set if it is refused;
   none of its tasks has run then.  USER_DATA is stored in the job for the
   caller's own use; if it is NULL, output->finished is not called.  No task is
   started before the next run_scheduler_pass.  */
struct run_job *run_scheduler_submit (struct run_scheduler *s, int64_t now_ms,
                                      const struct job_spec *spec,
                                      void *user_data,
                                      enum refusal_reason *reason,
                                      int64_t *retry_ms);

/* Closes J, whose caller is no longer waiting: stops its runs without a call
   of output->finished.  */
void run_scheduler_cancel (struct run_scheduler *s, int64_t now_ms,
                           struct run_job *j);

/* Closes J, which has started, with RESULT and stops its runs.  */
void run_scheduler_abort (struct run_scheduler *s, int64_t now_ms,
                          struct run_job *j, enum job_result result,
                          enum refusal_reason reason);

/* Reports the outcome of the request to start run RUN of the task called NAME
   on T.  */
void run_scheduler_start_result (struct run_scheduler *s, int64_t now_ms,
                                 struct run_target *t, const char *name,
                                 uint64_t run, enum start_outcome outcome);

/* Reports that run RUN of the task called NAME has ended on T.  Returns false
   if it is not a run of this scheduler.  */
bool run_scheduler_ended (struct run_scheduler *s, int64_t now_ms,
                          struct run_target *t, const char *name, uint64_t run,
                          enum run_end how);

/* Reports that run RUN of the task called NAME is running on T, with progress
   PERCENT.  Returns false if it is not a run of this scheduler and should be
   stopped.  */
bool run_scheduler_running (struct run_scheduler *s, int64_t now_ms,
                            struct run_target *t, const char *name,
                            uint64_t run, uint32_t percent);

/* Reports that T has answered a request to stop run RUN of the task called
   NAME: T will report the end of the run, or the run will never begin.  */
void run_scheduler_stop_answered (struct run_scheduler *s, int64_t now_ms,
                                  struct run_target *t, const char *name,
                                  uint64_t run);

/* Drops the runs that T did not list in its answer to a status poll that was
   sent at POLLED_MS.  Call it after run_scheduler_running, with the same
   NOW_MS, for each listed run.  A run is dropped only if T had answered its
   start or stop before POLLED_MS: T must have known it then, so it has ended.
   Returns the number of runs dropped.  */
uint32_t run_scheduler_drop_unlisted (struct run_scheduler *s, int64_t now_ms,
                                      struct run_target *t, int64_t polled_ms);

/* Drops all runs on T, which are known to be over although T reported no
   end.  */
void run_scheduler_runs_lost (struct run_scheduler *s, int64_t now_ms,
                              struct run_target *t);

/* One scheduling pass: stops stalled and slow runs, refuses or ends expired
   jobs, and starts the waiting tasks for which there is free capacity.  */
void run_scheduler_pass (struct run_scheduler *s, int64_t now_ms);

/* Marks COUNT waiting tasks of J from FIRST on as delegated to another VM,
   until run_scheduler_delegation_ended or output->revoke.  */
void run_scheduler_delegate (struct run_scheduler *s, int64_t now_ms,
                             struct run_job *j, uint32_t first,
                             uint32_t count);

/* Reports the result of delegated tasks: JOB_DONE, or JOB_REFUSED if none of
   them has begun and they wait here again; any other RESULT ends the job.  J
   may be freed.  */
void run_scheduler_delegation_ended (struct run_scheduler *s, int64_t now_ms,
                                     struct run_job *j, uint32_t first,
                                     uint32_t count, enum job_result result,
                                     enum refusal_reason reason);

/* Sets *RANKS to the jobs with waiting tasks, the most urgent first, in an
   array that the caller frees.  Returns their number.  */
struct wait_rank;
uint32_t run_scheduler_rank (struct run_scheduler *s, int64_t now_ms,
                             struct wait_rank **ranks);

/* The waiting work of SERVICE that precedes a job that must start by
   START_BY_MS, and the cores of the service's usable targets.  */
struct job_backlog run_scheduler_backlog (const struct run_scheduler *s,
                                          const char *service,
                                          int64_t start_by_ms);

/* The waiting work that precedes J, and the cores as above.  */
struct job_backlog run_scheduler_backlog_of (const struct run_scheduler *s,
                                             const struct run_job *j);

/* The waiting work of SERVICE by rank; empty if it does not shed load by
   priority.  Started jobs precede all others.  */
struct ranked_work run_scheduler_ranked_work (const struct run_scheduler *s,
                                              const char *service);

/* Whether T gets starts in general, free or not at present.  */
bool run_scheduler_may_use (const struct run_target *t);

/* The number of jobs of QUEUE of which no task has started.  */
uint32_t run_scheduler_waiting_jobs (const struct run_scheduler *s,
                                     const char *queue);

#endif
