/* Validates the complete body and reads the key and the deadline.  */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"
#include "filter/request.h"

#define COMMON_RULES                                                          \
  { "key", RULE_TEXT, false, 1, KEY_BYTES - 1, NULL, NULL },                  \
      { "submitted_at_ms", RULE_INTEGER, false, 1, INT64_MAX, NULL, NULL },   \
      { "deadline_ms", RULE_INTEGER, false, 1, INT64_MAX, NULL, NULL },       \
  {                                                                           \
    "wait", RULE_BOOLEAN, false, 0, 0, NULL, NULL                             \
  }

static const struct json_rule task_rules[] = {
  { "kind", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "payload", RULE_ANY, false, 0, 0, NULL, NULL },
  { "run_ms", RULE_INTEGER, false, 0, 86400000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule job_rules[] = {
  COMMON_RULES,
  { "tasks", RULE_ARRAY, true, 1, TASKS_PER_JOB_LIMIT, task_rules, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule single_rules[] = {
  COMMON_RULES,
  { "kind", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "payload", RULE_ANY, false, 0, 0, NULL, NULL },
  { "run_ms", RULE_INTEGER, false, 0, 86400000, NULL, NULL },
  { "idempotent", RULE_BOOLEAN, true, 0, 0, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

/* Generates a key for a submission without one, in this entry's failure
   domain.  The owner depends on the key's hash, so several keys are tried
   until this entry owns one; the last is used in any case.  */
static void
make_key (struct request *r, char *text, size_t size)
{
  struct entry *n = r->entry;
  const struct group *g = &n->submissions.group;
  char prefix[KEY_BYTES];

  submission_key_prefix (prefix, sizeof prefix, g->domain, g->incarnation,
                         now_wall_ms ());
  for (uint32_t i = 0; i < 64; i++)
    {
      char id[RECORD_ID_BYTES];
      const struct group_member *owner;

      snprintf (text, size, "%.70s.%s-%" PRIx64 "-%" PRIx64, prefix,
                n->settings->vm, n->boot_id, ++n->next_key);
      snprintf (id, sizeof id, "%s/%s", r->team, text);
      owner = group_owner (g, id);
      if (owner == NULL || strcmp (owner->vm, n->settings->vm) == 0)
        return;
    }
}

static enum filter_result
read_key (struct request *r)
{
  const char *given = json_get_text (r->root, "key", NULL);
  char generated[KEY_BYTES];
  const char *fault;

  if (given == NULL)
    {
      if (r->entry->submissions.group.incarnation == 0)
        return request_refuse (r, 503, "no_group", "not_run",
                               "this VM has not joined its replica group yet");
      r->keyless = true;
      make_key (r, generated, sizeof generated);
      given = generated;
    }
  fault = submission_key_parse (
      &r->key, given, json_get_integer (r->root, "submitted_at_ms", 0),
      r->entry->settings);
  if (fault != NULL)
    return request_refuse (r, 400, "invalid_key", "not_run", "key: %s", fault);
  return FILTER_PASS;
}

enum filter_result
filter_parse (struct request *r)
{
  const struct policy *p = &r->entry->environment.policy;
  struct json_report report;
  int64_t deadline_ms;

  r->root = json_check_parse (r->body, r->body_length,
                              r->single ? single_rules : job_rules, &report);
  if (r->root == NULL)
    return request_refuse (r, 400, "invalid_submission", "not_run", "%s",
                           report.text);
  deadline_ms
      = json_get_integer (r->root, "deadline_ms", p->default_deadline_ms);
  r->deadline_ms = r->begun_ms + deadline_ms;
  r->wait = json_get_boolean (r->root, "wait", true);
  if (read_key (r) != FILTER_PASS)
    return FILTER_ANSWERED;
  if (deadline_ms > p->maximum_deadline_ms)
    return request_refuse (
        r, 400, "invalid_submission", request_refusal_outcome (r),
        "deadline_ms: must be 1 to %" PRId64, p->maximum_deadline_ms);
  return FILTER_PASS;
}
