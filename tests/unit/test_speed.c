/* Tests of the learnt speeds of targets, and of the decisions that use
   them.  */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include "coord/run_scheduler.h"
#include "coord/target_speed.h"
#include "tests/unit/suites.h"

enum
{
  TARGETS = 12,
  SLOW_TARGETS = 6, /* the first ones */
  TASK_CPU = 1000,
  FAST_CPU = 1100, /* of a fast target, where a task fits less well */
  TASK_MS = 100,
  ROUNDS = 80,
  ROUND_MS = 200
};

static const double slow_factor = 1.2;
static const double fast_factor = 0.6;

static uint32_t stops;

static void
on_start (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  (void)arg;
  (void)t;
  (void)j;
  (void)task;
}

static void
on_stop (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  (void)arg;
  (void)t;
  (void)j;
  (void)task;
  stops++;
}

static void
on_finished (void *arg, struct run_job *j, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  (void)arg;
  (void)j;
  (void)result;
  (void)reason;
  (void)retry_ms;
}

static const struct run_scheduler_output output
    = { on_start, on_stop, on_finished, NULL, NULL };

/* Initialises S with targets that run one task at a time.  */
static void
init_scheduler (struct run_scheduler *s)
{
  stops = 0;
  run_scheduler_init (s, &output, NULL);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct run_target_spec t = { .memory_mb = 1000, .slots = 1 };

      t.cpu_milli = i < SLOW_TARGETS ? TASK_CPU : FAST_CPU;
      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      run_scheduler_add_target (s, &t)->phase = TARGET_READY;
    }
}

static struct run_job *
submit (struct run_scheduler *s, int64_t now, const char *key, uint32_t tasks)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 60,
                           .deadline_ms = 3000,
                           .lease_ms = 3000,
                           .step_count = 1 };
  enum refusal_reason reason;
  int64_t retry_ms;
  struct run_job *j;

  snprintf (spec.key, sizeof spec.key, "%s", key);
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0] = (struct job_step){ .count = tasks,
                                     .cpu_milli = TASK_CPU,
                                     .estimate_ms = TASK_MS };
  spec.payload = slice_of ("");
  j = run_scheduler_submit (s, now, &spec, s, &reason, &retry_ms);
  CU_ASSERT_PTR_NOT_NULL_FATAL (j);
  run_scheduler_pass (s, now);
  return j;
}

/* Ends the run on target I, if any, after the time that it takes there by
   FACTORS.  */
static void
end_run (struct run_scheduler *s, int64_t began, uint32_t i,
         const double *factors)
{
  struct run_target *t = s->targets[i];
  char name[TASK_NAME_BYTES];
  const struct run_ref *r = &t->runs[0];

  if (t->run_count == 0)
    return;
  run_job_task_name (r->job, r->task, name);
  run_scheduler_ended (s, began + (int64_t)(TASK_MS * factors[i]), t, name,
                       r->job->tasks[r->task].run, RUN_END_DONE);
}

/* Runs ROUNDS jobs with a task on each target, and returns the time after
   them.  If MOSTLY_SLOW, the fast targets drain in nine of ten of the later
   rounds.  */
static int64_t
learn (struct run_scheduler *s, const double *factors, bool mostly_slow)
{
  int64_t now = 1000;

  for (uint32_t n = 0; n < ROUNDS; n++, now += ROUND_MS)
    {
      bool only_slow = mostly_slow && n >= ROUNDS / 2 && n % 10 != 0;
      char key[16];

      for (uint32_t i = SLOW_TARGETS; i < TARGETS; i++)
        s->targets[i]->spec.draining = only_slow;
      snprintf (key, sizeof key, "job%u", n);
      submit (s, now, key, only_slow ? SLOW_TARGETS : TARGETS);
      for (uint32_t i = 0; i < TARGETS; i++)
        end_run (s, now, i, factors);
    }
  for (uint32_t i = 0; i < TARGETS; i++)
    s->targets[i]->spec.draining = false;
  run_scheduler_pass (s, now);
  return now;
}

static void
set_factors (double *factors, double slow, double fast)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    factors[i] = i < SLOW_TARGETS ? slow : fast;
}

/* Guards against forgetting that a target is slow within seconds, as the
   slowness of target_health does: after a pause a task still goes to a fast
   target, although it fits better on a slow one.  */
static void
test_fast_target_preferred (void)
{
  double factors[TARGETS];
  struct run_scheduler s;
  struct run_job *j;
  int64_t now;

  set_factors (factors, slow_factor, fast_factor);
  init_scheduler (&s);
  now = learn (&s, factors, false) + 15000;
  j = submit (&s, now, "probe", 1);
  CU_ASSERT_EQUAL (j->active_count, 1);
  for (uint32_t i = 0; i < SLOW_TARGETS; i++)
    CU_ASSERT_EQUAL (s.targets[i]->run_count, 0);
  run_scheduler_done (&s);
}

/* Guards against run times of a queue that depend on where its tasks ran: most
   of them ran on the slow targets.  */
static void
test_queue_estimate (void)
{
  double factors[TARGETS];
  double mean = TASK_MS * sqrt (slow_factor * fast_factor);
  struct run_scheduler s;
  int64_t estimate;

  set_factors (factors, slow_factor, fast_factor);
  init_scheduler (&s);
  learn (&s, factors, true);
  estimate = work_estimate_ms (&s.estimate, "q", TASK_MS);
  CU_ASSERT (fabs ((double)estimate - mean) < 0.06 * mean);
  run_scheduler_done (&s);
}

/* The stops of a run on target 0 that begins at NOW, has steady progress and
   would take TOTAL ms.  */
static uint32_t
stops_of_run (struct run_scheduler *s, int64_t now, int64_t total)
{
  for (uint32_t i = 1; i < TARGETS; i++)
    s->targets[i]->spec.draining = true;
  submit (s, now, "probe", 1);
  CU_ASSERT_EQUAL_FATAL (s->targets[0]->run_count, 1);
  run_scheduler_start_result (s, now, s->targets[0], "probe.0.0.0", 1,
                              START_ACCEPTED);
  for (int64_t at = 20; at < total; at += 20)
    {
      run_scheduler_running (s, now + at, s->targets[0], "probe.0.0.0", 1,
                             (uint32_t)(at * 100 / total));
      run_scheduler_pass (s, now + at);
    }
  return stops;
}

/* Guards against the restart of a run that is slow only for a mean target, and
   against runs that are never restarted because their target is slow.  */
static void
test_restart (void)
{
  double factors[TARGETS];
  struct run_scheduler s;
  int64_t now;

  set_factors (factors, slow_factor, fast_factor);
  init_scheduler (&s);
  now = learn (&s, factors, false);
  CU_ASSERT_EQUAL (stops_of_run (&s, now, 500), 0);
  run_scheduler_done (&s);
  init_scheduler (&s);
  now = learn (&s, factors, false);
  CU_ASSERT_EQUAL (stops_of_run (&s, now, 1000), 1);
  run_scheduler_done (&s);
}

/* Guards against decisions that change where all targets run alike: their
   factors stay 1.  */
static void
test_equal_targets (void)
{
  double factors[TARGETS];
  struct run_scheduler s;

  set_factors (factors, 1.08, 1);
  init_scheduler (&s);
  learn (&s, factors, false);
  for (uint32_t i = 0; i < TARGETS; i++)
    CU_ASSERT_EQUAL (s.targets[i]->speed_factor, 1);
  run_scheduler_done (&s);
}

static double
log_of (const struct target_speed *t, int64_t now)
{
  struct speed_spread s = { 0, 0, 0 };

  speed_spread_add (&s, t, now);
  return s.sum;
}

/* Guards against single outliers that are taken for the target's speed, and
   against errors of the estimates that are: a run in 50 takes 20 times as
   long, and estimates are wrong by a factor of 1.4 in either direction.  */
static void
test_outliers (void)
{
  struct target_speed t = { 0, 0, 0 };
  struct prng random;

  prng_init (&random, 7);
  for (int64_t now = 0; now < 20000; now += 10)
    {
      double ratio = 1.3 * (prng_next (&random, 2) == 0 ? 1.4 : 1 / 1.4);

      if (prng_next (&random, 50) == 0)
        ratio *= 20;
      target_speed_add (&t, now, ratio);
      if (now > 2000)
        CU_ASSERT (fabs (log_of (&t, now) - log (1.3)) < 0.2);
    }
}

/* Guards against a faulty target that is taken for a slow one, whose runs
   would then be long overdue before they are restarted; and against a speed
   that is remembered for ever.  */
static void
test_bounds (void)
{
  struct target_speed t = { 0, 0, 0 };

  for (int i = 0; i < 500; i++)
    target_speed_add (&t, 1000, 6);
  CU_ASSERT (log_of (&t, 1000) < log (1.9));
  CU_ASSERT (log_of (&t, 601000) < 0.01);
}

void
suite_speed (void)
{
  CU_pSuite s = CU_add_suite ("speed", NULL, NULL);

  CU_ADD_TEST (s, test_fast_target_preferred);
  CU_ADD_TEST (s, test_queue_estimate);
  CU_ADD_TEST (s, test_restart);
  CU_ADD_TEST (s, test_equal_targets);
  CU_ADD_TEST (s, test_outliers);
  CU_ADD_TEST (s, test_bounds);
}
