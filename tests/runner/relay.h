/* Relays between the VMs' peer links, which scenarios cut silently: bytes are
   held back, in one direction or both, while connections stay open, as they
   do when packets are lost.  */
#ifndef RUNNER_RELAY_H
#define RUNNER_RELAY_H

#include <stdbool.h>
#include "tests/runner/cluster.h"

struct relays;

/* A relay for every ordered pair of VMs.  */
struct relays *relays_new (struct cluster *c);
void relays_free (struct relays *r);

/* Holds back, or lets pass, the bytes from VM FROM to VM TO, by index.  */
void relays_cut (struct relays *r, uint32_t from, uint32_t to, bool cut);

#endif
