/* Tests of the placement of tasks with a data rack or with a limit of tasks of
   the same step on one target; and of the settings and fields for it.  */
#include <stdio.h>
#include <string.h>
#include "base/node_settings.h"
#include "coord/run_placement.h"
#include "platform/job_request.h"
#include "tests/unit/suites.h"

enum
{
  NOW = 1000,
  TARGET_CPU = 2000,
  TASK_CPU = 1000,
  TASK_MS = 100,
  LEASE_MS = 1000000
};

static void
on_request (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
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
  (void)j;
  (void)result;
  (void)reason;
  (void)retry_ms;
}

static const struct run_scheduler_output output
    = { on_request, on_request, on_finished, NULL, NULL };

/* Initialises S with one target on rack r1 and two on r2, each with capacity
   for two tasks.  */
static void
init_scheduler (struct run_scheduler *s, double remote_factor)
{
  run_scheduler_init (s, &output, NULL);
  s->remote_factor = remote_factor;
  for (uint32_t i = 0; i < 3; i++)
    {
      struct run_target_spec t = { .cpu_milli = TARGET_CPU,
                                   .memory_mb = 1000,
                                   .slots = 8,
                                   .label_count = 1 };

      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      snprintf (t.labels[0], LABEL_BYTES, "r%d", i == 0 ? 1 : 2);
      run_scheduler_add_target (s, &t)->phase = TARGET_READY;
    }
}

static struct run_job *
submit (struct run_scheduler *s, const char *key, uint32_t tasks,
        const char *rack, uint32_t max_per_target)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 60,
                           .deadline_ms = 3000,
                           .lease_ms = LEASE_MS,
                           .step_count = 1 };
  enum refusal_reason reason;
  int64_t retry_ms;
  struct run_job *j;

  snprintf (spec.key, sizeof spec.key, "%s", key);
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0] = (struct job_step){ .count = tasks,
                                     .cpu_milli = TASK_CPU,
                                     .estimate_ms = TASK_MS,
                                     .max_per_target = max_per_target };
  snprintf (spec.steps[0].data_rack, LABEL_BYTES, "%s", rack);
  spec.payload = slice_of ("");
  j = run_scheduler_submit (s, NOW, &spec, s, &reason, &retry_ms);
  CU_ASSERT_PTR_NOT_NULL_FATAL (j);
  run_scheduler_pass (s, NOW);
  return j;
}

/* Tasks are started on the rack of their data.  When it is full they are
   started elsewhere, if they can still be done on time there; their expected
   run time is then multiplied by the factor for remote data.  */
static void
test_data_rack (void)
{
  struct run_scheduler s;
  struct run_job *j;

  init_scheduler (&s, 1.5);
  j = submit (&s, "a", 3, "r1", 0);
  CU_ASSERT_EQUAL (s.targets[0]->run_count, 2);
  CU_ASSERT_EQUAL (j->waiting_count, 0);
  CU_ASSERT_EQUAL (j->tasks[0].expected_ms, TASK_MS);
  CU_ASSERT_EQUAL (j->tasks[2].expected_ms, TASK_MS * 3 / 2);
  run_scheduler_done (&s);
}

/* A task that would be late elsewhere waits for its rack, until it would be
   late there too.  */
static void
test_remote_is_late (void)
{
  struct run_scheduler s;
  struct run_job *j;

  init_scheduler (&s, 3);
  j = submit (&s, "a", 3, "r1", 0);
  CU_ASSERT_EQUAL (j->waiting_count, 1);
  run_scheduler_pass (&s, j->times.start_by_ms);
  CU_ASSERT_EQUAL (j->waiting_count, 1);
  run_scheduler_pass (&s, j->times.start_by_ms + 1);
  CU_ASSERT_EQUAL (j->waiting_count, 0);
  run_scheduler_done (&s);
}

/* Tasks do not wait for a rack on which there are no targets.  */
static void
test_unknown_rack (void)
{
  struct run_scheduler s;
  struct run_job *j;

  init_scheduler (&s, 1.2);
  j = submit (&s, "a", 3, "r9", 0);
  CU_ASSERT_EQUAL (j->waiting_count, 0);
  run_scheduler_done (&s);
}

/* No more tasks of a step than its limit run on one target, even if it has
   free capacity; tasks of other jobs may still be started there.  */
static void
test_max_per_target (void)
{
  struct run_scheduler s;
  struct run_job *j;

  init_scheduler (&s, 2);
  j = submit (&s, "a", 5, "", 1);
  CU_ASSERT_EQUAL (j->waiting_count, 2);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (s.targets[i]->run_count, 1);
  j = submit (&s, "b", 3, "", 0);
  CU_ASSERT_EQUAL (j->waiting_count, 0);
  run_scheduler_done (&s);
}

/* Submits task FIRST of step NUMBER, of which one may run on a target, as a
   delegated part of job "a".  Returns whether it was started.  */
static bool
submit_part (struct run_scheduler *s, uint32_t number, uint32_t first)
{
  struct job_spec spec = { .key = "a",
                           .queue = "q",
                           .service = "svc",
                           .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 60,
                           .deadline_ms = 3000,
                           .lease_ms = LEASE_MS,
                           .step_count = 1,
                           .part = { true, number, first, 0 } };
  enum refusal_reason reason;
  int64_t retry_ms;
  const struct run_job *j;

  spec.steps[0] = (struct job_step){ .count = 1,
                                     .cpu_milli = TASK_CPU,
                                     .estimate_ms = TASK_MS,
                                     .max_per_target = 1 };
  spec.payload = slice_of ("");
  j = run_scheduler_submit (s, NOW, &spec, s, &reason, &retry_ms);
  if (j == NULL)
    {
      CU_ASSERT_EQUAL (reason, REFUSAL_FULL);
      return false;
    }
  run_scheduler_pass (s, NOW);
  return j->waiting_count == 0;
}

/* The limit of a step holds for all its parts that one dispatcher was lent.
   What does not fit within it is refused at once.  Guards against two tasks of
   a step with anti-affinity 1 on one target (review case 4).  */
static void
test_max_per_target_over_parts (void)
{
  struct run_scheduler s;

  init_scheduler (&s, 2);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT (submit_part (&s, 0, i));
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (s.targets[i]->run_count, 1);
  CU_ASSERT_FALSE (submit_part (&s, 0, 3));
  CU_ASSERT (submit_part (&s, 1, 0));
  run_scheduler_done (&s);
}

/* The data rack and the limit are decoded from a job request and survive
   packing and unpacking of the steps.  */
static void
test_fields (void)
{
  static const char text[]
      = "{\"best-effort\":true,\"steps\":[{\"count\":2,\"data-rack\":\"r1-3\","
        "\"anti-affinity\":4}]}";
  struct queue_rule queue = { .name = "q", .service = "svc", .attempts = 2 };
  struct job_spec spec;
  struct job_spec copy;
  msgpack_sbuffer packed;
  struct error e;
  json_t *body;

  CU_ASSERT_EQUAL_FATAL (job_request_decode (&spec, &body, text,
                                             sizeof text - 1,
                                             "0123456789abcdef", &queue, &e),
                         DECODE_OK);
  msgpack_sbuffer_init (&packed);
  job_spec_pack_steps (&spec, &packed);
  CU_ASSERT (job_spec_unpack_steps (
      &copy, (struct slice){ packed.data, (uint32_t)packed.size }));
  CU_ASSERT_STRING_EQUAL (copy.steps[0].data_rack, "r1-3");
  CU_ASSERT_EQUAL (copy.steps[0].max_per_target, 4);
  msgpack_sbuffer_destroy (&packed);
  json_decref (body);
}

/* Settings may be fractions: far_factor, and stop_grace_s in seconds.  */
static void
test_fractions (void)
{
  char folder[64];
  char path[96];
  struct node_settings s;
  struct error e;
  FILE *f;

  test_folder_make (folder);
  snprintf (path, sizeof path, "%s/settings.json", folder);
  f = fopen (path, "w");
  fprintf (f, "{\"vm\":\"v\",\"role\":\"entry\",\"environment\":\"e\","
              "\"address\":\"127.0.0.1\",\"domain\":\"d\",\"peer_port\":1,"
              "\"peer_secret\":\"0123456789abcdef\",\"callers\":"
              "\"127.0.0.1:2\",\"seeds\":[\"127.0.0.1:3\"],\"first_start\":"
              "true,\"lost_keepers\":1,\"descriptors\":2000,"
              "\"lease_limit_ms\":1000,\"far_factor\":1.5,"
              "\"domains\":{\"d\":\"r\",\"other\":\"r\"},"
              "\"stop_grace_s\":2.5}");
  fclose (f);
  CU_ASSERT_EQUAL (node_settings_load (&s, path, &e), SETTINGS_OK);
  CU_ASSERT_EQUAL (s.stop_grace_ms, 2500);
  CU_ASSERT_DOUBLE_EQUAL (s.far_factor, 1.5, 0.001);
  CU_ASSERT_EQUAL (s.domain_count, 2);
  CU_ASSERT_TRUE (node_settings_knows_domain (&s, "other"));
  CU_ASSERT_FALSE (node_settings_knows_domain (&s, "r"));
  s.domain_count = 0;
  CU_ASSERT_TRUE (node_settings_knows_domain (&s, "any"));
  test_folder_remove (folder);
}

void
suite_placement (void)
{
  CU_pSuite s = CU_add_suite ("placement", NULL, NULL);

  CU_add_test (s, "tasks are started on the rack of their data",
               test_data_rack);
  CU_add_test (s, "tasks late elsewhere wait for their rack",
               test_remote_is_late);
  CU_add_test (s, "tasks do not wait for an unknown rack", test_unknown_rack);
  CU_add_test (s, "tasks of a step on a target are limited",
               test_max_per_target);
  CU_add_test (s, "the limit of a step holds for all its parts",
               test_max_per_target_over_parts);
  CU_add_test (s, "rack and limit are decoded and packed", test_fields);
  CU_add_test (s, "settings with fractions", test_fractions);
}
