/* Receives the heartbeats of targets at any keeper and forwards them to the
   leader.  A new or changed target is forwarded at once in a call of its own,
   and its heartbeat is answered when the leader has replied.  Unchanged
   heartbeats are answered at once and forwarded in batches
   (coord/target_reports).  The leader itself applies and answers all
   heartbeats at once.  */
#ifndef CONTROLLER_TARGET_RELAY_H
#define CONTROLLER_TARGET_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_target.h"
#include "coord/target_reports.h"
#include "net/peer_conn.h"

struct quorum_keeper;

/* DELIVERED: the leader has the target's message.  */
typedef void (*relay_done) (void *arg, bool delivered);

struct target_relay
{
  struct quorum_keeper *keeper;
  struct target_reports reports;
  int64_t last_batch_ms;   /* when one was last due */
  bool batch_pending;      /* sent and not answered yet */
  int64_t entries_sent_ms; /* when the entries heard were last in a batch */
};

void target_relay_init (struct target_relay *r, struct quorum_keeper *k);
void target_relay_done (struct target_relay *r);

/* Handles a heartbeat of target SPEC.  DONE is called exactly once, perhaps
   before return.  */
void target_relay_handle_heartbeat (struct target_relay *r, int64_t now_ms,
                                    const struct run_target_spec *spec,
                                    relay_done done, void *arg);

/* Handles the deregistration of target ID.  DONE as above.  */
void target_relay_handle_leave (struct target_relay *r, const char *id,
                                relay_done done, void *arg);

/* Forwards a batch to the leader if one is due.  */
void target_relay_tick (struct target_relay *r, int64_t now_ms);

/* Handles the call C of another keeper that takes this one for the leader.
   Replies 503 if it is not.  */
void target_relay_handle_call (struct target_relay *r, int64_t now_ms,
                               struct peer_conn *from,
                               const struct peer_call *c);

#endif
