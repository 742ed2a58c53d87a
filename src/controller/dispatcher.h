/* Dispatches volatile jobs to the targets that this VM owns: carries out what
   the scheduler decides, for callers of this VM and for those that other
   entries hold (coordinators).

   A coordinator's jobs go on only while it is heard: when its connection ends
   or it has been silent for COORDINATOR_SILENT_MS, they are stopped, so that
   the caller's next attempt elsewhere does not find them running.  */
#ifndef CONTROLLER_DISPATCHER_H
#define CONTROLLER_DISPATCHER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "controller/dispatch_room.h"
#include "controller/target_port.h"
#include "controller/target_runner.h"
#include "coord/owner_plan.h"
#include "coord/run_scheduler.h"
#include "net/peer_conn.h"

/* A target that this VM is to own.  */
struct owned_target
{
  struct run_target_spec spec;
  uint64_t fence;
  bool release; /* to be handed over once nothing runs there */
};

/* How a local job ended.  WAITED_MS until the first start, or -1.  */
typedef void (*dispatch_done) (void *arg, enum job_result result,
                               enum refusal_reason reason, int64_t retry_ms,
                               int64_t waited_ms);

struct dispatch_job;

struct coordinator;

/* What lends tasks to other dispatchers; none where the functions are NULL. */
struct dispatch_lending
{
  /* Tasks may wait: lends what can be lent.  */
  void (*pass) (void *arg, int64_t now_ms);

  /* The lent tasks of J are no longer wanted.  */
  void (*recall) (void *arg, struct run_job *j);
  void *arg;
};

struct dispatcher
{
  struct run_scheduler scheduler;
  struct target_runner_setup setup;
  struct target_runner **runners;
  uint32_t runner_count;
  struct coordinator *coordinators;
  struct dispatch_lending lending;
  struct event *pass; /* one pass after a run of changes */
  struct event *tick;
  bool pass_wanted;
  bool leaving;
};

void dispatcher_init (struct dispatcher *d, struct event_base *base,
                      const struct target_port_ops *ops,
                      int64_t lease_limit_ms);
void dispatcher_done (struct dispatcher *d);

/* Looks over what waits once the loop is free.  */
void dispatcher_want_pass (struct dispatcher *d);

/* Owns ROWS and nothing else from now on.  */
void dispatcher_set_targets (struct dispatcher *d, int64_t now_ms,
                             const struct owned_target *rows, uint32_t count);

/* How the target of ROW is held.  */
enum owned_state dispatcher_owned_state (const struct dispatcher *d,
                                         const struct owned_target *row);

/* Takes a job of a caller of this VM.  Returns NULL with *REASON and *RETRY_MS
   set where it is refused: then DONE is not called.  Otherwise DONE is called
   once, unless the job is cancelled.  */
struct dispatch_job *dispatcher_submit (struct dispatcher *d, int64_t now_ms,
                                        const struct job_spec *spec,
                                        dispatch_done done, void *arg,
                                        enum refusal_reason *reason,
                                        int64_t *retry_ms);
void dispatcher_cancel (struct dispatcher *d, int64_t now_ms,
                        struct dispatch_job *j);

/* Takes a message of an entry: a job, its cancellation, or a sign of life.
   Returns false if it is none of these.  */
bool dispatcher_receive (struct dispatcher *d, int64_t now_ms,
                         struct peer_conn *from, const struct peer_message *m);
void dispatcher_peer_gone (struct dispatcher *d, int64_t now_ms,
                           const struct peer_conn *from);

/* Begins to leave: new jobs are refused, and so are those that have not
   begun.  */
void dispatcher_leave (struct dispatcher *d, int64_t now_ms);

/* Jobs that have no result yet.  */
uint32_t dispatcher_open_jobs (const struct dispatcher *d);

/* The rooms of up to LIMIT services.  Returns their number.  */
uint32_t dispatcher_rooms (const struct dispatcher *d,
                           struct dispatch_room *rooms, uint32_t limit);

#endif
