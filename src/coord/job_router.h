/* Which dispatcher a job goes to.

   Load pattern: entries hold uneven shares of the callers, failure domains
   have uneven loads, and what is known of a dispatcher's room is a moment old.
   A job stays in its own failure domain while it would not wait there; it goes
   where it is expected to wait least otherwise.  What this entry has sent
   since it last heard of a dispatcher's room counts as taken, so that a burst
   does not follow one stale figure.  */
#ifndef COORD_JOB_ROUTER_H
#define COORD_JOB_ROUTER_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "coord/job_spec.h"
#include "coord/room_free.h"

enum
{
  ROUTE_ROOM_LIMIT = 16,
  ROUTE_TRY_LIMIT = 3
};

/* The room of one service at a dispatcher.  */
struct route_room
{
  char service[DOCUMENT_NAME_BYTES];
  uint64_t cpu_milli;
  uint64_t free_cpu_milli;
  struct room_free free_targets; /* less what was lent since */
  uint64_t work_ahead;           /* thousandths of a core times ms */
  uint64_t sent_cpu_milli;       /* sent there since this was heard */
  uint64_t sent_work;
};

struct route_dispatcher
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  bool reachable;
  bool retired;     /* has jobs of ours and gets no more */
  int64_t heard_ms; /* when the rooms were told; 0: never */
  int64_t asked_ms; /* when the rooms were last asked for to lend tasks */
  int64_t
      rejected_ms; /* when it last sent tasks back: older rooms are wrong */
  struct route_room rooms[ROUTE_ROOM_LIMIT];
  uint32_t room_count;
};

/* The expected wait of a job of SPEC at D, or -1 if D has no target for it. */
int64_t job_router_wait_ms (const struct route_dispatcher *d,
                            const struct job_spec *spec, int64_t now_ms);

/* The dispatcher among COUNT for a job of SPEC from DOMAIN, but none of the
   TRIED ones.  Returns NULL if there is none.  */
struct route_dispatcher *
job_router_choose (struct route_dispatcher *dispatchers, uint32_t count,
                   const char *domain, const struct job_spec *spec,
                   const char (*tried)[NAME_BYTES], uint32_t tried_count,
                   int64_t now_ms);

/* Counts a job of SPEC as sent to D.  */
void job_router_sent (struct route_dispatcher *d, const struct job_spec *spec);

#endif
