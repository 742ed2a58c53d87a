#include "net/peer_message.h"

#include <stddef.h>
#include "base/utf8.h"

enum field_kind
{
  FIELD_END,
  FIELD_UNSIGNED,
  FIELD_SIGNED,
  FIELD_BYTES,
  FIELD_TEXT /* UTF-8 without a NUL byte, sent like bytes */
};

struct field
{
  enum field_kind kind;
  size_t offset;
};

#define U(member)                                                             \
  {                                                                           \
    FIELD_UNSIGNED, offsetof (struct peer_message, u.member)                  \
  }
#define I(member)                                                             \
  {                                                                           \
    FIELD_SIGNED, offsetof (struct peer_message, u.member)                    \
  }
#define B(member)                                                             \
  {                                                                           \
    FIELD_BYTES, offsetof (struct peer_message, u.member)                     \
  }
#define T(member)                                                             \
  {                                                                           \
    FIELD_TEXT, offsetof (struct peer_message, u.member)                      \
  }

enum
{
  FIELD_LIMIT = 20
};

struct message_format
{
  bool control;
  struct field fields[FIELD_LIMIT];
};

static const struct message_format formats[PEER_MESSAGE_TYPES] = {
  [PEER_HELLO] = { true,
                   { U (hello.version), T (hello.environment), T (hello.vm),
                     U (hello.boot_id), B (hello.nonce) } },
  [PEER_HEARTBEAT]
  = { true,
      { U (heartbeat.incarnation), U (heartbeat.config_number),
        U (heartbeat.free_capacity), U (heartbeat.total_slots),
        U (heartbeat.queued_tasks), U (heartbeat.draining) } },
  [PEER_HEARTBEAT_REPLY]
  = { true,
      { U (heartbeat.incarnation), U (heartbeat.config_number),
        U (heartbeat.free_capacity), U (heartbeat.total_slots),
        U (heartbeat.queued_tasks), U (heartbeat.draining) } },
  [PEER_GROUP_HEARTBEAT]
  = { true,
      { U (group_heartbeat.boot_id), U (group_heartbeat.state_version),
        U (group_heartbeat.config_number),
        U (group_heartbeat.synced_incarnation),
        U (group_heartbeat.leaving) } },
  [PEER_GROUP_HEARTBEAT_REPLY]
  = { true,
      { U (group_heartbeat_reply.is_leader), U (group_heartbeat_reply.term),
        T (group_heartbeat_reply.leader),
        U (group_heartbeat_reply.state_version),
        T (group_heartbeat_reply.state) } },
  [PEER_CALL] = { false,
                  { U (call.id), U (call.method), T (call.team), T (call.key),
                    I (call.timeout_ms), T (call.body) } },
  [PEER_REPLY] = { false,
                   { U (reply.id), U (reply.status), U (reply.free_capacity),
                     T (reply.body) } },
  [PEER_RECORD_PUT]
  = { false,
      { U (record_put.id), U (record_put.incarnation),
        U (record_put.accepted_incarnation), T (record_put.key),
        T (record_put.team), U (record_put.digest_high),
        U (record_put.digest_low), I (record_put.issued_wall_ms),
        I (record_put.deadline_wall_ms), T (record_put.executor),
        U (record_put.executor_boot_id), U (record_put.start_watermark),
        U (record_put.state), T (record_put.body), T (record_put.answer) } },
  [PEER_RECORD_ADVANCE]
  = { false,
      { U (record_advance.id), U (record_advance.incarnation),
        T (record_advance.key), U (record_advance.start_watermark) } },
  [PEER_RECORD_DONE]
  = { false,
      { U (record_done.id), U (record_done.incarnation), T (record_done.key),
        U (record_done.state), T (record_done.answer) } },
  [PEER_RECORD_SYNCED]
  = { false,
      { U (record_synced.id), U (record_synced.incarnation),
        I (record_synced.evicted_wall_ms) } },
  [PEER_TASK_RUN] = { false,
                      { U (task_run.id), T (task_run.task), T (task_run.kind),
                        T (task_run.payload), I (task_run.timeout_ms) } },
  [PEER_TASK_STOP] = { false, { T (task_stop.task) } },
  [PEER_VOTE] = { true,
                  { U (vote.term), U (vote.last_index), U (vote.last_term),
                    U (vote.pre_vote) } },
  [PEER_VOTE_REPLY] = { true,
                        { U (vote_reply.term), U (vote_reply.granted),
                          U (vote_reply.pre_vote) } },
  [PEER_APPEND]
  = { true,
      { U (append.term), U (append.previous_index), U (append.previous_term),
        U (append.commit_index), U (append.round), B (append.entries) } },
  [PEER_APPEND_REPLY]
  = { true,
      { U (append_reply.term), U (append_reply.accepted),
        U (append_reply.match_index), U (append_reply.round) } },
  [PEER_SNAPSHOT]
  = { true,
      { U (snapshot.term), U (snapshot.last_index), U (snapshot.last_term),
        U (snapshot.round), B (snapshot.data) } },
  [PEER_KEEPER_HEARTBEAT]
  = { true,
      { U (keeper_heartbeat.disk_id), U (keeper_heartbeat.term),
        U (keeper_heartbeat.is_leader), U (keeper_heartbeat.is_reply),
        T (keeper_heartbeat.domain), T (keeper_heartbeat.control_address),
        U (keeper_heartbeat.voters_term), T (keeper_heartbeat.voters) } },
  [PEER_ENTRY_HEARTBEAT]
  = { true,
      { U (entry_heartbeat.boot_id), U (entry_heartbeat.assignment_term),
        U (entry_heartbeat.assignment_number),
        U (entry_heartbeat.config_version), U (entry_heartbeat.leaving),
        U (entry_heartbeat.unassigned), T (entry_heartbeat.domain),
        T (entry_heartbeat.targets) } },
  [PEER_ASSIGNMENT]
  = { true,
      { U (assignment.term), U (assignment.number), T (assignment.text) } },
  [PEER_SERVICE_CONFIG]
  = { true, { U (service_config.version), T (service_config.text) } },
  [PEER_KEEPERS] = { true, { T (keepers.text) } },
  [PEER_JOB] = { false,
                 { U (job.id), I (job.echo_ms), I (job.lease_ms), T (job.key),
                   T (job.queue), T (job.service), U (job.priority),
                   U (job.attempts), I (job.age_ms), I (job.deadline_ms),
                   I (job.floor_ms), U (job.stretch_milli), U (job.is_part),
                   U (job.part_step), U (job.part_first), U (job.part_run),
                   B (job.steps), T (job.payload) } },
  [PEER_JOB_END]
  = { false,
      { U (job_end.id), U (job_end.result), I (job_end.retry_ms),
        I (job_end.waited_ms), U (job_end.reason) } },
  [PEER_JOB_CANCEL] = { false, { U (job_cancel.id) } },
  [PEER_KEEPALIVE]
  = { false, { I (keepalive.echo_ms), B (keepalive.leases) } },
  [PEER_CAPACITY] = { false, { I (capacity.sent_ms), B (capacity.packed) } },
  [PEER_PING] = { true, { U (ping.unused) } },
  [PEER_PONG] = { true, { U (ping.unused) } },
};

#undef U
#undef I
#undef B
#undef T

static uint32_t
count_fields (const struct field *f)
{
  uint32_t n = 0;

  while (f[n].kind != FIELD_END)
    n++;
  return n;
}

static void
pack_field (const struct peer_message *m, const struct field *f,
            msgpack_packer *p)
{
  const char *at = (const char *)m + f->offset;
  const struct slice *s;

  switch (f->kind)
    {
    case FIELD_UNSIGNED:
      msgpack_pack_uint64 (p, *(const uint64_t *)at);
      break;
    case FIELD_SIGNED:
      msgpack_pack_int64 (p, *(const int64_t *)at);
      break;
    case FIELD_BYTES:
    case FIELD_TEXT:
      s = (const struct slice *)at;
      msgpack_pack_bin (p, s->length);
      msgpack_pack_bin_body (p, s->data, s->length);
      break;
    case FIELD_END:
      break;
    }
}

void
peer_message_pack (const struct peer_message *m, msgpack_sbuffer *buffer)
{
  const struct field *f = formats[m->type].fields;
  uint32_t n = count_fields (f);
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&p, n + 2);
  msgpack_pack_uint64 (&p, (uint64_t)m->type);
  msgpack_pack_uint64 (&p, m->clock);
  for (uint32_t i = 0; i < n; i++)
    pack_field (m, &f[i], &p);
}

static bool
unpack_field (struct peer_message *m, const struct field *f,
              const msgpack_object *o)
{
  char *at = (char *)m + f->offset;

  switch (f->kind)
    {
    case FIELD_UNSIGNED:
      if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return false;
      *(uint64_t *)at = o->via.u64;
      return true;
    case FIELD_SIGNED:
      if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER
          && o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
        return false;
      *(int64_t *)at = o->via.i64;
      return true;
    case FIELD_BYTES:
    case FIELD_TEXT:
      if (o->type != MSGPACK_OBJECT_BIN)
        return false;
      *(struct slice *)at = (struct slice){ o->via.bin.ptr, o->via.bin.size };
      return f->kind == FIELD_BYTES
             || utf8_is_text (o->via.bin.ptr, o->via.bin.size);
    case FIELD_END:
      break;
    }
  return false;
}

static bool
unpack_array (struct peer_message *m, const msgpack_object_array *a)
{
  const struct field *f;

  if (a->size < 2 || a->ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || a->ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  if (a->ptr[0].via.u64 < 1 || a->ptr[0].via.u64 >= PEER_MESSAGE_TYPES)
    return false;
  m->type = (enum peer_message_type)a->ptr[0].via.u64;
  m->clock = a->ptr[1].via.u64;
  f = formats[m->type].fields;
  if (a->size != count_fields (f) + 2)
    return false;
  for (uint32_t i = 2; i < a->size; i++)
    if (!unpack_field (m, &f[i - 2], &a->ptr[i]))
      return false;
  return true;
}

enum
{
  HEAD_FIXARRAY = 0x90,
  HEAD_BIN8 = 0xc4,
  HEAD_BIN32 = 0xc6,
  HEAD_UINT8 = 0xcc,
  HEAD_INT64 = 0xd3,
  HEAD_ARRAY16 = 0xdc,
  HEAD_NEGATIVE_FIXINT = 0xe0
};

static uint32_t
read_big_endian (const uint8_t *at, size_t bytes)
{
  uint32_t n = 0;

  for (size_t i = 0; i < bytes; i++)
    n = n << 8 | at[i];
  return n;
}

/* Returns the size of the element at AT, header included, or 0 if it is not an
   integer or a byte string that ends within AVAILABLE bytes.  */
static size_t
element_size (const uint8_t *at, size_t available)
{
  uint8_t head = at[0];
  size_t size;

  if (head < 0x80 || head >= HEAD_NEGATIVE_FIXINT)
    size = 1;
  else if (head >= HEAD_UINT8 && head <= HEAD_INT64)
    size = 1 + ((size_t)1 << (head & 3));
  else if (head >= HEAD_BIN8 && head <= HEAD_BIN32)
    {
      size_t bytes = (size_t)1 << (head - HEAD_BIN8);

      if (available < 1 + bytes)
        return 0;
      size = 1 + bytes + read_big_endian (at + 1, bytes);
    }
  else
    return 0;
  return size <= available ? size : 0;
}

bool
peer_message_is_flat (const char *data, size_t length, uint32_t array_limit)
{
  const uint8_t *at = (const uint8_t *)data;
  size_t i = 0;

  if (array_limit != 0)
    {
      uint32_t count;

      if (length == 0)
        return false;
      if ((at[0] & 0xf0) == HEAD_FIXARRAY)
        {
          count = at[0] & 0x0f;
          i = 1;
        }
      else if (at[0] == HEAD_ARRAY16 && length >= 3)
        {
          count = read_big_endian (at + 1, 2);
          i = 3;
        }
      else
        return false;
      if (count > array_limit)
        return false;
    }
  while (i < length)
    {
      size_t size = element_size (at + i, length - i);

      if (size == 0)
        return false;
      i += size;
    }
  return true;
}

bool
peer_message_unpack (struct peer_message *m, const char *data, size_t length)
{
  msgpack_unpacked result;
  size_t offset = 0;
  bool valid;

  if (!peer_message_is_flat (data, length, FIELD_LIMIT + 2))
    return false;
  msgpack_unpacked_init (&result);
  valid = msgpack_unpack_next (&result, data, length, &offset)
              == MSGPACK_UNPACK_SUCCESS
          && offset == length && result.data.type == MSGPACK_OBJECT_ARRAY
          && unpack_array (m, &result.data.via.array);
  msgpack_unpacked_destroy (&result);
  return valid;
}

bool
peer_message_is_control (enum peer_message_type type)
{
  return formats[type].control;
}
