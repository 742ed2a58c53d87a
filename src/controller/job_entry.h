/* An entry of an open deployment: accepts jobs from callers, sends each one to
   a dispatcher, its own or that of another entry, and answers the caller when
   the job has ended.  It receives its targets and the dispatchers from the
   keepers' leader, and the configuration from any keeper.  */
#ifndef CONTROLLER_JOB_ENTRY_H
#define CONTROLLER_JOB_ENTRY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/node_settings.h"
#include "controller/dispatcher.h"
#include "controller/delegation_controller.h"
#include "controller/withdrawn_record.h"
#include "coord/job_lease.h"
#include "coord/job_router.h"
#include "coord/vm_load.h"
#include "coord/service_config.h"
#include "net/peer_network.h"

/* Initialises CONFIG and decodes TEXT into it; the caller frees it with
   service_config_done.  Returns false with E set and CONFIG empty, with
   nothing to free, if TEXT is invalid.  */
typedef bool (*config_decode) (const char *text, size_t length,
                               struct service_config *config, struct error *e);

/* The answer to a caller.  */
struct job_answer
{
  enum job_result result;
  enum refusal_reason reason;
  int64_t retry_ms; /* if refused: the delay after which to retry */
};

typedef void (*job_answered) (void *arg, const struct job_answer *a);

/* Cancels the jobs of all callers whose connections have ended, read or not.
   Returns false if that could not be determined.  */
typedef bool (*callers_drop) (void *arg, int64_t now_ms);

struct routed_job;

enum
{
  ENTRY_DISPATCHER_LIMIT = 128,
  ENTRY_KEEPER_LIMIT = 32
};

struct job_entry
{
  struct event_base *base;
  const struct node_settings *settings;
  uint64_t boot_id;
  config_decode decode;
  struct peer_network *network;
  struct dispatcher dispatcher;
  struct delegation_controller delegation;
  struct event *tick;
  callers_drop drop_callers; /* or NULL */
  void *drop_callers_arg;

  /* received from the keepers */
  struct service_config config;
  uint64_t assignment_term;
  uint64_t assignment_number;
  int64_t assignment_received_ms; /* when the keepers' leader last sent one */
  struct owned_target *targets;
  uint32_t target_count;
  bool had_assignment;     /* received one since the process started */
  char leader[NAME_BYTES]; /* the keeper that sent it; "" before the first */
  struct route_dispatcher dispatchers[ENTRY_DISPATCHER_LIMIT];
  uint32_t dispatcher_count;
  char keepers[ENTRY_KEEPER_LIMIT][NAME_BYTES];
  uint32_t keeper_count;

  /* jobs without an answer */
  struct routed_job *jobs;
  uint32_t job_count;
  uint64_t next_id;
  int64_t lease_limit_ms;     /* of a job's lease */
  struct lease_echo own_echo; /* the times of the ticks of this entry */

  /* ids of withdrawn jobs */
  struct withdrawn_jobs withdrawn;
  struct withdrawn_feed withdrawn_feed; /* to the keepers */
  uint32_t withdrawn_tries;             /* calls that were not answered */

  /* periodic work and what was last sent */
  int64_t last_tick_ms;
  int64_t last_heartbeat_ms;  /* 0: send one at the next tick */
  uint32_t released_reported; /* number of targets last reported as released */
  uint64_t targets_sent_term; /* the leader's term when they were last sent */
  bool targets_changed;       /* the owned targets are to be sent again */

  struct vm_load load;

  /* stopping */
  bool leaving;
  int64_t leaving_since_ms;
  bool stopped; /* no further calls to peers */
};

/* Starts the entry: listens for peers and connects to the seeds.  BASE and S
   must outlive N.  Returns false with E set on failure.  */
bool job_entry_start (struct job_entry *n, struct event_base *base,
                      const struct node_settings *s, uint64_t boot_id,
                      const struct target_port_ops *ops, config_decode decode,
                      struct error *e);
void job_entry_done (struct job_entry *n);

/* The configuration in force; version 0 until the first is received.  */
const struct service_config *job_entry_config (const struct job_entry *n);

/* Whether this entry can accept jobs from callers.  */
bool job_entry_is_ready (const struct job_entry *n);

/* Sets the function that is called at each tick, before leases are renewed;
   NULL for none.  */
void job_entry_set_callers_drop (struct job_entry *n, callers_drop drop,
                                 void *arg);

/* Submits a job of a caller that is connected now and sent its request after
   SENT_AFTER_MS.  ANSWERED is called exactly once, after this function has
   returned, unless the job is cancelled.  */
struct routed_job *job_entry_submit (struct job_entry *n, int64_t now_ms,
                                     int64_t sent_after_ms,
                                     const struct job_spec *spec,
                                     job_answered answered, void *arg);

/* Sends SPEC, a part of PARENT, to the dispatcher D under what is left of the
   lease of PARENT, which must outlive the part.  It is not tried elsewhere: a
   refusal by D is the answer.  */
struct routed_job *job_entry_submit_part (struct job_entry *n, int64_t now_ms,
                                          const struct job_spec *spec,
                                          const struct run_job *parent,
                                          const struct route_dispatcher *d,
                                          job_answered answered, void *arg);

/* The number of J among the jobs that N has sent.  */
uint64_t job_entry_job_id (const struct routed_job *j);

/* Cancels J, whose answer nobody waits for any more, and frees it.  ANSWERED
   is not called.  Returns false if a dispatcher may still have J and could not
   be sent the cancellation.  */
bool job_entry_cancel (struct job_entry *n, int64_t now_ms,
                       struct routed_job *j);

/* Cancels J at its caller's request, and remembers that.  The answer is
   JOB_UNKNOWN, since it may have run, with REFUSAL_WITHDRAWN.  */
void job_entry_withdraw (struct job_entry *n, int64_t now_ms,
                         struct routed_job *j);

/* To be called when the caller of the job KEY submits it again: it has lost
   its connection for the first attempt, which this entry may not have noticed.
   Withdraws the first attempt if it is open.  Returns whether it was: the
   second one must not be accepted then, since the first may have run.  */
bool job_entry_withdraw_repeated (struct job_entry *n, int64_t now_ms,
                                  const char *key);

/* Connects to the keepers that the settings list as seeds.  */
void job_entry_connect_seeds (struct job_entry *n);

/* The open job with KEY, or NULL.  */
struct routed_job *job_entry_find (const struct job_entry *n, const char *key);

/* The number of jobs of QUEUE at this entry's dispatcher of which no task has
   started.  */
uint32_t job_entry_waiting (const struct job_entry *n, const char *queue);

/* Whether this entry has sent jobs to VM that have not ended.  */
bool job_entry_has_jobs_at (const struct job_entry *n, const char *vm);

/* Starts a graceful stop: other entries take over its targets and new
   callers.  */
void job_entry_leave (struct job_entry *n, int64_t now_ms);

/* Answers all callers with JOB_UNKNOWN, since their jobs may have run, before
   the process exits.  */
void job_entry_abandon (struct job_entry *n, int64_t now_ms);

/* Whether the graceful stop is complete and the process may exit.  */
bool job_entry_may_exit (const struct job_entry *n, int64_t now_ms);

#endif
