/* A volatile job: answered when it has ended, kept nowhere.  Its steps, and
   their form in peer messages.  */
#ifndef COORD_JOB_SPEC_H
#define COORD_JOB_SPEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/slice.h"
#include "coord/service_document.h"

enum
{
  JOB_STEP_LIMIT = 16,
  JOB_TASK_LIMIT = 512,
  JOB_KEY_BYTES = 24,
  LABEL_BYTES = 32
};

/* How a job ended.  Only JOB_REFUSED says that no task of it has run.  */
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
  REFUSAL_NO_TARGET, /* no target of the service is known */
  REFUSAL_TOO_LARGE, /* a task fits no target */
  REFUSAL_OVERLOAD,  /* would wait longer than its objective allows */
  REFUSAL_EXPIRED,   /* waited until its objective was out of reach */
  REFUSAL_LEAVING,   /* this VM is stopping */
  REFUSAL_DUPLICATE, /* an earlier attempt of this job still ends here */
  REFUSAL_STALE,     /* the order was older than its sender's patience */
  REFUSAL_LOST_PEER, /* the VM that had the job was lost */
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
  uint32_t after;          /* a bit for each step that must be done first */
  char label[LABEL_BYTES]; /* that the target must have; "" for none */
  char data_rack[LABEL_BYTES]; /* elsewhere a task takes longer; "": none */
  uint32_t most_on_target;     /* tasks of it at a time; 0: no limit */
};

/* Which tasks of a job a VM runs for the dispatcher that has the job.  Their
   step is the only one of the spec.  */
struct job_part
{
  bool is_part; /* false: the whole job */
  uint32_t step;
  uint32_t first; /* index of the first task within the step */
  uint64_t run;   /* the last run number that was used for any of them */
};

struct job_spec
{
  char key[JOB_KEY_BYTES];
  char queue[DOCUMENT_NAME_BYTES];
  char service[DOCUMENT_NAME_BYTES];
  uint32_t priority;
  uint32_t attempts;
  uint32_t stretch_milli;
  int64_t floor_ms;
  int64_t age_ms;      /* since the caller's request was read */
  int64_t deadline_ms; /* left until the caller stops waiting */

  struct job_step steps[JOB_STEP_LIMIT];
  uint32_t step_count;
  struct job_part part;
  struct slice payload; /* of another object */
};

/* Whether some task is of both ONE and OTHER.  */
bool job_spec_overlaps (const struct job_spec *one,
                        const struct job_spec *other);

uint32_t job_spec_task_count (const struct job_spec *s);

/* Core-milliseconds of work, in thousandths of a core, as declared.  */
uint64_t job_spec_work (const struct job_spec *s);

/* The longest chain of steps in ms, as declared.  */
int64_t job_spec_critical_path_ms (const struct job_spec *s);

/* The steps in msgpack.  */
void job_spec_pack_steps (const struct job_spec *s, msgpack_sbuffer *buffer);

/* Returns false, with S unusable, for anything else than packed steps.  */
bool job_spec_unpack_steps (struct job_spec *s, struct slice packed);

#endif
