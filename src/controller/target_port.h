/* The interface through which a dispatcher calls targets that run tasks under
   leases.  An adapter implements it for a platform's protocol; the tests use
   an in-memory implementation.

   A target stores the highest fencing token it has seen and rejects calls
   with a lower one.  Lease end times are on the target's own clock.

   A call that requests a lease is carried out by the incarnation that the port
   knows, or never (coord/target_channel).  The port knows the incarnation that
   its target was opened with or, if that is not named, the first to answer; an
   answer of any other one is PORT_OTHER_INCARNATION.  */
#ifndef CONTROLLER_TARGET_PORT_H
#define CONTROLLER_TARGET_PORT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "coord/run_scheduler.h"

/* The outcome of a call.  */
enum port_outcome
{
  PORT_DONE,
  PORT_FENCED,  /* rejected: the target has seen a higher fencing token */
  PORT_OLD_RUN, /* rejected: the run number is not above the task's last */
  PORT_LEASE_EXPIRED, /* rejected: the lease had ended before the call came */
  PORT_NO_CAPACITY,   /* rejected: not enough free capacity */
  PORT_UNHEALTHY,     /* rejected: the target accepts no calls now */
  PORT_OTHER_INCARNATION, /* rejected: the target has restarted since */
  PORT_INVALID,           /* rejected as malformed */
  PORT_NOT_SENT,          /* and never will be */
  PORT_NO_ANSWER          /* may have been carried out, or may still be */
};

const char *port_outcome_name (enum port_outcome o);

/* The connection that carried a call.  A target that restarts closes those
   that it had, so the answers on one all come from one incarnation.  */
struct port_connection
{
  uint16_t local_port; /* 0: not yet open when the call was made */
  uint32_t answers;    /* that had been read on it when the call was made */
};

struct port_reply
{
  enum port_outcome outcome;
  bool has_clock;
  int64_t clock_ms;   /* the target's clock when it replied */
  int64_t started_ms; /* the incarnation that replied; 0 if it did not tell */
  int64_t sent_ms;
  int64_t received_ms;
  struct port_connection connection;
  bool never_sent; /* the outcome was known before the call was sent */
};

struct port_start
{
  const char *task;
  uint64_t run;
  uint64_t fencing_token;
  int64_t lease_end_ms; /* on the target's clock */
  struct run_job *job;  /* read for its payload; wire_payload may be set */
};

struct port_running
{
  char task[TASK_NAME_BYTES];
  uint64_t run;
  uint32_t percent; /* progress */
};

struct port_end
{
  uint64_t number; /* increases by one with each end, per incarnation */
  char task[TASK_NAME_BYTES];
  uint64_t run;
  enum run_end how;
};

struct port_poll_request
{
  uint64_t fencing_token;
  uint64_t acked_number; /* acknowledges ends up to this number */
  int64_t lease_end_ms;  /* new end of all runs' leases; 0: no renewal */
  int64_t wait_ms;       /* long poll: longest wait for a run to end */
};

struct port_poll_reply
{
  struct port_reply reply;
  const struct port_running *running;
  uint32_t running_count;
  const struct port_end *ends;
  uint32_t end_count;
};

typedef void (*port_done) (void *arg, const struct port_reply *reply);
typedef void (*port_poll_done) (void *arg, const struct port_poll_reply *poll);

struct target_port;

struct target_port_ops
{
  /* Creates the port of target T.  Never fails: an unreachable target shows in
     the outcomes of the calls.  */
  struct target_port *(*open) (struct event_base *base,
                               const struct run_target_spec *t);
  /* Frees the port.  No callback is called after this.  */
  void (*close) (struct target_port *p);

  /* Each callback is called exactly once, after the call has returned.  */
  void (*start) (struct target_port *p, const struct port_start *s,
                 port_done done, void *arg);
  void (*stop) (struct target_port *p, const char *task, uint64_t run,
                uint64_t fencing_token, port_done done, void *arg);
  void (*poll) (struct target_port *p, const struct port_poll_request *request,
                port_poll_done done, void *arg);
};

#endif
