#include "tests/unit/event_lines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"

static bool
is_called (const json_t *event, const char *name)
{
  return strcmp (json_string_value (json_object_get (event, "event")), name)
         == 0;
}

/* Copies FIELD of DETAIL, a list of name=value pairs, into VALUE.  */
static void
copy_field (const char *detail, const char *field,
            char value[EVENT_FIELD_BYTES])
{
  size_t length = strlen (field);

  for (const char *at = detail; at != NULL; at = strchr (at, ' '))
    {
      at += *at == ' ';
      if (strncmp (at, field, length) != 0 || at[length] != '=')
        continue;
      at += length + 1;
      snprintf (value, EVENT_FIELD_BYTES, "%.*s", (int)strcspn (at, " "), at);
      return;
    }
}

void
event_lines_text (const char *name, const char *key, const char *field,
                  char value[EVENT_FIELD_BYTES])
{
  json_t *events = event_ring_json (key, UINT32_MAX);
  json_t *event;
  size_t i;

  value[0] = '\0';
  json_array_foreach (events, i, event) if (is_called (event, name))
  {
    value[0] = '\0';
    copy_field (json_string_value (json_object_get (event, "detail")), field,
                value);
  }
  json_decref (events);
}

bool
event_lines_is (const char *name, const char *key, const char *field,
                const char *expected)
{
  char value[EVENT_FIELD_BYTES];

  event_lines_text (name, key, field, value);
  return strcmp (value, expected) == 0;
}

int64_t
event_lines_number (const char *name, const char *key, const char *field)
{
  char value[EVENT_FIELD_BYTES];

  event_lines_text (name, key, field, value);
  return value[0] == '\0' ? NO_EVENT_FIELD : strtoll (value, NULL, 10);
}

uint32_t
event_lines_count (const char *name, const char *key)
{
  json_t *events = event_ring_json (key, UINT32_MAX);
  json_t *event;
  uint32_t n = 0;
  size_t i;

  json_array_foreach (events, i, event) n += is_called (event, name);
  json_decref (events);
  return n;
}
