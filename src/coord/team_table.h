/* Teams: their quotas and their queues of submissions with tasks to start.
   Queues are served in turn, a task at a time, so that no team's burst holds
   up another's work.  No I/O and no clock.  */
#ifndef COORD_TEAM_TABLE_H
#define COORD_TEAM_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/submission.h"

struct team
{
  char name[NAME_BYTES];
  char token_sha256[HASH_TEXT_BYTES];

  /* quota: a token bucket */
  double tasks_per_s; /* this entry's share */
  double burst_tasks;
  double tokens;
  int64_t refilled_ms;

  /* submissions with tasks to start, first come first */
  struct submission *head;
  struct submission *tail;
  uint64_t queued_tasks;
  bool removed; /* gone from the document; its queue still runs out */

  UT_hash_handle hh;
};

struct team_table
{
  struct team *teams;
  struct team *turn;
  uint64_t queued_tasks;
};

void team_table_init (struct team_table *t);
void team_table_done (struct team_table *t);

struct team *team_table_find (const struct team_table *t, const char *name);

/* The team whose token has this SHA-256, or NULL.  */
struct team *team_table_find_token (const struct team_table *t,
                                    const char *sha256);

/* Adds the team, or changes its token and quota.  */
struct team *team_table_set (struct team_table *t, const char *name,
                             const char *token_sha256, double tasks_per_s,
                             double burst_tasks);

/* Takes TASKS from the quota.  Returns false, with nothing taken, if it does
   not allow them now.  */
bool team_take_quota (struct team *m, int64_t now_ms, uint32_t tasks);

/* Puts S, which must not be queued, at the end of its team's queue.  */
void team_table_push (struct team_table *t, struct submission *s);

/* Puts task INDEX of S, which came back unrun, at the front again.  */
void team_table_return (struct team_table *t, struct submission *s,
                        uint32_t index);

/* The submission whose turn it is, or NULL where all queues are empty.  It
   stays queued.  */
struct submission *team_table_turn (struct team_table *t);

/* Takes the next task of S, whose turn it was, and gives the turn to the next
   team.  S leaves the queue with its last task, so the caller holds it.  */
uint32_t team_table_take (struct team_table *t, struct submission *s);

/* Skips the turn of S's team.  */
void team_table_skip (struct team_table *t);

/* Takes S out of its queue, wherever it stands.  */
void team_table_remove (struct team_table *t, struct submission *s);

#endif
