/* What an entry knows of the dispatchers: their rooms, and whether they are
   there.  */
#ifndef CONTROLLER_ENTRY_DISPATCHERS_H
#define CONTROLLER_ENTRY_DISPATCHERS_H

#include "controller/job_entry.h"

/* The dispatcher VM, or NULL.  */
struct route_dispatcher *entry_dispatchers_find (struct job_entry *n,
                                                 const char *vm);

/* Whether some dispatcher can be reached that has told a room.  */
bool entry_dispatchers_any (const struct job_entry *n);

/* Has the rooms of this VM be what they are now.  */
void entry_dispatchers_refresh_own (struct job_entry *n, int64_t now_ms);

/* Asks D, which is not this VM, for its rooms.  */
void entry_dispatchers_ask (struct job_entry *n, int64_t now_ms,
                            const struct route_dispatcher *d);

/* Asks those whose rooms are due; those that say nothing while they have jobs
   of this entry are given up.  */
void entry_dispatchers_poll (struct job_entry *n, int64_t now_ms);

void entry_dispatchers_receive_room (struct job_entry *n, int64_t now_ms,
                                     const char *vm,
                                     const struct peer_room *m);

#endif
