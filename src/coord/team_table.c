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
  struct team *m;
  struct team *next;

  HASH_ITER (hh, t->teams, m, next)
  {
    while (m->head != NULL)
      {
        struct submission *s = m->head;

        m->head = s->queue_next;
        submission_release (s);
      }
    HASH_DEL (t->teams, m);
    free (m);
  }
}

struct team *
team_table_find (const struct team_table *t, const char *name)
{
  struct team *m;

  HASH_FIND_STR (t->teams, name, m);
  return m;
}

struct team *
team_table_find_token (const struct team_table *t, const char *sha256)
{
  for (struct team *m = t->teams; m != NULL; m = m->hh.next)
    if (!m->removed && strcmp (m->token_sha256, sha256) == 0)
      return m;
  return NULL;
}

struct team *
team_table_set (struct team_table *t, const char *name,
                const char *token_sha256, double tasks_per_s,
                double burst_tasks)
{
  struct team *m = team_table_find (t, name);

  if (m == NULL)
    {
      m = calloc (1, sizeof *m);
      snprintf (m->name, sizeof m->name, "%s", name);
      m->tokens = burst_tasks;
      HASH_ADD_STR (t->teams, name, m);
    }
  snprintf (m->token_sha256, sizeof m->token_sha256, "%s", token_sha256);
  m->tasks_per_s = tasks_per_s;
  m->burst_tasks = burst_tasks;
  m->removed = false;
  return m;
}

bool
team_consume_quota (struct team *m, int64_t now_ms, uint32_t tasks)
{
  if (m->refilled_ms != 0)
    m->tokens += (double)(now_ms - m->refilled_ms) * m->tasks_per_s / 1000;
  if (m->refilled_ms == 0 || m->tokens > m->burst_tasks)
    m->tokens = m->burst_tasks;
  m->refilled_ms = now_ms;
  if (m->tokens < tasks)
    return false;
  m->tokens -= tasks;
  return true;
}

static struct team *
find_or_add_team (struct team_table *t, const struct submission *s)
{
  struct team *m = team_table_find (t, s->team);

  return m != NULL ? m : team_table_set (t, s->team, "", 0, 0);
}

void
team_table_push (struct team_table *t, struct submission *s)
{
  struct team *m = find_or_add_team (t, s);

  submission_hold (s);
  s->queued = true;
  s->queue_next = NULL;
  if (m->tail == NULL)
    m->head = s;
  else
    m->tail->queue_next = s;
  m->tail = s;
  m->queued_tasks += submission_tasks_left (s);
  t->queued_tasks += submission_tasks_left (s);
}

void
team_table_requeue (struct team_table *t, struct submission *s, uint32_t index)
{
  struct team *m = find_or_add_team (t, s);

  submission_return_task (s, index);
  m->queued_tasks++;
  t->queued_tasks++;
  if (s->queued)
    return;
  submission_hold (s);
  s->queued = true;
  s->queue_next = m->head;
  m->head = s;
  if (m->tail == NULL)
    m->tail = s;
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
unlink_head (struct team *m)
{
  struct submission *s = m->head;

  m->head = s->queue_next;
  if (m->head == NULL)
    m->tail = NULL;
  s->queue_next = NULL;
  s->queued = false;
  submission_release (s);
}

uint32_t
team_table_pop (struct team_table *t, struct submission *s)
{
  struct team *m = find_or_add_team (t, s);
  uint32_t index = submission_take_task (s);

  m->queued_tasks--;
  t->queued_tasks--;
  if (submission_tasks_left (s) == 0)
    unlink_head (m);
  team_table_skip (t);
  return index;
}

void
team_table_remove (struct team_table *t, struct submission *s)
{
  struct team *m = find_or_add_team (t, s);
  struct submission **at = &m->head;
  struct submission *previous = NULL;

  if (!s->queued)
    return;
  while (*at != s)
    {
      previous = *at;
      at = &(*at)->queue_next;
    }
  *at = s->queue_next;
  if (m->tail == s)
    m->tail = previous;
  m->queued_tasks -= submission_tasks_left (s);
  t->queued_tasks -= submission_tasks_left (s);
  s->queue_next = NULL;
  s->queued = false;
  submission_release (s);
}
