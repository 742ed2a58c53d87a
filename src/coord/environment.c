#include "coord/environment.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_text.h"

enum
{
  RECORD_BYTES_DEFAULT = 48 << 20
};

static const struct json_rule team_rules[] = {
  { "name", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "token_sha256", RULE_TEXT, true, 64, 64, NULL, NULL },
  { "tasks_per_s", RULE_REAL, true, 0, 10000000, NULL, NULL },
  { "burst_tasks", RULE_REAL, true, 1, 10000000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule kind_rules[] = {
  { "name", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "run_ms", RULE_INTEGER, true, 1, 600000, NULL, NULL },
  { "timeout_ms", RULE_INTEGER, true, 1, 600000, NULL, NULL },
  { "cpus", RULE_INTEGER, false, 0, 4096, NULL, NULL },
  { "memory_mb", RULE_INTEGER, false, 0, 16777216, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule limit_rules[] = {
  { "queued_tasks", RULE_INTEGER, false, 1, 100000000, NULL, NULL },
  { "records", RULE_INTEGER, false, 1, 100000000, NULL, NULL },
  { "record_bytes", RULE_INTEGER, false, 1000, INT64_MAX, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule policy_rules[] = {
  { "response_weight", RULE_REAL, false, 0, 1000, NULL, NULL },
  { "waste_weight", RULE_REAL, false, 0, 1000, NULL, NULL },
  { "retry_ratio", RULE_REAL, false, 0, 1, NULL, NULL },
  { "default_deadline_ms", RULE_INTEGER, false, 1, 600000, NULL, NULL },
  { "maximum_deadline_ms", RULE_INTEGER, false, 1, 600000, NULL, NULL },
  { "eject_failures", RULE_INTEGER, false, 1, 1000, NULL, NULL },
  { "eject_share", RULE_REAL, false, 0, 1, NULL, NULL },
  { "eject_ms", RULE_INTEGER, false, 1, 3600000, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule cut_off_rules[] = {
  { "quota_share", RULE_REAL, false, 0, 1, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule environment_rules[] = {
  { "environments", RULE_ARRAY, true, 1, 8, NULL, NULL },
  { "teams", RULE_ARRAY, true, 1, TEAM_LIMIT, team_rules, NULL },
  { "kinds", RULE_ARRAY, true, 1, KIND_LIMIT, kind_rules, NULL },
  { "limits", RULE_OBJECT, false, 0, 0, limit_rules, NULL },
  { "policy", RULE_OBJECT, false, 0, 0, policy_rules, NULL },
  { "cut_off", RULE_OBJECT, false, 0, 0, cut_off_rules, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

void
environment_init (struct environment *e)
{
  memset (e, 0, sizeof *e);
}

void
environment_done (struct environment *e)
{
  json_decref (e->config);
  e->config = NULL;
}

/* Adds a fault to R for each element of the array FIELD whose member MEMBER
   has the same text as that of an earlier one.  */
static void
check_unique (const json_t *config, const char *field, const char *member,
              struct json_report *r)
{
  const json_t *array = json_object_get (config, field);
  json_t *seen = json_object ();
  char path[64];
  json_t *o;
  size_t i;

  json_array_foreach ((json_t *)array, i, o)
  {
    const char *value = json_get_text (o, member, "");

    snprintf (path, sizeof path, "%s[%zu].%s", field, i, member);
    if (json_object_get (seen, value) != NULL)
      json_report_add (r, path, "stands twice");
    json_object_set_new (seen, value, json_true ());
  }
  json_decref (seen);
}

static bool
lists_environment (const json_t *config, const char *name)
{
  const json_t *array = json_object_get (config, "environments");
  json_t *o;
  size_t i;

  json_array_foreach ((json_t *)array, i,
                      o) if (json_is_string (o)
                             && strcmp (json_string_value (o), name)
                                    == 0) return true;
  return false;
}

void
environment_check (const json_t *config, const char *name,
                   struct json_report *r)
{
  const json_t *policy = json_object_get (config, "policy");

  json_check_object (config, environment_rules, "", r);
  if (r->faults != 0)
    return;
  check_unique (config, "teams", "name", r);
  check_unique (config, "teams", "token_sha256", r);
  check_unique (config, "kinds", "name", r);
  if (json_get_integer (policy, "default_deadline_ms", 10000)
      > json_get_integer (policy, "maximum_deadline_ms", 60000))
    json_report_add (r, "policy.default_deadline_ms",
                     "is larger than maximum_deadline_ms");
  if (name != NULL && !lists_environment (config, name))
    json_report_add (r, "environments", "does not list %s", name);
}

static void
read_kinds (struct environment *e)
{
  const json_t *array = json_object_get (e->config, "kinds");
  json_t *o;
  size_t i;

  e->kind_count = 0;
  json_array_foreach ((json_t *)array, i, o)
  {
    struct task_kind *k = &e->kinds[e->kind_count++];

    snprintf (k->name, sizeof k->name, "%s", json_get_text (o, "name", ""));
    k->run_ms = json_get_integer (o, "run_ms", 1);
    k->timeout_ms = json_get_integer (o, "timeout_ms", 1);
    k->cpus = json_get_integer (o, "cpus", 0);
    k->memory_mb = json_get_integer (o, "memory_mb", 0);
  }
}

void
environment_set (struct environment *e, uint64_t number, json_t *config)
{
  const json_t *policy = json_object_get (config, "policy");
  const json_t *limits = json_object_get (config, "limits");
  struct policy *p = &e->policy;

  json_incref (config);
  json_decref (e->config);
  e->config = config;
  e->number = number;
  environment_sha256 (config, e->sha256);
  read_kinds (e);
  p->response_weight = json_get_real (policy, "response_weight", 1);
  p->waste_weight = json_get_real (policy, "waste_weight", 1);
  p->retry_ratio = json_get_real (policy, "retry_ratio", 0.1);
  p->default_deadline_ms
      = json_get_integer (policy, "default_deadline_ms", 10000);
  p->maximum_deadline_ms
      = json_get_integer (policy, "maximum_deadline_ms", 60000);
  p->eject_failures = (uint32_t)json_get_integer (policy, "eject_failures", 5);
  p->eject_share = json_get_real (policy, "eject_share", 0.3);
  p->eject_ms = json_get_integer (policy, "eject_ms", 5000);
  e->queued_tasks = (uint64_t)json_get_integer (limits, "queued_tasks", 20000);
  e->records = (uint32_t)json_get_integer (limits, "records", 200000);
  e->record_bytes = (uint64_t)json_get_integer (limits, "record_bytes",
                                                RECORD_BYTES_DEFAULT);
  e->cut_off_quota_share
      = json_get_real (json_object_get (config, "cut_off"), "quota_share", 1);
}

const struct task_kind *
environment_kind (const struct environment *e, const char *name)
{
  for (uint32_t i = 0; i < e->kind_count; i++)
    if (strcmp (e->kinds[i].name, name) == 0)
      return &e->kinds[i];
  return NULL;
}

void
sha256_text (const char *text, size_t length, char *sha256)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int n;

  EVP_Digest (text, length, digest, &n, EVP_sha256 (), NULL);
  for (unsigned int i = 0; i < n; i++)
    snprintf (sha256 + 2 * (size_t)i, 3, "%02x", digest[i]);
}

void
environment_sha256 (const json_t *config, char *sha256)
{
  char *text = json_encode_with (config, JSON_COMPACT | JSON_SORT_KEYS);

  sha256_text (text, strlen (text), sha256);
  free (text);
}
