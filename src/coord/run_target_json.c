#include "coord/run_target_json.h"

#include <stdio.h>
#include <string.h>
#include "base/json_check.h"
#include "base/json_text.h"

json_t *
run_target_spec_to_json (const struct run_target_spec *t)
{
  json_t *labels = json_array ();

  for (uint32_t i = 0; i < t->label_count; i++)
    json_array_append_new (labels, json_from_text (t->labels[i]));
  return json_build (
      "{s:s s:s s:s s:s s:I s:I s:I s:I s:I s:I s:b s:o}", "id", t->id,
      "address", t->address, "service", t->service, "domain", t->domain,
      "born", (json_int_t)t->started_ms, "sequence", (json_int_t)t->sequence,
      "cpu", (json_int_t)t->cpu_milli, "memory", (json_int_t)t->memory_mb,
      "gpu", (json_int_t)t->gpu, "slots", (json_int_t)t->slots, "draining",
      (int)t->draining, "labels", labels);
}

bool
run_target_spec_from_json (struct run_target_spec *t, const json_t *o)
{
  const json_t *labels = json_object_get (o, "labels");
  size_t i;
  json_t *label;

  memset (t, 0, sizeof *t);
  snprintf (t->id, sizeof t->id, "%s", json_get_text (o, "id", ""));
  snprintf (t->address, sizeof t->address, "%s",
            json_get_text (o, "address", ""));
  snprintf (t->service, sizeof t->service, "%s",
            json_get_text (o, "service", ""));
  snprintf (t->domain, sizeof t->domain, "%s",
            json_get_text (o, "domain", ""));
  t->started_ms = json_get_integer (o, "born", 0);
  t->sequence = (uint64_t)json_get_integer (o, "sequence", 0);
  t->cpu_milli = (uint64_t)json_get_integer (o, "cpu", 0);
  t->memory_mb = (uint64_t)json_get_integer (o, "memory", 0);
  t->gpu = (uint64_t)json_get_integer (o, "gpu", 0);
  t->slots = (uint32_t)json_get_integer (o, "slots", 0);
  t->draining = json_get_boolean (o, "draining", false);
  json_array_foreach (labels, i, label)
  {
    if (t->label_count == TARGET_LABEL_LIMIT || !json_is_string (label))
      return false;
    snprintf (t->labels[t->label_count++], LABEL_BYTES, "%s",
              json_string_value (label));
  }
  return t->id[0] != '\0' && t->address[0] != '\0';
}

void
run_target_cold_to_json (json_t *o, const struct run_target_spec *t,
                         int64_t now)
{
  if (run_target_spec_is_cold (t, now))
    json_object_set_new (o, "cold", json_integer (t->cold_until_ms - now));
}

void
run_target_cold_from_json (struct run_target_spec *t, const json_t *o,
                           int64_t now)
{
  int64_t left = json_get_integer (o, "cold", 0);

  t->cold_until_ms
      = left > 0 && left <= RUN_TARGET_COLD_LIMIT_MS ? now + left : 0;
}
