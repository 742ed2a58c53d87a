/* Tests of the run scheduler (admission, queueing, placement, stalled runs),
   of work estimates and of the job router, with load patterns in simulated
   time and without a network.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/job_router.h"
#include "coord/run_scheduler.h"
#include "tests/unit/suites.h"

enum
{
  CPU = 64000,
  TWICE_CPU = 128000,
  TARGETS = 16,
  LEASE_MS = 1000000
};

/* What the scheduler's callbacks and refused submissions reported.  */
struct seen
{
  uint32_t starts;
  uint32_t stops;
  uint32_t done;
  uint32_t failed;
  uint32_t refused;
  uint32_t unknown;
  uint32_t ejected;
  uint32_t readmitted;
  enum refusal_reason reason;
  int64_t retry_ms;
};

static struct seen seen;

static void
on_start (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  (void)arg;
  (void)t;
  (void)j;
  (void)task;
  seen.starts++;
}

static void
on_stop (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  (void)arg;
  (void)t;
  (void)j;
  (void)task;
  seen.stops++;
}

static void
on_finished (void *arg, struct run_job *j, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  (void)arg;
  (void)j;
  seen.done += result == JOB_DONE;
  seen.failed += result == JOB_FAILED;
  seen.refused += result == JOB_REFUSED;
  seen.unknown += result == JOB_UNKNOWN;
  seen.reason = reason;
  seen.retry_ms = retry_ms;
}

static void
on_health (void *arg, const struct run_target *t)
{
  (void)arg;
  if (t->health.ejected)
    seen.ejected++;
  else
    seen.readmitted++;
}

static const struct run_scheduler_output output
    = { on_start, on_stop, on_finished, NULL, on_health };

/* Initialises S with the given number of targets: of 64 cores, every third of
   96.  */
static void
init_scheduler (struct run_scheduler *s, uint32_t targets)
{
  memset (&seen, 0, sizeof seen);
  run_scheduler_init (s, &output, NULL);
  for (uint32_t i = 0; i < targets; i++)
    {
      struct run_target_spec t;

      memset (&t, 0, sizeof t);
      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      t.cpu_milli = i % 3 == 2 ? CPU * 3 / 2 : CPU;
      t.memory_mb = 100000;
      t.slots = 8;
      run_scheduler_add_target (s, &t)->phase = TARGET_READY;
    }
}

static struct job_spec
make_job (const char *key, uint32_t tasks, uint64_t cpu, int64_t work_ms)
{
  struct job_spec j;

  memset (&j, 0, sizeof j);
  snprintf (j.key, sizeof j.key, "%s", key);
  snprintf (j.queue, sizeof j.queue, "q%lld", (long long)work_ms);
  snprintf (j.service, sizeof j.service, "svc");
  j.attempts = 3;
  j.stretch_milli = 1600;
  j.floor_ms = 60;
  j.deadline_ms = 3000;
  j.lease_ms = LEASE_MS;
  j.step_count = 1;
  j.steps[0].count = tasks;
  j.steps[0].cpu_milli = cpu;
  j.steps[0].memory_mb = 64;
  j.steps[0].estimate_ms = work_ms;
  j.payload = slice_of ("");
  return j;
}

static struct run_job *
submit (struct run_scheduler *s, int64_t now, const struct job_spec *spec)
{
  enum refusal_reason reason;
  int64_t retry_ms;
  struct run_job *j
      = run_scheduler_submit (s, now, spec, &seen, &reason, &retry_ms);

  if (j == NULL)
    {
      seen.refused++;
      seen.reason = reason;
      seen.retry_ms = retry_ms;
    }
  return j;
}

/* Ends every run that was sent to its target at least its estimated run time
   ago.  */
static void
end_due_runs (struct run_scheduler *s, int64_t now)
{
  char name[TASK_NAME_BYTES];

  for (uint32_t i = 0; i < s->target_count; i++)
    {
      struct run_target *t = s->targets[i];

      for (uint32_t r = 0; r < t->run_count;)
        {
          const struct run_ref ref = t->runs[r];
          const struct run_task *task = &ref.job->tasks[ref.task];

          run_job_task_name (ref.job, ref.task, name);
          if (task->state == RUN_STARTING)
            run_scheduler_start_result (s, now, t, name, task->run,
                                        START_ACCEPTED);
          if (now - task->start_sent_ms < ref.job->spec.steps[0].estimate_ms)
            {
              r++;
              continue;
            }
          run_scheduler_ended (s, now, t, name, task->run, RUN_END_DONE);
        }
    }
}

/* Targets of 64 and 96 cores run two and three tasks of 27 cores.  */
static void
test_packing (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 7, 27000, 200);

  init_scheduler (&s, 3);
  submit (&s, 0, &job);
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (seen.starts, 7);
  run_scheduler_done (&s);
}

/* Best fit: small tasks are placed where the least free capacity remains, so
   that another target keeps enough for a large task.  */
static void
test_best_fit (void)
{
  struct run_scheduler s;
  struct job_spec small = make_job ("a", 2, 30000, 200);
  struct job_spec large = make_job ("b", 1, 60000, 200);

  init_scheduler (&s, 2);
  submit (&s, 0, &small);
  run_scheduler_pass (&s, 0);
  submit (&s, 0, &large);
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (seen.starts, 3);
  run_scheduler_done (&s);
}

/* Started jobs come before all others; of these, the job that must start
   soonest to be done on time is first, not the one submitted first.  */
static void
test_order (void)
{
  struct run_scheduler s;
  struct job_spec full = make_job ("full", 2, 32000, 900);
  struct job_spec slow = make_job ("slow", 1, 60000, 900);
  struct job_spec quick = make_job ("quick", 1, 60000, 60);
  struct run_job *slow_job;
  struct run_job *quick_job;
  char name[TASK_NAME_BYTES];
  struct run_job *full_job;

  init_scheduler (&s, 1);
  full_job = submit (&s, 0, &full);
  run_scheduler_pass (&s, 0);
  slow_job = submit (&s, 850, &slow);
  quick_job = submit (&s, 860, &quick);
  CU_ASSERT_PTR_NOT_NULL_FATAL (slow_job);
  CU_ASSERT_PTR_NOT_NULL_FATAL (quick_job);
  run_scheduler_pass (&s, 870);
  CU_ASSERT_EQUAL (seen.starts, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      run_job_task_name (full_job, 0, name);
      run_scheduler_ended (&s, 900, s.targets[0],
                           i == 0 ? "full.0.0.0" : "full.0.0.1", 1,
                           RUN_END_DONE);
    }
  run_scheduler_pass (&s, 900);
  CU_ASSERT_EQUAL (quick_job->first_start_ms, 900);
  CU_ASSERT_EQUAL (slow_job->first_start_ms, -1);
  run_scheduler_done (&s);
}

/* A burst of 1.8 times the capacity: accepted jobs are done on time, most
   others are refused at submission with a retry time.  Without admission
   control nearly all jobs would be late.  */
static void
test_burst (void)
{
  struct run_scheduler s;
  uint32_t submitted = 0;
  uint32_t late_refusals = 0;
  char key[16];

  init_scheduler (&s, TARGETS);
  /* There is capacity for 37 tasks at a time.  A job has 2 tasks of 200 ms,
     so 92 jobs a second can be done.  */
  for (int64_t now = 0; now < 4000; now++)
    {
      end_due_runs (&s, now);
      if (now % 6 == 0)
        {
          struct job_spec job;
          uint32_t before = seen.refused;

          snprintf (key, sizeof key, "k%lld", (long long)now);
          job = make_job (key, 2, 27000, 200);
          submitted++;
          submit (&s, now, &job);
          late_refusals -= seen.refused - before;
        }
      run_scheduler_pass (&s, now);
    }
  /* All refusals less those at submission.  */
  late_refusals += seen.refused;
  CU_ASSERT (seen.done > submitted / 2 * 95 / 100);
  CU_ASSERT (seen.refused > 0);
  CU_ASSERT (late_refusals * 20 <= submitted);
  CU_ASSERT (seen.retry_ms >= 500);
  run_scheduler_done (&s);
}

/* A target that fails every run immediately always has free capacity and would
   attract all jobs.  It is ejected after a few runs, and the jobs succeed on
   other targets.  */
static void
test_failing_target (void)
{
  struct run_scheduler s;
  char key[16];
  uint32_t bad_runs = 0;

  init_scheduler (&s, 4);
  for (int64_t now = 0; now < 3000; now += 10)
    {
      struct run_target *bad = s.targets[0];
      char name[TASK_NAME_BYTES];

      while (bad->run_count != 0)
        {
          const struct run_ref ref = bad->runs[0];

          run_job_task_name (ref.job, ref.task, name);
          bad_runs++;
          run_scheduler_ended (&s, now, bad, name,
                               ref.job->tasks[ref.task].run, RUN_END_FAILED);
        }
      end_due_runs (&s, now);
      if (now % 50 == 0)
        {
          struct job_spec job;

          snprintf (key, sizeof key, "k%lld", (long long)now);
          job = make_job (key, 1, 27000, 100);
          submit (&s, now, &job);
        }
      run_scheduler_pass (&s, now);
    }
  CU_ASSERT (seen.done >= 58);
  CU_ASSERT_EQUAL (seen.failed, 0);
  CU_ASSERT (bad_runs <= 8);
  run_scheduler_done (&s);
}

/* Reports that the only run on T ended at NOW.  */
static void
end_only_run (struct run_scheduler *s, int64_t now, struct run_target *t,
              enum run_end how)
{
  const struct run_ref ref = t->runs[0];
  char name[TASK_NAME_BYTES];

  CU_ASSERT_EQUAL_FATAL (t->run_count, 1);
  run_job_task_name (ref.job, ref.task, name);
  run_scheduler_ended (s, now, t, name, ref.job->tasks[ref.task].run, how);
}

/* The health callback reports that a target is ejected, and that it is
   readmitted after a successful run.  */
static void
test_health_reports (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 1, 27000, 100);
  struct run_target *bad;

  init_scheduler (&s, 3);
  bad = s.targets[0];
  for (int i = 1; i < 3; i++)
    s.targets[i]->full_until_ms = 100000;
  for (int i = 0; i < 2; i++)
    {
      snprintf (job.key, sizeof job.key, "k%d", i);
      submit (&s, 0, &job);
      run_scheduler_pass (&s, 0);
      end_only_run (&s, 10, bad, RUN_END_FAILED);
    }
  CU_ASSERT_EQUAL (seen.ejected, 1);
  snprintf (job.key, sizeof job.key, "k2");
  submit (&s, 1000, &job);
  run_scheduler_pass (&s, 1000);
  end_only_run (&s, 1100, bad, RUN_END_DONE);
  CU_ASSERT_EQUAL (seen.ejected, 1);
  CU_ASSERT_EQUAL (seen.readmitted, 1);
  run_scheduler_done (&s);
}

/* A job whose runs fail on healthy targets fails after its maximum number of
   attempts.  */
static void
test_job_attempts (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 1, 27000, 100);
  uint32_t rounds = 0;

  init_scheduler (&s, 6);
  submit (&s, 0, &job);
  while (seen.failed == 0 && rounds++ < 10)
    {
      run_scheduler_pass (&s, rounds);
      for (uint32_t i = 0; i < s.target_count; i++)
        if (s.targets[i]->run_count != 0)
          run_scheduler_ended (&s, rounds, s.targets[i], "a.0.0.0", rounds,
                               RUN_END_FAILED);
    }
  CU_ASSERT_EQUAL (seen.failed, 1);
  CU_ASSERT_EQUAL (rounds, 3);
  run_scheduler_done (&s);
}

/* Starts a job of one task of 100 ms on one of two targets and reports its
   progress, PERCENT_OF (now), every 130 ms, for 2 s or until the run is
   stopped.  Returns the number of stops.  */
static uint32_t
count_stops (struct run_scheduler *s, uint32_t (*percent_of) (int64_t))
{
  struct job_spec job = make_job ("a", 1, 27000, 100);
  struct run_target *first;

  init_scheduler (s, 2);
  submit (s, 0, &job);
  run_scheduler_pass (s, 0);
  first = s->targets[0]->run_count != 0 ? s->targets[0] : s->targets[1];
  run_scheduler_start_result (s, 1, first, "a.0.0.0", 1, START_ACCEPTED);
  for (int64_t now = 0; now < 2000 && seen.stops == 0; now += 10)
    {
      if (now % 130 == 0)
        run_scheduler_running (s, now, first, "a.0.0.0", 1, percent_of (now));
      run_scheduler_pass (s, now);
    }
  if (seen.stops != 0)
    run_scheduler_ended (s, 2000, first, "a.0.0.0", 1, RUN_END_STOPPED);
  run_scheduler_pass (s, 2000);
  CU_ASSERT_EQUAL (seen.stops == 0 || first->run_count == 0, 1);
  return seen.stops;
}

static uint32_t
percent_stalled (int64_t now)
{
  return now < 60 ? (uint32_t)now : 60;
}

static uint32_t
percent_slow (int64_t now)
{
  return (uint32_t)(now * 100 / 1200);
}

static uint32_t
percent_long (int64_t now)
{
  return now < 350 ? (uint32_t)(now * 100 / 350) : 99;
}

/* A run without progress is stopped and, once it has ended, started on another
   target.  So is a run that is so slow that a restart is done sooner.  */
static void
test_stalled_run (void)
{
  struct run_scheduler s;

  CU_ASSERT_EQUAL (count_stops (&s, percent_stalled), 1);
  CU_ASSERT_EQUAL (seen.starts, 2);
  run_scheduler_done (&s);
  CU_ASSERT_EQUAL (count_stops (&s, percent_slow), 1);
  CU_ASSERT_EQUAL (seen.starts, 2);
  run_scheduler_done (&s);
}

/* A run that exceeds its estimate but makes progress is not stopped, nor is
   one whose progress has not been reported lately.  */
static void
test_long_run (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 1, 27000, 100);
  struct run_target *first;

  CU_ASSERT_EQUAL (count_stops (&s, percent_long), 0);
  run_scheduler_done (&s);
  init_scheduler (&s, 2);
  submit (&s, 0, &job);
  run_scheduler_pass (&s, 0);
  first = s.targets[0]->run_count != 0 ? s.targets[0] : s.targets[1];
  run_scheduler_start_result (&s, 1, first, "a.0.0.0", 1, START_ACCEPTED);
  run_scheduler_running (&s, 200, first, "a.0.0.0", 1, 60);
  for (int64_t now = 200; now < 700; now += 20)
    run_scheduler_pass (&s, now);
  CU_ASSERT_EQUAL (seen.stops, 0);
  run_scheduler_done (&s);
}

/* A task that is larger than every target is refused at submission.  */
static void
test_too_large (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 1, TWICE_CPU, 100);

  init_scheduler (&s, 3);
  CU_ASSERT_PTR_NULL (submit (&s, 0, &job));
  CU_ASSERT_EQUAL (seen.reason, REFUSAL_TOO_LARGE);
  run_scheduler_done (&s);
}

/* A target of an evacuated domain gets no starts and is no capacity.  A task
   that fits only there is not too large for the service: the job is refused
   with a reason for which it is tried elsewhere.  */
static void
test_evacuated (void)
{
  struct run_scheduler s;
  struct job_spec job = make_job ("a", 4, CPU, 100);
  struct job_spec large = make_job ("b", 1, CPU + 1, 100);

  init_scheduler (&s, 3);
  s.targets[2]->evacuated = true;
  CU_ASSERT_EQUAL (run_scheduler_backlog (&s, "svc", 0).cpu_milli, TWICE_CPU);
  CU_ASSERT_PTR_NOT_NULL (submit (&s, 0, &job));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (seen.starts, 2);
  CU_ASSERT_EQUAL (s.targets[2]->run_count, 0);
  CU_ASSERT_PTR_NULL (submit (&s, 0, &large));
  CU_ASSERT_EQUAL (seen.reason, REFUSAL_NO_TARGET);
  s.targets[0]->evacuated = true;
  s.targets[1]->evacuated = true;
  CU_ASSERT_PTR_NULL (submit (&s, 0, &large));
  CU_ASSERT_EQUAL (seen.reason, REFUSAL_NO_TARGET);
  s.targets[2]->evacuated = false;
  run_scheduler_pass (&s, 1);
  CU_ASSERT_EQUAL (s.targets[2]->run_count, 1);
  run_scheduler_done (&s);
}

/* A cold target is chosen last; where a warm one is busy, only if the task
   still ends on time there or is late already, or if all targets are cold.  */
static void
test_cold (void)
{
  struct run_scheduler s;
  struct job_spec one = make_job ("a", 1, CPU, 100);
  struct job_spec two = make_job ("b", 1, CPU, 1000);

  init_scheduler (&s, 2);
  s.targets[0]->spec.cold_until_ms = 100000;
  CU_ASSERT_PTR_NOT_NULL (submit (&s, 0, &one));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (s.targets[1]->run_count, 1);
  /* Twice 1000 ms is later than 1.6 times that plus 60 ms.  */
  CU_ASSERT_PTR_NOT_NULL (submit (&s, 0, &two));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (s.targets[0]->run_count, 0);
  run_scheduler_pass (&s, 700);
  CU_ASSERT_EQUAL (s.targets[0]->run_count, 1);
  run_scheduler_done (&s);
  init_scheduler (&s, 2);
  s.targets[0]->spec.cold_until_ms = 100000;
  s.targets[1]->spec.cold_until_ms = 100000;
  CU_ASSERT_PTR_NOT_NULL (submit (&s, 0, &two));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_EQUAL (seen.starts, 1);
  run_scheduler_done (&s);
}

/* Estimates that are too low or too high are corrected towards the run times
   measured for the queue.  */
static void
test_estimate (void)
{
  struct work_estimate e;

  work_estimate_init (&e);
  CU_ASSERT_EQUAL (work_estimate_ms (&e, "q", 300), 300);
  for (int i = 0; i < 200; i++)
    work_estimate_add (&e, "q", i % 2 == 0 ? 100 : 400, 200);
  CU_ASSERT (work_estimate_ms (&e, "q", 100) >= 130);
  CU_ASSERT (work_estimate_ms (&e, "q", 400) <= 300);
  work_estimate_done (&e);
}

/* Jobs sent since the last report are subtracted from the reported free
   capacity; otherwise all jobs would go to the dispatcher with the best
   report.  An outdated report is not used.  */
static void
test_router (void)
{
  struct route_dispatcher d[2];
  struct job_spec job = make_job ("a", 2, 27000, 200);
  uint32_t sent_to_first = 0;

  memset (d, 0, sizeof d);
  for (int i = 0; i < 2; i++)
    {
      snprintf (d[i].vm, sizeof d[i].vm, "vm%d", i);
      snprintf (d[i].domain, sizeof d[i].domain, "d%d", i);
      d[i].reachable = true;
      d[i].reported_ms = 1000;
      d[i].echo.confirmed = (struct lease_stamp){ 1, 1000 };
      d[i].capacity_count = 1;
      snprintf (d[i].capacities[0].service, sizeof d[i].capacities[0].service,
                "svc");
      d[i].capacities[0].cpu_milli = 1000000;
      d[i].capacities[0].free_cpu_milli = i == 0 ? 200000 : 600000;
    }
  for (int i = 0; i < 10; i++)
    {
      struct route_dispatcher *to
          = job_router_choose (d, 2, "d0", &job, NULL, 0, 1050);

      sent_to_first += to == &d[0];
      job_router_sent (to, &job);
    }
  CU_ASSERT (sent_to_first >= 3 && sent_to_first <= 7);
  CU_ASSERT_PTR_NULL (job_router_choose (d, 2, "d0", &job, NULL, 0, 9000));
  d[0].echo.confirmed.received_ms = 0;
  CU_ASSERT_PTR_EQUAL (job_router_choose (d, 2, "d0", &job, NULL, 0, 1050),
                       &d[1]);
}

/* A dispatcher that reports less than one usable thousandth of a core has no
   wait that could be computed: no job goes there.  */
static void
test_router_no_cores (void)
{
  struct route_dispatcher d = { .reachable = true,
                                .reported_ms = 1000,
                                .echo.confirmed = { 1, 1000 } };
  struct job_spec job = make_job ("a", 2, 27000, 200);

  d.capacity_count = 1;
  snprintf (d.capacities[0].service, sizeof d.capacities[0].service, "svc");
  d.capacities[0].cpu_milli = 1;
  CU_ASSERT_EQUAL (job_router_wait_ms (&d, &job, 1000), -1);
  CU_ASSERT_PTR_NULL (job_router_choose (&d, 1, "d0", &job, NULL, 0, 1000));
}

/* What follows a refusal.  A job that is refused as a duplicate is never tried
   at another dispatcher: its first attempt may still run.  */
static void
test_after_refusal (void)
{
  static const struct
  {
    enum refusal_reason reason;
    uint32_t tried;
    enum route_next next;
  } rows[] = { { REFUSAL_OVERLOAD, 1, ROUTE_ELSEWHERE },
               { REFUSAL_LEASE, 1, ROUTE_ELSEWHERE },
               { REFUSAL_STALE, ROUTE_TRY_LIMIT - 1, ROUTE_ELSEWHERE },
               { REFUSAL_OVERLOAD, ROUTE_TRY_LIMIT, ROUTE_REFUSED },
               { REFUSAL_EXPIRED, 1, ROUTE_REFUSED },
               { REFUSAL_TOO_LARGE, 1, ROUTE_REFUSED },
               { REFUSAL_DUPLICATE, 1, ROUTE_UNKNOWN },
               { REFUSAL_DUPLICATE, ROUTE_TRY_LIMIT, ROUTE_UNKNOWN } };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    CU_ASSERT_EQUAL (job_router_after_refusal (rows[i].reason, rows[i].tried,
                                               ROUTE_TRY_LIMIT),
                     rows[i].next);
}

void
suite_scheduler (void)
{
  CU_pSuite s = CU_add_suite ("scheduler", NULL, NULL);

  CU_add_test (s, "tasks are packed on targets", test_packing);
  CU_add_test (s, "best fit leaves capacity for a large task", test_best_fit);
  CU_add_test (s, "the job that must start soonest goes first", test_order);
  CU_add_test (s, "excess jobs of a burst are refused early", test_burst);
  CU_add_test (s, "a failing target gets few jobs", test_failing_target);
  CU_add_test (s, "ejection and readmission are reported",
               test_health_reports);
  CU_add_test (s, "a job fails after its attempts", test_job_attempts);
  CU_add_test (s, "a stalled run is restarted elsewhere", test_stalled_run);
  CU_add_test (s, "a long run with progress is not stopped", test_long_run);
  CU_add_test (s, "a task larger than every target is refused",
               test_too_large);
  CU_add_test (s, "evacuated targets get no starts", test_evacuated);
  CU_add_test (s, "cold targets are used last", test_cold);
  CU_add_test (s, "estimates follow measured run times", test_estimate);
  CU_add_test (s, "routing counts the jobs already sent", test_router);
  CU_add_test (s, "no job goes to a dispatcher without usable cores",
               test_router_no_cores);
  CU_add_test (s, "a duplicate is tried at another dispatcher",
               test_after_refusal);
}
