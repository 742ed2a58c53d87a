/* Verbs for measurements: load, the bare relay, and the resource usage of
   VMs.  */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/counters.h"
#include "base/json_check.h"
#include "base/now.h"
#include "tests/runner/script.h"

enum
{
  ARGUMENT_LIMIT = 64,
  LOAD_TIMEOUT_MS = 180000,
  RELAY_HTTP_PORT = 8200
};

/* Resource usage and counters of a VM at its last "measure".  */
struct vm_usage
{
  double cpu_ms;
  int64_t wall_ms;
  json_t *counters;
};

static struct vm_usage vm_usage[CLUSTER_VM_LIMIT];

static bool
has_ended (struct scenario *s, const void *arg)
{
  int status;

  (void)s;
  return cluster_reap ((pid_t *)arg, &status);
}

static char *
option_text (const char *option, const char *value)
{
  char *text;

  if (asprintf (&text, "--%s=%s", option, value) < 0)
    abort ();
  for (char *p = text + 2; *p != '=' && *p != '\0'; p++)
    if (*p == '_')
      *p = '-';
  return text;
}

/* Appends a --server option for each server in NAMES: "all" for all entries,
   or a comma-separated list of VM names, "relay", "target" and IP:PORT.
   Returns the new number of arguments.  */
static int
add_servers (struct scenario *s, const char *names, char **argv, int n)
{
  char copy[LINE_BYTES];
  char *rest = NULL;
  char server[64];

  if (strcmp (names, "all") == 0)
    {
      for (uint32_t i = 0; i < s->cluster.vm_count; i++)
        if (!s->cluster.vms[i].keeper)
          {
            cluster_http_address (&s->cluster.vms[i], server, sizeof server);
            argv[n++] = option_text ("server", server);
          }
      return n;
    }
  snprintf (copy, sizeof copy, "%s", names);
  for (char *w = strtok_r (copy, ",", &rest); w != NULL;
       w = strtok_r (NULL, ",", &rest))
    {
      const struct cluster_vm *vm = cluster_vm (&s->cluster, w);

      if (vm != NULL)
        cluster_http_address (vm, server, sizeof server);
      else if (strcmp (w, "relay") == 0)
        snprintf (server, sizeof server, "%s:%d", s->cluster.vms[0].address,
                  RELAY_HTTP_PORT);
      else if (strcmp (w, "target") == 0)
        snprintf (server, sizeof server, "127.%d.1.100:9000",
                  10 + 2 * s->cluster.net);
      else
        snprintf (server, sizeof server, "%s", w);
      argv[n++] = option_text ("server", server);
    }
  return n;
}

static void
print_row (const struct scenario *s, const char *name)
{
  char path[400];
  size_t length;
  char *text;

  snprintf (path, sizeof path, "%s/load-%s", s->cluster.folder, name);
  text = json_read_file (path, 1 << 16, &length);
  printf ("row {\"case\":\"%s\",%s", name,
          text == NULL || length < 2 ? "\"error\":1}\n" : text + 1);
  free (text);
}

/* load NAME at VM,VM|all|relay|target [OPTIONS]: runs bench/load with OPTIONS
   and prints its results as a row.  */
static void
do_load (struct scenario *s, const struct line *l)
{
  char *argv[ARGUMENT_LIMIT] = { "load" };
  int n = add_servers (s, l->words[3], argv, 1);
  char path[400];
  pid_t *pid = calloc (1, sizeof *pid);

  for (int i = 0; i < l->option_count; i++)
    {
      char name[64];
      const char *equals = strchr (l->options[i], '=');

      snprintf (name, sizeof name, "%.*s", (int)(equals - l->options[i]),
                l->options[i]);
      argv[n++] = strcmp (name, "non_idempotent") == 0
                      ? strdup ("--non-idempotent")
                      : option_text (name, equals + 1);
    }
  argv[n] = NULL;
  snprintf (path, sizeof path, "%s/load-%s", s->cluster.folder, l->words[1]);
  *pid = cluster_spawn (&s->cluster, "load", argv, path);
  while (n > 1)
    free (argv[--n]);
  if (!scenario_wait (s, LOAD_TIMEOUT_MS, has_ended, pid))
    {
      scenario_fail (s, l, "the load did not end");
      kill (*pid, SIGKILL);
    }
  free (pid);
  print_row (s, l->words[1]);
}

/* relay PORT...: starts bench/bare_relay, which forwards to targets at these
   ports in the first failure domain.  */
static void
do_relay (struct scenario *s, const struct line *l)
{
  struct cluster *c = &s->cluster;
  char *argv[ARGUMENT_LIMIT] = { "bare_relay" };
  struct cluster_target *t = &c->targets[c->target_count++];
  char text[64];
  int n = 1;

  snprintf (text, sizeof text, "%s:%d", c->vms[0].address, RELAY_HTTP_PORT);
  argv[n++] = strdup (text);
  for (int i = 1; i < l->word_count; i++)
    {
      snprintf (text, sizeof text, "127.%d.1.100:%s", 10 + 2 * c->net,
                l->words[i]);
      argv[n++] = strdup (text);
    }
  argv[n] = NULL;
  snprintf (t->name, sizeof t->name, "relay");
  t->pid = cluster_spawn (c, "bare_relay", argv, "/dev/null");
  while (n > 1)
    free (argv[--n]);
  scenario_wait (s, 300, NULL, NULL);
}

/* Reads the CPU time and resident memory of PID from /proc.  */
static bool
read_process (pid_t pid, double *cpu_ms, int64_t *rss_kb)
{
  char path[64];
  char text[1024];
  unsigned long user;
  unsigned long system;
  long pages;
  size_t n;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  f = fopen (path, "r");
  if (f == NULL)
    return false;
  n = fread (text, 1, sizeof text - 1, f);
  fclose (f);
  text[n] = '\0';
  if (sscanf (strrchr (text, ')') + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d "
              "%*d %*d %*d %*d %*u %*u %ld",
              &user, &system, &pages)
      != 3)
    return false;
  *cpu_ms = (double)(user + system) * 1000 / (double)sysconf (_SC_CLK_TCK);
  *rss_kb = pages * sysconf (_SC_PAGESIZE) / 1024;
  return true;
}

/* Prints the counters that have changed from BEFORE to AFTER.  */
static void
print_counters (const json_t *after, const json_t *before)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)after, name, value)
  {
    int64_t since
        = json_integer_value (value) - json_get_integer (before, name, 0);

    if (since != 0)
      printf (",\"%s\":%" PRId64, name, since);
  }
}

/* measure NAME at VM: prints CPU time, memory and counters since its last
   measure.  */
static void
do_measure (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[3]);
  const struct call *c
      = vm == NULL ? NULL : scenario_get (s, vm, "/v1/counters");
  struct vm_usage *before;
  double cpu_ms;
  int64_t rss_kb;

  if (c == NULL || !read_process (vm->pid, &cpu_ms, &rss_kb))
    {
      scenario_fail (s, l, "cannot measure %s", l->words[3]);
      return;
    }
  before = &vm_usage[vm - s->cluster.vms];
  printf ("row {\"case\":\"%s\",\"vm\":\"%s\",\"wall_ms\":%" PRId64
          ",\"cpu_ms\":%.0f,\"rss_kb\":%" PRId64,
          l->words[1], vm->name, now_ms () - before->wall_ms,
          cpu_ms - before->cpu_ms, rss_kb);
  print_counters (json_object_get (c->body, "counters"), before->counters);
  printf ("}\n");
  json_decref (before->counters);
  before->cpu_ms = cpu_ms;
  before->wall_ms = now_ms ();
  before->counters = json_incref (json_object_get (c->body, "counters"));
}

/* changes at VM [count=N] [expect=N] [pause_ms=N]: makes COUNT configuration
   changes one after another, waiting for each to be accepted.  */
static void
do_changes (struct scenario *s, const struct line *l)
{
  struct cluster_vm *vm = cluster_vm (&s->cluster, l->words[2]);
  int first = line_option_int (l, "expect", 1);
  int count = line_option_int (l, "count", 10);

  for (int i = 0; vm != NULL && i < count; i++)
    {
      char text[LINE_BYTES];
      struct line one = { .number = l->number };

      snprintf (text, sizeof text,
                "accept at %s expect=%d request=change-%d as=change-%d",
                vm->name, first + i, first + i, first + i);
      snprintf (one.text, sizeof one.text, "%s", text);
      scenario_run_line (s, &one);
      snprintf (one.text, sizeof one.text, "answers");
      scenario_run_line (s, &one);
      snprintf (one.text, sizeof one.text, "expect change-%d ok", first + i);
      scenario_run_line (s, &one);
      if (line_option_int (l, "pause_ms", 0) != 0)
        scenario_wait (s, line_option_int (l, "pause_ms", 0), NULL, NULL);
    }
}

const struct verb measure_verbs[] = {
  { "load", 3, do_load },
  { "relay", 1, do_relay },
  { "measure", 3, do_measure },
  { "changes", 2, do_changes },
  { NULL, 0, NULL },
};
