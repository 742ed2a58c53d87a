/* The dispatcher against targets without a network: ownership that changes,
   orders without an answer, coordinators that are lost.  */
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
  WAIT_MS = 3000,
  TARGET_CPU = 4000,
  TASK_CPU = 1000
};

struct told
{
  uint32_t count;
  enum job_result result;
  enum refusal_reason reason;
};

struct bench
{
  struct event_base *base;
  struct dispatcher dispatcher;
};

static void
bench_init (struct bench *b)
{
  fake_port_reset ();
  b->base = event_base_new ();
  dispatcher_init (&b->dispatcher, b->base, &fake_port_ops, LEASE_MS);
}

static void
bench_done (struct bench *b)
{
  dispatcher_done (&b->dispatcher);
  event_base_free (b->base);
}

/* Runs the loop for MS.  */
static void
run_for (struct bench *b, int64_t ms)
{
  struct timeval t = now_timeval (ms);

  event_base_loopexit (b->base, &t);
  event_base_dispatch (b->base);
}

/* Runs the loop until *COUNT reaches WANTED, or fails.  */
static void
run_until (struct bench *b, const uint32_t *count, uint32_t wanted)
{
  int64_t end = now_ms () + WAIT_MS;

  while (*count < wanted && now_ms () < end)
    run_for (b, 5);
  CU_ASSERT_EQUAL (*count, wanted);
}

/* Runs the loop until COUNT targets take starts, or fails.  */
static void
run_until_ready (struct bench *b, uint32_t count)
{
  int64_t end = now_ms () + WAIT_MS;
  uint32_t ready = 0;

  while (ready < count && now_ms () < end)
    {
      const struct run_scheduler *s = &b->dispatcher.scheduler;

      run_for (b, 5);
      ready = 0;
      for (uint32_t i = 0; i < s->target_count; i++)
        ready += s->targets[i]->phase == TARGET_READY;
    }
  CU_ASSERT_EQUAL (ready, count);
}

/* Runs the loop until COUNT starts were made in all, or fails.  */
static void
run_until_started (struct bench *b, uint32_t count)
{
  int64_t end = now_ms () + WAIT_MS;

  while (fake_port_starts () < count && now_ms () < end)
    run_for (b, 5);
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
  struct told *t = arg;

  (void)retry_ms;
  (void)waited_ms;
  t->count++;
  t->result = result;
  t->reason = reason;
}

static struct dispatch_job *
submit (struct bench *b, const char *key, uint32_t tasks, struct told *t)
{
  struct job_spec s = make_job (key, tasks);
  enum refusal_reason reason;
  int64_t retry_ms;

  memset (t, 0, sizeof *t);
  return dispatcher_submit (&b->dispatcher, now_ms (), &s, on_done, t, &reason,
                            &retry_ms);
}

/* A job of two tasks ends once both have.  */
static void
test_done (void)
{
  struct owned_target row = make_target ("t1", 1);
  struct bench b;
  struct told told;

  bench_init (&b);
  dispatcher_set_targets (&b.dispatcher, now_ms (), &row, 1);
  run_until_ready (&b, 1);
  CU_ASSERT_PTR_NOT_NULL (submit (&b, "a", 2, &told));
  run_until_started (&b, 2);
  fake_port_end_run (fake_port_target ("t1"), "a.0.0.0", RUN_END_DONE);
  run_for (&b, 30);
  CU_ASSERT_EQUAL (told.count, 0);
  fake_port_end_run (fake_port_target ("t1"), "a.0.0.1", RUN_END_DONE);
  run_until (&b, &told.count, 1);
  CU_ASSERT_EQUAL (told.result, JOB_DONE);
  bench_done (&b);
}

/* Every job that runs on a target that goes to another owner is given up: none
   is started a second time while its first run may go on there.  */
static void
test_target_lost (void)
{
  struct owned_target rows[2]
      = { make_target ("t1", 1), make_target ("t2", 2) };
  struct told told[3];
  struct bench b;
  char key[2] = "a";

  bench_init (&b);
  dispatcher_set_targets (&b.dispatcher, now_ms (), rows, 1);
  run_until_ready (&b, 1);
  for (int i = 0; i < 3; i++, key[0]++)
    submit (&b, key, 1, &told[i]);
  run_until_started (&b, 3);
  dispatcher_set_targets (&b.dispatcher, now_ms (), &rows[1], 1);
  for (int i = 0; i < 3; i++)
    {
      run_until (&b, &told[i].count, 1);
      CU_ASSERT_EQUAL (told[i].result, JOB_UNKNOWN);
    }
  run_until_ready (&b, 1);
  CU_ASSERT_EQUAL (fake_port_starts (), 3);
  bench_done (&b);
}

/* An order to start that gets no answer is withdrawn, again and again until
   the target answers, and the task is then started anew.  */
static void
test_lost_orders (void)
{
  struct owned_target row = make_target ("t1", 1);
  struct fake_target *t;
  struct bench b;
  struct told told;

  bench_init (&b);
  dispatcher_set_targets (&b.dispatcher, now_ms (), &row, 1);
  run_until_ready (&b, 1);
  t = fake_port_target ("t1");
  t->lose_starts = 1;
  t->lose_stops = 3;
  submit (&b, "a", 1, &told);
  run_until (&b, &t->starts, 1);
  fake_port_end_run (t, "a.0.0.0", RUN_END_DONE);
  run_until (&b, &told.count, 1);
  CU_ASSERT_EQUAL (told.result, JOB_DONE);
  bench_done (&b);
}

/* A target falls silent with a task on it, dead or cut off: its lease is not
   asked to go on, and the task is started elsewhere once it must have ended
   there, but not before.  */
static void
test_silent_target (void)
{
  struct owned_target rows[2]
      = { make_target ("t1", 1), make_target ("t2", 2) };
  struct fake_target *dark;
  struct fake_target *other;
  struct bench b;
  struct told told;

  bench_init (&b);
  dispatcher_set_targets (&b.dispatcher, now_ms (), rows, 2);
  run_until_ready (&b, 2);
  submit (&b, "a", 1, &told);
  run_until_started (&b, 1);
  run_for (&b, 50);
  dark = fake_port_target ("t1");
  other = fake_port_target ("t2");
  if (dark->starts == 0)
    {
      dark = other;
      other = fake_port_target ("t1");
    }
  dark->unresponsive = true;
  run_until (&b, &other->starts, 1);
  CU_ASSERT_EQUAL (other->max_concurrent_runs, 1);
  fake_port_end_run (other, "a.0.0.0", RUN_END_DONE);
  run_until (&b, &told.count, 1);
  CU_ASSERT_EQUAL (told.result, JOB_DONE);
  bench_done (&b);
}

void
suite_dispatch (void)
{
  CU_pSuite s = CU_add_suite ("dispatch", NULL, NULL);

  CU_add_test (s, "a job ends with its last task", test_done);
  CU_add_test (s, "jobs on a lost target are given up", test_target_lost);
  CU_add_test (s, "a silent target's tasks go on elsewhere",
               test_silent_target);
  CU_add_test (s, "lost orders are made again", test_lost_orders);
}
