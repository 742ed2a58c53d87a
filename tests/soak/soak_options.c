#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include "tests/soak/soak.h"

enum
{
  FIRST_SIZE_KEY = 256
};

/* The options that set a size; the key of each is FIRST_SIZE_KEY and its index
   here.  */
static uint32_t *const sizes[]
    = { &soak.keeper_count,      &soak.entry_count,    &soak.worker_count,
        &soak.domain_count,      &soak.load_percent,   &soak.calls_per_second,
        &soak.run_min_ms,        &soak.run_max_ms,     &soak.fault_gap_ms,
        &soak.stalls_per_second, &soak.restart_percent };

enum
{
  SIZE_COUNT = sizeof sizes / sizeof sizes[0]
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "Seed of the faults and the load (1)", 0 },
  { "keep", 'k', NULL, 0, "Keep the logs of a run without violations", 0 },
  { "net", 'n', "N", 0, "Use 127.0.N.x and the next two /24 networks (31)",
    0 },
  { "seconds", 't', "S", 0, "Duration of the faults (20)", 0 },
  { "profile", 'p', "NAME", 0,
    "Sizes: short (8 entries, 32 workers), large (24 entries, 120 workers, "
    "more faults) or restarts (short; idle workers restart behind cuts); "
    "later options change single ones",
    0 },
  { "keepers", FIRST_SIZE_KEY, "N", 0, "Number of keepers", 1 },
  { "entries", FIRST_SIZE_KEY + 1, "N", 0, "Number of entries", 1 },
  { "workers", FIRST_SIZE_KEY + 2, "N", 0, "Number of workers", 1 },
  { "domains", FIRST_SIZE_KEY + 3, "N", 0, "Number of failure domains", 1 },
  { "load", FIRST_SIZE_KEY + 4, "PERCENT", 0,
    "Share of the workers' slots that the callers use (70)", 1 },
  { "calls", FIRST_SIZE_KEY + 5, "N", 0,
    "New jobs per second (fitted to the load)", 1 },
  { "run-min", FIRST_SIZE_KEY + 6, "MS", 0, "Shortest run (60)", 1 },
  { "run-max", FIRST_SIZE_KEY + 7, "MS", 0, "Longest run (2200)", 1 },
  { "fault-gap", FIRST_SIZE_KEY + 8, "MS", 0, "Mean interval of faults", 1 },
  { "stalls", FIRST_SIZE_KEY + 9, "N", 0,
    "Stalls of random processes per second, of 20 to 300 ms", 1 },
  { "restarts", FIRST_SIZE_KEY + 10, "PERCENT", 0,
    "Share of the faults in which targets restart behind a cut (12)", 1 },
  { NULL, 0, NULL, 0, NULL, 0 }
};

static void
set_short_profile (void)
{
  soak.keeper_count = 3;
  soak.entry_count = 8;
  soak.worker_count = 32;
  soak.domain_count = 2;
  soak.load_percent = 70;
  soak.run_min_ms = 60;
  soak.run_max_ms = 2200;
  soak.fault_gap_ms = 600;
  soak.stalls_per_second = 1;
  soak.restart_percent = 12;
}

static void
set_large_profile (void)
{
  set_short_profile ();
  soak.entry_count = 24;
  soak.worker_count = 120;
  soak.domain_count = 3;
  soak.fault_gap_ms = 400;
  soak.stalls_per_second = 5;
}

static void
set_restarts_profile (void)
{
  set_short_profile ();
  soak.load_percent = 20;
  soak.run_min_ms = 500;
  soak.run_max_ms = 900;
  soak.fault_gap_ms = 700;
  soak.restart_percent = 100;
}

static void
set_profile (const char *name, struct argp_state *state)
{
  if (strcmp (name, "short") == 0)
    set_short_profile ();
  else if (strcmp (name, "large") == 0)
    set_large_profile ();
  else if (strcmp (name, "restarts") == 0)
    set_restarts_profile ();
  else
    argp_error (state, "no such profile: %s", name);
}

static void
check_options (struct argp_state *state)
{
  if (soak.program == NULL)
    argp_usage (state);
  if (soak.keeper_count == 0 || soak.entry_count == 0
      || soak.keeper_count > NODE_LIMIT
      || soak.entry_count > NODE_LIMIT - soak.keeper_count
      || soak.worker_count == 0 || soak.worker_count > WORKER_LIMIT
      || soak.domain_count == 0 || soak.run_min_ms == 0
      || soak.run_max_ms < soak.run_min_ms || soak.fault_gap_ms == 0)
    argp_error (state, "a size is out of range");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  if (key >= FIRST_SIZE_KEY && key < FIRST_SIZE_KEY + SIZE_COUNT)
    {
      *sizes[key - FIRST_SIZE_KEY] = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    }
  switch (key)
    {
    case 's':
      soak.seed = strtoull (arg, NULL, 10);
      return 0;
    case 'k':
      soak.keep_logs = true;
      return 0;
    case 'n':
      soak.first_net = atoi (arg);
      return 0;
    case 't':
      soak.seconds = strtoll (arg, NULL, 10);
      return 0;
    case 'p':
      set_profile (arg, state);
      return 0;
    case ARGP_KEY_ARG:
      soak.program = arg;
      return 0;
    case ARGP_KEY_END:
      check_options (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options,   parse_option,
        "PROGRAM", "Tests PROGRAM, a ragwort-node, under random faults.",
        NULL,      NULL,
        NULL };

/* Returns the number of jobs per second that use load_percent of the slots.
   The mean job has (JOB_TASKS_MAX + 1) / 2 tasks.  */
static uint32_t
fitted_calls (void)
{
  uint32_t slots = soak.worker_count * WORKER_SLOTS;
  uint32_t job_slot_ms
      = (JOB_TASKS_MAX + 1) * (soak.run_min_ms + soak.run_max_ms) / 4;
  uint32_t calls = slots * soak.load_percent * 10 / job_slot_ms;

  return calls == 0 ? 1 : calls;
}

void
soak_parse_options (int argc, char **argv)
{
  set_short_profile ();
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  soak.node_count = soak.keeper_count + soak.entry_count;
  if (soak.calls_per_second == 0)
    soak.calls_per_second = fitted_calls ();
}
