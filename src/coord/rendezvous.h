/* Rendezvous (highest random weight) hashing (Thaler and Ravishankar 1998). */
#ifndef COORD_RENDEZVOUS_H
#define COORD_RENDEZVOUS_H

#include <stdint.h>

/* The weight of candidate NAME for KEY.  The candidate with the highest weight
   owns the key.  */
uint64_t rendezvous_weight (const char *key, const char *name);

#endif
