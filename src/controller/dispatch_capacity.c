#include "controller/dispatch_capacity.h"

#include <stdbool.h>
#include <string.h>
#include "net/peer_message.h"

enum
{
  FIELD_FREE_TARGETS = 4,
  CAPACITY_FIELDS = FIELD_FREE_TARGETS + FREE_CAPACITY_TARGETS
};

void
dispatch_capacity_pack (const struct dispatch_capacity *capacities,
                        uint32_t count, msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_bin (&p, strlen (capacities[i].service));
      msgpack_pack_bin_body (&p, capacities[i].service,
                             strlen (capacities[i].service));
      msgpack_pack_uint64 (&p, capacities[i].cpu_milli);
      msgpack_pack_uint64 (&p, capacities[i].free_cpu_milli);
      msgpack_pack_uint64 (&p, capacities[i].work_ahead);
      for (uint32_t t = 0; t < FREE_CAPACITY_TARGETS; t++)
        msgpack_pack_uint64 (&p, capacities[i].free_by_target.cpu_milli[t]);
    }
}

static bool
read_field (struct dispatch_capacity *capacity, uint32_t f,
            const msgpack_object *o)
{
  if (f == 0)
    return o->type == MSGPACK_OBJECT_BIN
           && slice_copy ((struct slice){ o->via.bin.ptr, o->via.bin.size },
                          capacity->service, sizeof capacity->service);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  if (f == 1)
    capacity->cpu_milli = o->via.u64;
  else if (f == 2)
    capacity->free_cpu_milli = o->via.u64;
  else if (f == 3)
    capacity->work_ahead = o->via.u64;
  else
    capacity->free_by_target.cpu_milli[f - FIELD_FREE_TARGETS] = o->via.u64;
  return true;
}

uint32_t
dispatch_capacity_unpack (struct dispatch_capacity *capacities, uint32_t limit,
                          struct slice packed)
{
  msgpack_unpacked item;
  size_t offset = 0;
  uint32_t fields_read = 0;
  bool valid = peer_message_is_flat (packed.data, packed.length, 0);

  msgpack_unpacked_init (&item);
  while (valid && offset < packed.length
         && fields_read / CAPACITY_FIELDS < limit)
    {
      valid = msgpack_unpack_next (&item, packed.data, packed.length, &offset)
                  == MSGPACK_UNPACK_SUCCESS
              && read_field (&capacities[fields_read / CAPACITY_FIELDS],
                             fields_read % CAPACITY_FIELDS, &item.data);
      fields_read += valid;
    }
  msgpack_unpacked_destroy (&item);
  return fields_read / CAPACITY_FIELDS;
}
