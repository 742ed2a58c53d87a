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
#include <uthash.h>
#include "coord/job_admission.h"
#include "coord/job_spec.h"
#include "coord/queue_share.h"
#include "coord/run_target.h"
#include "coord/work_estimate.h"

enum
{
  RUN_NAME_BYTES = 64,
  RUN_AVOID_LIMIT = 4
};

enum run_state
{
  RUN_WAITING,
  RUN_STARTING, /* ordered; not known to have begun */
  RUN_RUNNING,
  RUN_STOPPING, /* to be stopped; may still run */
  RUN_ENDED     /* needs no further run */
};

struct run_task
{
  enum run_state state;
  uint8_t step;
  uint32_t index; /* within its step */
  uint64_t run;   /* the number of its last run */
  struct run_target *target;
  int64_t ordered_ms;
  int64_t began_ms; /* known to run since */
  int64_t expected_ms;
  int64_t moved_ms;   /* when its progress was last seen to grow */
  int64_t settled_ms; /* when the target answered an order for it; 0 before */
  int64_t seen_ms;    /* when the target last listed it as running */
  uint32_t percent;
  uint32_t failures;
  uint32_t stops; /* for standing still or being slow */
  const struct run_target *avoid[RUN_AVOID_LIMIT]; /* it failed there */
  uint32_t avoid_count;
};

struct run_job
{
  struct job_spec spec;
  uint64_t number; /* unique in this scheduler */
  void *holder;    /* NULL once nobody waits for its end */
  char *payload;
  uint32_t payload_length;
  char *wire_payload; /* the target port's encoding, made once; or NULL */

  struct job_times times;
  uint64_t work;          /* thousandths of a core times ms, expected */
  int64_t first_start_ms; /* -1 before */
  bool closed;            /* has its result; its runs are being stopped */

  struct run_task *tasks;
  uint32_t task_count;
  uint32_t waiting_count;
  uint32_t active_count; /* starting, running, stopping */
  uint32_t ended_count;
  uint32_t step_left[JOB_STEP_LIMIT]; /* tasks that have not ended */

  struct run_job *prev;
  struct run_job *next;
  UT_hash_handle hh;
};

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
};

struct run_scheduler
{
  const struct run_scheduler_output *output;
  void *arg;
  struct work_estimate estimate;
  struct queue_share share;
  struct run_target **targets;
  uint32_t target_count;
  struct run_job *jobs;    /* by key */
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

/* The work that waits for SERVICE in jobs that have begun or must start on
   time by START_BY_MS or sooner, against its cores.  */
struct job_backlog run_scheduler_backlog (const struct run_scheduler *s,
                                          const char *service,
                                          int64_t start_by_ms);

/* Jobs of QUEUE of which no task has begun.  */
uint32_t run_scheduler_waiting (const struct run_scheduler *s,
                                const char *queue);

/* The target's name of a task: KEY.OCCURRENCE.STEP.INDEX.  */
void run_scheduler_task_name (const struct run_job *j, uint32_t task,
                              char name[RUN_NAME_BYTES]);

#endif
