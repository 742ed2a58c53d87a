/* The specification of a volatile job, and the encoding of its steps in peer
   messages.  A volatile job is answered when it has ended and is never
   stored.  */
#ifndef COORD_JOB_SPEC_H
#define COORD_JOB_SPEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/slice.h"
#include "coord/service_config.h"

enum
{
  JOB_STEP_LIMIT = 16,
  JOB_TASK_LIMIT = 512,
  JOB_KEY_BYTES = 24,
  LABEL_BYTES = 32
};

/* The result of a job.  Only JOB_REFUSED guarantees that no task of it has
   run.  */
enum job_result
{
  JOB_DONE = 1,
  JOB_FAILED,
  JOB_REFUSED,
  JOB_UNKNOWN
};

enum refusal_reason
{
  REFUSAL_NONE,
  REFUSAL_NO_TARGET, /* no known target runs the service */
  REFUSAL_TOO_LARGE, /* a task fits no target */
  REFUSAL_OVERLOAD,  /* expected to wait longer than its objective allows */
  REFUSAL_EXPIRED,   /* waited too long to be of use */
  REFUSAL_LEAVING,   /* this VM is shutting down */
  REFUSAL_DUPLICATE, /* an earlier attempt of this job is still active here */
  REFUSAL_STALE,     /* too little of its lease was left on arrival */
  REFUSAL_LOST_PEER, /* the VM that had the job was lost */
  REFUSAL_SHARE,     /* its queue has used up its share of the cores */
  REFUSAL_FULL,      /* no free capacity for tasks that must not wait */
  REFUSAL_LEASE,     /* its lease was not renewed (coord/job_lease) */
  REFUSAL_WITHDRAWN, /* cancelled by its caller; only at its entry */
  REFUSAL_DISPLACED, /* refused in favour of higher priorities */
  REFUSAL_COUNT
};

/* The result as a word for logs.  */
const char *job_result_name (enum job_result r);

/* The reason as a word for logs.  */
const char *refusal_reason_name (enum refusal_reason r);

struct job_step
{
  uint32_t count;
  uint64_t cpu_milli;
  uint64_t memory_mb;
  uint64_t gpu;
  int64_t estimate_ms;
  uint32_t after;              /* bit mask of the steps that must end first */
  char label[LABEL_BYTES];     /* required of the target; "": none */
  char data_rack[LABEL_BYTES]; /* tasks are slower elsewhere; "": none */
  uint32_t max_per_target;     /* concurrent tasks; 0: no limit */
};

/* Identifies the tasks of a job that its dispatcher delegates to another VM.
   The spec sent there has only their step.  */
struct job_part
{
  bool is_part;   /* false: the spec is of the complete job */
  uint32_t step;  /* index of the step within the job */
  uint32_t first; /* index of the first task within the step */
  uint64_t run;   /* highest run number used for any of the tasks */
};

struct job_spec
{
  char key[JOB_KEY_BYTES];
  char queue[CONFIG_NAME_BYTES];
  char service[CONFIG_NAME_BYTES];
  uint32_t priority;
  uint32_t attempts;
  uint32_t stretch_milli;
  int64_t floor_ms;
  int64_t age_ms;      /* since the caller's request was read */
  int64_t deadline_ms; /* remaining until the caller stops waiting */
  int64_t lease_ms;    /* remaining of its lease (coord/job_lease) */

  struct job_step steps[JOB_STEP_LIMIT];
  uint32_t step_count;
  struct job_part part;
  struct slice payload; /* not owned */
};

/* Whether ONE and OTHER have a task in common.  */
bool job_spec_overlaps (const struct job_spec *one,
                        const struct job_spec *other);

uint32_t job_spec_task_count (const struct job_spec *s);

/* The number within the complete job of step I of S, which may be a part.  */
uint32_t job_spec_step_number (const struct job_spec *s, uint32_t i);

/* The declared work of all tasks in thousandths of a core times ms.  */
uint64_t job_spec_work (const struct job_spec *s);

/* The declared duration of the longest chain of dependent steps, in ms.  */
int64_t job_spec_critical_path_ms (const struct job_spec *s);

/* Appends the steps to BUFFER in msgpack.  */
void job_spec_pack_steps (const struct job_spec *s, msgpack_sbuffer *buffer);

/* Decodes the steps of job_spec_pack_steps into S.  Returns false, with S in
   an undefined state, if PACKED is invalid.  */
bool job_spec_unpack_steps (struct job_spec *s, struct slice packed);

#endif
