/* Which dispatchers an entry is told of.

   Load pattern: deployments with a hundred dispatchers and more.  Every entry
   asks those that it knows for their rooms several times a second, so what it
   knows must not grow with the deployment.  An entry is told of some of its
   own failure domain and of fewer elsewhere, chosen by rendezvous hashing:
   every dispatcher is known to about as many entries.  */
#ifndef COORD_DISPATCHER_CHOICE_H
#define COORD_DISPATCHER_CHOICE_H

#include <stdint.h>
#include "coord/owner_plan.h"

enum
{
  CHOICE_NEAR_LIMIT = 16,
  CHOICE_FAR_LIMIT = 12,
  CHOICE_LIMIT = CHOICE_NEAR_LIMIT + CHOICE_FAR_LIMIT + 1
};

struct dispatcher_choice
{
  const struct plan_entry *entries[CHOICE_LIMIT];
  uint32_t count;
  uint64_t digest; /* the same for the same set; never 0 */
};

/* The dispatchers of P that E is to know, itself among them if it is one.  */
void dispatcher_choice_make (const struct owner_plan *p,
                             const struct plan_entry *e,
                             struct dispatcher_choice *c);

#endif
