#include "tests/runner/checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "base/json_check.h"

enum
{
  ANSWER_MARGIN_MS = 2500,
  LEAVE_GRACE_MS = 2000
};

void
record_read (struct record *r, const struct cluster *c)
{
  char path[2 * CLUSTER_PATH_BYTES];
  char line[512];
  uint32_t capacity = 0;
  FILE *f;

  memset (r, 0, sizeof *r);
  snprintf (path, sizeof path, "%s/record", c->folder);
  f = fopen (path, "r");
  if (f == NULL)
    return;
  while (fgets (line, sizeof line, f) != NULL)
    {
      struct record_line *l;

      if (r->count == capacity)
        {
          capacity = capacity * 2 + 256;
          r->lines = realloc (r->lines, capacity * sizeof *r->lines);
        }
      l = &r->lines[r->count];
      if (sscanf (line, "%" SCNd64 " %63s %7s %255s", &l->wall_ms, l->target,
                  l->event, l->task)
          == 4)
        r->count++;
    }
  fclose (f);
}

void
record_done (struct record *r)
{
  free (r->lines);
}

static bool
is_start_of (const struct record_line *l, const char *key)
{
  const char *slash = strchr (l->task, '/');
  size_t n = strlen (key);

  return strcmp (l->event, "start") == 0 && slash != NULL
         && strncmp (slash + 1, key, n) == 0 && slash[1 + n] == '#';
}

uint32_t
record_starts (const struct record *r, const char *key)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < r->count; i++)
    n += is_start_of (&r->lines[i], key);
  return n;
}

static bool
may_repeat (const struct calls *calls, const char *task)
{
  const char *slash = strchr (task, '/');

  for (const struct call *c = calls->first; c != NULL; c = c->next)
    if (c->may_repeat && slash != NULL
        && strncmp (slash + 1, c->key, strlen (c->key)) == 0)
      return true;
  return false;
}

struct seen_task
{
  const char *task;
  UT_hash_handle hh;
};

static uint32_t
check_started_once (const struct record *r, const struct calls *calls)
{
  struct seen_task *seen = NULL;
  struct seen_task *s;
  struct seen_task *next;
  uint32_t violations = 0;

  for (uint32_t i = 0; i < r->count; i++)
    {
      const char *task = r->lines[i].task;

      if (strcmp (r->lines[i].event, "start") != 0)
        continue;
      HASH_FIND_STR (seen, task, s);
      if (s == NULL)
        {
          s = calloc (1, sizeof *s);
          s->task = task;
          HASH_ADD_KEYPTR (hh, seen, s->task, strlen (s->task), s);
        }
      else if (!may_repeat (calls, task))
        {
          printf ("VIOLATION: task started twice: %s\n", task);
          violations++;
        }
    }
  HASH_ITER (hh, seen, s, next)
  {
    HASH_DEL (seen, s);
    free (s);
  }
  return violations;
}

/* Whether another attempt with the key of C is still pending or was answered
   after C; a start after the answer of C may then belong to it.  */
static bool
has_other_attempt (const struct calls *calls, const struct call *c)
{
  for (const struct call *o = calls->first; o != NULL; o = o->next)
    if (o != c && o->submission && strcmp (o->key, c->key) == 0
        && (!o->done || o->answered_wall_ms >= c->answered_wall_ms))
      return true;
  return false;
}

/* When a submission is answered "not run", no attempt with its key has been
   started; only another attempt may be started later.  Answers with status 409
   (key conflict) are exempt: the submission that has the key may run.  */
static uint32_t
check_not_run (const struct record *r, const struct calls *calls)
{
  uint32_t violations = 0;

  for (const struct call *c = calls->first; c != NULL; c = c->next)
    {
      if (!c->submission || c->key[0] == '\0' || c->status == 409
          || strcmp (call_state (c), "not_run") != 0)
        continue;
      for (uint32_t i = 0; i < r->count; i++)
        if (is_start_of (&r->lines[i], c->key)
            && (r->lines[i].wall_ms < c->answered_wall_ms
                || !has_other_attempt (calls, c)))
          {
            printf ("VIOLATION: %s at %s was answered \"not run\" but ran: "
                    "%s\n",
                    c->name, c->vm, r->lines[i].task);
            violations++;
          }
    }
  return violations;
}

/* A task that a failed answer reports as "not_run" must not have started.  */
static uint32_t
check_tasks_not_run (const struct record *r, const struct calls *calls)
{
  uint32_t violations = 0;

  for (const struct call *c = calls->first; c != NULL; c = c->next)
    {
      json_t *tasks = json_object_get (c->body, "tasks");
      json_t *state;
      size_t i;

      json_array_foreach (tasks, i, state)
      {
        char id[200];

        if (strcmp (json_string_value (state), "not_run") != 0)
          continue;
        snprintf (id, sizeof id, "/%s#%zu", c->key, i);
        for (uint32_t j = 0; j < r->count; j++)
          {
            const char *slash = strchr (r->lines[j].task, '/');

            if (strcmp (r->lines[j].event, "start") == 0 && slash != NULL
                && strcmp (slash, id) == 0)
              {
                printf ("VIOLATION: task %s was reported not run but ran\n",
                        id);
                violations++;
              }
          }
      }
    }
  return violations;
}

/* An answer has results if and only if it is complete; it carries the key of
   its call; and all complete answers of one key are identical.  */
static uint32_t
check_answers (const struct calls *calls)
{
  uint32_t violations = 0;

  for (const struct call *c = calls->first; c != NULL; c = c->next)
    {
      bool complete = strcmp (call_state (c), "complete") == 0;
      const char *key = json_get_text (c->body, "key", c->key);
      bool results = json_object_get (c->body, "results") != NULL
                     || json_object_get (c->body, "result") != NULL;

      if (!c->submission || c->lost || !c->done)
        continue;
      if (complete != results)
        {
          printf ("VIOLATION: %s: partial answer: %s\n", c->name, c->text);
          violations++;
        }
      if (c->key[0] != '\0' && strcmp (key, c->key) != 0)
        {
          printf ("VIOLATION: %s got the answer of %s\n", c->key, key);
          violations++;
        }
      for (const struct call *o = c->next; complete && o != NULL; o = o->next)
        if (o->submission && strcmp (o->key, c->key) == 0
            && strcmp (call_state (o), "complete") == 0
            && strcmp (o->text, c->text) != 0)
          {
            printf ("VIOLATION: %s has two different answers\n", c->name);
            violations++;
          }
    }
  return violations;
}

static uint32_t
check_in_time (const struct calls *calls)
{
  uint32_t violations = 0;

  for (const struct call *c = calls->first; c != NULL; c = c->next)
    {
      if (!c->submission || c->vm_killed)
        continue;
      if (!c->done || c->lost)
        {
          printf ("VIOLATION: %s at %s got no answer\n", c->name, c->vm);
          violations++;
        }
      else if (c->answered_wall_ms - c->sent_wall_ms
               > c->deadline_ms + ANSWER_MARGIN_MS)
        {
          printf ("VIOLATION: %s at %s was answered after %" PRId64 " ms\n",
                  c->name, c->vm, c->answered_wall_ms - c->sent_wall_ms);
          violations++;
        }
    }
  return violations;
}

/* No start is sent to a target later than LEAVE_GRACE_MS after it announced
   that it leaves.  */
static uint32_t
check_leaving (const struct record *r)
{
  uint32_t violations = 0;

  for (uint32_t i = 0; i < r->count; i++)
    {
      if (strcmp (r->lines[i].event, "leave") != 0)
        continue;
      for (uint32_t j = i + 1; j < r->count; j++)
        if ((strcmp (r->lines[j].event, "start") == 0
             || strcmp (r->lines[j].event, "refuse") == 0)
            && strcmp (r->lines[j].target, r->lines[i].target) == 0
            && r->lines[j].wall_ms > r->lines[i].wall_ms + LEAVE_GRACE_MS)
          {
            printf ("VIOLATION: %s was sent a start while leaving\n",
                    r->lines[i].target);
            violations++;
          }
    }
  return violations;
}

/* No VM process that the script left running has ended.  */
static uint32_t
check_processes (const struct cluster *c)
{
  uint32_t violations = 0;

  for (uint32_t i = 0; i < c->vm_count; i++)
    {
      pid_t pid = c->vms[i].pid;
      int status = 0;

      if (pid == 0 || !cluster_reap (&pid, &status))
        continue;
      printf ("VIOLATION: %s exited unexpectedly, status %d\n", c->vms[i].name,
              status);
      violations++;
    }
  return violations;
}

uint32_t
checker_run (const struct cluster *c, const struct calls *calls)
{
  struct record r;
  uint32_t violations = 0;

  record_read (&r, c);
  violations += check_started_once (&r, calls);
  violations += check_not_run (&r, calls);
  violations += check_tasks_not_run (&r, calls);
  violations += check_answers (calls);
  violations += check_in_time (calls);
  violations += check_leaving (&r);
  violations += check_processes (c);
  record_done (&r);
  return violations;
}
