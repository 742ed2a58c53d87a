#include "base/json_size.h"

/* Returns the index behind the string that begins at AT with a quote.  */
static size_t
skip_string (const char *text, size_t length, size_t at)
{
  for (at++; at < length && text[at] != '"'; at++)
    if (text[at] == '\\')
      at++;
  return at + 1;
}

bool
json_size_is_within (const char *text, size_t length, uint32_t limit)
{
  uint32_t count = 0;
  size_t at = 0;

  while (at < length)
    switch (text[at])
      {
      case '"':
        at = skip_string (text, length, at);
        break;
      case ',':
      case ':':
      case '[':
      case '{':
        if (++count > limit)
          return false;
        at++;
        break;
      default:
        at++;
      }
  return true;
}
