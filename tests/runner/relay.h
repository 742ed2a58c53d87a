/* TCP relays for the peer connections between VMs, by which scenarios simulate
   network partitions: bytes are held back, in one direction or both, while
   connections stay open, as they do when packets are lost.  */
#ifndef RUNNER_RELAY_H
#define RUNNER_RELAY_H

#include <stdbool.h>
#include "tests/runner/cluster.h"

struct relays;

/* Starts a relay for every ordered pair of VMs.  */
struct relays *relays_new (struct cluster *c);
void relays_free (struct relays *r);

/* Holds back the bytes from VM FROM to VM TO, given by index; with CUT false,
   delivers them.  */
void relays_cut (struct relays *r, uint32_t from, uint32_t to, bool cut);

#endif
