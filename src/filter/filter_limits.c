/* Checks kinds, quota and admission.  Refuses, before any task is started, an
   unknown kind, what exceeds the team's quota or the queue, and what cannot
   finish before its deadline.  */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"
#include "filter/request.h"

enum
{
  /* While no slot is known, submissions are still queued for this number of
     leases after one was last known.  */
  NO_SLOTS_GRACE_LEASES = 4
};

static uint32_t
task_count (const struct request *r)
{
  return r->single
             ? 1
             : (uint32_t)json_array_size (json_object_get (r->root, "tasks"));
}

/* Removes the record that filter_idempotency created.  */
static void
drop_record (struct request *r)
{
  if (!r->submission->unregistered)
    submission_register_drop (&r->entry->submissions, r->submission);
}

static enum filter_result
check_kind (struct request *r, const json_t *task, const char *path)
{
  const char *kind = json_get_text (task, "kind", "");

  if (environment_kind (&r->entry->environment, kind) != NULL)
    return FILTER_PASS;
  drop_record (r);
  return request_refuse (r, 400, "unknown_kind", "not_run",
                         "%skind: the configuration has no kind %s", path,
                         kind);
}

enum filter_result
filter_kinds (struct request *r)
{
  json_t *tasks = json_object_get (r->root, "tasks");
  char path[32];
  json_t *o;
  size_t i;

  if (r->single)
    return check_kind (r, r->root, "");
  json_array_foreach (tasks, i, o)
  {
    snprintf (path, sizeof path, "tasks[%zu].", i);
    if (check_kind (r, o, path) != FILTER_PASS)
      return FILTER_ANSWERED;
  }
  return FILTER_PASS;
}

enum filter_result
filter_quota (struct request *r)
{
  struct entry *n = r->entry;
  struct team *team = team_table_find (&n->teams, r->team);

  if (team != NULL && team_consume_quota (team, now_ms (), task_count (r)))
    return FILTER_PASS;
  drop_record (r);
  return request_refuse (r, 429, "quota", "not_run",
                         "the quota of team %s allows no %u tasks now",
                         r->team, task_count (r));
}

static const char *
first_kind (const struct request *r)
{
  if (r->single)
    return json_get_text (r->root, "kind", "");
  return json_get_text (json_array_get (json_object_get (r->root, "tasks"), 0),
                        "kind", "");
}

/* The longest expected run time among the submission's tasks.  */
static double
expected_run_ms (const struct request *r)
{
  const struct entry *n = r->entry;
  json_t *tasks = json_object_get (r->root, "tasks");
  const char *last = "";
  double longest = 0;
  size_t count = r->single ? 1 : json_array_size (tasks);

  for (size_t i = 0; i < count; i++)
    {
      const char *kind
          = r->single ? first_kind (r)
                      : json_get_text (json_array_get (tasks, i), "kind", "");
      const struct task_kind *k;
      double run_ms;

      if (strcmp (kind, last) == 0)
        continue;
      last = kind;
      k = environment_kind (&n->environment, kind);
      run_ms = run_time_mean (&n->run_times, kind,
                              k == NULL ? 1 : (double)k->run_ms);
      if (run_ms > longest)
        longest = run_ms;
    }
  return longest;
}

enum filter_result
filter_admission (struct request *r)
{
  struct entry *n = r->entry;
  int64_t now = now_ms ();
  double slots = target_table_total_slots (&n->targets, now)
                 + (double)peer_table_total_slots (&n->peers, now);
  uint64_t queued = n->teams.queued_tasks;
  double run_ms = expected_run_ms (r);
  double left_ms = (double)(r->deadline_ms - now);
  double rounds;

  if (queued + task_count (r) > n->environment.queued_tasks)
    {
      drop_record (r);
      return request_refuse (r, 503, "queue_full", "not_run",
                             "%" PRIu64 " tasks are queued here already",
                             queued);
    }
  if (slots != 0)
    n->slots_last_seen_ms = now;
  /* Right after a start or a change of owners no slot is known for a moment;
     the submission is queued meanwhile.  */
  if (slots == 0
      && now - n->slots_last_seen_ms
             <= NO_SLOTS_GRACE_LEASES * n->settings->lease_ms)
    return FILTER_PASS;
  if (slots == 0)
    {
      drop_record (r);
      return request_refuse (r, 503, "no_targets", "not_run",
                             "no target is known that takes work");
    }
  rounds = ((double)queued + task_count (r) - 1) / slots;
  if (run_ms * (rounds < 1 ? 1 : rounds) > left_ms)
    {
      drop_record (r);
      return request_refuse (
          r, 503, "deadline", "not_run",
          "deadline_ms: %.0f ms are left and %.0f are expected", left_ms,
          run_ms * (rounds < 1 ? 1 : rounds));
    }
  return FILTER_PASS;
}
