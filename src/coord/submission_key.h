/* Submission keys.

   A prefixed key is DOMAIN.INCARNATION.ISSUED.UNIQUE: the home failure
   domain, the incarnation of its replica group and the wall time in seconds
   when the prefix was issued.  A bare key is UNIQUE alone; its home domain is
   chosen by rendezvous hashing, and its issue time is the submission's
   submitted_at_ms.  */
#ifndef COORD_SUBMISSION_KEY_H
#define COORD_SUBMISSION_KEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/settings.h"

enum
{
  KEY_BYTES = 128
};

struct submission_key
{
  char text[KEY_BYTES];
  char domain[NAME_BYTES];
  bool bare;
  uint64_t incarnation; /* 0 for a bare key */
  int64_t issued_wall_ms;
};

/* Parses TEXT.  SUBMITTED_WALL_MS is the submission's submitted_at_ms, or 0 if
   it has none.  Returns NULL on success, else a constant error text that
   continues a sentence about the key.  */
const char *submission_key_parse (struct submission_key *k, const char *text,
                                  int64_t submitted_wall_ms,
                                  const struct settings *s);

/* Writes the prefix for new keys of DOMAIN at INCARNATION.  */
void submission_key_prefix (char *buffer, size_t size, const char *domain,
                            uint64_t incarnation, int64_t wall_ms);

#endif
