/* A volatile job at its dispatcher, with the state of its tasks.  A run is one
   attempt to execute a task on a target.  */
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
  TASK_NAME_BYTES = 64,
  RUN_JOB_ID_BYTES = 48,
  RUN_AVOID_LIMIT = 4
};

enum run_state
{
  RUN_WAITING,
  RUN_STARTING, /* start sent; not known to have begun */
  RUN_RUNNING,
  RUN_STOPPING,  /* stop sent; may still run */
  RUN_DELEGATED, /* run by a delegate VM */
  RUN_ENDED      /* done; needs no further run */
};

struct run_task
{
  enum run_state state;
  uint8_t step;
  uint32_t index; /* within its step */
  uint64_t run;   /* number of its latest run; rises with each start */
  struct run_target *target; /* of its active run; else NULL */
  int64_t start_sent_ms;
  int64_t began_ms;      /* when the start was accepted, or sent if not yet */
  int64_t local_ms;      /* expected run time on the rack of its data */
  int64_t expected_ms;   /* expected run time on its target */
  int64_t progressed_ms; /* when its reported progress last rose */
  int64_t answered_ms;   /* start accepted or stop answered; 0 before */
  int64_t stop_answered_ms; /* 0 before */
  int64_t listed_ms; /* last listed by the target as running; 0 before */
  uint32_t percent;
  uint32_t failures;
  uint32_t stops; /* because it stalled or was too slow */

  /* targets where it failed, stalled or was not started */
  const struct run_target *avoid[RUN_AVOID_LIMIT];
  uint32_t avoid_count;
};

/* What is ahead of a job at its dispatcher.  */
struct overload_ahead
{
  uint32_t rank;     /* its own, see struct run_job */
  uint32_t tasks;    /* waiting tasks that are placed before its own */
  uint32_t urgent;   /* of these, of jobs of higher priority */
  uint32_t capacity; /* tasks of its size that fit by the time it must start */
};

struct run_job
{
  struct job_spec spec;
  char id[RUN_JOB_ID_BYTES]; /* the key; for a part also step and first task */
  uint64_t number;           /* unique in this scheduler */
  void *user_data; /* pointer of the submitter; NULL once no caller waits */
  char *payload;
  uint32_t payload_length;
  char *wire_payload; /* payload as encoded by the target port, or NULL */

  struct job_times times;
  int64_t lease_end_ms;   /* its runs must be over by then (job_lease) */
  bool by_priority;       /* whether its service sheds load by priority */
  uint32_t rank;          /* its priority if so, else 0 */
  uint64_t work;          /* expected, in thousandths of a core times ms */
  int64_t first_start_ms; /* -1 before; a delegated task counts as started */
  int64_t last_start_ms;  /* likewise */
  bool started;           /* a start was sent to a target of this dispatcher */
  bool closed;            /* ended or cancelled; its runs are being stopped */

  struct run_task *tasks;
  uint32_t task_count;
  uint32_t waiting_count;
  uint32_t active_count; /* starting, running or stopping */
  uint32_t ended_count;
  uint32_t delegated_count;
  uint32_t step_left[JOB_STEP_LIMIT]; /* unfinished tasks of each step */

  struct run_job *prev;
  struct run_job *next;
  UT_hash_handle hh;
};

/* Creates a job of SPEC that arrived SPEC->age_ms before NOW_MS, with a copy
   of its payload.  Free it with run_job_free.  */
struct run_job *run_job_new (const struct job_spec *spec, uint64_t number,
                             const struct work_estimate *e, int64_t now_ms);
void run_job_free (struct run_job *j);

const struct job_step *run_job_step (const struct run_job *j, uint32_t task);

/* Whether the run of K was not listed in an answer, received at NOW_MS, to a
   status poll that was sent at POLLED_MS, although the target had answered its
   start or stop before.  */
bool run_task_is_unlisted (const struct run_task *k, int64_t now_ms,
                           int64_t polled_ms);

/* Whether the run of K must be sent a stop, since none was answered.  */
bool run_task_needs_stop (const struct run_task *k);

/* Records that a task of J is started or delegated.  */
void run_job_note_start (struct run_job *j, int64_t now_ms);

/* Extends the lease of J to END_MS; it is never shortened.  */
void run_job_extend_lease (struct run_job *j, int64_t end_ms);

/* Whether all steps that STEP depends on have ended.  */
bool run_job_step_may_begin (const struct run_job *j, uint32_t step);

/* Writes the name by which targets know a task: KEY.OCCURRENCE.STEP.INDEX.
   The occurrence of a volatile job is always 0.  */
void run_job_task_name (const struct run_job *j, uint32_t task,
                        char name[TASK_NAME_BYTES]);

#endif
