/* Tests of the delegation of tasks to other dispatchers: which dispatchers are
   queried, what they are offered, and how a job with delegated tasks ends.  */
#include <stdio.h>
#include <string.h>
#include "bench/replay_model.h"
#include "coord/task_delegation.h"
#include "tests/unit/suites.h"

enum
{
  NOW = 1000,
  TASKS = 8,
  TASK_CPU = 1000,
  TARGET_CPU = 3000,
  LEASE_MS = 1000000
};

/* What the scheduler's callbacks reported.  */
struct seen
{
  uint32_t starts;
  uint32_t stops;
  uint32_t revocations;
  uint32_t finished;
  enum job_result result;
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
  (void)reason;
  (void)retry_ms;
  seen.finished++;
  seen.result = result;
}

static void
on_revoke (void *arg, struct run_job *j)
{
  (void)arg;
  (void)j;
  seen.revocations++;
}

static const struct run_scheduler_output output
    = { on_start, on_stop, on_finished, on_revoke, NULL };

/* Initialises S with TARGETS targets, each with capacity for three tasks.  */
static void
init_scheduler (struct run_scheduler *s, uint32_t targets)
{
  memset (&seen, 0, sizeof seen);
  run_scheduler_init (s, &output, NULL);
  for (uint32_t i = 0; i < targets; i++)
    {
      struct run_target_spec t
          = { .cpu_milli = TARGET_CPU, .memory_mb = 1000, .slots = 8 };

      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      run_scheduler_add_target (s, &t)->phase = TARGET_READY;
    }
}

static struct job_spec
make_job (const char *key)
{
  struct job_spec j = { .attempts = 3,
                        .stretch_milli = 1600,
                        .floor_ms = 60,
                        .deadline_ms = 3000,
                        .lease_ms = LEASE_MS,
                        .step_count = 1 };

  snprintf (j.key, sizeof j.key, "%s", key);
  snprintf (j.queue, sizeof j.queue, "q");
  snprintf (j.service, sizeof j.service, "svc");
  j.steps[0] = (struct job_step){ .count = TASKS,
                                  .cpu_milli = TASK_CPU,
                                  .estimate_ms = 200 };
  j.payload = slice_of ("");
  return j;
}

static struct run_job *
submit (struct run_scheduler *s, const struct job_spec *spec)
{
  enum refusal_reason reason;
  int64_t retry_ms;
  struct run_job *j
      = run_scheduler_submit (s, NOW, spec, &seen, &reason, &retry_ms);

  run_scheduler_pass (s, NOW);
  return j;
}

static struct route_dispatcher
make_dispatcher (const char *vm, const char *domain, uint64_t free_cpu,
                 int64_t reported_ms)
{
  struct route_dispatcher d
      = { .reachable = true, .reported_ms = reported_ms, .capacity_count = 1 };

  snprintf (d.vm, sizeof d.vm, "%s", vm);
  snprintf (d.domain, sizeof d.domain, "%s", domain);
  snprintf (d.capacities[0].service, sizeof d.capacities[0].service, "svc");
  d.capacities[0].cpu_milli = 100000;
  d.capacities[0].free_cpu_milli = free_cpu;
  for (; free_cpu >= TARGET_CPU; free_cpu -= TARGET_CPU)
    free_capacity_add (&d.capacities[0].free_by_target, TARGET_CPU);
  free_capacity_add (&d.capacities[0].free_by_target, free_cpu);
  return d;
}

/* Dispatchers of the own failure domain get offers first, even if others have
   more free capacity.  An offer is subtracted from the free capacity, so that
   it is not made twice.  Outdated reports of free capacity are ignored.  */
static void
test_offers (void)
{
  struct run_scheduler s;
  struct delegation_offer offers[DELEGATION_OFFER_LIMIT];
  struct job_spec spec = make_job ("a");
  struct route_dispatcher d[]
      = { make_dispatcher ("self", "d0", 50000, NOW),
          make_dispatcher ("far", "d1", 50000, NOW),
          make_dispatcher ("near", "d0", 2500, NOW),
          make_dispatcher ("old", "d0", 90000, NOW - 500) };

  init_scheduler (&s, 1);
  submit (&s, &spec);
  CU_ASSERT_EQUAL (seen.starts, 3);
  CU_ASSERT_EQUAL (
      task_delegation_choose (&s, d, 4, "self", "d0", NOW, offers), 2);
  CU_ASSERT_PTR_EQUAL (offers[0].to, &d[2]);
  CU_ASSERT_EQUAL (offers[0].first, 3);
  CU_ASSERT_EQUAL (offers[0].count, 2);
  CU_ASSERT_PTR_EQUAL (offers[1].to, &d[1]);
  CU_ASSERT_EQUAL (offers[1].first, 5);
  CU_ASSERT_EQUAL (offers[1].count, 3);
  CU_ASSERT_EQUAL (d[2].capacities[0].free_by_target.cpu_milli[0], 500);
  CU_ASSERT_EQUAL (d[1].capacities[0].free_by_target.cpu_milli[0], 0);
  run_scheduler_done (&s);
}

/* Free capacity counts only where a target has enough for a complete task.  A
   dispatcher that refused tasks gets no more offers until it has reported its
   free capacity again.  */
static void
test_avoided_offers (void)
{
  struct run_scheduler s;
  struct delegation_offer offers[DELEGATION_OFFER_LIMIT];
  struct job_spec spec = make_job ("a");
  struct route_dispatcher d = make_dispatcher ("far", "d1", 0, NOW);

  init_scheduler (&s, 1);
  submit (&s, &spec);
  for (int i = 0; i < 8; i++)
    free_capacity_add (&d.capacities[0].free_by_target, 700);
  CU_ASSERT_EQUAL (
      task_delegation_choose (&s, &d, 1, "self", "d0", NOW, offers), 0);
  free_capacity_add (&d.capacities[0].free_by_target, 1700);
  task_delegation_refused (&d, NOW);
  CU_ASSERT_EQUAL (
      task_delegation_choose (&s, &d, 1, "self", "d0", NOW + 1, offers), 0);
  d.reported_ms = NOW + 2;
  CU_ASSERT_EQUAL (
      task_delegation_choose (&s, &d, 1, "self", "d0", NOW + 3, offers), 1);
  CU_ASSERT_EQUAL (offers[0].count, 1);
  run_scheduler_done (&s);
}

/* Free capacity is queried at most once in DELEGATION_QUERY_MS, of at most
   DELEGATION_QUERY_LIMIT dispatchers: those of the own failure domain first,
   then those with the most free capacity.  */
static void
test_queries (void)
{
  struct route_dispatcher d[8];
  struct route_dispatcher *queried[DELEGATION_QUERY_LIMIT];

  for (int i = 0; i < 8; i++)
    {
      char vm[NAME_BYTES];

      snprintf (vm, sizeof vm, "vm%d", i);
      d[i] = make_dispatcher (vm, i == 7 ? "d0" : "d1", (uint64_t)i * 1000,
                              NOW);
    }
  d[6].reachable = false;
  CU_ASSERT_EQUAL (task_delegation_query (d, 8, "vm0", "d0", NOW, queried),
                   DELEGATION_QUERY_LIMIT);
  CU_ASSERT_PTR_EQUAL (queried[0], &d[7]);
  CU_ASSERT_PTR_EQUAL (queried[1], &d[5]);
  CU_ASSERT_EQUAL (task_delegation_query (d, 8, "vm0", "d0",
                                          NOW + DELEGATION_QUERY_MS - 1,
                                          queried),
                   0);
  CU_ASSERT_EQUAL (task_delegation_query (d, 8, "vm0", "d0",
                                          NOW + DELEGATION_QUERY_MS, queried),
                   DELEGATION_QUERY_LIMIT);
}

/* Delegated tasks keep the names and run numbers that they have in their
   job.  */
static void
test_delegated_names (void)
{
  struct run_scheduler delegator;
  struct run_scheduler delegate;
  struct job_spec spec = make_job ("a");
  struct job_spec part;
  struct run_job *j;
  struct run_job *p;
  char name[TASK_NAME_BYTES];

  init_scheduler (&delegator, 1);
  j = submit (&delegator, &spec);
  j->tasks[6].run = 4;
  task_delegation_spec (&(struct delegation_offer){ j, 5, 2, NULL }, NOW + 10,
                        &part);
  CU_ASSERT_EQUAL (part.age_ms, 10);
  init_scheduler (&delegate, 1);
  p = submit (&delegate, &part);
  CU_ASSERT_PTR_NOT_NULL (p);
  CU_ASSERT_EQUAL (seen.starts, 2);
  if (p != NULL)
    {
      run_job_task_name (p, 1, name);
      CU_ASSERT_STRING_EQUAL (name, "a.0.0.6");
      CU_ASSERT_EQUAL (p->tasks[1].run, 5);
    }
  run_scheduler_done (&delegate);
  run_scheduler_done (&delegator);
}

/* While a task of a job may be running here, submissions that include the same
   task are refused, so that it does not run twice.  */
static void
test_overlap (void)
{
  struct run_scheduler s;
  struct job_spec complete = make_job ("a");
  struct job_spec part = make_job ("a");

  init_scheduler (&s, 4);
  part.part.is_part = true;
  part.part.first = 2;
  part.steps[0].count = 2;
  CU_ASSERT_PTR_NOT_NULL (submit (&s, &part));
  CU_ASSERT_PTR_NULL (submit (&s, &complete));
  part.part.first = 3;
  CU_ASSERT_PTR_NULL (submit (&s, &part));
  part.part.first = 4;
  CU_ASSERT_PTR_NOT_NULL (submit (&s, &part));
  run_scheduler_done (&s);
}

/* Delegated tasks that cannot all be started at once are refused, not
   queued.  */
static void
test_part_without_capacity (void)
{
  struct run_scheduler s;
  struct job_spec part = make_job ("a");

  init_scheduler (&s, 2);
  part.part.is_part = true;
  CU_ASSERT_PTR_NULL (submit (&s, &part));
  CU_ASSERT_EQUAL (seen.starts, 0);
  run_scheduler_done (&s);
}

/* Delegated tasks that were refused are queued again, and the job still counts
   as not started: it can be refused to its caller.  */
static void
test_refused_tasks (void)
{
  struct run_scheduler s;
  struct job_spec spec = make_job ("a");
  struct run_job *j;

  init_scheduler (&s, 1);
  s.targets[0]->full_until_ms = NOW + 5000;
  spec.steps[0].count = 2;
  j = submit (&s, &spec);
  CU_ASSERT_PTR_NOT_NULL_FATAL (j);
  run_scheduler_delegate (&s, NOW, j, 0, 2);
  run_scheduler_pass (&s, NOW + 600);
  CU_ASSERT_EQUAL (seen.starts, 0);
  run_scheduler_delegation_ended (&s, NOW + 100, j, 0, 2, JOB_REFUSED,
                                  REFUSAL_OVERLOAD);
  CU_ASSERT (j != NULL && j->first_start_ms == -1);
  run_scheduler_pass (&s, NOW + 1000);
  CU_ASSERT_EQUAL (seen.finished, 1);
  CU_ASSERT_EQUAL (seen.result, JOB_REFUSED);
  run_scheduler_done (&s);
}

/* A job is done only when its delegated tasks are done too.  If the outcome of
   delegated tasks is unknown, so is that of the job: its local tasks are
   stopped and its other delegated tasks revoked.  */
static void
test_delegated_results (void)
{
  struct run_scheduler s;
  struct job_spec spec = make_job ("a");
  struct run_job *j;

  init_scheduler (&s, 1);
  j = submit (&s, &spec);
  run_scheduler_delegate (&s, NOW, j, 3, 2);
  run_scheduler_delegate (&s, NOW, j, 5, 3);
  run_scheduler_delegation_ended (&s, NOW + 200, j, 3, 2, JOB_DONE,
                                  REFUSAL_NONE);
  CU_ASSERT_EQUAL (j->ended_count, 2);
  run_scheduler_delegation_ended (&s, NOW + 210, j, 5, 3, JOB_UNKNOWN,
                                  REFUSAL_LOST_PEER);
  CU_ASSERT_EQUAL (seen.finished, 1);
  CU_ASSERT_EQUAL (seen.result, JOB_UNKNOWN);
  CU_ASSERT_EQUAL (seen.stops, 3);
  CU_ASSERT_EQUAL (seen.revocations, 1);
  run_scheduler_done (&s);

  init_scheduler (&s, 1);
  j = submit (&s, &spec);
  run_scheduler_delegate (&s, NOW, j, 3, 5);
  for (uint32_t i = 0; i < 3; i++)
    {
      char name[TASK_NAME_BYTES];

      run_job_task_name (j, i, name);
      run_scheduler_ended (&s, NOW + 200, s.targets[0], name, 1, RUN_END_DONE);
    }
  CU_ASSERT_EQUAL (seen.finished, 0);
  run_scheduler_delegation_ended (&s, NOW + 210, j, 3, 5, JOB_DONE,
                                  REFUSAL_NONE);
  CU_ASSERT_EQUAL (seen.finished, 1);
  CU_ASSERT_EQUAL (seen.result, JOB_DONE);
  CU_ASSERT_EQUAL (seen.revocations, 0);
  CU_ASSERT_PTR_NULL (s.jobs);
  run_scheduler_done (&s);
}

/* Three failure domains of 16 targets, loaded to seven eighths of their
   capacity: the free capacity for a job of 8 tasks is often found only in
   several domains together.  */
static void
test_uneven_domains (void)
{
  struct replay_setup s;
  struct replay_result r;

  replay_setup_sofnets (&s);
  s.length_ms = 15000;
  s.load = 1.25;
  s.delegation_enabled = true;
  replay_run (&s, &r);
  CU_ASSERT (r.classes[0].on_time > 0.97 * r.classes[0].jobs);
}

void
suite_delegation (void)
{
  CU_pSuite s = CU_add_suite ("delegation", NULL, NULL);

  CU_add_test (s, "offers go to near and recent free capacity", test_offers);
  CU_add_test (s, "offers that would be refused are avoided",
               test_avoided_offers);
  CU_add_test (s, "queries for free capacity are limited", test_queries);
  CU_add_test (s, "delegated tasks keep their names", test_delegated_names);
  CU_add_test (s, "overlapping tasks are refused", test_overlap);
  CU_add_test (s, "delegated tasks are not queued",
               test_part_without_capacity);
  CU_add_test (s, "refused delegated tasks are queued again",
               test_refused_tasks);
  CU_add_test (s, "a job is done after its delegated tasks",
               test_delegated_results);
  CU_add_test (s, "delegation evens out the load of domains",
               test_uneven_domains);
}
