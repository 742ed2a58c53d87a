/* scenario: runs scripts of the scenario language against real processes.  */
#include <argp.h>
#include <event2/event.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/now.h"
#include "tests/runner/script.h"

enum
{
  SCRIPT_LIMIT = 256
};

struct runner_options
{
  uint64_t seed;
  int net;
  bool echo;
  bool keep;
  const char *log_level;
  const char *scripts[SCRIPT_LIMIT];
  int script_count;
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "Seed of the scenario's random choices (1)", 0 },
  { "echo", 'e', NULL, 0, "Print the script as it runs", 0 },
  { "net", 'n', "N", 0, "Loopback networks to use, 0 to 100 (0)", 0 },
  { "keep", 'k', NULL, 0, "Keep the folder of a run without failures", 0 },
  { "log-level", 'l', "WORD", 0, "Log level of the processes (info)", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct runner_options *o = state->input;

  switch (key)
    {
    case 's':
      o->seed = strtoull (arg, NULL, 10);
      return 0;
    case 'e':
      o->echo = true;
      return 0;
    case 'n':
      o->net = atoi (arg);
      return 0;
    case 'k':
      o->keep = true;
      return 0;
    case 'l':
      o->log_level = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (o->script_count == SCRIPT_LIMIT)
        argp_usage (state);
      o->scripts[o->script_count++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
remove_folder (const char *folder)
{
  char command[CLUSTER_PATH_BYTES + 16];

  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    fprintf (stderr, "cannot remove %s\n", folder);
}

static uint32_t
run_script (const struct runner_options *o, const char *programs,
            const char *path)
{
  struct scenario *s = calloc (1, sizeof *s);
  char folder[] = "/tmp/ragwort-scenario-XXXXXX";
  int64_t started_ms = now_ms ();
  uint32_t failures;

  if (mkdtemp (folder) == NULL)
    {
      perror (folder);
      exit (3);
    }
  s->base = event_base_new ();
  s->random = o->seed * 0x9E3779B97F4A7C15U + 1;
  s->echo = o->echo;
  calls_init (&s->calls, s->base);
  cluster_init (&s->cluster, s->base, programs, folder);
  s->cluster.net = o->net;
  if (o->log_level != NULL)
    s->cluster.log_level = o->log_level;
  failures = scenario_run (s, path);
  cluster_done (&s->cluster);
  printf ("%s %s seed=%llu %lld ms%s%s\n", failures == 0 ? "ok  " : "FAIL",
          path, (unsigned long long)o->seed,
          (long long)(now_ms () - started_ms),
          failures != 0 || o->keep ? " folder " : "",
          failures != 0 || o->keep ? folder : "");
  fflush (stdout);
  if (s->relays != NULL)
    relays_free (s->relays);
  calls_done (&s->calls);
  if (failures == 0 && !o->keep)
    remove_folder (folder);
  free (s);
  return failures;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, "SCRIPT...", "Runs scenarios.",
          NULL,    NULL,         NULL };
  struct runner_options o = { .seed = 1 };
  char programs[CLUSTER_PATH_BYTES];
  uint32_t failed = 0;

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&parser, argc, argv, 0, NULL, &o);
  snprintf (programs, sizeof programs, "%s", argv[0]);
  dirname (programs);
  for (int i = 0; i < o.script_count; i++)
    failed += run_script (&o, programs, o.scripts[i]) != 0;
  printf ("%d passed, %u failed\n", o.script_count - (int)failed, failed);
  return failed == 0 ? 0 : 1;
}
