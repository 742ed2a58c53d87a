/* Keepers and entries of an open deployment together, in one process, over
   loopback addresses of their own; targets are tables (fake_port).  */
#ifndef UNIT_DEPLOYMENT_H
#define UNIT_DEPLOYMENT_H

#include "controller/job_entry.h"
#include "controller/quorum_keeper.h"

enum
{
  KEEPERS = 4,
  ENTRIES = 2,
  TARGETS = 4,
  SEEDS = 3,
  WAIT_MS = 8000,
  LONG_WAIT_MS = 2 * WAIT_MS
};

struct deployment
{
  struct event_base *base;
  struct node_settings keeper_settings[KEEPERS];
  struct node_settings entry_settings[ENTRIES];
  char folders[KEEPERS][64];
  struct quorum_keeper *keepers[KEEPERS]; /* NULL while down */
  struct job_entry *entries[ENTRIES];
  int64_t heartbeat_ms;
  bool any_keeper;    /* targets speak to one that does not lead */
  bool targets_leave; /* they say that they are draining */
  uint32_t heard;     /* heartbeats that were acknowledged */
  uint64_t sequence;  /* of the last heartbeats */
  bool targets_silent;
  bool two_domains; /* the second entry and every second target in another */
};

void deployment_init (struct deployment *d);
void deployment_done (struct deployment *d);

/* Process I of its kind starts, or ends at once.  */
void deployment_start_keeper (struct deployment *d, int i);
void deployment_stop_keeper (struct deployment *d, int i);
void deployment_start_entry (struct deployment *d, int i);
void deployment_stop_entry (struct deployment *d, int i);

/* The keeper that leads, and one that does not, or NULL.  */
struct quorum_keeper *deployment_leader (const struct deployment *d);
struct quorum_keeper *deployment_follower (const struct deployment *d);

/* Runs the loop for a moment, and the targets' heartbeats.  */
void deployment_run_step (struct deployment *d);

/* Runs until all targets have an owner, or a keeper leads; else the test
   fails.  */
void deployment_run_until_owned (struct deployment *d);
void deployment_run_until_led (struct deployment *d);

#endif
