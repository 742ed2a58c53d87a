/* A target that runs tasks under leases, as its dispatcher sees it: room,
   what runs there, and whether it may be used.  */
#ifndef COORD_RUN_TARGET_H
#define COORD_RUN_TARGET_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "coord/job_spec.h"
#include "coord/target_health.h"

enum
{
  TARGET_ID_BYTES = 64,
  TARGET_LABEL_LIMIT = 8,
  TARGET_RUN_LIMIT = 64
};

/* What a target says of itself.  */
struct run_target_spec
{
  char id[TARGET_ID_BYTES];
  char address[64]; /* IP number and port */
  char service[DOCUMENT_NAME_BYTES];
  char domain[NAME_BYTES];
  int64_t born_ms;   /* wall time of its start: a new one is a new target */
  uint64_t sequence; /* of this report within the life */
  uint64_t cpu_milli;
  uint64_t memory_mb;
  uint64_t gpu;
  uint32_t slots;
  char labels[TARGET_LABEL_LIMIT][LABEL_BYTES];
  uint32_t label_count;
  bool draining;
};

enum target_phase
{
  TARGET_SYNCING, /* runs of an earlier owner may still be there */
  TARGET_READY,
  TARGET_UNREACHABLE /* does not answer; its runs may go on */
};

struct run_job;

/* A run on a target.  */
struct run_place
{
  struct run_job *job;
  uint32_t task;
};

struct run_target
{
  struct run_target_spec spec;
  enum target_phase phase;
  bool releasing; /* is to be handed over: no new starts */
  struct target_health health;
  int64_t full_until_ms; /* it said that it has no room */

  /* in use */
  uint64_t cpu_used;
  uint64_t memory_used;
  uint64_t gpu_used;
  struct run_place runs[TARGET_RUN_LIMIT];
  uint32_t run_count;

  void *holder; /* the controller's */
};

/* Whether ONE and OTHER are the same life of a target.  */
bool run_target_spec_is_same (const struct run_target_spec *one,
                              const struct run_target_spec *other);

bool run_target_has_label (const struct run_target *t, const char *label);

/* Whether T is on the rack of the data of STEP, or it has none.  */
bool run_target_has_data (const struct run_target *t,
                          const struct job_step *step);

/* Whether one more task of step STEP of JOB is allowed beside those that run
   on T.  */
bool run_target_below_step_limit (const struct run_target *t,
                                  const struct run_job *job,
                                  const struct job_step *step,
                                  uint32_t number);

/* Whether a task of STEP could ever run on T.  */
bool run_target_could_run (const struct run_target *t,
                           const struct job_step *step);

/* Whether a task of STEP may be started on T now.  */
bool run_target_may_start (const struct run_target *t,
                           const struct job_step *step, int64_t now_ms);

/* How badly a task of STEP would fit: the lowest fits best.  The room that is
   left over counts, and beside it a slow or lately failing target.  */
double run_target_cost (const struct run_target *t,
                        const struct job_step *step, int64_t now_ms);

void run_target_reserve (struct run_target *t, const struct job_step *step,
                         struct run_job *job, uint32_t task);
void run_target_release (struct run_target *t, const struct job_step *step,
                         const struct run_job *job, uint32_t task);

#endif
