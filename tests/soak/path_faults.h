/* The soak test's timed faults of the paths between VMs and targets.  */
#ifndef SOAK_PATH_FAULTS_H
#define SOAK_PATH_FAULTS_H

#include <stdbool.h>
#include <stdint.h>
#include "tests/soak/fake_worker.h"

/* The paths that a fault affects.  */
enum path_scope
{
  PATH_PAIR,    /* from VM or target FROM to TO */
  PATH_PEERS,   /* from VM FROM to all other VMs */
  PATH_TARGETS, /* from VM FROM to all targets */
  PATH_KEEPERS, /* from VM FROM to all keepers */
  PATH_DOMAIN   /* from failure domain FROM to all others */
};

struct path_fault
{
  enum path_scope scope;
  int from;
  int to;
  bool both;             /* in both directions */
  int64_t delay_ms;      /* 0: a cut, unless packets are lost */
  uint32_t loss_percent; /* of packets */
  int64_t until_ms;
};

/* Starts fault F, unless too many last already.  */
void path_faults_start (const struct path_fault *f);

/* Makes W handle the requests of the VM at FROM as BEHAVIOUR.  */
void path_faults_misbehave (const struct fake_worker *w, const char *from,
                            enum worker_behaviour behaviour, int64_t until_ms);

/* Returns how W handles a request of the VM at FROM.  */
enum worker_behaviour path_faults_behaviour (const struct fake_worker *w,
                                             const char *from);

/* Ends the faults whose time is over, or ALL of them.  */
void path_faults_end (int64_t now_ms, bool all);

#endif
