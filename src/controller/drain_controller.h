/* The graceful stop of an entry.

   First the entry drains: its health check says so, and the keepers' leader
   gives its keys and targets to the other members.  Callers are served for
   GRACE more, so that the balancer can turn away; then new ones are refused.
   When nothing runs, waits or is unanswered, it leaves its group and the loop
   ends.  */
#ifndef CONTROLLER_DRAIN_CONTROLLER_H
#define CONTROLLER_DRAIN_CONTROLLER_H

#include "controller/entry.h"

void drain_begin (struct entry *n);
void drain_tick (struct entry *n, int64_t now_ms);

#endif
