/* Verbs for processes, connections between VMs and the configuration.  */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"
#include "coord/environment.h"
#include "tests/runner/script.h"

enum
{
  READY_TIMEOUT_MS = 15000,
  STOP_TIMEOUT_MS = 20000
};

static struct cluster_vm *
require_vm (struct scenario *s, const struct line *l, int word)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[word]);

  if (vm == NULL)
    scenario_fail (s, l, "no VM %s", l->words[word]);
  return vm;
}

static void
do_cluster (struct scenario *s, const struct line *l)
{
  struct cluster *c = &s->cluster;

  cluster_build (c, l->words[1], line_option_int (l, "entries", 2),
                 line_option_int (l, "keepers", 3));
  c->heartbeat_ms = line_option_int (l, "heartbeat_ms", c->heartbeat_ms);
  c->lease_ms = line_option_int (l, "lease_ms", c->lease_ms);
  c->register_window_ms
      = line_option_int (l, "window_ms", c->register_window_ms);
  c->sync_delay_ms = line_option_int (l, "sync_delay_ms", 0);
  c->relayed = strcmp (line_option (l, "relay", "yes"), "yes") == 0;
  if (c->relayed)
    s->relays = relays_new (c);
}

/* targets NAME [domain=D] [OPTIONS]: starts a fake_target process with
   OPTIONS, by default in the first failure domain.  */
static void
do_targets (struct scenario *s, const struct line *l)
{
  char *arguments[WORD_LIMIT + 1];
  int n = 0;

  for (int i = 0; i < l->option_count; i++)
    {
      if (strncmp (l->options[i], "domain=", 7) == 0)
        continue;
      if (asprintf (&arguments[n++], "--%s", l->options[i]) < 0)
        abort ();
      for (char *p = arguments[n - 1] + 2; *p != '=' && *p != '\0'; p++)
        if (*p == '_')
          *p = '-';
    }
  arguments[n] = NULL;
  cluster_start_target (&s->cluster, l->words[1],
                        line_option (l, "domain", s->cluster.domains[0]),
                        arguments);
  while (n > 0)
    free (arguments[--n]);
}

static void
do_start (struct scenario *s, const struct line *l)
{
  if (strcmp (l->words[1], "all") != 0)
    {
      struct cluster_vm *vm = require_vm (s, l, 1);

      if (vm != NULL)
        cluster_start (&s->cluster, vm);
      return;
    }
  for (uint32_t i = 0; i < s->cluster.vm_count; i++)
    if (s->cluster.vms[i].pid == 0)
      cluster_start (&s->cluster, &s->cluster.vms[i]);
}

/* Marks the pending calls of a VM that is killed or frozen: they may get no
   answer.  */
static void
mark_killed (struct scenario *s, const char *vm)
{
  for (struct call *c = s->calls.first; c != NULL; c = c->next)
    if (!c->done && strcmp (c->vm, vm) == 0)
      c->vm_killed = true;
}

static void
do_kill (struct scenario *s, const struct line *l)
{
  struct cluster_target *t = cluster_target (&s->cluster, l->words[1]);

  for (int i = 1; i < l->word_count; i++)
    {
      struct cluster_vm *vm;

      if (t != NULL)
        break;
      vm = require_vm (s, l, i);
      if (vm == NULL)
        return;
      mark_killed (s, vm->name);
      cluster_signal (&s->cluster, vm, SIGKILL);
    }
  if (t != NULL)
    kill (t->pid, SIGKILL);
}

static void
do_freeze (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = require_vm (s, l, 1);

  if (vm == NULL)
    return;
  mark_killed (s, vm->name);
  cluster_signal (&s->cluster, vm, SIGSTOP);
  vm->frozen = true;
}

static void
do_thaw (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = require_vm (s, l, 1);

  if (vm == NULL)
    return;
  cluster_signal (&s->cluster, vm, SIGCONT);
  vm->frozen = false;
}

static bool
has_ended (struct scenario *s, const void *arg)
{
  int status;

  (void)s;
  return cluster_reap ((pid_t *)arg, &status);
}

/* stop NAME [wait=no]: sends SIGTERM and waits until the process has ended. */
static void
do_stop (struct scenario *s, const struct line *l)
{
  struct cluster_target *t = cluster_target (&s->cluster, l->words[1]);
  struct cluster_vm *vm;
  int64_t started_ms = now_ms ();
  pid_t *pid;

  if (t != NULL)
    pid = &t->pid;
  else if ((vm = require_vm (s, l, 1)) != NULL)
    {
      pid = &vm->pid;
      vm->stopping = true;
    }
  else
    return;
  kill (*pid, SIGTERM);
  if (strcmp (line_option (l, "wait", "yes"), "no") == 0)
    return;
  if (!scenario_wait (s, STOP_TIMEOUT_MS, has_ended, pid))
    scenario_fail (s, l, "%s did not stop", l->words[1]);
  else if (s->echo)
    printf ("  stopped after %" PRId64 " ms\n", now_ms () - started_ms);
}

/* refused VM: waits until VM, which was just started, has exited.  */
static void
do_refused (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = require_vm (s, l, 1);

  if (vm != NULL && !scenario_wait (s, STOP_TIMEOUT_MS, has_ended, &vm->pid))
    scenario_fail (s, l, "%s has not exited", l->words[1]);
}

static bool
all_entries_ended (struct scenario *s, const void *arg)
{
  bool ended = true;
  int status;

  (void)arg;
  for (uint32_t i = 0; i < s->cluster.vm_count; i++)
    if (!s->cluster.vms[i].keeper)
      ended = cluster_reap (&s->cluster.vms[i].pid, &status) && ended;
  return ended;
}

/* ended all: waits until every entry has ended.  */
static void
do_ended (struct scenario *s, const struct line *l)
{
  if (!scenario_wait (s, STOP_TIMEOUT_MS, all_entries_ended, NULL))
    scenario_fail (s, l, "not all entries have ended");
}

static void
do_wipe (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = require_vm (s, l, 1);

  if (vm != NULL)
    cluster_wipe (&s->cluster, vm);
}

/* Whether WORD is the name of VM, its domain, "keepers" (for a keeper) or
   "all".  */
static bool
matches_vm (const char *word, const struct cluster_vm *vm)
{
  return strcmp (word, vm->name) == 0 || strcmp (word, vm->domain) == 0
         || (strcmp (word, "keepers") == 0 && vm->keeper)
         || strcmp (word, "all") == 0;
}

/* cut A B: cuts both directions; cut A > B: only from A to B.  With B "all",
   the connections among the VMs of A stay up.  */
static void
set_cut (struct scenario *s, const struct line *l, bool cut)
{
  bool one_way = l->word_count > 3 && strcmp (l->words[2], ">") == 0;
  const char *a = l->words[1];
  const char *b = l->words[one_way ? 3 : 2];
  const struct cluster *c = &s->cluster;

  for (uint32_t i = 0; i < c->vm_count; i++)
    for (uint32_t j = 0; j < c->vm_count; j++)
      {
        if (i == j || !matches_vm (a, &c->vms[i])
            || !matches_vm (b, &c->vms[j])
            || (strcmp (b, "all") == 0 && matches_vm (a, &c->vms[j])))
          continue;
        relays_cut (s->relays, i, j, cut);
        if (!one_way)
          relays_cut (s->relays, j, i, cut);
      }
}

static void
do_cut (struct scenario *s, const struct line *l)
{
  set_cut (s, l, true);
}

static void
do_heal (struct scenario *s, const struct line *l)
{
  (void)l;
  for (uint32_t i = 0; i < s->cluster.vm_count; i++)
    for (uint32_t j = 0; j < s->cluster.vm_count; j++)
      if (i != j)
        relays_cut (s->relays, i, j, false);
}

/* pause MS, or pause MIN..MAX: waits for a random time drawn from the seed. */
static void
do_pause (struct scenario *s, const struct line *l)
{
  int min = atoi (l->words[1]);
  const char *dots = strstr (l->words[1], "..");
  int max = dots == NULL ? min : atoi (dots + 2);

  scenario_wait (
      s, min + (int64_t)(scenario_random (s) % (uint64_t)(max - min + 1)),
      NULL, NULL);
}

static json_t *
kind_json (const char *name, int run_ms)
{
  return json_pack ("{s:s s:i s:i}", "name", name, "run_ms", run_ms,
                    "timeout_ms", 8000);
}

static json_t *
team_json (const char *name, double tasks_per_s)
{
  char token[64];
  char hash[SHA256_HEX_BYTES];

  snprintf (token, sizeof token, "token-%s", name);
  sha256_text (token, strlen (token), hash);
  return json_pack ("{s:s s:s s:f s:f}", "name", name, "token_sha256", hash,
                    "tasks_per_s", tasks_per_s, "burst_tasks",
                    tasks_per_s * 2);
}

/* Returns the configuration from option file=, or the default one with the
   policy that the options of L set.  */
static json_t *
config_json (const struct line *l)
{
  const char *file = line_option (l, "file", NULL);

  if (file != NULL)
    return json_load_file (file, 0, NULL);
  return json_pack (
      "{s:[s] s:[o o o] s:[o o o o] s:{s:i s:i} s:{s:i s:i s:i} s:{s:f}}",
      "environments", line_option (l, "environment", "production"), "teams",
      team_json ("shop", line_option_int (l, "team_tasks_per_s", 100000)),
      team_json ("club", line_option_int (l, "team_tasks_per_s", 100000)),
      team_json ("small", line_option_int (l, "small_tasks_per_s", 100)),
      "kinds", kind_json ("check", 50), kind_json ("hold", 60),
      kind_json ("confirm", 80), kind_json ("slow", 2000), "limits",
      "queued_tasks", line_option_int (l, "queued_tasks", 20000),
      "record_bytes", line_option_int (l, "record_bytes", 48 << 20), "policy",
      "default_deadline_ms", line_option_int (l, "deadline_ms", 10000),
      "maximum_deadline_ms", 60000, "eject_ms",
      line_option_int (l, "eject_ms", 1000), "cut_off", "quota_share",
      atof (line_option (l, "quota_share", "1")));
}

/* accept at VM [expect=N] [request=ID] [as=NAME]: waits until VM answers, then
   sends an operator's configuration change as call NAME, without waiting for
   its answer.  */
static void
do_accept (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = require_vm (s, l, 2);
  int64_t until = now_ms () + READY_TIMEOUT_MS;
  struct call *c;
  json_t *o;
  char *text;

  if (vm == NULL)
    return;
  while (scenario_get (s, vm, "/v1/counters") == NULL && now_ms () < until)
    scenario_wait (s, 20, NULL, NULL);
  o = json_pack (
      "{s:s s:s s:i s:o}", "request_id", line_option (l, "request", "first"),
      "operator", line_option (l, "operator", "anna"), "expect",
      line_option_int (l, "expect", 0), "document", config_json (l));
  text = json_dumps (o, JSON_COMPACT);
  c = calls_send (&s->calls, vm, "POST", "/v1/config/accept", OPERATOR_TOKEN,
                  text);
  snprintf (c->name, sizeof c->name, "%s", line_option (l, "as", "accept"));
  free (text);
  json_decref (o);
}

struct readiness
{
  const char *path;
  const char *field;
  int64_t min;
  const struct cluster_vm *vm; /* NULL: all entries */
};

/* Stores the configuration number of VM and reports a violation if it has
   decreased.  0 means that VM has no configuration, as after a restart.  */
static void
check_config_number (struct scenario *s, struct cluster_vm *vm,
                     const json_t *body)
{
  int64_t number = json_get_integer (body, "config_number", 0);

  if (number < vm->config_number && number != 0)
    {
      printf ("VIOLATION: configuration of %s fell from %" PRId64
              " to %" PRId64 "\n",
              vm->name, vm->config_number, number);
      s->failures++;
    }
  if (number > vm->config_number)
    vm->config_number = number;
}

/* Returns the number of synced members of the group of DOMAIN.  */
static int64_t
synced_members (const json_t *body, const char *domain)
{
  json_t *groups = json_object_get (json_object_get (body, "view"), "groups");
  json_t *g;
  size_t i;

  json_array_foreach (
      groups, i, g) if (strcmp (json_get_text (g, "domain", ""), domain) == 0)
  {
    json_t *members = json_object_get (g, "members");
    json_t *m;
    size_t j;
    int64_t synced = 0;

    json_array_foreach (members, j, m) synced
        += json_get_boolean (m, "synced", false);
    return synced;
  }
  return 0;
}

static bool
is_status_in_range (struct scenario *s, struct cluster_vm *vm,
                    const char *field, int64_t min, int64_t max)
{
  const struct call *c = scenario_get (s, vm, "/v1/status");
  int64_t value;

  if (c == NULL)
    return false;
  check_config_number (s, vm, c->body);
  if (strcmp (field, "group") == 0)
    value = synced_members (c->body, vm->domain);
  else if (json_is_boolean (json_object_get (c->body, field)))
    value = json_get_boolean (c->body, field, false);
  else
    value = json_get_integer (c->body, field, -1);
  return value >= min && value <= max;
}

/* await FIELD VALUE at VM|all [within=MS]: waits until FIELD in the VM's
   status is VALUE (or <=VALUE, >=VALUE); "group" is the number of synced
   members of its group.  */
static void
do_await (struct scenario *s, const struct line *l)
{
  const char *value = l->words[2];
  int64_t number = atoll (value + strspn (value, "<>="));
  int64_t min = value[0] == '<' ? 0 : number;
  int64_t max = value[0] == '>' ? INT64_MAX : number;
  int64_t until = now_ms () + line_option_int (l, "within", READY_TIMEOUT_MS);
  int64_t started_ms = now_ms ();

  for (uint32_t i = 0; i < s->cluster.vm_count; i++)
    {
      struct cluster_vm *vm = &s->cluster.vms[i];

      if (strcmp (l->words[4], vm->name) != 0
          && (strcmp (l->words[4], "all") != 0 || vm->keeper || vm->pid == 0
              || vm->frozen))
        continue;
      while (!is_status_in_range (s, vm, l->words[1], min, max))
        {
          if (now_ms () >= until)
            {
              scenario_fail (s, l, "%s is not %s at %s", l->words[1], value,
                             vm->name);
              return;
            }
          scenario_wait (s, 20, NULL, NULL);
        }
    }
  if (s->echo)
    printf ("  after %" PRId64 " ms\n", now_ms () - started_ms);
}

/* Whether every running entry is synced and has a configuration, and the
   entries together have at least SLOTS slots of targets.  */
static bool
is_ready (struct scenario *s, const struct line *l, int64_t slots)
{
  int64_t found = 0;

  (void)l;
  for (uint32_t i = 0; i < s->cluster.vm_count; i++)
    {
      struct cluster_vm *vm = &s->cluster.vms[i];
      const struct call *c;

      if (vm->keeper || vm->pid == 0 || vm->frozen)
        continue;
      c = scenario_get (s, vm, "/v1/status");
      if (c == NULL || !json_get_boolean (c->body, "synced", false)
          || json_get_integer (c->body, "config_number", 0) == 0)
        return false;
      check_config_number (s, vm, c->body);
      found += json_get_integer (c->body, "total_slots", 0);
    }
  return found >= slots;
}

/* ready [slots=N]: waits until is_ready.  */
static void
do_ready (struct scenario *s, const struct line *l)
{
  int64_t until = now_ms () + READY_TIMEOUT_MS;

  while (!is_ready (s, l, line_option_int (l, "slots", 0)))
    {
      if (now_ms () >= until)
        {
          scenario_fail (s, l, "the entries are not ready");
          return;
        }
      scenario_wait (s, 50, NULL, NULL);
    }
}

static void
do_say (struct scenario *s, const struct line *l)
{
  (void)s;
  for (int i = 1; i < l->word_count; i++)
    printf (i == 1 ? "%s" : " %s", l->words[i]);
  printf ("\n");
}

const struct verb cluster_verbs[] = {
  { "cluster", 1, do_cluster }, { "targets", 1, do_targets },
  { "start", 1, do_start },     { "kill", 1, do_kill },
  { "freeze", 1, do_freeze },   { "thaw", 1, do_thaw },
  { "stop", 1, do_stop },       { "wipe", 1, do_wipe },
  { "cut", 2, do_cut },         { "heal", 0, do_heal },
  { "pause", 1, do_pause },     { "accept", 2, do_accept },
  { "await", 4, do_await },     { "ready", 0, do_ready },
  { "say", 1, do_say },         { "ended", 1, do_ended },
  { "refused", 1, do_refused }, { NULL, 0, NULL },
};
