/* The state of an entry process in a deployment with fixed membership, shared
   by its controllers.  */
#ifndef CONTROLLER_ENTRY_H
#define CONTROLLER_ENTRY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "coord/control_view.h"
#include "coord/environment.h"
#include "coord/group_manager.h"
#include "coord/peer_table.h"
#include "coord/retry_budget.h"
#include "coord/run_time.h"
#include "coord/submission_register.h"
#include "coord/target_table.h"
#include "coord/team_table.h"
#include "net/http_server.h"
#include "net/peer_network.h"

struct entry
{
  /* the process */
  struct event_base *base;
  const struct settings *settings;
  uint64_t boot_id;
  struct peer_network *network;
  struct http_server *http;
  struct event *tick;

  /* what the quorum has decided, as last received */
  struct control_view view;
  struct environment environment;
  char leader[NAME_BYTES]; /* the keepers' leader, or empty if unknown */
  int64_t leader_last_seen_ms;
  uint64_t leader_term;
  bool quorum_lost;
  bool fetching_config;
  uint32_t next_keeper;

  /* submissions, targets and the data for scheduling */
  struct submission_register submissions;
  struct submission *open; /* those that this entry executes, not yet ended */
  struct target_table targets;
  struct team_table teams;
  struct run_time run_times;
  struct retry_budget retries;
  struct peer_table peers;

  /* tasks that other entries have forwarded here */
  struct remote_run *remote_runs;  /* all, by task id */
  struct remote_run *remote_queue; /* those not yet started */
  uint32_t remote_queued;
  bool dispatching;  /* guards dispatch_run against recursion */
  uint64_t next_key; /* counter for the keys of requests without one */
  int64_t slots_last_seen_ms; /* when any entry was last known to have slots */

  /* graceful stop */
  enum leaving_phase leaving;
  bool refusing_submissions;
  int64_t drain_begun_ms;

  /* last time of each periodic task */
  int64_t last_expire_ms;
  int64_t last_heartbeat_ms; /* 0: send one at the next tick */
  int64_t last_target_ms;
};

/* Opens the listening sockets and begins to join the deployment.  Returns
   false with E set on failure.  */
bool entry_start (struct entry *n, struct event_base *base,
                  const struct settings *s, uint64_t boot_id, struct error *e);
void entry_done (struct entry *n);

#endif
