/* Manages one target that this VM owns: stops the runs that an earlier owner
   left there, sends the starts and stops that the scheduler
   (coord/run_scheduler) decides, polls for ended runs, renews the leases of
   running ones, and finds out what became of calls that got no reply.  */
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
  /* Tasks may start or jobs may end: a scheduling pass is due.  */
  void (*changed) (void *arg);
  /* The target has another owner or has restarted: R sends no more calls and
     is to be removed.  */
  void (*lost) (void *arg, struct target_runner *r);
};

/* Shared by all runners of a dispatcher.  */
struct target_runner_setup
{
  struct event_base *base;
  const struct target_port_ops *ops;
  struct run_scheduler *scheduler;
  int64_t lease_ms; /* the longest lease to request for running tasks */
  const struct target_runner_events *events;
  void *arg;
};

struct target_runner
{
  const struct target_runner_setup *setup;
  struct run_target *target;
  struct target_port *port;
  struct event *timer;
  struct run_call *calls; /* start and stop calls in flight */

  uint64_t fencing_token;
  struct target_clock clock;

  /* status polls */
  bool polling;
  bool polled;     /* a poll was answered: no earlier owner extends leases */
  bool poll_again; /* a stop was answered while a poll was in flight */
  int64_t poll_sent_ms;
  uint64_t received_number;    /* the highest end received */
  uint64_t acked_number;       /* the highest end acknowledged in a poll */
  int64_t unanswered_since_ms; /* 0: the last call was answered */
  uint32_t unanswered_calls;   /* in a row, without an answer */

  int64_t stops_resent_ms;
  bool lost;
};

/* SETUP must outlive the runner.  */
void target_runner_init (struct target_runner *r,
                         const struct target_runner_setup *setup,
                         struct run_target *t, uint64_t fencing_token);
void target_runner_done (struct target_runner *r);

/* The time until every lease requested from R's target has expired; 0 if they
   have.  */
int64_t target_runner_lease_ms (const struct target_runner *r, int64_t now_ms);

/* Sends the start of task TASK of J.  */
void target_runner_start (struct target_runner *r, int64_t now_ms,
                          struct run_job *j, uint32_t task);

/* Sends a stop for run RUN of the task called NAME.  It is sent again until
   the target has answered.  */
void target_runner_stop (struct target_runner *r, const char *name,
                         uint64_t run);

#endif
