/* What the parts of the soak of ragwort-node share: its processes, the
   workers, the forwarder between VMs, and the tellings of what went wrong.  */
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
  CALLS_A_SECOND = 30,
  TICK_MS = 10,
  HEARTBEAT_MS = 700,
  FAULT_GAP_MS = 900,
  CHANGE_GAP_MS = 1100,
  RESEND_MS = 1300,
  DEADLINE_MS = 2500,
  ANSWER_SLACK_MS = 700,
  SETTLE_MS = 8000,
  LAST_MS = 4000,
  GRACE_MS = 6000,
  START_UP_MS = 500,
  APPLY_MS = 2000,
  PEER_PORT = 18720,
  CALLER_PORT = 18721,
  READY_PORT = 18722,
  CONTROL_PORT = 18723,
  METRICS_PORT = 18724,
  WORKER_PORT = 18725,
  LISTEN_PORT = 18726, /* the peer port behind the forwarder */
  DELAY_MOST_MS = 300,
  FULL_DISK_BYTES = 64,
  WIPE_REST_MS = 8000,
  SERVED_PERCENT = 90,
  HARM_LIMIT = 4,
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
  int64_t fault_ms; /* the last kill or pause of it */
  int64_t until_ms; /* when to resume or to start again */
  int64_t start_ms; /* the last start */
  bool full;        /* its disk takes no more bytes */
  int64_t full_until_ms;
};

struct soak
{
  /* options */
  const char *program;
  uint64_t seed;
  int first_net; /* 127.0.N.x and the next two are this soak's */
  int64_t seconds;

  struct event_base *base;
  struct node nodes[NODES];
  struct fake_worker workers[WORKERS];
  struct fault_proxy proxy;
  int64_t begin_ms;
  int64_t fault_due_ms;
  uint32_t faults;
  uint32_t violations;
  uint32_t changes_acked;

  /* The faults are drawn apart from the load, whose draws depend on answers:
     a seed has the same series of faults each time, as far as what they meet
     is the same.  */
  uint64_t fault_random;
  uint64_t load_random;
};

extern struct soak soak;

/* A number below LIMIT: for the faults; for callers, operators and
   heartbeats.  */
uint32_t soak_draw (uint32_t limit);
uint32_t soak_draw_load (uint32_t limit);

int64_t soak_elapsed_ms (void);

/* A promise was broken, or something happened.  */
void soak_violation (const char *what, const char *id);
void soak_note (const char *what, const char *id);

/* processes */
bool soak_is_keeper (const struct node *n);
void soak_start_node (struct node *n, bool first);
void soak_kill_node (struct node *n);
void soak_pause_node (struct node *n);
void soak_stop_node (struct node *n);

/* Resumes, collects and starts again what is due.  */
void soak_tend_nodes (int64_t now_ms);
void soak_remove_folder (const char *folder);

/* faults */
void soak_make_fault (int64_t now_ms);

/* Ends the disturbances that are over, or all.  */
void soak_end_harms (int64_t now_ms, bool all);

/* A connection that closes itself after one request.  */
struct evhttp_connection *soak_connect (const char *address, uint16_t port,
                                        int64_t timeout_ms);

/* the operator's changes and reads, and the workers' heartbeats */
void soak_make_changes (int64_t now_ms);
void soak_send_heartbeats (int64_t now_ms);

#endif
