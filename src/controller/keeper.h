/* A keeper process of a deployment with fixed membership: a voter of the
   replicated log that holds the control state (the configuration and the
   replica groups of the failure domains).  */
#ifndef CONTROLLER_KEEPER_H
#define CONTROLLER_KEEPER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/settings.h"
#include "controller/log_journal.h"
#include "coord/control_state.h"
#include "coord/group_manager.h"
#include "coord/replicated_log.h"
#include "net/http_server.h"
#include "net/peer_network.h"

enum
{
  PROPOSAL_LIMIT = 256
};

/* A proposed command whose caller waits for the result.  */
struct keeper_proposal
{
  uint64_t index; /* log index; 0: unused */
  struct peer_conn *from;
  uint64_t call_id;
};

struct keeper
{
  struct event_base *base;
  const struct settings *settings;
  uint64_t boot_id;
  struct peer_network *network;
  struct http_server *http;
  struct event *tick;

  char names[LOG_MEMBER_LIMIT][NAME_BYTES];
  int member_count;
  struct log_journal journal;
  struct replicated_log log;
  struct control_state state;
  struct group_manager groups;
  struct peer_conn *entry_conns[VM_LIMIT]; /* by index of entry_heartbeats */
  struct keeper_proposal proposals[PROPOSAL_LIMIT];
  uint64_t group_change_index; /* log index of the last one proposed */
  bool stopping;
};

/* Opens the journal and starts.  Returns false with E set on failure.  */
bool keeper_start (struct keeper *k, struct event_base *base,
                   const struct settings *s, uint64_t boot_id,
                   struct error *e);

/* Whether K is the leader and its state is current, so that it may answer
   heartbeats with the control view, and calls.  */
bool keeper_may_answer (const struct keeper *k);

/* Begins a graceful stop: steps down if leader, then ends the event loop.  */
void keeper_stop (struct keeper *k);
void keeper_done (struct keeper *k);

#endif
