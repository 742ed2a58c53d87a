/* Replays load patterns against the production scheduler, admission and
   routing in a simulated deployment, and prints the outcomes of the callers'
   jobs.  */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bench/replay_model.h"

enum
{
  DEFAULT_SEEDS = 5,
  SLOWDOWN = 6,
  CUSTOMER_BURST_FROM_MS = 1000
};

struct replay_options
{
  struct replay_setup setup;
  uint32_t seeds;
};

static const struct argp_option option_table[] = {
  { "seeds", 's', "N", 0, "number of seeds to average over (default 5)", 0 },
  { "load", 'l', "X", 0, "factor on the specified load (default 1.0)", 0 },
  { "burst", 'b', "X", 0, "further factor from second 10 to 14 (default 1.0)",
    0 },
  { "lost", 'g', "PERCENT", 0,
    "share of the targets that drain from second 10 on (default 0)", 0 },
  { "owners", 'o', "N", 0,
    "dispatchers per domain, 0: one for all domains (default 1)", 0 },
  { "slow", 'w', "PERCENT", 0,
    "share of the targets that run 6 times as long from second 10 to 14 "
    "(default 0)",
    0 },
  { "lend", 'n', NULL, 0, "dispatchers delegate tasks to each other", 0 },
  { "room", 'r', "MS", 0,
    "interval between reports of free capacity (default 150)", 0 },
  { "speeds", 'f', "X,X...", 0,
    "lasting factors on the run times of the targets, in turn (default 1)",
    0 },
  { "swing", 'p', "X", 0,
    "swing of the domains' shares of the jobs, out of phase (default 0)", 0 },
  { "site", 'S', "SITE", 0,
    "sofnets (default), customer1 or customer2; give it first", 0 },
  { "class", 'c', "NAME", 0, "the only class that --load is for", 0 },
  { "equal", 'e', NULL, 0, "all queues have the same priority", 0 },
  { 0 }
};

static void
parse_speeds (struct replay_setup *s, const char *text)
{
  char *end;

  s->speed_count = 0;
  while (*text != '\0' && s->speed_count < REPLAY_SPEED_LIMIT)
    {
      s->speeds[s->speed_count++] = strtod (text, &end);
      text = *end == ',' ? end + 1 : "";
    }
}

static void
set_site (struct replay_setup *s, const char *name)
{
  if (strcmp (name, "customer1") == 0)
    replay_setup_customer1 (s);
  else if (strcmp (name, "customer2") == 0)
    replay_setup_customer2 (s);
  else
    return;
  s->burst_from_ms = CUSTOMER_BURST_FROM_MS;
  s->burst_to_ms = s->length_ms;
}

static void
set_loaded_class (struct replay_setup *s, const char *name)
{
  for (uint32_t c = 0; c < s->class_count; c++)
    if (strcmp (s->classes[c].name, name) == 0)
      s->loaded_classes = 1U << c;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct replay_options *o = state->input;

  switch (key)
    {
    case 's':
      o->seeds = (uint32_t)atoi (arg);
      break;
    case 'l':
      o->setup.load = atof (arg);
      break;
    case 'b':
      o->setup.burst = atof (arg);
      break;
    case 'g':
      o->setup.draining_percent = (uint32_t)atoi (arg);
      break;
    case 'o':
      o->setup.dispatchers = (uint32_t)atoi (arg);
      break;
    case 'w':
      o->setup.slow_percent = (uint32_t)atoi (arg);
      o->setup.slowdown = SLOWDOWN;
      break;
    case 'n':
      o->setup.delegation_enabled = true;
      break;
    case 'S':
      set_site (&o->setup, arg);
      break;
    case 'c':
      set_loaded_class (&o->setup, arg);
      break;
    case 'e':
      o->setup.priorities = false;
      break;
    case 'r':
      o->setup.capacity_report_ms = atoi (arg);
      break;
    case 'p':
      o->setup.swing = atof (arg);
      break;
    case 'f':
      parse_speeds (&o->setup, arg);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp argp
    = { option_table, parse_option, NULL, "Replays a load pattern.",
        NULL,         NULL,         NULL };

/* The share of the jobs in S that ended on time, or late.  */
static double
served_share (const struct replay_size_result *s)
{
  return s->jobs == 0 ? 0 : (double)(s->on_time + s->late) / s->jobs;
}

static void
print_row (const char *name, const struct replay_class_result *c)
{
  double n = c->jobs == 0 ? 1 : c->jobs;

  printf ("%-8s %7u %8.3f %6.3f %8.3f %9.3f %7.3f %8.3f %8.3f\n", name,
          c->jobs, c->on_time / n, c->late / n, c->refused / n,
          c->too_late / n,
          c->earned / (c->total_worth > 0 ? c->total_worth : 1),
          served_share (&c->largest), served_share (&c->next_largest));
}

static void
print_refusals (const char *name, const struct replay_class_result *c)
{
  for (uint32_t r = 0; r < REFUSAL_COUNT; r++)
    if (c->refused_by[r] != 0)
      printf ("%-8s refused %-10s %7u, all tasks fit at one dispatcher %u, "
              "at several %u\n",
              name, refusal_reason_name ((enum refusal_reason)r),
              c->refused_by[r], c->fit_at_one[r], c->fit_at_several[r]);
}

static void
add_sizes (struct replay_size_result *sum, const struct replay_size_result *s)
{
  sum->jobs += s->jobs;
  sum->on_time += s->on_time;
  sum->late += s->late;
}

static void
add_result (struct replay_class_result *sum,
            const struct replay_class_result *c)
{
  sum->jobs += c->jobs;
  sum->on_time += c->on_time;
  sum->late += c->late;
  sum->refused += c->refused;
  sum->too_late += c->too_late;
  sum->total_worth += c->total_worth;
  sum->earned += c->earned;
  add_sizes (&sum->largest, &c->largest);
  add_sizes (&sum->next_largest, &c->next_largest);
  for (uint32_t r = 0; r < REFUSAL_COUNT; r++)
    {
      sum->refused_by[r] += c->refused_by[r];
      sum->fit_at_one[r] += c->fit_at_one[r];
      sum->fit_at_several[r] += c->fit_at_several[r];
    }
}

int
main (int argc, char **argv)
{
  struct replay_options o = { .seeds = DEFAULT_SEEDS };
  struct replay_result sum = { 0 };
  double worst_window = 0;

  replay_setup_sofnets (&o.setup);
  o.setup.burst_from_ms = 10000;
  o.setup.burst_to_ms = 14000;
  argp_parse (&argp, argc, argv, 0, NULL, &o);
  for (uint32_t seed = 1; seed <= o.seeds; seed++)
    {
      struct replay_result r;

      o.setup.seed = seed;
      replay_run (&o.setup, &r);
      for (uint32_t c = 0; c < o.setup.class_count; c++)
        add_result (&sum.classes[c], &r.classes[c]);
      add_result (&sum.all, &r.all);
      worst_window += r.min_window_share / o.seeds;
      sum.utilization += r.utilization / o.seeds;
      sum.delegations += r.delegations;
      sum.left_domain += r.left_domain;
      sum.delegations_refused += r.delegations_refused;
    }
  printf ("class       jobs  on time   late  refused  too late  earned "
          " largest     next\n");
  for (uint32_t c = 0; c < o.setup.class_count; c++)
    print_row (o.setup.classes[c].name, &sum.classes[c]);
  print_row ("all", &sum.all);
  for (uint32_t c = 0; c < o.setup.class_count; c++)
    print_refusals (o.setup.classes[c].name, &sum.classes[c]);
  printf ("worst window %.3f, cores busy %.3f, delegations %u, refused %u, "
          "sent to another domain %u\n",
          worst_window, sum.utilization, sum.delegations,
          sum.delegations_refused, sum.left_domain);
  return 0;
}
