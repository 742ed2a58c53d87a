/* A discrete-time simulation of a deployment that serves volatile jobs,
   without a network: callers submit jobs by a load pattern, entries route
   them, and dispatchers start runs of random duration on targets.  Routing,
   admission and scheduling are the production code.  The pattern depends only
   on the seed.  */
#ifndef BENCH_REPLAY_MODEL_H
#define BENCH_REPLAY_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/job_spec.h"

enum
{
  REPLAY_CLASS_LIMIT = 4,
  REPLAY_SPEED_LIMIT = 8
};

/* A class of jobs.  */
struct replay_class
{
  const char *name;
  double per_s;   /* jobs per second over all entries */
  double task_ms; /* mean run time of a task */
  double tasks;   /* mean number of tasks per job */
  double cpu;     /* mean thousandths of a core per task */
  double worth; /* of a mean job that ends on time; a late one earns a fifth */
  uint32_t priority;
};

struct replay_setup
{
  uint64_t seed;
  int64_t length_ms;
  struct replay_class classes[REPLAY_CLASS_LIMIT];
  uint32_t class_count;

  uint32_t domains;
  uint32_t targets;     /* per domain */
  uint32_t dispatchers; /* per domain; 0: one for all domains */
  uint32_t entries;     /* per domain */
  uint64_t cpu_milli;   /* of a target; every third has 1.5 times as much */

  int64_t capacity_report_ms; /* interval of the free capacity reports */
  bool delegation_enabled; /* whether dispatchers delegate tasks to each other
                            */
  double load;             /* factor on the classes' rates */
  double burst;            /* further factor during the burst */
  int64_t burst_from_ms;
  int64_t burst_to_ms;
  uint32_t draining_percent; /* of the targets, from the burst on */
  uint32_t slow_percent;     /* of the targets, slow during the burst */
  double slowdown;           /* factor on their run times */

  /* Lasting factors on the run times of the targets, which take them in turn;
     none: all run alike.  Objectives do not depend on them.  */
  double speeds[REPLAY_SPEED_LIMIT];
  uint32_t speed_count;

  /* How far the share of the jobs that arrive in a domain swings about the
     mean, from 0 to 1, the domains out of phase; the sum does not change.  */
  double swing;

  /* Time that callers wait beyond the run time; 0: CALLER_TIMEOUT_MS in all.
   */
  int64_t deadline_slack_ms;

  /* Whether the first entries of a domain are its dispatchers: they know their
     own free capacity at once, and query that of a few others at a time.  */
  bool entries_dispatch;
  bool priorities;         /* whether the configuration has the priorities */
  bool equal_targets;      /* whether all have CPU_MILLI */
  uint32_t loaded_classes; /* bit mask of those that LOAD is for; 0: all */
};

/* The jobs of a class within a range of sizes.  */
struct replay_size_result
{
  uint32_t jobs;
  uint32_t on_time;
  uint32_t late;
};

struct replay_class_result
{
  uint32_t jobs;
  uint32_t on_time;
  uint32_t late;
  uint32_t refused;
  uint32_t too_late;  /* ended too late to have any value, or failed */
  double total_worth; /* worth of all jobs */
  double earned;      /* worth of those that ended on time or late */

  struct replay_size_result largest;      /* the tenth with the most work */
  struct replay_size_result next_largest; /* the fifth below it */

  uint32_t refused_by[REFUSAL_COUNT]; /* by the last refusal's reason */

  /* Refused jobs whose tasks would all have fit on free targets when the last
     dispatcher refused them: of one dispatcher, or of several.  */
  uint32_t fit_at_one[REFUSAL_COUNT];
  uint32_t fit_at_several[REFUSAL_COUNT];
};

struct replay_result
{
  struct replay_class_result classes[REPLAY_CLASS_LIMIT];
  struct replay_class_result all;

  /* The lowest share of the worth that was earned in a window of 2 s.  */
  double min_window_share;

  uint32_t delegations;         /* that ended; revoked ones do not count */
  uint32_t delegations_refused; /* of these, refused */
  uint32_t left_domain;         /* jobs sent to another domain, as tries */
  double utilization; /* mean share of the targets' cores that ran tasks */
};

/* Sets the load that the users of site sofnets specified, on three domains of
   16 targets.  */
void replay_setup_sofnets (struct replay_setup *s);

/* Sets the load of customer 1, as docs/design/05-hard-load.md describes it:
   15 dispatchers of 23 or 24 targets in three domains, 36 entries.  A job's
   worth is its work in core seconds.  */
void replay_setup_customer1 (struct replay_setup *s);

/* Likewise that of customer 2: targets of 32 cores, a quarter of them fast. */
void replay_setup_customer2 (struct replay_setup *s);

/* Runs the simulation S and sets R to its result.  */
void replay_run (const struct replay_setup *s, struct replay_result *r);

#endif
