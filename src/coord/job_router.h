/* Chooses the dispatcher for a job.

   Load pattern: entries serve uneven shares of the callers, failure domains
   have uneven loads, and the reports of free capacity are slightly out of
   date.  A job stays in its own failure domain if it would not wait
   there; otherwise it goes to the dispatcher with the shortest expected wait.
   Jobs sent since a dispatcher's last report are subtracted from the reported
   capacity, so that a burst does not go to one dispatcher on the same outdated
   report.  */
#ifndef COORD_JOB_ROUTER_H
#define COORD_JOB_ROUTER_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "coord/job_spec.h"
#include "coord/free_capacity.h"
#include "coord/job_lease.h"
#include "coord/ranked_work.h"
#include "coord/service_priorities.h"

enum
{
  ROUTE_SERVICE_LIMIT = 16,
  ROUTE_TRY_LIMIT = 3,

  /* Where load is shed by priority, a job is tried at this many dispatchers
     while recent reports show that all of its tasks fit, and jobs of the
     service's highest priority also without that: in the replay of customer 1
     at 2.2 times the load, 76 % of these are on time instead of 66 % with
     three tries, and the other queues lose nothing.  */
  ROUTE_PRIORITY_TRY_LIMIT = 12
};

/* The capacity of a dispatcher for one service, as last reported, and what was
   sent there since.  */
struct route_capacity
{
  char service[CONFIG_NAME_BYTES];
  uint64_t cpu_milli;
  uint64_t free_cpu_milli;
  struct free_capacity free_by_target; /* less the tasks delegated since */
  uint64_t work_ahead;                 /* thousandths of a core times ms */
  struct ranked_work ranked;           /* the same by rank, if by priority */
  uint64_t sent_cpu_milli;
  uint64_t sent_work;
};

struct route_dispatcher
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  bool reachable;
  bool retired;        /* still has jobs of this entry but gets no new ones */
  int64_t reported_ms; /* when its last report was received; 0: none so far */
  int64_t polled_ms;   /* when its report was last requested */
  int64_t queried_ms;  /* when last queried in order to delegate tasks */
  int64_t refused_ms;  /* last refusal of tasks; no offers until it reports */
  struct lease_echo echo; /* its time stamps, on its own clock */
  struct route_capacity capacities[ROUTE_SERVICE_LIMIT];
  uint32_t capacity_count;
};

/* The expected wait in ms of a job of SPEC at D.  Returns -1 if D is
   unreachable, has no target for the service, sent no recent report or can get
   no lease for the job yet.  */
int64_t job_router_wait_ms (const struct route_dispatcher *d,
                            const struct job_spec *spec, int64_t now_ms);

/* The dispatcher among COUNT with the shortest expected wait for a job of SPEC
   from failure domain DOMAIN, except the TRIED ones.  Returns NULL if there is
   none.  */
struct route_dispatcher *
job_router_choose (struct route_dispatcher *dispatchers, uint32_t count,
                   const char *domain, const struct job_spec *spec,
                   const char (*tried)[NAME_BYTES], uint32_t tried_count,
                   int64_t now_ms);

enum route_next
{
  ROUTE_ELSEWHERE, /* try another dispatcher, which may have free capacity */
  ROUTE_REFUSED,   /* answer that the job was not run */
  ROUTE_UNKNOWN    /* answer that it may have run */
};

/* The dispatcher at which to try a job of SPEC next, which the TRIED ones have
   refused, or NULL if there is none.  In services that shed load by priority
   (P), a dispatcher comes first whose recent report shows that all tasks of
   the job fit; they are subtracted from the report.  */
struct route_dispatcher *
job_router_next (struct route_dispatcher *dispatchers, uint32_t count,
                 const char *domain, const struct service_priorities *p,
                 const struct job_spec *spec, const char (*tried)[NAME_BYTES],
                 uint32_t tried_count, int64_t now_ms);

/* The number of dispatchers at which a job of SPEC is tried at most.  */
uint32_t job_router_try_limit (const struct service_priorities *p,
                               const struct job_spec *spec);

/* What to do with a job that TRIED_COUNT of at most LIMIT dispatchers have
   refused, the last one for REASON.  An earlier attempt that is still active
   at one of them may have run, and no other dispatcher knows of it.  */
enum route_next job_router_after_refusal (enum refusal_reason reason,
                                          uint32_t tried_count,
                                          uint32_t limit);

/* Records that a job of SPEC was sent to D.  */
void job_router_sent (struct route_dispatcher *d, const struct job_spec *spec);

#endif
