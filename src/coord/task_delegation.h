/* Delegation: chooses which waiting tasks other dispatchers run on their
   targets.

   Load pattern: the targets of a dispatcher are full when a job of many tasks
   arrives, while others have free capacity; each failure domain is too small
   to absorb the bursts of its own callers.  A dispatcher delegates waiting
   tasks to the one with the most free capacity, preferably in its own failure
   domain, which starts them at once or refuses them.  Only very recent
   capacity reports are used, so that few tasks are refused.  */
#ifndef COORD_TASK_DELEGATION_H
#define COORD_TASK_DELEGATION_H

#include <stdint.h>
#include "coord/job_router.h"
#include "coord/run_scheduler.h"

enum
{
  /* The interval of capacity queries while tasks wait.  */
  DELEGATION_QUERY_MS = 20,

  /* The number of dispatchers that are queried at a time.  */
  DELEGATION_QUERY_LIMIT = 4,

  DELEGATION_OFFER_LIMIT = 16
};

/* An offer of COUNT tasks of JOB from FIRST on to dispatcher TO.  */
struct delegation_offer
{
  struct run_job *job;
  uint32_t first;
  uint32_t count;
  struct route_dispatcher *to;
};

/* Sets OFFERS to up to DELEGATION_OFFER_LIMIT offers of the tasks that wait in
   S to dispatchers other than SELF, and subtracts the tasks from the free
   capacity of these.  DOMAIN is the failure domain of SELF.  Returns the
   number of offers.  */
uint32_t task_delegation_choose (struct run_scheduler *s,
                                 struct route_dispatcher *dispatchers,
                                 uint32_t count, const char *self,
                                 const char *domain, int64_t now_ms,
                                 struct delegation_offer *offers);

/* Whether tasks wait in S that may be delegated.  Tasks that were delegated to
   this VM are not delegated again.  */
bool task_delegation_is_needed (const struct run_scheduler *s);

/* Sets QUERIED to the dispatchers, at most DELEGATION_QUERY_LIMIT, whose free
   capacity should be queried now, and records the time of the query.  Returns
   their number.  */
uint32_t task_delegation_query (struct route_dispatcher *dispatchers,
                                uint32_t count, const char *self,
                                const char *domain, int64_t now_ms,
                                struct route_dispatcher **queried);

/* Records that TO has refused tasks: it gets no offers until its next capacity
   report.  */
void task_delegation_refused (struct route_dispatcher *to, int64_t now_ms);

/* Sets SPEC to the part of the job in offer O, as sent to the delegate.  The
   payload remains owned by the job.  */
void task_delegation_spec (const struct delegation_offer *o, int64_t now_ms,
                           struct job_spec *spec);

#endif
