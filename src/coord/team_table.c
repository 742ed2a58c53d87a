#include "coord/team_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
team_table_init (struct team_table *t)
{
  memset (t, 0, sizeof *t);
}

void
team_table_done (struct team_table *t)
{
  struct team *team;
  struct team *next;

  HASH_ITER (hh, t->teams, team, next)
  {
    while (team->head != NULL)
      {
        struct submission *s = team->head;

        team->head = s->queue_next;
        submission_release (s);
      }
    HASH_DEL (t->teams, team);
    free (team);
  }
}

struct team *
team_table_find (const struct team_table *t, const char *name)
{
  struct team *team;

  HASH_FIND_STR (t->teams, name, team);
  return team;
}

struct team *
team_table_find_token (const struct team_table *t, const char *sha256)
{
  for (struct team *team = t->teams; team != NULL; team = team->hh.next)
    if (!team->removed && strcmp (team->token_sha256, sha256) == 0)
      return team;
  return NULL;
}

struct team *
team_table_set (struct team_table *t, const char *name,
                const char *token_sha256, double tasks_per_s,
                double burst_tasks)
{
  struct team *team = team_table_find (t, name);

  if (team == NULL)
    {
      team = calloc (1, sizeof *team);
      snprintf (team->name, sizeof team->name, "%s", name);
      team->tokens = burst_tasks;
      HASH_ADD_STR (t->teams, name, team);
    }
  snprintf (team->token_sha256, sizeof team->token_sha256, "%s", token_sha256);
  team->tasks_per_s = tasks_per_s;
  team->burst_tasks = burst_tasks;
  team->removed = false;
  return team;
}

bool
team_consume_quota (struct team *team, int64_t now_ms, uint32_t tasks)
{
  if (team->refilled_ms != 0)
    team->tokens
        += (double)(now_ms - team->refilled_ms) * team->tasks_per_s / 1000;
  if (team->refilled_ms == 0 || team->tokens > team->burst_tasks)
    team->tokens = team->burst_tasks;
  team->refilled_ms = now_ms;
  if (team->tokens < tasks)
    return false;
  team->tokens -= tasks;
  return true;
}

static struct team *
find_or_add_team (struct team_table *t, const struct submission *s)
{
  struct team *team = team_table_find (t, s->team);

  return team != NULL ? team : team_table_set (t, s->team, "", 0, 0);
}

void
team_table_push (struct team_table *t, struct submission *s)
{
  struct team *team = find_or_add_team (t, s);

  submission_hold (s);
  s->queued = true;
  s->queue_next = NULL;
  if (team->tail == NULL)
    team->head = s;
  else
    team->tail->queue_next = s;
  team->tail = s;
  team->queued_tasks += submission_tasks_left (s);
  t->queued_tasks += submission_tasks_left (s);
}

void
team_table_requeue (struct team_table *t, struct submission *s, uint32_t index)
{
  struct team *team = find_or_add_team (t, s);

  submission_return_task (s, index);
  team->queued_tasks++;
  t->queued_tasks++;
  if (s->queued)
    return;
  submission_hold (s);
  s->queued = true;
  s->queue_next = team->head;
  team->head = s;
  if (team->tail == NULL)
    team->tail = s;
}

void
team_table_skip (struct team_table *t)
{
  t->next_team = t->next_team == NULL ? NULL : t->next_team->hh.next;
}

struct submission *
team_table_peek (struct team_table *t)
{
  uint32_t teams = HASH_COUNT (t->teams);

  for (uint32_t i = 0; i <= teams; i++)
    {
      if (t->next_team == NULL)
        t->next_team = t->teams;
      if (t->next_team == NULL)
        return NULL;
      if (t->next_team->head != NULL)
        return t->next_team->head;
      team_table_skip (t);
    }
  return NULL;
}

static void
unlink_head (struct team *team)
{
  struct submission *s = team->head;

  team->head = s->queue_next;
  if (team->head == NULL)
    team->tail = NULL;
  s->queue_next = NULL;
  s->queued = false;
  submission_release (s);
}

uint32_t
team_table_pop (struct team_table *t, struct submission *s)
{
  struct team *team = find_or_add_team (t, s);
  uint32_t index = submission_take_task (s);

  team->queued_tasks--;
  t->queued_tasks--;
  if (submission_tasks_left (s) == 0)
    unlink_head (team);
  team_table_skip (t);
  return index;
}

void
team_table_remove (struct team_table *t, struct submission *s)
{
  struct team *team = find_or_add_team (t, s);
  struct submission **at = &team->head;
  struct submission *previous = NULL;

  if (!s->queued)
    return;
  while (*at != s)
    {
      previous = *at;
      at = &(*at)->queue_next;
    }
  *at = s->queue_next;
  if (team->tail == s)
    team->tail = previous;
  team->queued_tasks -= submission_tasks_left (s);
  t->queued_tasks -= submission_tasks_left (s);
  s->queue_next = NULL;
  s->queued = false;
  submission_release (s);
}
