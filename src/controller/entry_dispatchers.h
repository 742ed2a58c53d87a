/* The dispatchers that an entry knows: their free capacity and whether they
   respond.  */
#ifndef CONTROLLER_ENTRY_DISPATCHERS_H
#define CONTROLLER_ENTRY_DISPATCHERS_H

#include "controller/job_entry.h"

/* The dispatcher on VM, or NULL.  */
struct route_dispatcher *entry_dispatchers_find (struct job_entry *n,
                                                 const char *vm);

/* Whether any reachable dispatcher has reported capacity for a service.  */
bool entry_dispatchers_any_usable (const struct job_entry *n);

/* Whether the failure domains of all known dispatchers are evacuated, so that
   no capacity is to be expected anywhere.  */
bool entry_dispatchers_all_evacuated (const struct job_entry *n);

/* Updates the free capacity of this VM's own dispatcher.  */
void entry_dispatchers_refresh_own (struct job_entry *n, int64_t now_ms);

/* Requests the free capacity of D, which is not this VM.  The request also
   renews the leases of the jobs that this entry has there.  */
void entry_dispatchers_request_capacity (struct job_entry *n, int64_t now_ms,
                                         struct route_dispatcher *d);

/* Requests the free capacity of each dispatcher that is due.  Closes the
   connection to one that is unresponsive while it has jobs of this entry.  */
void entry_dispatchers_poll (struct job_entry *n, int64_t now_ms);

/* Records the free capacity that the dispatcher on VM has reported in M.  */
void entry_dispatchers_receive_capacity (struct job_entry *n, int64_t now_ms,
                                         const char *vm,
                                         const struct peer_capacity *m);

#endif
