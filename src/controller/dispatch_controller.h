/* Starts the tasks of this entry's submissions on its own targets, or forwards
   them to another entry that has free slots.  */
#ifndef CONTROLLER_DISPATCH_CONTROLLER_H
#define CONTROLLER_DISPATCH_CONTROLLER_H

#include "controller/entry.h"

/* Starts queued tasks, this entry's own and those forwarded here, while there
   are free slots.  */
void dispatch_run (struct entry *n);

/* Sends one stop for each running task of S.  */
void dispatch_stop_tasks (struct entry *n, struct submission *s);

/* Releases the slot on T of a task of KIND, which took ELAPSED_US and ended
   with OUTCOME.  Updates the run time estimate of KIND and the health of T. */
void dispatch_release_slot (struct entry *n, struct target *t,
                            const char *kind, struct outcome outcome,
                            int64_t elapsed_us);

#endif
