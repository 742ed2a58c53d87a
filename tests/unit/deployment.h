/* An open deployment in one process: keepers and entries, each on a loopback
   address of its own, and targets that are simulated by fake_port.  */
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
  int64_t heartbeat_sent_ms;   /* when the targets last sent heartbeats */
  bool heartbeats_to_follower; /* sent to a follower, not to the leader */
  bool targets_draining;       /* targets report that they are draining */
  uint32_t heartbeats_acked;   /* by the keeper, for all targets together */
  int64_t cold_ms;             /* targets report to be cold for so long */
  uint64_t sequence;           /* number in the last heartbeats */
  bool heartbeats_paused;      /* targets send no heartbeats */
  bool two_domains; /* every second target is in domain "oven"; the test must
                       put its second entry there too */
};

/* Prepares settings and folders, but starts no process.  deployment_done stops
   the processes that run and removes the folders.  */
void deployment_init (struct deployment *d);
void deployment_done (struct deployment *d);

/* Starts keeper or entry I, or stops it without a drain.  */
void deployment_start_keeper (struct deployment *d, int i);
void deployment_stop_keeper (struct deployment *d, int i);
void deployment_start_entry (struct deployment *d, int i);
void deployment_stop_entry (struct deployment *d, int i);

/* The leader, or a running keeper that is not the leader; NULL if there is
   none.  */
struct quorum_keeper *deployment_leader (const struct deployment *d);
struct quorum_keeper *deployment_follower (const struct deployment *d);

/* Runs the event loop for a short time, then sends the targets' heartbeats if
   they are due.  */
void deployment_run_step (struct deployment *d);

/* The same on a stopped clock (fake_clock), which it advances.  */
void deployment_run_simulated_step (struct deployment *d);

/* Runs until all targets have an owner, or until there is a leader.  The test
   fails and ends there if that takes longer than WAIT_MS: what follows would
   use a leader that does not exist.  */
void deployment_run_until_owned (struct deployment *d);
void deployment_run_until_leader (struct deployment *d);

#endif
