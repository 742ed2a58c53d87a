/* Tests of the decisions of a VM that runs short of processor time, and of
   what the keepers learn of a VM's processor.  */
#include <jansson.h>
#include <stdio.h>
#include "base/now.h"
#include "coord/run_target_json.h"
#include "coord/vm_load.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  CPU_MILLI = 90,
  WINDOW_MS = 500,
  TICK_MS = 25
};

/* The state of a simulated VM.  */
struct vm
{
  struct vm_load load;
  int64_t now_ms;
  int64_t cpu_us;
  uint32_t changes;
};

static void
init_vm (struct vm *v, uint32_t cpu_milli)
{
  *v = (struct vm){ .now_ms = 1000 };
  vm_load_init (&v->load, cpu_milli, v->now_ms, v->cpu_us);
}

/* Lets N windows pass in which USED_PERCENT of CPU_MILLI is used and every
   tick is LATE_MS late.  */
static void
pass (struct vm *v, uint32_t n, int64_t used_percent, int64_t late)
{
  while (n > 0)
    {
      int64_t duration = TICK_MS + late;

      v->now_ms += duration;
      v->cpu_us += duration * CPU_MILLI * used_percent / 100;
      vm_load_tick (&v->load, duration, late);
      if (!vm_load_is_due (&v->load, v->now_ms))
        continue;
      v->changes += vm_load_update (&v->load, v->now_ms, v->cpu_us);
      n--;
    }
}

static uint32_t
shed_of (struct vm *v, uint32_t jobs)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < jobs; i++)
    n += vm_load_sheds (&v->load);
  return n;
}

/* Guards against an entry that takes all jobs while each one waits for its
   event loop: others are sent there less, then some are refused, then it is
   not ready.  It goes on taking some, and recovers.  */
static void
test_short (void)
{
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 10, 60, 0);
  CU_ASSERT_FALSE (v.load.is_short);
  pass (&v, 2, 100, 80);
  CU_ASSERT (v.load.is_short);
  CU_ASSERT (vm_load_delay_ms (&v.load) > 60);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT (vm_load_is_ready (&v.load, v.now_ms));
  pass (&v, 3, 100, 80);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 30);
  pass (&v, 1, 100, 80);
  CU_ASSERT_FALSE (vm_load_is_ready (&v.load, v.now_ms));
  pass (&v, 20, 100, 80);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 80);
  pass (&v, 12, 50, 0);
  CU_ASSERT_FALSE (v.load.is_short);
  CU_ASSERT_EQUAL (vm_load_delay_ms (&v.load), 0);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT_EQUAL (v.changes, 2);
}

/* Guards against refusals for other causes: a share that is used up without
   lateness, a loop that is late for another reason, one late window, and a VM
   whose share is unknown.  */
static void
test_not_short (void)
{
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 20, 150, 0);
  pass (&v, 20, 50, 200);
  pass (&v, 1, 100, 200);
  pass (&v, 1, 50, 0);
  pass (&v, 1, 100, 200);
  CU_ASSERT_EQUAL (v.changes, 0);
  CU_ASSERT_EQUAL (vm_load_delay_ms (&v.load), 0);
  init_vm (&v, 0);
  for (int i = 0; i < 100; i++)
    vm_load_tick (&v.load, 200, 175);
  CU_ASSERT_FALSE (vm_load_is_due (&v.load, v.now_ms + WINDOW_MS));
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT (vm_load_is_ready (&v.load, v.now_ms));
}

/* Guards against a fleet without a ready entry when all are short: each is
   ready three quarters of the time.  */
static void
test_mostly_ready (void)
{
  uint32_t ready = 0;
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 10, 100, 80);
  for (int i = 0; i < 100; i++)
    {
      pass (&v, 1, 100, 80);
      ready += vm_load_is_ready (&v.load, v.now_ms);
    }
  CU_ASSERT (ready >= 70 && ready < 85);
}

/* Whether the leader knows the processors of both entries.  */
static bool
knows_processors (const struct deployment *d)
{
  const struct quorum_keeper *k = deployment_leader (d);

  if (k == NULL || k->plan.entry_count != ENTRIES)
    return false;
  for (int i = 0; i < ENTRIES; i++)
    if (k->plan.entries[i]->cpu_milli == 0)
      return false;
  return true;
}

/* The number of targets that entry LARGE owns if its processor is much larger
   than that of the other entry.  */
static uint32_t
owned_by_large (int large)
{
  struct deployment d;
  int64_t end = now_ms () + WAIT_MS;
  uint32_t owned;

  deployment_init (&d);
  d.heartbeats_paused = true;
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    {
      d.entry_settings[i].cpu_milli = i == large ? 300 : CPU_MILLI;
      deployment_start_entry (&d, i);
    }
  while (!knows_processors (&d) && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT (knows_processors (&d));
  d.heartbeats_paused = false;
  deployment_run_until_owned (&d);
  owned = d.entries[large]->target_count;
  deployment_done (&d);
  return owned;
}

/* Guards against a processor that is not reported, or that the leader does not
   use: whichever entry is large owns all targets.  */
static void
test_processor_reported (void)
{
  CU_ASSERT_EQUAL (owned_by_large (0), TARGETS);
  CU_ASSERT_EQUAL (owned_by_large (1), TARGETS);
}

/* Guards against a report that a keeper of the earlier program takes for a
   target: it skips elements of the list without an ID.  */
static void
test_report_skipped (void)
{
  struct run_target_spec spec;
  json_t *o = json_object ();

  json_object_set_new (o, "vm_cpu_milli", json_integer (CPU_MILLI));
  CU_ASSERT_FALSE (run_target_spec_from_json (&spec, o));
  json_decref (o);
}

/* The processor that settings with the members TEXT name, or -1 if they are
   refused.  */
static int64_t
cpu_of_settings (const char *text)
{
  struct node_settings s;
  enum settings_error result;
  char folder[64];
  char path[96];
  struct error e;
  FILE *f;

  test_folder_make (folder);
  snprintf (path, sizeof path, "%s/settings.json", folder);
  f = fopen (path, "w");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fprintf (f,
           "{\"vm\":\"v\",\"role\":\"entry\",\"environment\":\"e\","
           "\"address\":\"127.0.0.1\",\"domain\":\"d\",\"peer_port\":1,"
           "\"peer_secret\":\"0123456789abcdef\",\"callers\":"
           "\"127.0.0.1:2\",\"seeds\":[\"127.0.0.1:3\"],\"first_start\":"
           "true,\"lost_keepers\":1,\"descriptors\":2000,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":2%s}",
           text);
  fclose (f);
  result = node_settings_load (&s, path, &e);
  test_folder_remove (folder);
  return result == SETTINGS_OK ? (int64_t)s.cpu_milli : -1;
}

/* Guards against a processor that is misread by a factor of 1000, and against
   settings that must name one.  */
static void
test_settings (void)
{
  CU_ASSERT_EQUAL (cpu_of_settings (""), 0);
  CU_ASSERT_EQUAL (cpu_of_settings (",\"cpu_milli\":120"), 120);
  CU_ASSERT_EQUAL (cpu_of_settings (",\"cpu_share\":0.09"), 90);
  CU_ASSERT_EQUAL (cpu_of_settings (",\"cpu_share\":0.3,\"cores\":2"), 600);
  CU_ASSERT_EQUAL (cpu_of_settings (",\"cores\":2"), 0);
  CU_ASSERT_EQUAL (cpu_of_settings (",\"cpu_milli\":0"), -1);
}

static void
on_answered (void *arg, const struct job_answer *a)
{
  *(struct job_answer *)arg = *a;
}

/* Submits a job of one task at N, whose answer is stored in A.  */
static void
submit (struct job_entry *n, const char *key, struct job_answer *a)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 5000,
                           .deadline_ms = WAIT_MS,
                           .step_count = 1 };

  *a = (struct job_answer){ JOB_UNKNOWN, REFUSAL_NONE, -1 };
  snprintf (spec.key, sizeof spec.key, "%s", key);
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0]
      = (struct job_step){ .count = 1, .cpu_milli = 1000, .estimate_ms = 200 };
  spec.payload = slice_of ("");
  job_entry_submit (n, now_ms (), now_ms (), &spec, on_answered, a);
}

/* Guards against a short entry that gives up jobs which it holds, or says "not
   run" of a job that it has sent on: the job that it refuses is never started,
   and the one before it is answered.  */
static void
test_held_jobs (void)
{
  int64_t end = now_ms () + LONG_WAIT_MS;
  struct job_answer refused;
  struct job_answer held;
  struct deployment d;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_start_entry (&d, 0);
  deployment_run_until_owned (&d);
  for (int i = 0; i < 20; i++)
    deployment_run_step (&d);
  submit (d.entries[0], "00000000000000aa", &held);
  while (fake_port_starts () == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  d.entries[0]->load.shed_percent = 80;
  d.entries[0]->load.shed_credit = 20;
  submit (d.entries[0], "00000000000000bb", &refused);
  while (refused.retry_ms < 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (refused.result, JOB_REFUSED);
  CU_ASSERT_EQUAL (refused.reason, REFUSAL_OVERLOAD);
  CU_ASSERT (refused.retry_ms >= 1000);
  for (int t = 0; t < TARGETS; t++)
    {
      char id[8];

      snprintf (id, sizeof id, "t%d", t);
      fake_port_end_run (fake_port_target (id), "00000000000000aa.0.0.0",
                         RUN_END_DONE);
    }
  while (held.retry_ms < 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (held.result, JOB_DONE);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  deployment_done (&d);
}

void
suite_vm_load (void)
{
  CU_pSuite s = CU_add_suite ("vm_load", NULL, NULL);

  CU_add_test (s, "a VM short of processor time sheds jobs", test_short);
  CU_add_test (s, "nothing is shed for other causes", test_not_short);
  CU_add_test (s, "a short VM is ready most of the time", test_mostly_ready);
  CU_add_test (s, "the leader learns each VM's processor",
               test_processor_reported);
  CU_add_test (s, "the earlier program skips the report of a processor",
               test_report_skipped);
  CU_add_test (s, "the settings name the processor", test_settings);
  CU_add_test (s, "a short entry answers the jobs that it holds",
               test_held_jobs);
}
