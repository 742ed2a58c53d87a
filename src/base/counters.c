#include "base/counters.h"

struct counters counters;

#define COUNTER_NAME(id, name) name,
static const char *const names[] = { COUNTER_TABLE (COUNTER_NAME) };
#undef COUNTER_NAME

const char *
counters_name (enum counter c)
{
  return names[c];
}

json_t *
counters_json (void)
{
  json_t *object = json_object ();

  for (int i = 0; i < COUNTER_COUNT; i++)
    json_object_set_new (object, names[i],
                         json_integer ((json_int_t)counters.value[i]));
  return object;
}
