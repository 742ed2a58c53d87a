/* Orders of operators at a keeper that evacuate a failure domain or end that,
   and the list of those in force.  They are served by the keepers' leader
   alone.  */
#ifndef CONTROLLER_EVACUATION_CONTROL_H
#define CONTROLLER_EVACUATION_CONTROL_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/quorum_keeper.h"
#include "coord/evacuation.h"

enum evacuation_result
{
  EVACUATION_DONE,       /* on the disks of a quorum, and in force there */
  EVACUATION_READ,       /* confirmed by a majority */
  EVACUATION_FULL,       /* refused: EVACUATION_LIMIT domains are evacuated */
  EVACUATION_UNCONFIRMED /* may or may not come into force; repeat it */
};

/* SET is the current set for EVACUATION_READ, valid only during the call.  */
typedef void (*evacuation_done) (void *arg, enum evacuation_result result,
                                 const struct evacuation_set *set);

/* Whether DOMAIN can be named in an order: a domain of the deployment, or for
   the end of an evacuation one that is evacuated, which may have left the
   settings since.  */
bool evacuation_control_accepts (const struct quorum_keeper *k,
                                 const char *domain, bool active);

/* Orders the evacuation of DOMAIN, or its end if not ACTIVE.  A repeated order
   is logged and acknowledged again.  DONE is called exactly once, perhaps
   before return.  */
void evacuation_control_order (struct quorum_keeper *k, int64_t now_ms,
                               const char *domain, bool active,
                               evacuation_done done, void *arg);

/* Reads the set after a majority has confirmed that this keeper still leads.
   DONE as above.  */
void evacuation_control_read (struct quorum_keeper *k, int64_t now_ms,
                              evacuation_done done, void *arg);

#endif
