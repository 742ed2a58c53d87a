/* A volatile job at its dispatcher, and the runs of its tasks.  */
#ifndef COORD_RUN_JOB_H
#define COORD_RUN_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/job_admission.h"
#include "coord/job_spec.h"
#include "coord/run_target.h"
#include "coord/work_estimate.h"

enum
{
  RUN_NAME_BYTES = 64,
  RUN_JOB_ID_BYTES = 48,
  RUN_AVOID_LIMIT = 4
};

enum run_state
{
  RUN_WAITING,
  RUN_STARTING, /* ordered; not known to have begun */
  RUN_RUNNING,
  RUN_STOPPING,  /* to be stopped; may still run */
  RUN_DELEGATED, /* another VM runs it for this one */
  RUN_ENDED      /* needs no further run */
};

struct run_task
{
  enum run_state state;
  uint8_t step;
  uint32_t index; /* within its step */
  uint64_t run;   /* the number of its last run */
  struct run_target *target;
  int64_t ordered_ms;
  int64_t began_ms;      /* known to run since */
  int64_t local_ms;      /* expected with its data at hand */
  int64_t expected_ms;   /* where it runs */
  int64_t progressed_ms; /* when its progress was last seen to grow */
  int64_t settled_ms; /* when the target answered an order for it; 0 before */
  int64_t listed_ms;  /* when the target last listed it as running */
  uint32_t percent;
  uint32_t failures;
  uint32_t stops; /* for standing still or being slow */
  const struct run_target *avoid[RUN_AVOID_LIMIT]; /* it failed there */
  uint32_t avoid_count;
};

struct run_job
{
  struct job_spec spec;
  char id[RUN_JOB_ID_BYTES]; /* the key, and which part of the job */
  uint64_t number;           /* unique in this scheduler */
  void *holder;              /* NULL once nobody waits for its end */
  char *payload;
  uint32_t payload_length;
  char *wire_payload; /* the target port's encoding, made once; or NULL */

  struct job_times times;
  uint64_t work;          /* thousandths of a core times ms, expected */
  int64_t first_start_ms; /* -1 before; a lent task counts as started */
  bool started;           /* a task has been ordered here */
  bool closed;            /* has its result; its runs are being stopped */

  struct run_task *tasks;
  uint32_t task_count;
  uint32_t waiting_count;
  uint32_t active_count; /* starting, running, stopping */
  uint32_t ended_count;
  uint32_t delegated_count;
  uint32_t step_left[JOB_STEP_LIMIT]; /* tasks that have not ended */

  struct run_job *prev;
  struct run_job *next;
  UT_hash_handle hh;
};

/* A job of SPEC that arrives at NOW_MS, with a copy of its payload.  */
struct run_job *run_job_new (const struct job_spec *spec, uint64_t number,
                             const struct work_estimate *e, int64_t now_ms);
void run_job_free (struct run_job *j);

const struct job_step *run_job_step (const struct run_job *j, uint32_t task);

/* Whether all that must be done before STEP is.  */
bool run_job_step_may_begin (const struct run_job *j, uint32_t step);

/* The target's name of a task: KEY.OCCURRENCE.STEP.INDEX.  */
void run_job_task_name (const struct run_job *j, uint32_t task,
                        char name[RUN_NAME_BYTES]);

#endif
