/* Checks and repairs UTF-8 text that comes from outside the process.  */
#ifndef BASE_UTF8_H
#define BASE_UTF8_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether LENGTH bytes of TEXT are UTF-8 without a NUL byte.  */
bool utf8_is_text (const char *text, size_t length);

/* Replaces each byte of the string TEXT that is not part of valid UTF-8 by
   '?'.  A string that was cut within a character is valid afterwards.  */
void utf8_repair (char *text);

/* Like utf8_repair, and replaces each control character by a blank, so that
   TEXT stays on one line.  */
void utf8_repair_line (char *text);

#endif
