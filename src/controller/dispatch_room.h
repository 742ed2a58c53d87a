/* The room of a dispatcher, as the entries are told.  */
#ifndef CONTROLLER_DISPATCH_ROOM_H
#define CONTROLLER_DISPATCH_ROOM_H

#include <msgpack.h>
#include <stdint.h>
#include "base/slice.h"
#include "coord/room_free.h"
#include "coord/service_document.h"

/* The room for a service, as told to the entries.  */
struct dispatch_room
{
  char service[DOCUMENT_NAME_BYTES];
  uint64_t cpu_milli; /* of the targets in use */
  uint64_t free_cpu_milli;
  struct room_free free_targets;
  uint64_t work_ahead; /* thousandths of a core times ms */
};

/* The rooms in msgpack, for PEER_ROOM, and back.  */
void dispatch_rooms_pack (const struct dispatch_room *rooms, uint32_t count,
                          msgpack_sbuffer *buffer);
uint32_t dispatch_rooms_unpack (struct dispatch_room *rooms, uint32_t limit,
                                struct slice packed);

#endif
