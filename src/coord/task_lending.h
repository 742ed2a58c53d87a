/* Which waiting tasks are run on targets of other dispatchers.

   Load pattern: a job of many tasks finds its own dispatcher's targets full
   while those of others have room; each failure domain is too small to even
   out the bursts of its own callers.  A dispatcher lends waiting tasks to the
   one with most room, its own failure domain's first; that one starts them at
   once or sends them back.  Rooms that are not fresh are not believed, so that
   little is sent in vain.  */
#ifndef COORD_TASK_LENDING_H
#define COORD_TASK_LENDING_H

#include <stdint.h>
#include "coord/job_router.h"
#include "coord/run_scheduler.h"

enum
{
  /* Rooms are asked for again after so long while tasks wait.  */
  LENDING_ASK_MS = 20,

  /* So many dispatchers are asked at a time.  */
  LENDING_ASK_LIMIT = 4,

  LENDING_OFFER_LIMIT = 16
};

/* COUNT tasks of JOB from FIRST on, for TO.  */
struct lending_offer
{
  struct run_job *job;
  uint32_t first;
  uint32_t count;
  struct route_dispatcher *to;
};

/* Chooses up to LENDING_OFFER_LIMIT offers of the tasks that wait in S for
   dispatchers other than SELF, and counts them as sent there.  Returns their
   number.  */
uint32_t task_lending_choose (struct run_scheduler *s,
                              struct route_dispatcher *dispatchers,
                              uint32_t count, const char *self,
                              const char *domain, int64_t now_ms,
                              struct lending_offer *offers);

/* Whether tasks wait in S that could be lent.  */
bool task_lending_is_wanted (const struct run_scheduler *s);

/* The dispatchers whose rooms should be asked for now, at most
   LENDING_ASK_LIMIT.  Returns their number.  */
uint32_t task_lending_ask (struct route_dispatcher *dispatchers,
                           uint32_t count, const char *self,
                           const char *domain, int64_t now_ms,
                           struct route_dispatcher **asked);

/* TO has sent tasks back: nothing is offered before its rooms are told
   anew.  */
void task_lending_refused (struct route_dispatcher *to, int64_t now_ms);

/* The job of which an offer is made, as its taker gets it.  */
void task_lending_spec (const struct lending_offer *o, int64_t now_ms,
                        struct job_spec *spec);

#endif
