/* The leases that an entry grants to the dispatchers of its jobs
   (coord/job_lease).  A lease for a caller counts from a time at which the
   caller was still connected; that of a delegated part is what is left of the
   lease of its job.  */
#ifndef CONTROLLER_ENTRY_LEASES_H
#define CONTROLLER_ENTRY_LEASES_H

#include <msgpack.h>
#include "controller/job_entry.h"

/* The longest lease to request from targets that accept at most LIMIT_MS,
   where a job's is at most JOB_LEASE_MS: no longer than what is usually left
   of the lease of a job that arrives, which may then start beside others.  */
int64_t entry_leases_target_ms (int64_t job_lease_ms, int64_t limit_ms);

void entry_leases_init (struct job_entry *n, int64_t now_ms);

/* To be called at each tick: drops the callers that have left, then renews the
   leases of the jobs at this VM's own dispatcher.  */
void entry_leases_tick (struct job_entry *n, int64_t now_ms);

/* The end of the lease of J at this VM's own dispatcher.  */
int64_t entry_leases_own_end_ms (const struct job_entry *n,
                                 const struct routed_job *j);

/* The lease of J to grant to a dispatcher, counted from the latest stamp of
   ECHO; 0 if none.  */
int64_t entry_leases_grant_ms (const struct job_entry *n,
                               const struct routed_job *j,
                               const struct lease_echo *echo);

/* Appends the renewals of the jobs that D has to BUFFER.  */
void entry_leases_pack (const struct job_entry *n,
                        const struct route_dispatcher *d,
                        msgpack_sbuffer *buffer);

#endif
