#include "coord/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rendezvous_weight (const char *key, const char *name)
{
  return XXH3_64bits_withSeed (key, strlen (key),
                               XXH3_64bits (name, strlen (name)));
}
