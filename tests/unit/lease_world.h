/* What the nodes of the simulation (lease_model) share: the network, the
   targets and the callers.  Times are true time, if not said otherwise; each
   VM and each target has its own clock.  */
#ifndef UNIT_LEASE_WORLD_H
#define UNIT_LEASE_WORLD_H

#include "coord/job_lease.h"
#include "coord/run_scheduler.h"
#include "coord/target_clock.h"
#include "tests/unit/lease_model.h"
#include "tests/unit/suites.h"

enum
{
  VMS = 4,
  TARGETS = 4,
  CALLERS = 16,
  CHANNELS = 64,
  SLOTS = 3, /* runs on a target at a time */

  TASKS = 4096,
  ATTEMPTS = 8192,
  RUN_RECORDS = 64,
  PACKETS = 256,
  GRANTS = 24,
  CALLS = 512,
  JOBS = 64, /* at a dispatcher, and of an entry */

  /* Sources of events of a VM's loop.  */
  EVENT_REPLIES = 0,                /* + VM: from a dispatcher */
  EVENT_JOBS = VMS,                 /* + VM: from an entry */
  EVENT_CHANNELS = 2 * VMS,         /* + channel: from a caller */
  EVENT_PORTS = 2 * VMS + CHANNELS, /* + target: an answer */
  EVENTS = EVENT_PORTS + TARGETS
};

enum message_kind
{
  MESSAGE_JOB,
  MESSAGE_CANCEL,
  MESSAGE_KEEPALIVE,
  MESSAGE_CAPACITY,
  MESSAGE_JOB_END,
  MESSAGE_CLOSED /* the connection has ended */
};

struct grant
{
  uint32_t id;
  int64_t ms;
};

struct message
{
  enum message_kind kind;
  int64_t echo_ms; /* on the dispatcher's clock: its own stamp */
  uint32_t id;
  int64_t lease_ms;
  uint32_t attempt;
  bool is_part;
  enum job_result result;
  struct grant grants[GRANTS];
  uint32_t grant_count;
};

struct packet
{
  uint32_t generation; /* of the connection */
  int64_t at_ms;
  struct message m;
};

/* What is under way to one side of the connections from one VM to another.  */
struct packet_queue
{
  struct packet packets[PACKETS];
  uint32_t count;
};

/* The connection from an entry to a dispatcher.  */
struct link
{
  uint32_t generation;
  bool silent; /* carries nothing any more */
  struct lease_echo echo;
  struct lease_stamp earlier; /* confirmed at the tick before the last one */
  int64_t heard_ms;           /* on the entry's clock */
};

/* One try of a caller to have a task run.  */
struct attempt
{
  uint32_t task;
  uint32_t caller;
  int64_t deadline_ms;
  int64_t failed_ms; /* when the caller saw it fail; INT64_MAX before */
  int64_t gone_ms;   /* when the end of its connection arrives; INT64_MAX */
};

/* A connection of a caller to an entry.  */
struct channel
{
  bool used;
  int vm;
  uint32_t attempt;
  int64_t request_ms; /* when the request arrives */
  bool read;
  int64_t gone_ms; /* when the end of the connection arrives */
};

struct caller
{
  bool waiting;    /* for an answer */
  int64_t next_ms; /* when it submits its task */
  bool retries;
  uint32_t task;
  uint32_t attempt;
};

/* A job that the entry of a VM has sent to a dispatcher.  */
struct routed_task
{
  bool used;
  uint32_t id;
  uint32_t attempt;
  int to;
  int parent; /* the job of which it is a delegated part, or -1 */
  uint32_t channel;
};

enum task_state
{
  TASK_WAITING,
  TASK_STARTING,
  TASK_RUNNING,
  TASK_STOPPING,
  TASK_DELEGATED
};

/* A job at a dispatcher.  */
struct local_job
{
  bool used;
  int from; /* the VM whose entry sent it */
  uint32_t generation;
  uint32_t id;
  uint32_t attempt;
  bool is_part;
  bool closed;
  bool started;
  enum task_state state;
  int64_t arrived_ms;
  int target;
  uint64_t run;
  int64_t start_answered_ms; /* 0 before */
  int64_t stop_answered_ms;  /* likewise */
  int64_t stop_sent_ms;
  struct run_job job; /* for its lease_end_ms */
};

/* A target as its owner sees it.  */
struct port
{
  bool owned;
  uint64_t token;
  uint32_t incarnation; /* the one that answers; 0: none has answered */
  struct run_target target;
  struct target_clock clock;
  bool polling;
  bool polled; /* a poll was answered */
  int64_t poll_sent_ms;
  int64_t next_poll_ms;
  int64_t unanswered_since_ms; /* 0: the last call was answered */
};

struct node
{
  bool up;
  int64_t start_ms; /* when it is started again */
  bool lost_power;
  int64_t clock_offset_ms;
  int64_t busy_until_ms; /* its loop does nothing before */
  int64_t stall_ms;      /* how long it stalls after the next event; or 0 */
  int64_t slow_until_ms; /* its passes take long until then */
  int64_t next_pass_ms;
  int64_t next_tick_ms;
  int64_t next_keepalive_ms;
  int ready[EVENTS]; /* the events of the current pass of its loop */
  uint32_t ready_count;
  bool in_pass;

  struct link links[VMS]; /* as an entry, to each dispatcher */
  struct routed_task routed[JOBS];
  struct local_job jobs[JOBS];
  struct port ports[TARGETS];
  uint32_t next_id;
};

struct run_record
{
  bool running;
  uint32_t attempt;
  uint64_t run;
  bool stopping;
  int64_t end_ms; /* when it is done or stopped */
  enum run_end how;
};

struct target
{
  uint32_t incarnation; /* the number of its restarts, plus 1 */
  int64_t started_ms;   /* its clock was 0 then */
  int64_t heard_ms;     /* when the keepers learn that it has restarted */
  int64_t slow_ppm;     /* its clock is slower by this */
  int64_t lease_end_ms; /* on its clock */
  uint64_t token;
  int owner;
  uint64_t owner_token;
  int64_t stops_lost_from_ms; /* until the storm ends; INT64_MAX: never */
  int64_t assigned_ms;        /* when it gets another owner; INT64_MAX */
  struct run_record runs[RUN_RECORDS];
  uint32_t run_count;          /* wraps around in RUNS */
  uint32_t highest_run[TASKS]; /* started or stopped */
};

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_POLL
};

enum call_outcome
{
  CALL_DONE,
  CALL_REJECTED,
  CALL_FENCED,
  CALL_NO_ANSWER
};

struct listed_run
{
  uint32_t attempt;
  uint64_t run;
};

struct call
{
  bool used;
  enum call_kind kind;
  int vm;
  int target;
  uint64_t token;
  uint32_t incarnation; /* at the other end of its connection; 0: whichever is
                           there when it arrives */
  uint32_t attempt;
  uint64_t run;
  int64_t lease_end_ms; /* on the target's clock; 0: none */
  int64_t sent_ms;      /* on the VM's clock */
  int64_t arrive_ms;
  int64_t answer_ms; /* INT64_MAX: no answer arrives */
  bool carried_out;
  bool abandoned; /* nobody waits for the answer */
  enum call_outcome outcome;
  int64_t clock_ms;
  uint32_t answered_by; /* the incarnation */
  struct listed_run running[SLOTS];
  uint32_t running_count;
};

/* Several faults in a row that hit the jobs of one entry.  */
struct storm
{
  int64_t end_ms;
  int entry;
  int64_t entry_ends_ms;
  int64_t stalls_ms[VMS]; /* when it stalls */
  int64_t delay_ms;       /* of its messages to dispatchers */
  int64_t give_up_chance; /* of its callers */
};

struct world
{
  int64_t now;
  bool with_faults;
  enum lease_defect defect;
  int64_t lease_ms; /* the longest that is requested from a target */
  struct prng prng;
  struct node nodes[VMS];
  struct target targets[TARGETS];
  struct caller callers[CALLERS];
  struct channel channels[CHANNELS];
  struct attempt attempts[ATTEMPTS];
  uint32_t attempt_count;
  uint32_t task_count;
  int64_t task_ms[TASKS];
  struct packet_queue queues[VMS][EVENT_CHANNELS]; /* by receiver, source */
  int64_t cut_until_ms[VMS][VMS];                  /* from, to */
  struct call calls[CALLS];
  int call_limit; /* no call from here on is used */
  struct storm storm;
  struct lease_run run;
};

/* A random number from 0 to LIMIT - 1.  */
int64_t world_random (struct world *w, int64_t limit);

/* Whether it happens, with a chance of 1 in N.  */
bool world_chance (struct world *w, int64_t n);

int64_t world_clock (const struct world *w, int vm);

/* The caller of ATTEMPT sees it fail now.  */
void world_attempt_failed (struct world *w, uint32_t attempt);

/* Sends M on the connection from the entry of VM ENTRY to the dispatcher of VM
   DISPATCHER, to the entry if REPLY.  */
void world_send (struct world *w, int entry, int dispatcher,
                 uint32_t generation, bool reply, const struct message *m);

/* Takes the next packet that has arrived at VM from SOURCE.  Returns false if
   there is none.  */
bool world_receive (struct world *w, int vm, int source, struct packet *p);

/* Whether world_receive would return true.  */
bool world_has_packet (const struct world *w, int vm, int source);

/* Sends the call C of VM to a target.  */
void world_call (struct world *w, int vm, struct call *c);

/* An answer of TARGET that has arrived at VM, or NULL.  */
struct call *world_answer (struct world *w, int vm, int target);

/* TARGET ends and starts again: it knows nothing of before.  */
void world_restart_target (struct world *w, int target);

/* Time passes at the targets: calls are carried out and runs end.  */
void world_targets_step (struct world *w);

/* How the run of a listed task ended on TARGET.  */
enum run_end world_run_end (const struct world *w, int target,
                            uint32_t attempt, uint64_t run);

#endif
