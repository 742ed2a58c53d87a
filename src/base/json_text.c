#include "base/json_text.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/utf8.h"

json_t *
json_build (const char *format, ...)
{
  json_error_t fault;
  va_list args;
  json_t *value;

  va_start (args, format);
  value = json_vpack_ex (&fault, 0, format, args);
  va_end (args);
  if (value == NULL)
    event_ring_add (EVENT_JSON_NOT_BUILT, "", "format=%s why=%s", format,
                    fault.text);
  return value;
}

json_t *
json_from_text (const char *text)
{
  json_t *value = json_string (text);
  char *repaired;

  if (value != NULL)
    return value;
  repaired = strdup (text);
  utf8_repair (repaired);
  value = json_string (repaired);
  free (repaired);
  return value;
}

char *
json_encode_with (const json_t *value, size_t flags)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | flags);

  if (text != NULL)
    return text;
  event_ring_add (EVENT_JSON_NOT_BUILT, "", "type=%d",
                  value == NULL ? -1 : (int)json_typeof (value));
  return strdup ("null");
}

char *
json_encode (const json_t *value)
{
  return json_encode_with (value, JSON_COMPACT);
}

char *
json_encode_new (json_t *value)
{
  char *text = json_encode (value);

  json_decref (value);
  return text;
}
