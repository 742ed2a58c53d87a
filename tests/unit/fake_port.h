/* A target port without a network: each target is a table of runs, and the
   test decides when a run ends.  Answers are delivered from the event loop, as
   those of a real port are.  */
#ifndef UNIT_FAKE_PORT_H
#define UNIT_FAKE_PORT_H

#include "controller/target_port.h"

enum
{
  FAKE_RUN_LIMIT = 64,
  FAKE_TARGET_LIMIT = 8
};

struct fake_run
{
  char task[TASK_NAME_BYTES];
  uint64_t run;
  bool running;
  enum run_end how;
  uint64_t end_number; /* counts the ends on the target; 0 while it runs */
};

/* The state of a target; it persists when ports to it are closed.  */
struct fake_target
{
  char id[RUN_TARGET_ID_BYTES];
  uint64_t fencing_token; /* the highest that was received */
  uint64_t last_end;      /* the highest end_number */
  struct fake_run runs[FAKE_RUN_LIMIT];
  uint32_t run_count;
  uint32_t starts;              /* starts carried out */
  int64_t lease_end_ms;         /* no run counts as running after it */
  int64_t lease_limit_ms;       /* a longer lease is shortened; 0: none is */
  uint32_t restarts;            /* under the same id and address */
  int64_t clock_zero_ms;        /* its clock was 0 then */
  int64_t slow_since_ms;        /* its clock was right then */
  int64_t slow_percent;         /* by which its clock runs slow since then */
  uint32_t max_concurrent_runs; /* most runs of one task at a time, over all
                                   targets */
  bool unresponsive;            /* carries out calls but does not answer */
  bool has_connections;         /* a start on a port that was opened before the
                                   last restart is never sent */
  uint32_t lose_starts;         /* this many of the next starts are lost */
  uint32_t lose_stops;          /* likewise for stops */
};

extern const struct target_port_ops fake_port_ops;

/* Removes all targets.  */
void fake_port_reset (void);

/* The target called ID, which is created if it does not exist.  */
struct fake_target *fake_port_target (const char *id);

/* Restarts T under its id: it knows nothing of before, its clock starts anew,
   and the calls in flight get no answer.  Ports that were opened before learn
   it from their next poll.  */
void fake_port_restart (struct fake_target *t);

/* Ends the run of TASK on T, if there is one, with result HOW.  */
void fake_port_end_run (struct fake_target *t, const char *task,
                        enum run_end how);

/* When T's lease ends, on the clock of the VMs.  */
int64_t fake_port_lease_end_ms (const struct fake_target *t);

/* Ends the runs of T if its lease has expired, as a target does by itself.  */
void fake_port_check_lease (struct fake_target *t);

/* The number of runs of TASK that are in progress, on all targets.  */
uint32_t fake_port_running (const char *task);

/* The number of starts carried out, of all tasks on all targets.  */
uint32_t fake_port_starts (void);

#endif
