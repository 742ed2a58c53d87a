/* The state of an entry process that its controllers share.  */
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

  /* what the quorum has decided, as learnt */
  struct control_view view;
  struct environment environment;
  char leader[NAME_BYTES]; /* the keepers' leader; empty if not known */
  int64_t leader_heard_ms;
  uint64_t leader_term;
  bool quorum_lost;
  bool fetching_config;
  uint32_t next_keeper;

  /* decisions */
  struct submission_register submissions;
  struct submission *open; /* those that this entry executes */
  struct target_table targets;
  struct team_table teams;
  struct run_time run_times;
  struct retry_budget retries;
  struct peer_table peers;

  /* tasks run here for other entries */
  struct remote_run *remote_runs;  /* all, by task */
  struct remote_run *remote_queue; /* those not yet started */
  uint32_t remote_queued;
  bool dispatching;
  uint64_t next_key;
  int64_t
      slots_known_ms; /* when any slot, here or elsewhere, was last known */

  /* stop */
  enum leaving_phase leaving;
  bool draining; /* new submissions are refused */
  int64_t drain_begun_ms;

  /* when the periodic work was last done */
  int64_t last_expire_ms;
  int64_t last_beat_ms;
  int64_t last_target_ms;
};

/* Begins to listen and to join.  Returns false with E set on failure.  */
bool entry_start (struct entry *n, struct event_base *base,
                  const struct settings *s, uint64_t boot_id, struct error *e);
void entry_done (struct entry *n);

#endif
