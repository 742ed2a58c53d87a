/* Calls about a submission by its key: reading its answer and cancelling it.
   They go to the owner of the key, and to the executor where the owner names
   another one.  */
#ifndef CONTROLLER_LOOKUP_CONTROLLER_H
#define CONTROLLER_LOOKUP_CONTROLLER_H

#include "controller/entry.h"

/* Answers C, a GET or DELETE of the job KEY of TEAM.  */
void lookup_handle (struct entry *n, struct http_call *c, const char *team,
                    const char *key, bool cancel);

/* Answers another entry's call.  */
void lookup_receive (struct entry *n, struct peer_conn *from,
                     const struct peer_call *call);

#endif
