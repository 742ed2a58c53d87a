/* A view of bytes that another object owns.  */
#ifndef BASE_SLICE_H
#define BASE_SLICE_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

struct slice
{
  const char *data;
  uint32_t length;
};

static inline struct slice
slice_of (const char *text)
{
  return (struct slice){ text, (uint32_t)strlen (text) };
}

static inline bool
slice_equals (struct slice s, const char *text)
{
  return s.length == strlen (text) && memcmp (s.data, text, s.length) == 0;
}

/* Copies S as a text into BUFFER of SIZE bytes.  Returns false if it had to
   be cut or holds a zero byte.  */
static inline bool
slice_copy (struct slice s, char *buffer, size_t size)
{
  size_t n = s.length < size ? s.length : size - 1;

  if (n != 0)
    memcpy (buffer, s.data, n);
  buffer[n] = '\0';
  return n == s.length && strlen (buffer) == n;
}

#endif
