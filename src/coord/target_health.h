/* What a dispatcher thinks of a target: whether it fails, stalls or slows
   what it runs, judged against its peers.

   Load pattern: under load a target that fails everything at once is always
   free, so it draws work like no other.  A target that has failed tasks of
   two jobs in a row, or left a run standing still, is ejected: it gets single
   runs as probes, with growing pauses, until one succeeds.  At most a share
   of the targets is ejected, since when many fail the jobs are at fault.  */
#ifndef COORD_TARGET_HEALTH_H
#define COORD_TARGET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct target_health
{
  uint32_t fault_streak;   /* faults of different jobs since a success */
  uint64_t last_fault_job; /* a job's faults count once in a row */
  bool ejected;
  int64_t probe_at_ms;    /* the next probe, while ejected */
  int64_t pause_ms;       /* until the probe after that */
  double slowness;        /* run time against expectation; 1 is ordinary */
  int64_t slowness_at_ms; /* when it was last seen */
};

void target_health_init (struct target_health *h);

/* A run of JOB failed, stalled or could not be started.  */
void target_health_fault (struct target_health *h, int64_t now_ms,
                          uint64_t job);

/* A run ended well after RATIO times its expected time.  */
void target_health_success (struct target_health *h, int64_t now_ms,
                            double ratio);

/* By its progress a run will take RATIO times its expected time.  */
void target_health_progress (struct target_health *h, int64_t now_ms,
                             double ratio);

/* How slow the target is taken to be: what was seen, fading to ordinary when
   nothing runs there, so that it is tried again.  */
double target_health_slowness (const struct target_health *h, int64_t now_ms);

/* Whether the target deserves to be ejected; the cap is the caller's.  */
bool target_health_should_eject (const struct target_health *h);

void target_health_eject (struct target_health *h, int64_t now_ms);

/* Whether a start is in order, with RUNNING runs there.  */
bool target_health_admits (const struct target_health *h, int64_t now_ms,
                           uint32_t running);

/* A probe was sent.  */
void target_health_probed (struct target_health *h, int64_t now_ms);

/* The number of targets of TOTAL that may be ejected at once.  */
uint32_t target_health_ejected_limit (uint32_t total);

#endif
