/* Hears targets at any keeper and has the leading one know of them: what is
   new by a call that is answered before the target is, repeats in batches
   (coord/target_reports).  At the leader itself both end at once.  */
#ifndef CONTROLLER_TARGET_RELAY_H
#define CONTROLLER_TARGET_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_target.h"
#include "coord/target_reports.h"
#include "net/peer_conn.h"

struct quorum_keeper;

/* TAKEN: the leading keeper knows what the target said.  */
typedef void (*relay_done) (void *arg, bool taken);

struct target_relay
{
  struct quorum_keeper *keeper;
  struct target_reports reports;
  int64_t batch_ms; /* when the last one was sent */
  bool batch_open;  /* and not answered yet */
};

void target_relay_init (struct target_relay *r, struct quorum_keeper *k);
void target_relay_done (struct target_relay *r);

/* Target SPEC has sent a heartbeat here.  DONE is called exactly once, perhaps
   before return.  */
void target_relay_hear (struct target_relay *r, int64_t now_ms,
                        const struct run_target_spec *spec, relay_done done,
                        void *arg);

/* Target ID has said that it leaves.  DONE as above.  */
void target_relay_forget (struct target_relay *r, const char *id,
                          relay_done done, void *arg);

/* Sends the batch that is due.  */
void target_relay_tick (struct target_relay *r, int64_t now_ms);

/* Another keeper's call C, at the leader or at one that is taken for it.  */
void target_relay_receive (struct target_relay *r, int64_t now_ms,
                           struct peer_conn *from, const struct peer_call *c);

#endif
