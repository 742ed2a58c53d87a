#include "controller/dispatch_capacity.h"

#include <stdbool.h>
#include <string.h>
#include "net/peer_message.h"

enum
{
  FIELD_FREE_TARGETS = 4,
  CAPACITY_FIELDS = FIELD_FREE_TARGETS + FREE_CAPACITY_TARGETS
};

/* Appends the work by rank: the number of the capacity, the count, then rank
   and work of each item.  */
static void
pack_ranked (msgpack_packer *p, uint32_t number, const struct ranked_work *w)
{
  if (w->count == 0)
    return;
  msgpack_pack_uint64 (p, number);
  msgpack_pack_uint64 (p, w->count);
  for (uint32_t i = 0; i < w->count; i++)
    {
      msgpack_pack_uint64 (p, w->items[i].rank);
      msgpack_pack_uint64 (p, w->items[i].work);
    }
}

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
  for (uint32_t i = 0; i < count; i++)
    pack_ranked (&p, i, &capacities[i].ranked);
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

static bool
read_integer (struct slice packed, size_t *offset, uint64_t *n)
{
  msgpack_unpacked item;
  bool valid;

  msgpack_unpacked_init (&item);
  valid = msgpack_unpack_next (&item, packed.data, packed.length, offset)
              == MSGPACK_UNPACK_SUCCESS
          && item.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
  *n = valid ? item.data.via.u64 : 0;
  msgpack_unpacked_destroy (&item);
  return valid;
}

/* Reads the work by rank of one of COUNT capacities.  Returns false at the end
   and at malformed input.  */
static bool
read_ranked (struct dispatch_capacity *capacities, uint32_t count,
             struct slice packed, size_t *offset)
{
  uint64_t number;
  uint64_t items;

  if (!read_integer (packed, offset, &number) || number >= count
      || !read_integer (packed, offset, &items) || items > RANKED_WORK_LIMIT)
    return false;
  for (uint64_t i = 0; i < items; i++)
    {
      uint64_t rank;
      uint64_t work;

      if (!read_integer (packed, offset, &rank) || rank > UINT32_MAX
          || !read_integer (packed, offset, &work))
        return false;
      ranked_work_add (&capacities[number].ranked, (uint32_t)rank, work);
    }
  return true;
}

uint32_t
dispatch_capacity_unpack (struct dispatch_capacity *capacities, uint32_t limit,
                          struct slice packed)
{
  msgpack_unpacked item;
  size_t offset = 0;
  size_t end = 0; /* of the last complete capacity */
  uint32_t fields_read = 0;
  uint32_t count;
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
      if (valid && fields_read % CAPACITY_FIELDS == 0)
        end = offset;
    }
  msgpack_unpacked_destroy (&item);
  count = fields_read / CAPACITY_FIELDS;
  for (uint32_t i = 0; i < count; i++)
    capacities[i].ranked.count = 0;
  while (end < packed.length && count != 0
         && read_ranked (capacities, count, packed, &end))
    continue;
  return count;
}
