#include "coord/submission.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "base/json_check.h"
#include "base/json_text.h"

struct submission *
submission_new (const char *team, const char *key)
{
  struct submission *s = calloc (1, sizeof *s);

  s->references = 1;
  snprintf (s->team, sizeof s->team, "%s", team);
  snprintf (s->id, sizeof s->id, "%s/%s", team, key);
  return s;
}

struct submission *
submission_hold (struct submission *s)
{
  s->references++;
  return s;
}

static void
free_tasks (struct submission *s)
{
  for (uint32_t i = 0; i < s->task_count; i++)
    {
      free (s->tasks[i].payload);
      free (s->tasks[i].result);
    }
  free (s->tasks);
  free (s->returned);
  s->tasks = NULL;
  s->returned = NULL;
  s->task_count = 0;
}

void
submission_release (struct submission *s)
{
  if (--s->references != 0)
    return;
  while (s->waiters != NULL)
    {
      struct submission_waiter *w = s->waiters;

      s->waiters = w->next;
      free (w);
    }
  free_tasks (s);
  free (s->body);
  free (s->answer);
  free (s);
}

char *
submission_canonical_text (const json_t *value)
{
  return json_encode_with (value, JSON_COMPACT | JSON_SORT_KEYS);
}

struct submission_digest
submission_digest_of (const char *canonical_text)
{
  XXH128_hash_t h = XXH3_128bits (canonical_text, strlen (canonical_text));

  return (struct submission_digest){ h.high64, h.low64 };
}

static void
read_task (struct submission_task *t, const json_t *o)
{
  json_t *payload = json_object_get (o, "payload");

  snprintf (t->kind, sizeof t->kind, "%s", json_get_text (o, "kind", ""));
  t->payload = payload == NULL ? strdup ("null") : json_encode (payload);
  t->outcome = outcome_not_run (PROOF_STILL_QUEUED);
}

static void
read_tasks (struct submission *s, const json_t *value)
{
  const json_t *tasks = json_object_get (value, "tasks");
  uint32_t count = (uint32_t)json_array_size (tasks);

  free_tasks (s);
  s->single = json_object_get (value, "idempotent") != NULL;
  s->idempotent = json_get_boolean (value, "idempotent", false);
  s->tasks = calloc (count, sizeof *s->tasks);
  s->returned = calloc (count, sizeof *s->returned);
  s->task_count = count;
  for (uint32_t i = 0; i < count; i++)
    read_task (&s->tasks[i], json_array_get (tasks, i));
}

void
submission_set_tasks (struct submission *s, const json_t *value, char *text)
{
  read_tasks (s, value);
  free (s->body);
  s->body = text;
}

bool
submission_parse_body (struct submission *s)
{
  json_t *value = s->body == NULL ? NULL : json_loads (s->body, 0, NULL);
  size_t count = json_array_size (json_object_get (value, "tasks"));
  bool good = count != 0 && count <= TASKS_PER_JOB_LIMIT;

  if (good)
    read_tasks (s, value);
  json_decref (value);
  return good;
}

const char *
submission_key_text (const struct submission *s)
{
  return s->id + strlen (s->team) + 1;
}

void
submission_add_waiter (struct submission *s,
                       void (*done) (void *arg, struct submission *s),
                       void *arg)
{
  struct submission_waiter *w = malloc (sizeof *w);

  w->done = done;
  w->arg = arg;
  w->next = s->waiters;
  s->waiters = w;
}

void
submission_remove_waiter (struct submission *s, const void *arg)
{
  struct submission_waiter **at = &s->waiters;

  while (*at != NULL && (*at)->arg != arg)
    at = &(*at)->next;
  if (*at != NULL)
    {
      struct submission_waiter *w = *at;

      *at = w->next;
      free (w);
    }
}

void
submission_notify (struct submission *s)
{
  submission_hold (s);
  while (s->waiters != NULL)
    {
      struct submission_waiter *w = s->waiters;

      s->waiters = w->next;
      w->done (w->arg, s);
      free (w);
    }
  submission_release (s);
}

uint32_t
submission_tasks_left (const struct submission *s)
{
  return s->task_count - s->next_task + s->returned_count;
}

uint32_t
submission_take_task (struct submission *s)
{
  if (s->returned_count != 0)
    return s->returned[--s->returned_count];
  return s->next_task++;
}

void
submission_return_task (struct submission *s, uint32_t index)
{
  s->returned[s->returned_count++] = (uint16_t)index;
}

bool
submission_is_finished (const struct submission *s)
{
  return s->running == 0 && (s->marked_failed || s->finished == s->task_count);
}

struct text_buffer
{
  char *text;
  size_t length;
  size_t capacity;
};

static void
buffer_add (struct text_buffer *b, const char *text)
{
  size_t n = strlen (text);

  if (b->length + n + 1 > b->capacity)
    {
      b->capacity = (b->length + n + 1) * 2;
      b->text = realloc (b->text, b->capacity);
    }
  memcpy (b->text + b->length, text, n + 1);
  b->length += n;
}

static void
add_head (struct text_buffer *b, const struct submission *s, bool complete)
{
  buffer_add (b, "{\"key\":\"");
  buffer_add (b, submission_key_text (s));
  buffer_add (b, complete ? "\",\"state\":\"complete\""
                          : "\",\"state\":\"failed\"");
}

/* Results are JSON texts, validated when the target returned them.  */
static void
add_results (struct text_buffer *b, const struct submission *s)
{
  if (s->single)
    {
      buffer_add (b, ",\"result\":");
      buffer_add (b, s->tasks[0].result);
      return;
    }
  buffer_add (b, ",\"results\":[");
  for (uint32_t i = 0; i < s->task_count; i++)
    {
      if (i != 0)
        buffer_add (b, ",");
      buffer_add (b, s->tasks[i].result == NULL ? "null" : s->tasks[i].result);
    }
  buffer_add (b, "]");
}

/* A failed answer lists for each task whether it ran, and has no results.  */
static void
add_task_outcomes (struct text_buffer *b, const struct submission *s)
{
  buffer_add (b, ",\"tasks\":[");
  for (uint32_t i = 0; i < s->task_count; i++)
    {
      const struct submission_task *t = &s->tasks[i];
      const char *outcome = outcome_name (t->outcome);

      if (t->outcome.kind == OUTCOME_DONE)
        outcome = "ran";
      else if (t->outcome.kind == OUTCOME_FAILED)
        outcome = "ran_failed";
      buffer_add (b, i == 0 ? "\"" : ",\"");
      buffer_add (b, outcome);
      buffer_add (b, "\"");
    }
  buffer_add (b, "]");
}

/* The outcome of the submission: "not_run" if that is true of every task,
   otherwise "unknown" if that is true of any, otherwise "ran".  */
static const char *
overall_outcome (const struct submission *s)
{
  uint32_t not_run = 0;
  uint32_t unknown = 0;

  for (uint32_t i = 0; i < s->task_count; i++)
    {
      not_run += s->tasks[i].outcome.kind == OUTCOME_NOT_RUN;
      unknown += s->tasks[i].outcome.kind == OUTCOME_UNKNOWN;
    }
  if (not_run == s->task_count)
    return "not_run";
  return unknown != 0 ? "unknown" : "ran";
}

void
submission_write_answer (struct submission *s, const char *reason)
{
  struct text_buffer b = { NULL, 0, 0 };
  bool complete = true;

  for (uint32_t i = 0; i < s->task_count; i++)
    complete = complete && s->tasks[i].outcome.kind == OUTCOME_DONE;
  add_head (&b, s, complete);
  if (complete)
    add_results (&b, s);
  else
    {
      buffer_add (&b, ",\"outcome\":\"");
      buffer_add (&b, overall_outcome (s));
      buffer_add (&b, "\",\"error\":{\"code\":\"");
      buffer_add (&b, reason == NULL ? "task_failed" : reason);
      buffer_add (&b, "\",\"message\":\"the job failed; each task says "
                      "whether it ran\"}");
      add_task_outcomes (&b, s);
    }
  buffer_add (&b, "}");
  free (s->answer);
  s->answer = b.text;
}

void
submission_write_lost_answer (struct submission *s)
{
  for (uint32_t i = 0; i < s->task_count; i++)
    s->tasks[i].outcome = i < s->start_watermark
                              ? outcome_unknown ()
                              : outcome_not_run (PROOF_ABOVE_WATERMARK);
  submission_write_answer (s, "executor_lost");
}

void
submission_end (struct submission *s)
{
  free (s->body);
  s->body = NULL;
  s->state = SUBMISSION_ENDED;
  s->retained_bytes
      = (uint32_t)(sizeof *s + (s->answer == NULL ? 0 : strlen (s->answer)));
}

bool
submission_is_complete (const struct submission *s)
{
  return s->answer != NULL
         && strstr (s->answer, "\",\"state\":\"complete\"") != NULL;
}
