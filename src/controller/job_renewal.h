/* The renewals of job leases that an entry sends to a dispatcher: the content
   of PEER_KEEPALIVE.  */
#ifndef CONTROLLER_JOB_RENEWAL_H
#define CONTROLLER_JOB_RENEWAL_H

#include <msgpack.h>
#include <stdint.h>
#include "base/slice.h"

struct job_renewal
{
  uint64_t id;      /* of the job, as in struct peer_job */
  int64_t lease_ms; /* from the message's echo_ms on */
};

typedef void (*job_renewed) (void *arg, const struct job_renewal *r);

/* Appends R to BUFFER in msgpack.  */
void job_renewal_pack (const struct job_renewal *r, msgpack_sbuffer *buffer);

/* Calls RENEWED for each renewal in PACKED, up to the first malformed one.  */
void job_renewal_unpack (struct slice packed, job_renewed renewed, void *arg);

#endif
