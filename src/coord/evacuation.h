/* The failure domains that operators have evacuated: nothing is started on
   their targets.  The keepers replicate the set in their log; dispatchers get
   a copy of it.

   A set is identified by its version, the log index of the latest change,
   which also counts when the change has left the set empty.  */
#ifndef COORD_EVACUATION_H
#define COORD_EVACUATION_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"

enum
{
  /* Bounds the state and the message for deployments whose settings do not
     list the domains, where any name is accepted.  */
  EVACUATION_LIMIT = 64
};

struct evacuation
{
  char domain[NAME_BYTES];
  int64_t since_ms; /* wall time of the order */
  uint64_t version; /* log index of the order */
};

struct evacuation_set
{
  uint64_t version; /* 0: nothing was ever ordered */
  struct evacuation list[EVACUATION_LIMIT];
  uint32_t count;
};

enum evacuation_change
{
  EVACUATION_CHANGED,
  EVACUATION_UNCHANGED, /* a repeated order */
  EVACUATION_REFUSED    /* bad name, old version, or EVACUATION_LIMIT */
};

void evacuation_set_init (struct evacuation_set *s);

/* Applies the order of log index VERSION: from wall time AT_MS on DOMAIN is
   evacuated (ACTIVE) or no longer is.  An order that is already in force keeps
   its time and version.  Depends on its arguments alone, since every keeper
   must come to the same set.  */
enum evacuation_change evacuation_set_apply (struct evacuation_set *s,
                                             uint64_t version,
                                             const char *domain, bool active,
                                             int64_t at_ms);

/* Replaces S by OTHER if that is newer.  Returns whether it was.  */
bool evacuation_set_replace (struct evacuation_set *s,
                             const struct evacuation_set *other);

/* The order for DOMAIN that is in force, or NULL.  */
const struct evacuation *evacuation_set_find (const struct evacuation_set *s,
                                              const char *domain);

/* {"version":V,"list":[{"domain":D,"since":MS,"version":V},...]}  */
json_t *evacuation_set_to_json (const struct evacuation_set *s);

/* Reads such an object.  Returns false, with S empty, if O is malformed.  */
bool evacuation_set_from_json (struct evacuation_set *s, const json_t *o);

#endif
