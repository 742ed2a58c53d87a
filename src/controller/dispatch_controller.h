/* Sends tasks to targets: this entry's own, or those of another entry that
   has free slots.  */
#ifndef CONTROLLER_DISPATCH_CONTROLLER_H
#define CONTROLLER_DISPATCH_CONTROLLER_H

#include "controller/entry.h"

/* Starts queued tasks while there are free slots.  */
void dispatch_run (struct entry *n);

/* Sends one stop for every running task of S.  */
void dispatch_stop_tasks (struct entry *n, struct submission *s);

/* Gives the slot on G back and learns from how a task of KIND ended there.  */
void dispatch_release_target (struct entry *n, struct target *g,
                              const char *kind, struct outcome outcome,
                              int64_t elapsed_us);

#endif
