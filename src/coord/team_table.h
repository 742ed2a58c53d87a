/* The teams with their quotas and their queues of submissions with tasks to
   start.  Queues are served round-robin, one task at a time, so that a burst
   of one team does not delay the others.  No I/O and no clock.  */
#ifndef COORD_TEAM_TABLE_H
#define COORD_TEAM_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/submission.h"

struct team
{
  char name[NAME_BYTES];
  char token_sha256[SHA256_HEX_BYTES];

  /* quota: a token bucket */
  double tasks_per_s; /* this entry's share of the quota */
  double burst_tasks;
  double tokens;
  int64_t refilled_ms;

  /* queue of submissions with tasks to start, oldest first */
  struct submission *head;
  struct submission *tail;
  uint64_t queued_tasks;
  bool removed; /* from the configuration; its queue is still served */

  UT_hash_handle hh;
};

struct team_table
{
  struct team *teams;
  struct team *next_team; /* the next to be served; NULL: the first one */
  uint64_t queued_tasks;
};

void team_table_init (struct team_table *t);
void team_table_done (struct team_table *t);

struct team *team_table_find (const struct team_table *t, const char *name);

/* The configured team whose token has this SHA-256, or NULL.  */
struct team *team_table_find_token (const struct team_table *t,
                                    const char *sha256);

/* Adds the team NAME or updates its token and quota.  */
struct team *team_table_set (struct team_table *t, const char *name,
                             const char *token_sha256, double tasks_per_s,
                             double burst_tasks);

/* Consumes TASKS tokens of the quota.  Returns false and consumes none if
   there are fewer.  */
bool team_consume_quota (struct team *team, int64_t now_ms, uint32_t tasks);

/* Appends S, which must not be queued, to its team's queue.  */
void team_table_push (struct team_table *t, struct submission *s);

/* Returns task INDEX of S to be started again.  S is put at the front of its
   team's queue if it is not queued.  */
void team_table_requeue (struct team_table *t, struct submission *s,
                         uint32_t index);

/* The first submission of the next team to be served, or NULL if all queues
   are empty.  It remains queued.  */
struct submission *team_table_peek (struct team_table *t);

/* Takes the next task of S, which team_table_peek returned, and advances to
   the next team.  Returns the task's index.  S leaves the queue with its last
   task, so the caller must hold a reference to it.  */
uint32_t team_table_pop (struct team_table *t, struct submission *s);

/* Advances to the next team without taking a task.  */
void team_table_skip (struct team_table *t);

/* Removes S, which may be at any position, from its queue.  Does nothing if S
   is not queued.  */
void team_table_remove (struct team_table *t, struct submission *s);

#endif
