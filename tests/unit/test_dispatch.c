/* Tests of the dispatcher with simulated targets (fake_port) and no network:
   changes of ownership, requests that get no reply, unresponsive targets.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"
#include "controller/dispatcher.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  LEASE_MS = 400,
  ANSWER_MS = 50, /* until a start is answered */
  JOB_LEASE_MS = 20000,
  WAIT_MS = 3000,
  LEAVE_MS = 5000,
  TARGET_CPU = 4000,
  TASK_CPU = 1000
};

/* What the dispatcher reported about a job.  */
struct job_report
{
  uint32_t count;
  enum job_result result;
  enum refusal_reason reason;
};

struct fixture
{
  struct event_base *base;
  struct dispatcher dispatcher;
};

static void
fixture_init (struct fixture *f)
{
  fake_port_reset ();
  f->base = event_base_new ();
  dispatcher_init (&f->dispatcher, f->base, &fake_port_ops, LEASE_MS);
}

static void
fixture_done (struct fixture *f)
{
  dispatcher_done (&f->dispatcher);
  event_base_free (f->base);
}

/* Runs the event loop for MS milliseconds.  */
static void
run_for (struct fixture *f, int64_t ms)
{
  struct timeval t = now_timeval (ms);

  event_base_loopexit (f->base, &t);
  event_base_dispatch (f->base);
}

/* Runs the event loop until *COUNT is at least EXPECTED; the test fails if it
   is not EXPECTED within WAIT_MS.  */
static void
run_until (struct fixture *f, const uint32_t *count, uint32_t expected)
{
  int64_t end = now_ms () + WAIT_MS;

  while (*count < expected && now_ms () < end)
    run_for (f, 5);
  CU_ASSERT_EQUAL (*count, expected);
}

/* Runs the event loop until COUNT targets are ready; the test fails if they
   are not within WAIT_MS.  */
static void
run_until_ready (struct fixture *f, uint32_t count)
{
  int64_t end = now_ms () + WAIT_MS;
  uint32_t ready = 0;

  while (ready < count && now_ms () < end)
    {
      const struct run_scheduler *s = &f->dispatcher.scheduler;

      run_for (f, 5);
      ready = 0;
      for (uint32_t i = 0; i < s->target_count; i++)
        ready += s->targets[i]->phase == TARGET_READY;
    }
  CU_ASSERT_EQUAL (ready, count);
}

/* Runs the event loop until COUNT tasks were started on all targets together;
   the test fails if they were not within WAIT_MS.  */
static void
run_until_started (struct fixture *f, uint32_t count)
{
  int64_t end = now_ms () + WAIT_MS;

  while (fake_port_starts () < count && now_ms () < end)
    run_for (f, 5);
  CU_ASSERT_EQUAL (fake_port_starts (), count);
}

static struct owned_target
make_target (const char *id, uint64_t fencing_token)
{
  struct owned_target t;

  memset (&t, 0, sizeof t);
  snprintf (t.spec.id, sizeof t.spec.id, "%s", id);
  snprintf (t.spec.address, sizeof t.spec.address, "127.0.0.1:1");
  snprintf (t.spec.service, sizeof t.spec.service, "svc");
  snprintf (t.spec.domain, sizeof t.spec.domain, "shop");
  t.spec.started_ms = 1;
  t.spec.cpu_milli = TARGET_CPU;
  t.spec.memory_mb = 1000;
  t.spec.slots = 8;
  t.fencing_token = fencing_token;
  return t;
}

static struct job_spec
make_job (const char *key, uint32_t tasks)
{
  struct job_spec s;

  memset (&s, 0, sizeof s);
  snprintf (s.key, sizeof s.key, "%s", key);
  snprintf (s.queue, sizeof s.queue, "queue");
  snprintf (s.service, sizeof s.service, "svc");
  s.attempts = 3;
  s.stretch_milli = 2000;
  s.floor_ms = 1000;
  s.deadline_ms = 10000;
  s.lease_ms = JOB_LEASE_MS;
  s.step_count = 1;
  s.steps[0].count = tasks;
  s.steps[0].cpu_milli = TASK_CPU;
  s.steps[0].memory_mb = 1;
  s.steps[0].estimate_ms = 100;
  s.payload = slice_of ("");
  return s;
}

static void
on_done (void *arg, enum job_result result, enum refusal_reason reason,
         int64_t retry_ms, int64_t waited_ms)
{
  struct job_report *r = arg;

  (void)retry_ms;
  (void)waited_ms;
  r->count++;
  r->result = result;
  r->reason = reason;
}

static struct dispatch_job *
submit (struct fixture *f, const char *key, uint32_t tasks,
        struct job_report *r)
{
  struct job_spec s = make_job (key, tasks);
  enum refusal_reason reason;
  int64_t retry_ms;

  memset (r, 0, sizeof *r);
  return dispatcher_submit (&f->dispatcher, now_ms (), &s, on_done, r, &reason,
                            &retry_ms);
}

/* A job of two tasks is done only once both tasks have ended.  */
static void
test_job_done (void)
{
  struct owned_target target = make_target ("t1", 1);
  struct fixture f;
  struct job_report report;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  run_until_ready (&f, 1);
  CU_ASSERT_PTR_NOT_NULL (submit (&f, "a", 2, &report));
  run_until_started (&f, 2);
  fake_port_end_run (fake_port_target ("t1"), "a.0.0.0", RUN_END_DONE);
  run_for (&f, 30);
  CU_ASSERT_EQUAL (report.count, 0);
  fake_port_end_run (fake_port_target ("t1"), "a.0.0.1", RUN_END_DONE);
  run_until (&f, &report.count, 1);
  CU_ASSERT_EQUAL (report.result, JOB_DONE);
  fixture_done (&f);
}

/* Jobs that run on a target which is assigned to another owner end with an
   unknown result.  They are not started again elsewhere, since the first run
   may still be going on.  */
static void
test_target_reassigned (void)
{
  struct owned_target targets[2]
      = { make_target ("t1", 1), make_target ("t2", 2) };
  struct job_report reports[3];
  struct fixture f;
  char key[2] = "a";

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), targets, 1);
  run_until_ready (&f, 1);
  for (int i = 0; i < 3; i++, key[0]++)
    submit (&f, key, 1, &reports[i]);
  run_until_started (&f, 3);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &targets[1], 1);
  for (int i = 0; i < 3; i++)
    {
      run_until (&f, &reports[i].count, 1);
      CU_ASSERT_EQUAL (reports[i].result, JOB_UNKNOWN);
    }
  run_until_ready (&f, 1);
  CU_ASSERT_EQUAL (fake_port_starts (), 3);
  fixture_done (&f);
}

/* If a start request gets no reply, the dispatcher sends stop requests until
   the target replies, and only then starts the task again.  */
static void
test_lost_requests (void)
{
  struct owned_target target = make_target ("t1", 1);
  struct fake_target *t;
  struct fixture f;
  struct job_report report;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  run_until_ready (&f, 1);
  t = fake_port_target ("t1");
  t->lose_starts = 1;
  t->lose_stops = 3;
  submit (&f, "a", 1, &report);
  run_until (&f, &t->starts, 1);
  fake_port_end_run (t, "a.0.0.0", RUN_END_DONE);
  run_until (&f, &report.count, 1);
  CU_ASSERT_EQUAL (report.result, JOB_DONE);
  fixture_done (&f);
}

/* The stop of a run whose start was answered is lost: it is sent again until
   the target answers.  */
static void
test_lost_stop (void)
{
  struct owned_target target = make_target ("t1", 1);
  struct fake_target *t;
  struct fixture f;
  struct job_report report;
  struct dispatch_job *j;
  int64_t end;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  run_until_ready (&f, 1);
  t = fake_port_target ("t1");
  j = submit (&f, "a", 1, &report);
  run_until (&f, &t->starts, 1);
  run_for (&f, ANSWER_MS);
  t->lose_stops = 2;
  dispatcher_cancel (&f.dispatcher, now_ms (), j, "test");
  end = now_ms () + LEASE_MS / 2;
  while (fake_port_running ("a.0.0.0") != 0 && now_ms () < end)
    run_for (&f, 5);
  CU_ASSERT_EQUAL (t->lose_stops, 0);
  CU_ASSERT_EQUAL (fake_port_running ("a.0.0.0"), 0);
  fixture_done (&f);
}

/* A target stops responding while it runs a task, because it crashed or is cut
   off.  Its lease is no longer renewed; the task is started elsewhere once the
   lease has expired, so that it never runs twice at a time.  */
static void
test_unresponsive_target (void)
{
  struct owned_target targets[2]
      = { make_target ("t1", 1), make_target ("t2", 2) };
  struct fake_target *unresponsive;
  struct fake_target *other;
  struct fixture f;
  struct job_report report;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), targets, 2);
  run_until_ready (&f, 2);
  submit (&f, "a", 1, &report);
  run_until_started (&f, 1);
  run_for (&f, 50);
  unresponsive = fake_port_target ("t1");
  other = fake_port_target ("t2");
  if (unresponsive->starts == 0)
    {
      unresponsive = other;
      other = fake_port_target ("t1");
    }
  unresponsive->unresponsive = true;
  run_until (&f, &other->starts, 1);
  CU_ASSERT_EQUAL (other->max_concurrent_runs, 1);
  fake_port_end_run (other, "a.0.0.0", RUN_END_DONE);
  run_until (&f, &report.count, 1);
  CU_ASSERT_EQUAL (report.result, JOB_DONE);
  fixture_done (&f);
}

/* A start finds that its target has restarted, and is never sent: the caller
   gets its answer from another target, not "unknown".  */
static void
test_start_never_sent (void)
{
  struct owned_target targets[2]
      = { make_target ("t1", 1), make_target ("t2", 2) };
  struct fixture f;
  struct job_report report;
  int64_t end = now_ms () + WAIT_MS;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), targets, 1);
  run_until_ready (&f, 1);
  fake_port_target ("t1")->has_connections = true;
  fake_port_restart (fake_port_target ("t1"));
  submit (&f, "a", 1, &report);
  while (f.dispatcher.runner_count != 0 && now_ms () < end)
    run_for (&f, 5);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &targets[1], 1);
  run_until (&f, &fake_port_target ("t2")->starts, 1);
  CU_ASSERT_EQUAL (fake_port_target ("t1")->starts, 0);
  fake_port_end_run (fake_port_target ("t2"), "a.0.0.0", RUN_END_DONE);
  run_until (&f, &report.count, 1);
  CU_ASSERT_EQUAL (report.result, JOB_DONE);
  fixture_done (&f);
}

/* A dispatcher that shuts down while no keeper can assign its targets to
   another one goes on with them: 80 of the 116 targets of a failure domain
   that was cut off while its entries were restarted were left unused.  It
   refuses what cannot end in time, and everything once its targets are
   released.  */
static void
test_shutdown_without_leader (void)
{
  struct owned_target target = make_target ("t1", 1);
  struct dispatch_capacity capacities[1];
  struct fixture f;
  struct job_report report;
  struct job_report late;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  run_until_ready (&f, 1);
  dispatcher_leave (&f.dispatcher, now_ms (), now_ms () + LEAVE_MS);
  CU_ASSERT_EQUAL (
      dispatcher_capacity (&f.dispatcher, now_ms (), capacities, 1), 1);
  CU_ASSERT_PTR_NOT_NULL (submit (&f, "a", 1, &report));
  run_until_started (&f, 1);
  fake_port_end_run (fake_port_target ("t1"), "a.0.0.0", RUN_END_DONE);
  run_until (&f, &report.count, 1);
  CU_ASSERT_EQUAL (report.result, JOB_DONE);

  target.release = true;
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  CU_ASSERT_PTR_NULL (submit (&f, "b", 1, &late));
  CU_ASSERT_EQUAL (
      dispatcher_capacity (&f.dispatcher, now_ms (), capacities, 1), 0);
  fixture_done (&f);
}

/* Near the end of the grace period a job that may not end in time is
   refused, and one that waits is handed back to its entry.  */
static void
test_shutdown_near_its_end (void)
{
  struct owned_target target = make_target ("t1", 1);
  struct fixture f;
  struct job_report running;
  struct job_report waiting;
  struct job_report late;

  fixture_init (&f);
  dispatcher_set_targets (&f.dispatcher, now_ms (), &target, 1);
  run_until_ready (&f, 1);
  submit (&f, "a", TARGET_CPU / TASK_CPU, &running);
  run_until_started (&f, TARGET_CPU / TASK_CPU);
  submit (&f, "b", 1, &waiting);
  dispatcher_leave (&f.dispatcher, now_ms (), now_ms () + 100);
  CU_ASSERT_EQUAL (waiting.count, 1);
  CU_ASSERT_EQUAL (waiting.result, JOB_REFUSED);
  CU_ASSERT_EQUAL (waiting.reason, REFUSAL_LEAVING);
  CU_ASSERT_EQUAL (running.count, 0);
  CU_ASSERT_PTR_NULL (submit (&f, "c", 1, &late));
  fixture_done (&f);
}

void
suite_dispatch (void)
{
  CU_pSuite s = CU_add_suite ("dispatch", NULL, NULL);

  CU_add_test (s, "a job is done after its last task", test_job_done);
  CU_add_test (s, "jobs on a reassigned target end as unknown",
               test_target_reassigned);
  CU_add_test (s, "tasks of an unresponsive target are restarted",
               test_unresponsive_target);
  CU_add_test (s, "a start that was never sent is unknown",
               test_start_never_sent);
  CU_add_test (s, "lost requests are sent again", test_lost_requests);
  CU_add_test (s, "a lost stop is not sent again", test_lost_stop);
  CU_add_test (s, "a shutdown without a leader goes on with its targets",
               test_shutdown_without_leader);
  CU_add_test (s, "a shutdown refuses what cannot end in time",
               test_shutdown_near_its_end);
}
