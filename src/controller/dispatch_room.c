#include "controller/dispatch_room.h"

#include <stdbool.h>
#include <string.h>
#include "net/peer_message.h"

enum
{
  FIELD_TARGETS = 4,
  ROOM_FIELDS = FIELD_TARGETS + ROOM_FREE_TARGETS
};

void
dispatch_rooms_pack (const struct dispatch_room *rooms, uint32_t count,
                     msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_bin (&p, strlen (rooms[i].service));
      msgpack_pack_bin_body (&p, rooms[i].service, strlen (rooms[i].service));
      msgpack_pack_uint64 (&p, rooms[i].cpu_milli);
      msgpack_pack_uint64 (&p, rooms[i].free_cpu_milli);
      msgpack_pack_uint64 (&p, rooms[i].work_ahead);
      for (uint32_t t = 0; t < ROOM_FREE_TARGETS; t++)
        msgpack_pack_uint64 (&p, rooms[i].free_targets.milli[t]);
    }
}

static bool
take_room_field (struct dispatch_room *room, uint32_t f,
                 const msgpack_object *o)
{
  if (f == 0)
    return o->type == MSGPACK_OBJECT_BIN
           && slice_copy ((struct slice){ o->via.bin.ptr, o->via.bin.size },
                          room->service, sizeof room->service);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  if (f == 1)
    room->cpu_milli = o->via.u64;
  else if (f == 2)
    room->free_cpu_milli = o->via.u64;
  else if (f == 3)
    room->work_ahead = o->via.u64;
  else
    room->free_targets.milli[f - FIELD_TARGETS] = o->via.u64;
  return true;
}

uint32_t
dispatch_rooms_unpack (struct dispatch_room *rooms, uint32_t limit,
                       struct slice packed)
{
  msgpack_unpacked item;
  size_t offset = 0;
  uint32_t taken = 0;
  bool good = peer_message_is_flat (packed.data, packed.length, 0);

  msgpack_unpacked_init (&item);
  while (good && offset < packed.length && taken / ROOM_FIELDS < limit)
    {
      good = msgpack_unpack_next (&item, packed.data, packed.length, &offset)
                 == MSGPACK_UNPACK_SUCCESS
             && take_room_field (&rooms[taken / ROOM_FIELDS],
                                 taken % ROOM_FIELDS, &item.data);
      taken += good;
    }
  msgpack_unpacked_destroy (&item);
  return taken / ROOM_FIELDS;
}
