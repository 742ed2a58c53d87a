/* A text with several owners.  */
#ifndef BASE_SHARED_TEXT_H
#define BASE_SHARED_TEXT_H

#include <stddef.h>
#include <stdint.h>

struct shared_text
{
  uint32_t references;
  size_t length;
  char data[]; /* followed by a zero */
};

/* Returns a copy of TEXT with one reference.  */
struct shared_text *shared_text_new (const char *text);

struct shared_text *shared_text_hold (struct shared_text *t);
void shared_text_release (struct shared_text *t); /* T may be NULL */

#endif
