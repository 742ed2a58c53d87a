#include "base/utf8.h"

#include <stdint.h>
#include <string.h>

enum
{
  CONTINUATION_MASK = 0xc0,
  CONTINUATION_BITS = 0x80,
  CONTINUATION_SHIFT = 6,

  FIRST_ABOVE_ASCII = 0x80,
  FIRST_OF_3_BYTES = 0x800,
  FIRST_OF_4_BYTES = 0x10000,
  FIRST_SURROGATE = 0xd800,
  LAST_SURROGATE = 0xdfff,
  LAST_CODE_POINT = 0x10ffff,

  DELETE_CHARACTER = 0x7f
};

/* Returns the number of bytes that the lead byte FIRST announces, or 0 if it
   is no lead byte, and sets BITS to its part of the code point.  */
static size_t
announced_length (uint8_t first, uint32_t *bits)
{
  if (first < FIRST_ABOVE_ASCII)
    {
      *bits = first;
      return 1;
    }
  if ((first & 0xe0) == 0xc0)
    {
      *bits = first & 0x1f;
      return 2;
    }
  if ((first & 0xf0) == 0xe0)
    {
      *bits = first & 0x0f;
      return 3;
    }
  if ((first & 0xf8) == 0xf0)
    {
      *bits = first & 0x07;
      return 4;
    }
  return 0;
}

static bool
is_code_point (uint32_t code, size_t length)
{
  static const uint32_t first_of_length[]
      = { 0, 0, FIRST_ABOVE_ASCII, FIRST_OF_3_BYTES, FIRST_OF_4_BYTES };

  return code >= first_of_length[length] && code <= LAST_CODE_POINT
         && (code < FIRST_SURROGATE || code > LAST_SURROGATE);
}

/* Returns the length of the character at TEXT, which ends within AVAILABLE
   bytes (at least 1), or 0 if there is none.  */
static size_t
character_length (const char *text, size_t available)
{
  const uint8_t *at = (const uint8_t *)text;
  uint32_t code;
  size_t length = announced_length (at[0], &code);

  if (length == 0 || length > available)
    return 0;
  for (size_t i = 1; i < length; i++)
    {
      if ((at[i] & CONTINUATION_MASK) != CONTINUATION_BITS)
        return 0;
      code
          = code << CONTINUATION_SHIFT | (at[i] & (uint8_t)~CONTINUATION_MASK);
    }
  return is_code_point (code, length) ? length : 0;
}

bool
utf8_is_text (const char *text, size_t length)
{
  size_t i = 0;

  while (i < length)
    {
      size_t n = character_length (text + i, length - i);

      if (n == 0 || text[i] == '\0')
        return false;
      i += n;
    }
  return true;
}

void
utf8_repair (char *text)
{
  size_t length = strlen (text);
  size_t i = 0;

  while (i < length)
    {
      size_t n = character_length (text + i, length - i);

      if (n == 0)
        text[i++] = '?';
      else
        i += n;
    }
}

void
utf8_repair_line (char *text)
{
  utf8_repair (text);
  for (; *text != '\0'; text++)
    if ((uint8_t)*text < ' ' || *text == DELETE_CHARACTER)
      *text = ' ';
}
