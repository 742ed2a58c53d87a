/* Dispatches volatile jobs to the targets that this VM owns: carries out the
   scheduler's decisions.  The jobs come from callers of this VM and from other
   entries, their coordinators.

   A job runs under a lease that the entry of its caller renews
   (coord/job_lease): the leases of targets end with it, whatever happens to
   this process, so that nothing of the job runs when its caller retries at
   another entry.  When a coordinator's connection ends, or a lease is about to
   end, the runs are stopped at once.  */
#ifndef CONTROLLER_DISPATCHER_H
#define CONTROLLER_DISPATCHER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "controller/dispatch_capacity.h"
#include "controller/target_port.h"
#include "controller/target_runner.h"
#include "coord/dispatch_stop.h"
#include "coord/evacuation.h"
#include "coord/owner_plan.h"
#include "coord/run_scheduler.h"
#include "net/peer_conn.h"

/* A target that the keepers' leader has assigned to this VM.  */
struct owned_target
{
  struct run_target_spec spec;
  uint64_t fencing_token;
  bool release; /* to be handed over once nothing runs there */
};

/* Called when a local job ends.  For a refused job, REASON says why and
   RETRY_MS after what delay the caller should retry.  WAITED_MS is the time
   until the job's first task was started, or -1 if none was.  */
typedef void (*dispatch_done) (void *arg, enum job_result result,
                               enum refusal_reason reason, int64_t retry_ms,
                               int64_t waited_ms);

struct dispatch_job;

struct coordinator;

/* Callbacks that delegate tasks to other dispatchers; NULL where there is no
   delegation.  */
struct dispatch_delegation
{
  /* Called after each scheduling pass: delegates waiting tasks.  */
  void (*delegate) (void *arg, int64_t now_ms);

  /* Cancels the delegated tasks of J.  */
  void (*revoke) (void *arg, struct run_job *j);
  void *arg;
};

struct dispatcher
{
  struct run_scheduler scheduler;
  struct target_runner_setup setup;
  struct target_runner **runners;
  uint32_t runner_count;
  struct coordinator *coordinators;
  struct dispatch_delegation delegation;
  struct event *pass; /* coalesces a burst of changes into one pass */
  struct event *tick;
  struct evacuation_set evacuations; /* its domains get no starts */
  bool pass_requested;
  struct dispatch_stop stop;
  int64_t delay_ms; /* added to the expected wait in its capacity reports */
};

/* LEASE_LIMIT_MS is the longest lease to request from targets.  */
void dispatcher_init (struct dispatcher *d, struct event_base *base,
                      const struct target_port_ops *ops,
                      int64_t lease_limit_ms);
void dispatcher_done (struct dispatcher *d);

/* Schedules a pass over the waiting jobs, to run from the event loop.  */
void dispatcher_request_pass (struct dispatcher *d);

/* Sets the targets that this VM owns to TARGETS.  Targets that are not among
   them are removed, and what runs there ends with an unknown outcome.  */
void dispatcher_set_targets (struct dispatcher *d, int64_t now_ms,
                             const struct owned_target *targets,
                             uint32_t count);

/* Replaces the set of evacuated failure domains by SET if that is newer, and
   returns whether it was.  Nothing is started any more on their targets, and
   they count as no capacity.  What runs there goes on; jobs of which no task
   has started and that fit nowhere else here are refused.  */
bool dispatcher_set_evacuations (struct dispatcher *d, int64_t now_ms,
                                 const struct evacuation_set *set);

/* The ownership state of TARGET to report to the keepers' leader.  */
enum owned_state dispatcher_owned_state (const struct dispatcher *d,
                                         const struct owned_target *target);

/* Submits a job of a caller of this VM.  If it is refused, returns NULL, sets
   *REASON and *RETRY_MS, and never calls DONE.  Otherwise DONE is called
   once, unless the job is cancelled.  */
struct dispatch_job *dispatcher_submit (struct dispatcher *d, int64_t now_ms,
                                        const struct job_spec *spec,
                                        dispatch_done done, void *arg,
                                        enum refusal_reason *reason,
                                        int64_t *retry_ms);

/* Extends the lease of J, a job of a caller of this VM, to END_MS.  */
void dispatcher_extend_lease (struct dispatch_job *j, int64_t end_ms);

/* Cancels J, stops its runs and frees it.  DONE is not called.  WHY is for the
   event log.  */
void dispatcher_cancel (struct dispatcher *d, int64_t now_ms,
                        struct dispatch_job *j, const char *why);

/* Handles a job, a cancellation or a keepalive from an entry.  Returns false
   for any other type of message.  */
bool dispatcher_receive (struct dispatcher *d, int64_t now_ms,
                         struct peer_conn *from, const struct peer_message *m);

/* Cancels the jobs of the entry whose connection FROM has ended.  */
void dispatcher_peer_disconnected (struct dispatcher *d, int64_t now_ms,
                                   const struct peer_conn *from);

/* Starts a graceful stop, in which the results of jobs are known by END_MS:
   jobs are accepted and started as coord/dispatch_stop allows, the others are
   refused.  */
void dispatcher_leave (struct dispatcher *d, int64_t now_ms, int64_t end_ms);

/* The number of jobs without a result.  */
uint32_t dispatcher_open_jobs (const struct dispatcher *d);

/* Fills in CAPACITIES, one for each service with usable targets, at most
   LIMIT.  Returns their number, 0 once this dispatcher stops and accepts
   nothing more.  */
uint32_t dispatcher_capacity (const struct dispatcher *d, int64_t now_ms,
                              struct dispatch_capacity *capacities,
                              uint32_t limit);

#endif
