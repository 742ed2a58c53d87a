/* Tests of load shedding by priority: which jobs wait, which give way and
   where a refused job is tried next, without a network.  */
#include <stdio.h>
#include <string.h>
#include "controller/dispatch_capacity.h"
#include "coord/job_router.h"
#include "coord/overload_policy.h"
#include "coord/run_scheduler.h"
#include "tests/unit/suites.h"

enum
{
  DECISIVE_TARGETS = 20, /* as in overload_policy */
  TASK_CPU = 8000,
  TARGET_CPU = 16000,
  LEASE_MS = 1000000,
  REPORTED_MS = 1000,
  ROOM_AGE_MS = 150,
  DISPATCHERS = 5,

  /* More work than the floor of a queue, which is not displaced below it.  */
  FLOOR_WORK = 100000000
};

struct seen
{
  char finished[JOB_KEY_BYTES];
  enum job_result result;
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
}

static void
on_finished (void *arg, struct run_job *j, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  (void)arg;
  snprintf (seen.finished, sizeof seen.finished, "%s", j->spec.key);
  seen.result = result;
  seen.reason = reason;
  seen.retry_ms = retry_ms;
}

static void
on_revoke (void *arg, struct run_job *j)
{
  (void)arg;
  (void)j;
}

static const struct run_scheduler_output output
    = { on_start, on_start, on_finished, on_revoke, NULL };

/* Two queues of one service; LOWER is the priority of the second.  */
static void
set_priorities (struct service_priorities *p, uint32_t lower)
{
  struct queue_rule queues[2]
      = { { .name = "urgent", .service = "svc" },
          { .name = "other", .service = "svc", .priority = lower } };

  service_priorities_set (p, queues, 2);
}

/* Initialises S with one target, which holds two tasks.  */
static void
init_scheduler (struct run_scheduler *s, uint32_t lower)
{
  struct run_target_spec t = { .id = "t",
                               .service = "svc",
                               .cpu_milli = TARGET_CPU,
                               .memory_mb = 1000,
                               .slots = 8 };

  memset (&seen, 0, sizeof seen);
  run_scheduler_init (s, &output, NULL);
  set_priorities (&s->priorities, lower);
  run_scheduler_add_target (s, &t)->phase = TARGET_READY;
}

/* Adds COUNT targets that take no tasks yet.  */
static void
add_unusable_targets (struct run_scheduler *s, uint32_t count)
{
  struct run_target_spec t = { .service = "svc", .cpu_milli = TARGET_CPU };

  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (t.id, sizeof t.id, "unusable%u", i);
      run_scheduler_add_target (s, &t);
    }
}

static struct job_spec
make_job (const char *key, uint32_t priority, uint32_t tasks, int64_t run_ms)
{
  struct job_spec j = { .priority = priority,
                        .attempts = 3,
                        .stretch_milli = 1600,
                        .floor_ms = 60,
                        .deadline_ms = 3000,
                        .lease_ms = LEASE_MS,
                        .step_count = 1 };

  snprintf (j.key, sizeof j.key, "%s", key);
  snprintf (j.queue, sizeof j.queue, "%s", priority == 0 ? "urgent" : "other");
  snprintf (j.service, sizeof j.service, "svc");
  j.steps[0].count = tasks;
  j.steps[0].cpu_milli = TASK_CPU;
  j.steps[0].estimate_ms = run_ms;
  j.payload = slice_of ("");
  return j;
}

static struct run_job *
submit (struct run_scheduler *s, const char *key, uint32_t priority,
        int64_t run_ms)
{
  struct job_spec spec = make_job (key, priority, 2, run_ms);

  return run_scheduler_submit (s, 0, &spec, &seen, &seen.reason,
                               &seen.retry_ms);
}

/* The target is full for 200 ms; then there is room for one of the two jobs.
   Guards against an urgent job that is late because of an earlier job that
   still waits, and against a displaced job that hears of it too late to be
   tried elsewhere.  */
static void
test_displaced (void)
{
  struct run_scheduler s;

  init_scheduler (&s, 1);
  submit (&s, "first", 1, 200);
  queue_share_grant (&s.share, 0, "other", FLOOR_WORK);
  run_scheduler_pass (&s, 0);
  CU_ASSERT_PTR_NOT_NULL (submit (&s, "waits", 1, 1000));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_STRING_EQUAL (seen.finished, "");
  CU_ASSERT_PTR_NOT_NULL (submit (&s, "urgent", 0, 600));
  run_scheduler_pass (&s, 0);
  CU_ASSERT_STRING_EQUAL (seen.finished, "waits");
  CU_ASSERT_EQUAL (seen.result, JOB_REFUSED);
  CU_ASSERT_EQUAL (seen.reason, REFUSAL_DISPLACED);
  CU_ASSERT (seen.retry_ms >= 500);
  CU_ASSERT_EQUAL (s.refused_ahead.urgent, 2);
  CU_ASSERT_EQUAL (s.refused_ahead.capacity, 2);
  CU_ASSERT_EQUAL (run_scheduler_waiting_jobs (&s, "urgent"), 1);
  run_scheduler_done (&s);
}

/* Guards against the answer "not run" for a job of which another dispatcher
   may run tasks, and against displacement by a job of the same priority.  */
static void
test_not_displaced (void)
{
  for (uint32_t lower = 0; lower <= 1; lower++)
    {
      struct run_scheduler s;
      struct run_job *j;

      init_scheduler (&s, lower);
      submit (&s, "first", lower, 200);
      queue_share_grant (&s.share, 0, "other", FLOOR_WORK);
      run_scheduler_pass (&s, 0);
      j = submit (&s, "waits", lower, 1000);
      CU_ASSERT_PTR_NOT_NULL_FATAL (j);
      if (lower == 1)
        run_scheduler_delegate (&s, 0, j, 0, 1);
      submit (&s, "urgent", 0, 600);
      run_scheduler_pass (&s, 0);
      CU_ASSERT_STRING_EQUAL (seen.finished, "");
      run_scheduler_done (&s);
    }
}

/* The backlog of 12 core-seconds for 16 cores looks short enough, but no core
   becomes free in time: the job is refused at once.  Guards against jobs that
   wait for runs longer than themselves and end late.  */
static void
test_waits_for_room (void)
{
  struct run_scheduler s;

  init_scheduler (&s, 1);
  add_unusable_targets (&s, DECISIVE_TARGETS - 1);
  submit (&s, "first", 1, 900);
  run_scheduler_pass (&s, 0);
  CU_ASSERT_PTR_NULL (submit (&s, "urgent", 0, 600));
  CU_ASSERT_EQUAL (seen.reason, REFUSAL_OVERLOAD);
  run_scheduler_done (&s);
}

/* The same at a dispatcher with one target less: the work ahead admits the
   job.  Guards against refusals on calm days at small dispatchers, whose jobs
   of many tasks are partly delegated: on a quiet day of ktpc, with 16 targets
   a dispatcher, the worst class fell to 0.93.  */
static void
test_few_targets (void)
{
  struct run_scheduler s;

  init_scheduler (&s, 1);
  add_unusable_targets (&s, DECISIVE_TARGETS - 2);
  submit (&s, "first", 1, 900);
  run_scheduler_pass (&s, 0);
  CU_ASSERT_PTR_NOT_NULL (submit (&s, "urgent", 0, 600));
  run_scheduler_done (&s);
}

/* Dispatchers that report 40 cores free in pieces too small for a task; the
   last one reports 16 cores on one target.  */
static void
make_dispatchers (struct route_dispatcher *d)
{
  memset (d, 0, DISPATCHERS * sizeof *d);
  for (uint32_t i = 0; i < DISPATCHERS; i++)
    {
      struct route_capacity *r = &d[i].capacities[0];
      bool last = i == DISPATCHERS - 1;

      snprintf (d[i].vm, sizeof d[i].vm, "o%u", i);
      snprintf (d[i].domain, sizeof d[i].domain, "d0");
      d[i].reachable = true;
      d[i].reported_ms = REPORTED_MS;
      d[i].echo.confirmed = (struct lease_stamp){ 1, REPORTED_MS };
      d[i].capacity_count = 1;
      snprintf (r->service, sizeof r->service, "svc");
      r->cpu_milli = 400000;
      r->free_cpu_milli = last ? TARGET_CPU : 40000;
      for (uint32_t t = 0; t < (last ? 1 : FREE_CAPACITY_TARGETS); t++)
        r->free_by_target.cpu_milli[t] = last ? TARGET_CPU : 5000;
    }
}

/* A job of two tasks.  Guards against the refusal of a job after three tries
   at dispatchers whose free cores are in pieces, while another has room; and
   against two jobs sent for the same room, or for room reported long ago.  */
static void
test_route_to_room (void)
{
  struct service_priorities p;
  struct route_dispatcher d[DISPATCHERS];
  struct job_spec job = make_job ("a", 1, 2, 200);
  const struct route_dispatcher *to;
  const char tried[3][NAME_BYTES] = { "o0", "o1", "o2" };

  service_priorities_init (&p);
  set_priorities (&p, 1);
  make_dispatchers (d);
  to = job_router_next (d, DISPATCHERS, "d0", &p, &job, tried, 3, REPORTED_MS);
  CU_ASSERT_PTR_EQUAL (to, &d[DISPATCHERS - 1]);
  CU_ASSERT_PTR_NULL (
      job_router_next (d, DISPATCHERS, "d0", &p, &job, tried, 3, REPORTED_MS));
  make_dispatchers (d);
  CU_ASSERT_PTR_NULL (job_router_next (d, DISPATCHERS, "d0", &p, &job, tried,
                                       3, REPORTED_MS + ROOM_AGE_MS + 1));
  job.priority = 0;
  CU_ASSERT_PTR_NOT_NULL (job_router_next (d, DISPATCHERS, "d0", &p, &job,
                                           tried, 3, REPORTED_MS + 200));
  service_priorities_done (&p);
}

/* Where the priorities are equal, the room is not looked at.  */
static void
test_route_equal_priorities (void)
{
  struct service_priorities p;
  struct route_dispatcher d[DISPATCHERS];
  struct job_spec job = make_job ("a", 0, 2, 200);
  const char tried[3][NAME_BYTES] = { "o0", "o1", "o2" };

  service_priorities_init (&p);
  set_priorities (&p, 0);
  make_dispatchers (d);
  CU_ASSERT_PTR_EQUAL (
      job_router_next (d, DISPATCHERS, "d0", &p, &job, NULL, 0, REPORTED_MS),
      job_router_choose (d, DISPATCHERS, "d0", &job, NULL, 0, REPORTED_MS));
  CU_ASSERT_PTR_NULL (
      job_router_next (d, DISPATCHERS, "d0", &p, &job, tried, 3, REPORTED_MS));
  CU_ASSERT_EQUAL (job_router_try_limit (&p, &job), ROUTE_TRY_LIMIT);
  service_priorities_done (&p);
}

/* Queues of several services: only those that differ within one count.  */
static void
test_priorities_of_services (void)
{
  struct service_priorities p;
  struct queue_rule queues[4]
      = { { .name = "a", .service = "x", .priority = 3 },
          { .name = "b", .service = "y", .priority = 1 },
          { .name = "c", .service = "x", .priority = 2 },
          { .name = "d", .service = "y", .priority = 1 } };
  const struct service_priority *x;

  service_priorities_init (&p);
  service_priorities_set (&p, queues, 4);
  x = service_priorities_find (&p, "x");
  CU_ASSERT (x != NULL && x->highest == 2);
  CU_ASSERT_PTR_NULL (service_priorities_find (&p, "y"));
  service_priorities_set (&p, queues, 1);
  CU_ASSERT_PTR_NULL (service_priorities_find (&p, "x"));
  service_priorities_done (&p);
}

/* More ranks than a report holds: the most urgent ones stay apart.  Guards
   against a report that grows with the number of queues.  */
static void
test_ranked_work (void)
{
  struct ranked_work w = { .count = 0 };

  for (uint32_t rank = 9; rank-- > 0;)
    ranked_work_add (&w, rank, 10);
  ranked_work_add (&w, 1, 5);
  ranked_work_add (&w, 20, 7);
  CU_ASSERT_EQUAL (w.count, RANKED_WORK_LIMIT);
  CU_ASSERT_EQUAL (ranked_work_ahead (&w, 0), 10);
  CU_ASSERT_EQUAL (ranked_work_ahead (&w, 1), 25);
  CU_ASSERT_EQUAL (ranked_work_ahead (&w, UINT32_MAX), 102);
}

/* The work by rank of the second of two services passes through a report.  A
   report of the earlier form is the beginning of it, so that earlier programs
   read both capacities and stop there.  */
static void
test_ranked_report (void)
{
  struct dispatch_capacity sent[2] = { { .service = "x", .cpu_milli = 1 },
                                       { .service = "svc", .cpu_milli = 2 } };
  struct dispatch_capacity read[2];
  msgpack_sbuffer earlier;
  msgpack_sbuffer packed;

  msgpack_sbuffer_init (&earlier);
  msgpack_sbuffer_init (&packed);
  dispatch_capacity_pack (sent, 2, &earlier);
  ranked_work_add (&sent[1].ranked, 0, 100);
  ranked_work_add (&sent[1].ranked, 2, 300);
  dispatch_capacity_pack (sent, 2, &packed);
  CU_ASSERT (packed.size > earlier.size);
  CU_ASSERT_EQUAL (memcmp (packed.data, earlier.data, earlier.size), 0);
  memset (read, 0xff, sizeof read);
  CU_ASSERT_EQUAL (
      dispatch_capacity_unpack (
          read, 2, (struct slice){ packed.data, (uint32_t)packed.size }),
      2);
  CU_ASSERT_EQUAL (read[1].cpu_milli, 2);
  CU_ASSERT_EQUAL (read[0].ranked.count, 0);
  CU_ASSERT_EQUAL (ranked_work_ahead (&read[1].ranked, 1), 100);
  CU_ASSERT_EQUAL (ranked_work_ahead (&read[1].ranked, 2), 400);
  /* A report that is cut within an item is refused as a whole.  */
  for (uint32_t cut = (uint32_t)earlier.size; cut < packed.size; cut++)
    {
      uint32_t n = dispatch_capacity_unpack (
          read, 2, (struct slice){ packed.data, cut });

      CU_ASSERT (n == 0 || n == 2);
      CU_ASSERT (n == 0 || read[1].ranked.count <= 2);
    }
  msgpack_sbuffer_destroy (&earlier);
  msgpack_sbuffer_destroy (&packed);
}

/* A dispatcher with much less urgent work and one with some urgent work, both
   without free cores.  Guards against an urgent job that avoids a dispatcher
   because of work that it would go before.  */
static void
test_route_by_rank (void)
{
  struct route_dispatcher d[DISPATCHERS];
  struct job_spec job = make_job ("a", 0, 2, 200);

  make_dispatchers (d);
  for (uint32_t i = 0; i < 2; i++)
    {
      d[i].capacities[0].free_cpu_milli = 0;
      d[i].capacities[0].work_ahead = i == 0 ? 90000000 : 40000000;
      ranked_work_add (&d[i].capacities[0].ranked, i == 0 ? 2 : 0,
                       d[i].capacities[0].work_ahead);
    }
  CU_ASSERT_PTR_EQUAL (
      job_router_choose (d, 2, "d0", &job, NULL, 0, REPORTED_MS), &d[0]);
  job.priority = 2;
  CU_ASSERT_PTR_EQUAL (
      job_router_choose (d, 2, "d0", &job, NULL, 0, REPORTED_MS), &d[1]);
}

void
suite_overload (void)
{
  CU_pSuite s = CU_add_suite ("overload", NULL, NULL);

  CU_add_test (s, "a waiting job gives way to an urgent one", test_displaced);
  CU_add_test (s, "what has begun or ranks equally stays", test_not_displaced);
  CU_add_test (s, "a job waits only for room in time", test_waits_for_room);
  CU_add_test (s, "few targets do not decide alone", test_few_targets);
  CU_add_test (s, "a refused job goes where it fits", test_route_to_room);
  CU_add_test (s, "routing by equal priorities is as before",
               test_route_equal_priorities);
  CU_add_test (s, "the work by rank is bounded", test_ranked_work);
  CU_add_test (s, "reports of work by rank", test_ranked_report);
  CU_add_test (s, "an urgent job is routed by the work before it",
               test_route_by_rank);
  CU_add_test (s, "services whose queues differ in priority",
               test_priorities_of_services);
}
