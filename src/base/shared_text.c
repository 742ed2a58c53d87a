#include "base/shared_text.h"

#include <stdlib.h>
#include <string.h>

struct shared_text *
shared_text_new (const char *text)
{
  size_t length = strlen (text);
  struct shared_text *t = malloc (sizeof *t + length + 1);

  t->references = 1;
  t->length = length;
  memcpy (t->data, text, length + 1);
  return t;
}

struct shared_text *
shared_text_hold (struct shared_text *t)
{
  t->references++;
  return t;
}

void
shared_text_release (struct shared_text *t)
{
  if (t != NULL && --t->references == 0)
    free (t);
}
