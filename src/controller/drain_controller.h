/* The graceful stop of an entry.

   The entry first reports that it is draining, and the keepers' leader assigns
   its keys and targets to the other members of its group.  Callers are still
   served for GRACE_MS, the time for a load balancer to turn to other entries;
   after that the health check fails and new submissions are refused.  Once no
   task runs or is queued and no call is unanswered, or the stop timeout has
   passed, the entry leaves its group and the event loop ends.  */
#ifndef CONTROLLER_DRAIN_CONTROLLER_H
#define CONTROLLER_DRAIN_CONTROLLER_H

#include "controller/entry.h"

/* Starts the stop.  Does nothing if it has been started already.  */
void drain_begin (struct entry *n);

/* Takes the next step of the stop if it is due.  Ends the event loop after the
   last one.  */
void drain_tick (struct entry *n, int64_t now_ms);

#endif
