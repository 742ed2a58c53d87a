#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

int
error_set (struct error *e, int code, const char *format, ...)
{
  va_list args;

  e->code = code;
  va_start (args, format);
  vsnprintf (e->message, sizeof e->message, format, args);
  va_end (args);
  return code;
}

int
error_wrap (struct error *e, int code, const char *context,
            const struct error *lower)
{
  char text[ERROR_MESSAGE_BYTES];

  snprintf (text, sizeof text, "%.150s: %.350s", context, lower->message);
  return error_set (e, code, "%s", text);
}
