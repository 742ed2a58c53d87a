#include "coord/job_spec.h"

#include <string.h>
#include "net/peer_message.h"

enum
{
  STEP_FIELDS = 9,
  FIELD_LABEL = 6,
  FIELD_DATA_RACK = 7
};

const char *
job_result_name (enum job_result r)
{
  switch (r)
    {
    case JOB_DONE:
      return "done";
    case JOB_FAILED:
      return "failed";
    case JOB_REFUSED:
      return "refused";
    case JOB_UNKNOWN:
      break;
    }
  return "unknown";
}

const char *
refusal_reason_name (enum refusal_reason r)
{
  static const char *const names[REFUSAL_COUNT]
      = { [REFUSAL_NONE] = "none",           [REFUSAL_NO_TARGET] = "no_target",
          [REFUSAL_TOO_LARGE] = "too_large", [REFUSAL_OVERLOAD] = "overload",
          [REFUSAL_EXPIRED] = "expired",     [REFUSAL_LEAVING] = "leaving",
          [REFUSAL_DUPLICATE] = "duplicate", [REFUSAL_STALE] = "stale",
          [REFUSAL_LOST_PEER] = "lost_peer", [REFUSAL_SHARE] = "share",
          [REFUSAL_FULL] = "full",           [REFUSAL_LEASE] = "lease",
          [REFUSAL_WITHDRAWN] = "withdrawn",

          [REFUSAL_DISPLACED] = "displaced" };

  return r < REFUSAL_COUNT ? names[r] : "unknown";
}

bool
job_spec_overlaps (const struct job_spec *one, const struct job_spec *other)
{
  const struct job_part *a = &one->part;
  const struct job_part *b = &other->part;

  if (strcmp (one->key, other->key) != 0)
    return false;
  if (!a->is_part || !b->is_part)
    return true;
  return a->step == b->step && a->first < b->first + other->steps[0].count
         && b->first < a->first + one->steps[0].count;
}

uint32_t
job_spec_task_count (const struct job_spec *s)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->step_count; i++)
    n += s->steps[i].count;
  return n;
}

uint32_t
job_spec_step_number (const struct job_spec *s, uint32_t i)
{
  return s->part.is_part ? s->part.step : i;
}

uint64_t
job_spec_work (const struct job_spec *s)
{
  uint64_t work = 0;

  for (uint32_t i = 0; i < s->step_count; i++)
    work += s->steps[i].count * s->steps[i].cpu_milli
            * (uint64_t)s->steps[i].estimate_ms;
  return work;
}

int64_t
job_spec_critical_path_ms (const struct job_spec *s)
{
  int64_t end_ms[JOB_STEP_LIMIT];
  int64_t longest = 0;

  for (uint32_t i = 0; i < s->step_count; i++)
    {
      int64_t begin = 0;

      for (uint32_t j = 0; j < i; j++)
        if ((s->steps[i].after >> j & 1) != 0 && end_ms[j] > begin)
          begin = end_ms[j];
      end_ms[i] = begin + s->steps[i].estimate_ms;
      if (end_ms[i] > longest)
        longest = end_ms[i];
    }
  return longest;
}

static void
pack_text (msgpack_packer *p, const char *text)
{
  msgpack_pack_bin (p, strlen (text));
  msgpack_pack_bin_body (p, text, strlen (text));
}

void
job_spec_pack_steps (const struct job_spec *s, msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  for (uint32_t i = 0; i < s->step_count; i++)
    {
      const struct job_step *step = &s->steps[i];

      msgpack_pack_uint32 (&p, step->count);
      msgpack_pack_uint64 (&p, step->cpu_milli);
      msgpack_pack_uint64 (&p, step->memory_mb);
      msgpack_pack_uint64 (&p, step->gpu);
      msgpack_pack_uint64 (&p, (uint64_t)step->estimate_ms);
      msgpack_pack_uint32 (&p, step->after);
      pack_text (&p, step->label);
      pack_text (&p, step->data_rack);
      msgpack_pack_uint32 (&p, step->max_per_target);
    }
}

/* Decodes O into field FIELD of STEP.  Returns false if it is invalid.  */
static bool
read_field (struct job_step *step, uint32_t field, const msgpack_object *o)
{
  uint64_t value;

  if (field == FIELD_LABEL || field == FIELD_DATA_RACK)
    return o->type == MSGPACK_OBJECT_BIN
           && slice_copy ((struct slice){ o->via.bin.ptr, o->via.bin.size },
                          field == FIELD_LABEL ? step->label : step->data_rack,
                          LABEL_BYTES);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  value = o->via.u64;
  switch (field)
    {
    case 0:
      step->count = (uint32_t)value;
      return value >= 1 && value <= JOB_TASK_LIMIT;
    case 1:
      step->cpu_milli = value;
      return true;
    case 2:
      step->memory_mb = value;
      return true;
    case 3:
      step->gpu = value;
      return true;
    case 4:
      step->estimate_ms = (int64_t)value;
      return value <= INT32_MAX;
    case 5:
      step->after = (uint32_t)value;
      return value <= UINT32_MAX;
    default:
      step->max_per_target = (uint32_t)value;
      return value <= UINT32_MAX;
    }
}

bool
job_spec_unpack_steps (struct job_spec *s, struct slice packed)
{
  msgpack_unpacked item;
  size_t offset = 0;
  uint32_t decoded = 0;
  bool good = packed.length != 0
              && peer_message_is_flat (packed.data, packed.length, 0);

  memset (s->steps, 0, sizeof s->steps);
  msgpack_unpacked_init (&item);
  while (good && offset < packed.length)
    {
      good
          = decoded / STEP_FIELDS < JOB_STEP_LIMIT
            && msgpack_unpack_next (&item, packed.data, packed.length, &offset)
                   == MSGPACK_UNPACK_SUCCESS
            && read_field (&s->steps[decoded / STEP_FIELDS],
                           decoded % STEP_FIELDS, &item.data);
      decoded++;
    }
  msgpack_unpacked_destroy (&item);
  s->step_count = decoded / STEP_FIELDS;
  return good && decoded % STEP_FIELDS == 0
         && job_spec_task_count (s) <= JOB_TASK_LIMIT;
}
