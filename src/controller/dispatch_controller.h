/* Sends tasks to targets: this entry's own, or those of another entry that
   has free slots.  */
#ifndef CONTROLLER_DISPATCH_CONTROLLER_H
#define CONTROLLER_DISPATCH_CONTROLLER_H

#include "controller/entry.h"

/* Starts queued tasks while there are free slots.  */
void dispatch_run (struct entry *n);

/* Sends one stop for every running task of S.  */
void dispatch_stop_tasks (struct entry *n, struct submission *s);

/* Takes a task that another entry passed here.  */
void dispatch_receive_task (struct entry *n, struct peer_conn *from,
                            const struct peer_task_run *m);

/* Takes a stop that another entry passed here.  */
void dispatch_receive_stop (struct entry *n, const struct peer_task_stop *m);

/* Whether no task runs here for another entry.  */
bool dispatch_is_idle (const struct entry *n);

#endif
