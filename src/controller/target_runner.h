/* Keeps one owned target in order: clears what an earlier owner left there,
   carries out starts and stops, looks for ends, renews the leases of what
   runs, and finds out what became of orders without an answer.  What to start
   and stop is decided by the scheduler (coord/run_scheduler).  */
#ifndef CONTROLLER_TARGET_RUNNER_H
#define CONTROLLER_TARGET_RUNNER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "controller/target_port.h"
#include "coord/run_scheduler.h"
#include "coord/target_clock.h"

struct run_call;
struct target_runner;

struct target_runner_events
{
  /* Something changed that may let tasks start or jobs end.  */
  void (*changed) (void *arg);
  /* The target obeys another owner, or has started anew; RUNNER is of no
     more use.  */
  void (*lost) (void *arg, struct target_runner *r);
};

/* What all runners of a dispatcher share.  */
struct target_runner_setup
{
  struct event_base *base;
  const struct target_port_ops *ops;
  struct run_scheduler *scheduler;
  int64_t lease_limit_ms;
  const struct target_runner_events *events;
  void *arg;
};

struct target_runner
{
  const struct target_runner_setup *setup;
  struct run_target *target;
  struct target_port *port;
  struct event *timer;
  struct run_call *calls; /* under way */

  uint64_t fence;
  struct target_clock clock;
  int64_t lease_end_ms; /* the latest asked for, on the target's clock */

  /* looking */
  bool looking;
  bool look_again; /* something was settled since the look was sent */
  int64_t look_sent_ms;
  uint64_t seen_number;    /* the highest end seen */
  uint64_t noted_number;   /* the highest end told as noted */
  int64_t silent_since_ms; /* 0: answers */
  uint32_t silent_calls;   /* without an answer since the last one */

  int64_t stop_again_ms;
  bool lost;
};

/* SETUP must outlive the runner.  */
void target_runner_init (struct target_runner *r,
                         const struct target_runner_setup *setup,
                         struct run_target *t, uint64_t fence);
void target_runner_done (struct target_runner *r);

/* Orders the start that the scheduler decided.  */
void target_runner_start (struct target_runner *r, int64_t now_ms,
                          struct run_job *j, uint32_t task);

/* Orders run RUN of the task called NAME to stop, again and again until the
   target has answered.  */
void target_runner_stop (struct target_runner *r, const char *name,
                         uint64_t run);

#endif
