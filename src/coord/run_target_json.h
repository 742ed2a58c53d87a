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

/* Adds to O, the description of T, how much longer it is cold at NOW_MS, or
   reads that into T.  A description of an earlier program has no such
   member.  */
void run_target_cold_to_json (json_t *o, const struct run_target_spec *t,
                              int64_t now_ms);
void run_target_cold_from_json (struct run_target_spec *t, const json_t *o,
                                int64_t now_ms);

#endif
