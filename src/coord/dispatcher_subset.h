/* Subsetting: chooses the dispatchers that an entry uses.

   Load pattern: deployments with a hundred dispatchers and more.  Every entry
   polls its dispatchers for their free capacity several times a second, so
   their number must not grow with the deployment.  An entry gets a subset with
   more dispatchers of its own failure domain than of others, chosen by
   rendezvous hashing, so that each dispatcher is in about the same number of
   subsets.  */
#ifndef COORD_DISPATCHER_SUBSET_H
#define COORD_DISPATCHER_SUBSET_H

#include <stdint.h>
#include "coord/owner_plan.h"

enum
{
  SUBSET_LOCAL_LIMIT = 16,
  SUBSET_REMOTE_LIMIT = 12,
  SUBSET_LIMIT = SUBSET_LOCAL_LIMIT + SUBSET_REMOTE_LIMIT + 1
};

struct dispatcher_subset
{
  const struct plan_entry *entries[SUBSET_LIMIT];
  uint32_t count;
  uint64_t digest; /* equal for equal sets; never 0 */
};

/* Sets S to the dispatchers of P that entry E uses.  E itself is included if
   it is a dispatcher.  */
void dispatcher_subset_make (const struct owner_plan *p,
                             const struct plan_entry *e,
                             struct dispatcher_subset *s);

#endif
