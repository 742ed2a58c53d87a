/* A target that runs tasks under leases, as seen by the dispatcher that owns
   it: its capacity, its runs, and whether it accepts starts.  */
#ifndef COORD_RUN_TARGET_H
#define COORD_RUN_TARGET_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "coord/job_spec.h"
#include "coord/target_health.h"
#include "coord/target_speed.h"

enum
{
  RUN_TARGET_ID_BYTES = 64,
  TARGET_LABEL_LIMIT = 8,
  TARGET_RUN_LIMIT = 64,

  /* A target that reports to be cold for longer counts as warm: no target
     takes a day to warm up.  */
  RUN_TARGET_COLD_LIMIT_MS = 24 * 3600 * 1000
};

/* What a target reports about itself in its heartbeats.  */
struct run_target_spec
{
  char id[RUN_TARGET_ID_BYTES];
  char address[64]; /* IP address and port */
  char service[CONFIG_NAME_BYTES];
  char domain[NAME_BYTES];
  int64_t started_ms; /* wall time of its start; identifies the incarnation */
  uint64_t sequence;  /* number of this report within the incarnation */
  uint64_t cpu_milli;
  uint64_t memory_mb;
  uint64_t gpu;
  uint32_t slots;
  char labels[TARGET_LABEL_LIMIT][LABEL_BYTES];
  uint32_t label_count;
  bool draining;
  int64_t cold_until_ms; /* on this VM's clock: it runs slowly until then */
};

enum target_phase
{
  TARGET_SYNCING, /* runs of an earlier owner may still be active there */
  TARGET_READY,
  TARGET_UNREACHABLE /* does not answer; its runs may still be active */
};

struct run_job;

/* Identifies a run on a target by its task.  */
struct run_ref
{
  struct run_job *job;
  uint32_t task;
};

struct run_target
{
  struct run_target_spec spec;
  enum target_phase phase;
  bool releasing; /* to be handed to another owner: no new starts */
  bool evacuated; /* its failure domain is: no new starts */
  struct target_health health;
  struct target_speed speed;
  double speed_factor;   /* on run times, by run_speeds; 1 if not in effect */
  int64_t full_until_ms; /* no starts before; it refused one as full */
  int64_t lease_end_ms;  /* all leases requested so far are over by then */

  /* in use */
  uint64_t cpu_used;
  uint64_t memory_used;
  uint64_t gpu_used;
  struct run_ref runs[TARGET_RUN_LIMIT];
  uint32_t run_count;

  void *user_data; /* pointer of the controller */
};

/* Whether ONE and OTHER are the same incarnation of a target.  */
bool run_target_spec_same_incarnation (const struct run_target_spec *one,
                                       const struct run_target_spec *other);

/* Whether the target is cold at NOW_MS.  */
bool run_target_spec_is_cold (const struct run_target_spec *s, int64_t now_ms);

/* Whether SPEC, a later report than KNOWN, says that the target stays cold for
   longer, by more than reports of the same state differ.  */
bool run_target_spec_became_cold (const struct run_target_spec *known,
                                  const struct run_target_spec *spec,
                                  int64_t now_ms);

/* Whether T has LABEL; true if LABEL is empty.  */
bool run_target_has_label (const struct run_target *t, const char *label);

/* Whether T is on the rack of STEP's data, or STEP has no data rack.  */
bool run_target_has_data (const struct run_target *t,
                          const struct job_step *step);

/* The number of further runs of step I of SPEC that T may get by the step's
   own limit of runs on a target.  The runs of all parts of the job count.  */
uint32_t run_target_step_capacity (const struct run_target *t,
                                   const struct job_spec *spec, uint32_t i);

/* Whether a task of STEP fits on T when nothing else runs there.  */
bool run_target_could_run (const struct run_target *t,
                           const struct job_step *step);

/* Whether T accepts starts at NOW_MS and has free capacity for a task of STEP
   of a job whose lease ends at LEASE_END_MS.  */
bool run_target_may_start (const struct run_target *t,
                           const struct job_step *step, int64_t lease_end_ms,
                           int64_t now_ms);

/* The cost of placing a task of STEP on T: the share of T's cores that would
   be left free (best fit), plus penalties for a slow or cold target and for
   recent faults.  The target with the lowest cost is preferred.  */
double run_target_cost (const struct run_target *t,
                        const struct job_step *step, int64_t now_ms);

/* Adds a run of TASK of JOB to T and reserves the capacity for it.  */
void run_target_reserve (struct run_target *t, const struct job_step *step,
                         struct run_job *job, uint32_t task);

/* Removes the run and releases its capacity.  */
void run_target_release (struct run_target *t, const struct job_step *step,
                         const struct run_job *job, uint32_t task);

#endif
