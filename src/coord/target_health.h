/* Outlier detection: whether a target fails, stalls or slows its runs.

   Load pattern: a target that fails every task immediately always has free
   capacity, so under load it attracts more tasks than any other.  A target
   with faults of two jobs in a row (failed, stalled or not startable runs) is
   ejected: it gets single runs as probes, with growing pauses, until one
   succeeds.  Only a share of the targets is ejected at a time, since when many
   fail the jobs are at fault.  */
#ifndef COORD_TARGET_HEALTH_H
#define COORD_TARGET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct target_health
{
  uint32_t fault_streak; /* faults since a success; see target_health_fault */
  uint64_t last_fault_job; /* the job of the latest fault */
  bool ejected;
  int64_t probe_at_ms;    /* time of the next probe, while ejected */
  int64_t pause_ms;       /* until the next probe; doubles with each */
  double slowness;        /* ratio of actual to expected run time */
  int64_t slowness_at_ms; /* when slowness was last updated */
};

void target_health_init (struct target_health *h);

/* Records that a run of JOB failed, stalled or could not be started.  Several
   faults of one job in a row count once.  */
void target_health_fault (struct target_health *h, int64_t now_ms,
                          uint64_t job);

/* Records that a run succeeded after RATIO times its expected time, which
   readmits the target.  */
void target_health_success (struct target_health *h, int64_t now_ms,
                            double ratio);

/* Records that a run, by its progress, will take RATIO times its expected
   time.  */
void target_health_progress (struct target_health *h, int64_t now_ms,
                             double ratio);

/* The estimated ratio of actual to expected run times.  It decays to 1 while
   there are no new observations, so that a slow target is tried again.  */
double target_health_slowness (const struct target_health *h, int64_t now_ms);

/* Whether the target has enough faults to be ejected.  The caller must check
   target_health_ejected_limit.  */
bool target_health_should_eject (const struct target_health *h);

void target_health_eject (struct target_health *h, int64_t now_ms);

/* Whether a run may be started on the target, which has RUNNING runs: always
   unless it is ejected, else only a single probe when it is due.  */
bool target_health_admits (const struct target_health *h, int64_t now_ms,
                           uint32_t running);

/* Records that a run was started; if ejected, this was a probe and the next
   one is scheduled.  */
void target_health_run_started (struct target_health *h, int64_t now_ms);

/* The number of targets of TOTAL that may be ejected at once.  */
uint32_t target_health_ejected_limit (uint32_t total);

#endif
