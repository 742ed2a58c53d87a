/* A simulation, in virtual time, of the permission to run a task: callers,
   VMs that are entry and dispatcher, delegation, and targets with one lease
   for all their runs.  VMs stall, are killed or lose power; connections end,
   go silent or are cut in one direction; calls to targets are lost, answered
   late or carried out late; targets change their owner or restart; callers
   leave at any time and submit the same task again.  The decisions are those
   of coord/job_lease, coord/target_lease and coord/target_clock.

   Checked at every step: a task runs on one target at a time, no run goes on
   MODEL_RETRY_MS after its caller saw its attempt fail, and no lease counts
   from a time after the end of its caller's connection had arrived.  */
#ifndef UNIT_LEASE_MODEL_H
#define UNIT_LEASE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  MODEL_RETRY_MS = 1300 /* after which a caller submits its task again */
};

/* A mechanism to switch off, to check that the simulation detects that.  */
enum lease_defect
{
  LEASE_NO_DEFECT,
  LEASE_IGNORES_JOB,      /* a target's lease is renewed to its full length */
  LEASE_DELEGATE_FULL,    /* a dispatcher grants its delegate a full lease */
  LEASE_STOPPING_IGNORED, /* ... without regard to runs that are stopped */
  LEASE_START_ANYWHERE,   /* a task starts under a lease that is longer */
  LEASE_ECHO_LATEST,      /* a lease counts from the latest stamp */
  LEASE_ECHO_TICK,        /* ... from the latest one before the last tick, but
                             callers that have left are not dropped there */
  LEASE_ECHO_TWO_TICKS,   /* ... before the last tick but one, likewise */
  LEASE_ACCEPTS_LEFT,     /* jobs of callers that have left are accepted */
  LEASE_BY_ARRIVAL,       /* a lease counts from the arrival of its grant */
  LEASE_OWNER_FORGETS,    /* a new owner takes a target to have no lease */
  LEASE_ANY_INCARNATION,  /* a lease is requested whoever is at the other end
                             of the connection */
  LEASE_DEFECTS
};

/* What a run of the simulation did and found.  */
struct lease_run
{
  uint64_t steps;
  uint32_t faults;       /* injected */
  uint32_t attempts;     /* submitted by callers */
  uint32_t starts;       /* carried out by targets */
  uint32_t delegated;    /* tasks */
  uint32_t done;         /* attempts that succeeded */
  uint32_t failed;       /* attempts that the system gave up */
  uint32_t lapsed;       /* runs that ended with their lease */
  int64_t latest_ms;     /* longest that a run went on after its caller saw
                            the failure */
  const char *violation; /* the first failed check, or NULL */
};

/* Runs the simulation with SEED, with or without faults.  */
struct lease_run lease_model_run (uint64_t seed, bool with_faults,
                                  enum lease_defect defect);

#endif
