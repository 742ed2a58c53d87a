/* Calls about a submission by its key: reading its answer and cancelling it.
   They are sent to the owner of the key, and once more to the executor if the
   owner names another entry as such.  */
#ifndef CONTROLLER_LOOKUP_CONTROLLER_H
#define CONTROLLER_LOOKUP_CONTROLLER_H

#include "controller/entry.h"

/* Answers C, a GET of the job KEY of TEAM, or with CANCEL a DELETE.  */
void lookup_handle (struct entry *n, struct http_call *c, const char *team,
                    const char *key, bool cancel);

/* Answers a lookup or a cancellation from another entry.  */
void lookup_receive (struct entry *n, struct peer_conn *from,
                     const struct peer_call *call);

#endif
