/* A reference to bytes that another object owns, not NUL-terminated.  */
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

/* Copies S into BUFFER of SIZE bytes as a NUL-terminated string.  Returns
   false if it was truncated or contains a NUL byte.  */
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
