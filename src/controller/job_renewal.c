#include "controller/job_renewal.h"

#include <stdbool.h>
#include "net/peer_message.h"

void
job_renewal_pack (const struct job_renewal *r, msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  msgpack_pack_uint64 (&p, r->id);
  msgpack_pack_uint64 (&p, r->lease_ms < 0 ? 0 : (uint64_t)r->lease_ms);
}

static bool
read_number (struct slice packed, size_t *offset, uint64_t *number)
{
  msgpack_unpacked item;
  bool valid;

  msgpack_unpacked_init (&item);
  valid = msgpack_unpack_next (&item, packed.data, packed.length, offset)
              == MSGPACK_UNPACK_SUCCESS
          && item.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
  if (valid)
    *number = item.data.via.u64;
  msgpack_unpacked_destroy (&item);
  return valid;
}

void
job_renewal_unpack (struct slice packed, job_renewed renewed, void *arg)
{
  size_t offset = 0;
  uint64_t id;
  uint64_t lease;

  if (!peer_message_is_flat (packed.data, packed.length, 0))
    return;
  while (read_number (packed, &offset, &id)
         && read_number (packed, &offset, &lease))
    {
      struct job_renewal r
          = { id, lease > INT32_MAX ? INT32_MAX : (int64_t)lease };

      renewed (arg, &r);
    }
}
