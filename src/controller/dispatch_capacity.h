/* The free capacity that a dispatcher reports to the entries.  */
#ifndef CONTROLLER_DISPATCH_CAPACITY_H
#define CONTROLLER_DISPATCH_CAPACITY_H

#include <msgpack.h>
#include <stdint.h>
#include "base/slice.h"
#include "coord/free_capacity.h"
#include "coord/ranked_work.h"
#include "coord/service_config.h"

/* The capacity of a dispatcher's targets for one service.  */
struct dispatch_capacity
{
  char service[CONFIG_NAME_BYTES];
  uint64_t cpu_milli; /* of its usable targets, free or not */
  uint64_t free_cpu_milli;
  struct free_capacity free_by_target;
  uint64_t work_ahead; /* waiting work: thousandths of a core times ms */
  struct ranked_work ranked;
};

/* Encodes COUNT capacities in msgpack, the content of PEER_CAPACITY, and
   decodes up to LIMIT of them.  Decoding stops at the first malformed item and
   returns the number of complete capacities before it.  The work by rank
   follows after all capacities: an earlier program stops decoding there.  */
void dispatch_capacity_pack (const struct dispatch_capacity *capacities,
                             uint32_t count, msgpack_sbuffer *buffer);
uint32_t dispatch_capacity_unpack (struct dispatch_capacity *capacities,
                                   uint32_t limit, struct slice packed);

#endif
