/* The JSON form of a target's description, as sent between processes and
   stored in the keepers' log.  */
#ifndef COORD_RUN_TARGET_JSON_H
#define COORD_RUN_TARGET_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include "coord/run_target.h"

/* Returns a new object, which the caller owns.  */
json_t *run_target_spec_to_json (const struct run_target_spec *t);

/* Returns false if O lacks an id or an address, or has invalid labels.  */
bool run_target_spec_from_json (struct run_target_spec *t, const json_t *o);

#endif
