/* Verbs of callers: submissions, cancellations and checks of their answers. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"
#include "tests/runner/checker.h"
#include "tests/runner/script.h"

enum
{
  ANSWERS_TIMEOUT_MS = 40000
};

static struct call *
find_last (struct scenario *s, const char *name)
{
  struct call *found = NULL;

  for (struct call *c = s->calls.first; c != NULL; c = c->next)
    if (strcmp (c->name, name) == 0)
      found = c;
  return found;
}

/* Returns the incarnation of DOMAIN in the control view of VM, or 0.  */
static int64_t
read_incarnation (struct scenario *s, const struct cluster_vm *vm,
                  const char *domain)
{
  const struct call *c = scenario_get (s, vm, "/v1/status");
  json_t *groups
      = c == NULL
            ? NULL
            : json_object_get (json_object_get (c->body, "view"), "groups");
  json_t *g;
  size_t i;

  json_array_foreach (
      groups, i, g) if (strcmp (json_get_text (g, "domain", ""), domain)
                        == 0) return json_get_integer (g, "incarnation", 0);
  return 0;
}

/* Makes a unique key for the submission of L.  It names the home domain, which
   is that of VM unless given as home=DOMAIN; with home=bare it is a bare key,
   which names none.  */
static void
make_key (struct scenario *s, const struct line *l,
          const struct cluster_vm *vm, char *key, size_t size)
{
  const char *home = line_option (l, "home", vm->domain);
  uint64_t random = scenario_random (s) & 0xFFFFFF;

  if (strcmp (home, "bare") == 0)
    snprintf (key, size, "bare-%s-%u-%" PRIx64, l->words[1], s->submissions++,
              random);
  else
    snprintf (key, size, "%s.%" PRId64 ".%" PRId64 ".%s-%u-%" PRIx64, home,
              read_incarnation (s, vm, home), now_wall_ms () / 1000,
              l->words[1], s->submissions++, random);
}

static json_t *
tasks_json (const struct line *l)
{
  json_t *tasks = json_array ();
  int count = line_option_int (l, "tasks", 1);

  for (int i = 0; i < count; i++)
    json_array_append_new (
        tasks, json_pack ("{s:s s:{s:i s:b s:b s:i}}", "kind",
                          line_option (l, "kind", "check"), "payload",
                          "run_ms", line_option_int (l, "run_ms", 50), "fail",
                          i < line_option_int (l, "fail", 0), "drop",
                          i < line_option_int (l, "drop", 0), "number", i));
  return tasks;
}

/* Sets the key of submission O.  A bare key does not tell when it was issued,
   so that the submission must.  */
static void
set_key (json_t *o, const char *key)
{
  json_object_set_new (o, "key", json_string (key));
  if (strchr (key, '.') == NULL)
    json_object_set_new (o, "submitted_at_ms",
                         json_integer ((json_int_t)now_wall_ms ()));
}

static json_t *
submission_json (const struct line *l, const char *key, bool single)
{
  const char *file = line_option (l, "file", NULL);
  json_t *o = file == NULL ? json_object () : json_load_file (file, 0, NULL);
  json_t *tasks;

  set_key (o, key);
  if (file != NULL)
    return o;
  tasks = tasks_json (l);
  json_object_set_new (
      o, "deadline_ms",
      json_integer (line_option_int (l, "deadline_ms", 10000)));
  json_object_set_new (
      o, "wait",
      json_boolean (strcmp (line_option (l, "wait", "yes"), "yes") == 0));
  if (single)
    {
      json_object_update (o, json_array_get (tasks, 0));
      json_object_set_new (
          o, "idempotent",
          json_boolean (strcmp (line_option (l, "idempotent", "yes"), "yes")
                        == 0));
      json_decref (tasks);
    }
  else
    json_object_set_new (o, "tasks", tasks);
  return o;
}

static void
send_submission (struct scenario *s, const struct line *l,
                 const struct cluster_vm *vm, const char *name,
                 const char *key, const char *body, bool single)
{
  char token[80];
  struct call *c;

  snprintf (token, sizeof token, "token-%s", line_option (l, "team", "shop"));
  c = calls_send (&s->calls, vm, "POST", single ? "/v1/requests" : "/v1/jobs",
                  token, body);
  snprintf (c->name, sizeof c->name, "%s", name);
  snprintf (c->key, sizeof c->key, "%s", key);
  c->submission = true;
  c->deadline_ms = line_option_int (l, "deadline_ms", 10000);
  c->may_repeat
      = single && strcmp (line_option (l, "idempotent", "yes"), "yes") == 0;
  c->vm_killed = vm->frozen;
}

/* Writes the path of the file with the body of submission NAME, which resubmit
   reads.  */
static void
body_path (const struct scenario *s, const char *name, char *path, size_t size)
{
  snprintf (path, size, "%s/body-%s.json", s->cluster.folder, name);
}

static void
submit (struct scenario *s, const struct line *l, bool single)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  char key[160];
  char path[400];
  json_t *o;
  char *text;

  if (vm == NULL)
    {
      scenario_fail (s, l, "no VM %s", l->words[3]);
      return;
    }
  make_key (s, l, vm, key, sizeof key);
  o = submission_json (l, key, single);
  text = json_dumps (o, JSON_COMPACT);
  body_path (s, l->words[1], path, sizeof path);
  json_dump_file (o, path, JSON_COMPACT);
  send_submission (s, l, vm, l->words[1], key, text, single);
  free (text);
  json_decref (o);
}

/* submit NAME at VM [tasks=N] [run_ms=N] [home=DOMAIN|bare] ...  */
static void
do_submit (struct scenario *s, const struct line *l)
{
  submit (s, l, false);
}

/* request NAME at VM [idempotent=yes|no] ...  */
static void
do_request (struct scenario *s, const struct line *l)
{
  submit (s, l, true);
}

/* flood NAME at VM|all count=N ...: sends N submissions NAME0, NAME1...  */
static void
do_flood (struct scenario *s, const struct line *l)
{
  int count = line_option_int (l, "count", 10);

  for (int i = 0; i < count; i++)
    {
      struct line one = *l;
      char name[CLUSTER_NAME_BYTES];
      uint32_t entries = 0;
      uint32_t pick = (uint32_t)i;

      snprintf (name, sizeof name, "%s%d", l->words[1], i);
      one.words[1] = name;
      for (uint32_t j = 0; j < s->cluster.vm_count; j++)
        entries += !s->cluster.vms[j].keeper;
      if (strcmp (l->words[3], "all") == 0)
        for (uint32_t j = 0, k = 0; j < s->cluster.vm_count; j++)
          if (!s->cluster.vms[j].keeper && k++ == pick % entries)
            one.words[3] = s->cluster.vms[j].name;
      submit (s, &one, false);
    }
}

/* resubmit NAME at VM [change=yes]: sends the submission again, possibly to
   another entry; with change=yes with other content under the same key.  */
static void
do_resubmit (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  struct call *before = find_last (s, l->words[1]);
  char path[400];
  size_t length;
  char *text;

  if (vm == NULL || before == NULL)
    {
      scenario_fail (s, l, "no such VM or submission");
      return;
    }
  body_path (s, l->words[1], path, sizeof path);
  text = json_read_file (path, 1 << 22, &length);
  if (strcmp (line_option (l, "change", "no"), "yes") == 0)
    strstr (text, "\"number\"")[1] = 'N';
  send_submission (s, l, vm, l->words[1], before->key, text,
                   strstr (text, "\"idempotent\"") != NULL);
  free (text);
}

static void
do_cancel (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  struct call *before = find_last (s, l->words[1]);
  char path[256];

  if (vm == NULL || before == NULL)
    {
      scenario_fail (s, l, "no such VM or submission");
      return;
    }
  snprintf (path, sizeof path, "/v1/jobs/%s", before->key);
  calls_send (&s->calls, vm, "DELETE", path, "token-shop", NULL);
}

/* Whether NAME is WORD, or WORD followed by a number.  */
static bool
matches_name (const char *name, const char *word)
{
  size_t n = strlen (word);

  return strncmp (name, word, n) == 0
         && strspn (name + n, "0123456789") == strlen (name + n);
}

/* cancel_all NAME at VM [every=N]: cancels the submissions NAME0, NAME1..., or
   each N-th of them.  */
static void
do_cancel_all (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  int every = line_option_int (l, "every", 1);
  int i = 0;

  for (const struct call *c = s->calls.first; vm != NULL && c != NULL;
       c = c->next)
    {
      char path[256];

      if (!c->submission || !matches_name (c->name, l->words[1])
          || i++ % every != 0)
        continue;
      snprintf (path, sizeof path, "/v1/jobs/%s", c->key);
      calls_send (&s->calls, vm, "DELETE", path, "token-shop", NULL);
    }
}

/* post NAME at VM PATH BODY [token=] [bytes=N]: sends an arbitrary body, or
   one of N spaces, to test bad input.  */
static void
do_post (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  int bytes = line_option_int (l, "bytes", 0);
  char *body;
  struct call *c;

  if (vm == NULL)
    {
      scenario_fail (s, l, "no such VM");
      return;
    }
  if (bytes != 0)
    {
      body = malloc ((size_t)bytes + 1);
      memset (body, ' ', (size_t)bytes);
      body[bytes] = '\0';
    }
  else
    body = strdup (l->word_count > 5 ? l->words[5] : "");
  c = calls_send (&s->calls, vm, "POST", l->words[4],
                  line_option (l, "token", "token-shop"), body);
  free (body);
  snprintf (c->name, sizeof c->name, "%s", l->words[1]);
}

static bool
all_answered (struct scenario *s, const void *arg)
{
  (void)arg;
  for (const struct call *c = s->calls.first; c != NULL; c = c->next)
    if (!c->done && !c->vm_killed)
      return false;
  return true;
}

/* answers [within=MS]: waits until every call has been answered.  */
static void
do_answers (struct scenario *s, const struct line *l)
{
  if (!scenario_wait (s, line_option_int (l, "within", ANSWERS_TIMEOUT_MS),
                      all_answered, NULL))
    scenario_fail (s, l, "some calls got no answer");
}

static bool
is_one_of (const char *words, const char *word)
{
  size_t n = strlen (word);

  while (*words != '\0')
    {
      size_t len = strcspn (words, "|");

      if (len == n && strncmp (words, word, n) == 0)
        return true;
      words += len;
      words += *words == '|';
    }
  return false;
}

/* expect NAME STATE[|STATE...] [code=CODE]: checks the last call NAME.  */
static void
do_expect (struct scenario *s, const struct line *l)
{
  const struct call *c = find_last (s, l->words[1]);
  const char *code = line_option (l, "code", NULL);
  const char *got;

  if (c == NULL)
    {
      scenario_fail (s, l, "no call %s", l->words[1]);
      return;
    }
  got = json_get_text (json_object_get (c->body, "error"), "code", "");
  if (!is_one_of (l->words[2], call_state (c)))
    scenario_fail (s, l, "%s is %s, status %d: %s", l->words[1],
                   call_state (c), c->status, c->text);
  else if (code != NULL && strcmp (code, got) != 0)
    scenario_fail (s, l, "%s has error code %s: %s", l->words[1], got,
                   c->text);
}

static bool
in_range (const char *range, int64_t value)
{
  int64_t number = atoll (range + strspn (range, "<>="));

  if (range[0] == '<')
    return value <= number;
  return range[0] == '>' ? value >= number : value == number;
}

/* starts NAME N|<=N|>=N: checks how often the targets started its tasks.  */
static void
do_starts (struct scenario *s, const struct line *l)
{
  const struct call *c = find_last (s, l->words[1]);
  struct record r;
  uint32_t n;

  if (c == NULL)
    {
      scenario_fail (s, l, "no call %s", l->words[1]);
      return;
    }
  record_read (&r, &s->cluster);
  n = record_starts (&r, c->key);
  record_done (&r);
  if (!in_range (l->words[2], n))
    scenario_fail (s, l, "%s has %u starts, not %s", l->words[1], n,
                   l->words[2]);
}

/* count NAME STATE RANGE: checks how many of the calls NAME, NAME0, NAME1...
   are in STATE.  */
static void
do_count (struct scenario *s, const struct line *l)
{
  uint32_t n = 0;
  uint32_t all = 0;

  for (const struct call *c = s->calls.first; c != NULL; c = c->next)
    if (matches_name (c->name, l->words[1]))
      {
        all++;
        n += is_one_of (l->words[2], call_state (c));
      }
  if (s->echo)
    printf ("  %u of %u\n", n, all);
  if (!in_range (l->words[3], n))
    scenario_fail (s, l, "%u of %u calls %s are %s, not %s", n, all,
                   l->words[1], l->words[2], l->words[3]);
}

/* show NAME: prints the last answer to NAME.  */
static void
do_show (struct scenario *s, const struct line *l)
{
  const struct call *c = find_last (s, l->words[1]);

  if (c != NULL)
    printf ("%s at %s: %s %s\n", c->name, c->vm, call_state (c),
            c->text == NULL ? "" : c->text);
}

const struct verb call_verbs[] = {
  { "submit", 3, do_submit },
  { "request", 3, do_request },
  { "flood", 3, do_flood },
  { "resubmit", 3, do_resubmit },
  { "cancel", 3, do_cancel },
  { "post", 4, do_post },
  { "answers", 0, do_answers },
  { "expect", 2, do_expect },
  { "starts", 2, do_starts },
  { "count", 3, do_count },
  { "show", 1, do_show },
  { "cancel_all", 3, do_cancel_all },
  { NULL, 0, NULL },
};
