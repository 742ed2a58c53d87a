/* Shared state and functions of the soak test of ragwort-node: the node
   processes, the fake workers, the fault proxy between them, the callers'
   jobs and the reports of violations.  */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <uthash.h>
#include "tests/soak/fake_worker.h"
#include "tests/soak/fault_proxy.h"

enum
{
  NODE_LIMIT = 64,
  WORKER_LIMIT = PROXY_LIMIT - NODE_LIMIT,
  TICK_MS = 10,
  HEARTBEAT_MS = 700,
  CHANGE_GAP_MS = 1100, /* mean interval of configuration changes */
  RESEND_MS = 1300,
  DEADLINE_MS = 2500,
  ANSWER_SLACK_MS = 700,
  SETTLE_MS = 8000,      /* before the first fault and after the last */
  FINAL_PHASE_MS = 4000, /* in which SERVED_PERCENT must be served */
  STOP_GRACE_MS = 6000,
  START_UP_MS = 5000, /* until a started process listens at the latest */
  APPLY_MS = 2000,    /* until every keeper has an acknowledged change */
  PEER_PORT = 18720,
  CALLER_PORT = 18721,
  READY_PORT = 18722,
  CONTROL_PORT = 18723,
  METRICS_PORT = 18724,
  WORKER_PORT = 18725,
  LISTEN_PORT = 18726, /* of VMs and targets, behind the fault proxy */
  DELAY_MAX_MS = 300,
  RECENTLY_LATE_MS = 2000,
  STALL_MIN_MS = 20,
  STALL_MAX_MS = 300,
  FULL_DISK_BYTES = 64,
  WIPE_GAP_MS = 8000, /* from a wiped disk to the next disk fault */
  SERVED_PERCENT = 90,
  JOB_TASKS_MAX = 4,
  NODE_HISTORY = 64,
  TEXT_BYTES = 1024
};

/* Something that happened to a node process.  */
struct node_event
{
  int64_t at_ms; /* since the start of the soak */
  const char *what;
};

struct node
{
  uint32_t index; /* also its index in the fault proxy */
  char address[32];
  char folder[256];
  uint32_t domain;
  pid_t pid; /* 0 while down */
  bool paused;
  bool stopping;
  int64_t fault_ms;         /* time of the last kill, pause or resume */
  int64_t until_ms;         /* when to resume or restart it, or, while
                               stopping, the end of its grace period */
  int64_t stalled_until_ms; /* end of a short stall, or 0 */
  int64_t start_ms;         /* time of the last start */
  int64_t listen_ms;        /* when an entry was first seen to listen for
                               callers after that, or 0 */
  bool disk_full;           /* writes to its disk fail */
  int64_t disk_full_until_ms;
  struct node_event history[NODE_HISTORY]; /* a ring */
  uint32_t history_count;
};

struct call;

/* One request of a caller for a job.  */
struct attempt
{
  struct node *entry;
  struct call *call; /* NULL once it has ended */
  int64_t sent_ms;
  int64_t written_ms; /* when its last byte went out, which is later where the
                         soak's own loop is late; 0: not yet */
  int64_t ended_ms;   /* 0 while it has no answer */
  int status;         /* 0 without an answer */
  bool stopping;      /* its entry was stopping or down when it was sent */
};

/* A job with all its attempts.  */
struct job
{
  char id[20];
  uint32_t task_count;
  uint32_t cpu_milli; /* of each task */
  int64_t length_ms;  /* likewise */
  uint32_t started;   /* tasks that workers started */
  uint32_t refused;
  struct attempt *attempts;
  uint32_t attempt_count;
  bool pending; /* an attempt has no final answer yet */
  UT_hash_handle hh;
};

/* A run on a worker.  */
struct live_run
{
  struct fake_worker *worker;
  struct worker_run run;
  struct job *job;
  struct node *starter; /* NULL if unknown */
  bool reported;        /* as one that outlives its caller's retry */
  struct live_run *prev;
  struct live_run *next;
};

struct soak
{
  /* options */
  const char *program;
  uint64_t seed;
  int first_net;   /* 127.0.N.x and the next two /24 nets are used */
  int64_t seconds; /* duration of the faults; main adds SETTLE_MS, which
                      makes it their end, counted from begin_ms */
  uint32_t keeper_count;
  uint32_t entry_count;
  uint32_t worker_count;
  uint32_t domain_count;
  uint32_t load_percent;     /* of the workers' slots */
  uint32_t calls_per_second; /* 0: fitted to load_percent */
  uint32_t run_min_ms;
  uint32_t run_max_ms;
  uint32_t fault_gap_ms; /* mean interval of faults */
  uint32_t stalls_per_second;
  uint32_t restart_percent; /* of faults: targets that restart behind a cut */
  bool keep_logs;

  struct event_base *base;
  uint32_t node_count;
  struct node nodes[NODE_LIMIT]; /* the keepers come first */
  struct fake_worker workers[WORKER_LIMIT];
  const struct node *last_starters[WORKER_LIMIT]; /* of a run on each worker */
  struct fault_proxy proxy;
  struct live_run *runs;
  int64_t begin_ms;
  int64_t fault_due_ms;
  uint32_t faults;
  uint32_t violations;
  uint32_t changes_acked;

  /* Faults, stalls and load have separate generators, since the number of
     draws for the load depends on the answers.  Thus a seed draws the same
     faults in each run, as long as the nodes and workers are in the same state
     when they are drawn.  */
  uint64_t fault_random;
  uint64_t stall_random;
  uint64_t load_random;
};

extern struct soak soak;

/* Reads the options into SOAK, and fits the calls per second to the load.  */
void soak_parse_options (int argc, char **argv);

/* Returns a random number below LIMIT: soak_random_fault for the faults,
   soak_random_stall for stalls of processes, soak_random_load for callers,
   operators and heartbeats.  */
uint32_t soak_random_fault (uint32_t limit);
uint32_t soak_random_stall (uint32_t limit);
uint32_t soak_random_load (uint32_t limit);

int64_t soak_elapsed_ms (void);

/* Returns by how much the soak's own loop was late in the last
   RECENTLY_LATE_MS at most.  */
int64_t soak_recently_late_ms (void);

/* Returns the time of the last tick.  What the loop handles now may have come
   at any time since then.  */
int64_t soak_last_tick_ms (void);
bool soak_faults_ended (void);

/* soak_violation prints and counts a broken guarantee; soak_log prints an
   event.  */
void soak_violation (const char *what, const char *id);
void soak_log (const char *what, const char *id);

/* The same for a guarantee broken for job J, with the history of its
   attempts.  */
void soak_job_violation (const char *what, const struct job *j);

/* node processes */
bool soak_is_keeper (const struct node *n);
bool soak_is_disturbed (const struct node *n);
struct node *soak_node_at (const char *address);
void soak_node_event (struct node *n, const char *what);
void soak_start_node (struct node *n, bool first);
void soak_kill_node (struct node *n);
void soak_pause_node (struct node *n);
void soak_stop_node (struct node *n);

/* Kills N such that its peers and targets see no end of their
   connections.  */
void soak_power_off_node (struct node *n);

/* Resumes paused nodes and restarts ended ones when their time has come, and
   reaps the processes that have ended.  */
void soak_update_nodes (int64_t now_ms);

/* Stops random processes for a fraction of a second, as a busy machine
   does.  */
void soak_stall_nodes (int64_t now_ms);
void soak_remove_folder (const char *folder);

/* Returns the index in the fault proxy of worker number I.  */
int soak_worker_index (uint32_t i);

/* Returns the index of the VM that opened the connection from CLIENT to the
   target at SERVER with REQUEST, or -1 if unknown.  */
int soak_find_vm (const struct sockaddr_in *client,
                  const struct sockaddr_in *server, const char *request,
                  size_t length);
void soak_free_nodes (void);

/* Injects a random fault if the next one is due, and the due faults of the
   series.  */
void soak_inject_fault (int64_t now_ms);

/* Ends the path and disk faults whose time is over, or ALL of them.  */
void soak_end_faults (int64_t now_ms, bool all);

/* Faults that follow one another within a second at the VMs and targets of one
   run, faults of many VMs at the same time, and callers whose connections
   break at many entries in the moment in which paths of entries fail.  */
void soak_start_series (int64_t now_ms);
void soak_start_mass_fault (int64_t now_ms);
void soak_start_caller_fault (int64_t now_ms);
void soak_continue_series (int64_t now_ms);

/* Restarts target I under its id and resets its connections.  */
void soak_restart_worker (uint32_t i);

/* Restarts up to a fifth of the targets under their ids, unheard by the
   keepers, while packets get lost between them and the VM that starts tasks
   there; that VM may fail next.  */
void soak_start_restart_fault (int64_t now_ms);

/* Returns a connection that is freed after one request.  */
struct evhttp_connection *soak_connect (const char *address, uint16_t port,
                                        int64_t timeout_ms);

/* callers */
void soak_send_calls (int64_t now_ms);

/* Sends COUNT new jobs to ENTRY at once, each of one task that takes all of a
   target.  */
void soak_send_large_jobs (struct node *entry, uint32_t count);

/* Sends several times as many calls as usual for a while.  */
void soak_start_burst (int64_t now_ms);

/* Breaks the connections of callers to ENTRY, which goes on; most callers send
   their jobs again.  */
void soak_break_callers (struct node *entry);
struct job *soak_find_job (const char *task);
void soak_free_jobs (void);

/* Checks that requests are served again after the faults, and prints the
   totals.  */
void soak_finish_calls (void);

/* runs on workers */
extern const struct worker_events soak_worker_events;
void soak_check_runs (int64_t now_ms);
void soak_free_runs (void);

/* Returns a random run whose caller waits at another VM than the one that
   started it, or NULL if there is none; soak_caller_entry returns that VM.  */
struct live_run *soak_random_run (void);
struct node *soak_caller_entry (const struct live_run *l);

/* The operator's configuration changes and reads, and the workers'
   heartbeats, if due.  */
void soak_send_changes (int64_t now_ms);
void soak_send_heartbeats (int64_t now_ms);

#endif
