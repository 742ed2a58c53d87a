/* Shared state and functions of the soak test of ragwort-node: the node
   processes, the fake workers, the fault proxy between VMs and the reports of
   violations.  */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include "tests/soak/fake_worker.h"
#include "tests/soak/fault_proxy.h"

enum
{
  KEEPERS = 3,
  ENTRIES = 3,
  NODES = KEEPERS + ENTRIES,
  WORKERS = 8,
  CALLS_PER_SECOND = 30,
  TICK_MS = 10,
  HEARTBEAT_MS = 700,
  FAULT_GAP_MS = 900,   /* mean interval of faults */
  CHANGE_GAP_MS = 1100, /* mean interval of configuration changes */
  RESEND_MS = 1300,
  DEADLINE_MS = 2500,
  ANSWER_SLACK_MS = 700,
  SETTLE_MS = 8000,      /* before the first fault and after the last */
  FINAL_PHASE_MS = 4000, /* in which SERVED_PERCENT must be served */
  STOP_GRACE_MS = 6000,
  START_UP_MS = 500, /* until a started process listens */
  APPLY_MS = 2000,   /* until every keeper has an acknowledged change */
  PEER_PORT = 18720,
  CALLER_PORT = 18721,
  READY_PORT = 18722,
  CONTROL_PORT = 18723,
  METRICS_PORT = 18724,
  WORKER_PORT = 18725,
  LISTEN_PORT = 18726, /* the peer port behind the fault proxy */
  DELAY_MAX_MS = 300,
  FULL_DISK_BYTES = 64,
  WIPE_GAP_MS = 8000, /* from a wiped disk to the next disk fault */
  SERVED_PERCENT = 90,
  PATH_FAULT_LIMIT = 4,
  TEXT_BYTES = 1024
};

struct node
{
  int index;
  char address[32];
  char folder[256];
  pid_t pid; /* 0 while down */
  bool paused;
  bool stopping;
  int64_t fault_ms; /* time of the last kill, pause or resume */
  int64_t until_ms; /* when to resume or restart it, or, while
                       stopping, the end of its grace period */
  int64_t start_ms; /* time of the last start */
  bool disk_full;   /* writes to its disk fail */
  int64_t disk_full_until_ms;
};

struct soak
{
  /* options */
  const char *program;
  uint64_t seed;
  int first_net;   /* 127.0.N.x and the next two /24 nets are used */
  int64_t seconds; /* duration of the faults; main adds SETTLE_MS, which
                      makes it their end, counted from begin_ms */

  struct event_base *base;
  struct node nodes[NODES];
  struct fake_worker workers[WORKERS];
  struct fault_proxy proxy;
  int64_t begin_ms;
  int64_t fault_due_ms;
  uint32_t faults;
  uint32_t violations;
  uint32_t changes_acked;

  /* Faults and load have separate generators, since the number of draws for
     the load depends on the answers.  Thus a seed draws the same faults in
     each run, as long as the nodes and workers are in the same state when they
     are drawn.  */
  uint64_t fault_random;
  uint64_t load_random;
};

extern struct soak soak;

/* Returns a random number below LIMIT: soak_random_fault for the faults,
   soak_random_load for callers, operators and heartbeats.  */
uint32_t soak_random_fault (uint32_t limit);
uint32_t soak_random_load (uint32_t limit);

int64_t soak_elapsed_ms (void);

/* soak_violation prints and counts a broken guarantee; soak_log prints an
   event.  */
void soak_violation (const char *what, const char *id);
void soak_log (const char *what, const char *id);

/* node processes */
bool soak_is_keeper (const struct node *n);
void soak_start_node (struct node *n, bool first);
void soak_kill_node (struct node *n);
void soak_pause_node (struct node *n);
void soak_stop_node (struct node *n);

/* Resumes paused nodes and restarts ended ones when their time has come, and
   reaps the processes that have ended.  */
void soak_update_nodes (int64_t now_ms);
void soak_remove_folder (const char *folder);

/* Injects a random fault if the next one is due.  */
void soak_inject_fault (int64_t now_ms);

/* Ends the path and disk faults whose time is over, or ALL of them.  */
void soak_end_faults (int64_t now_ms, bool all);

/* Returns a connection that is freed after one request.  */
struct evhttp_connection *soak_connect (const char *address, uint16_t port,
                                        int64_t timeout_ms);

/* The operator's configuration changes and reads, and the workers'
   heartbeats, if due.  */
void soak_send_changes (int64_t now_ms);
void soak_send_heartbeats (int64_t now_ms);

#endif
