/* Keepers and entries of an open deployment together: documents, lost disks,
   owners, lent tasks.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/now.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  LOGGED_MS = 1800,

  /* Two targets run 8 tasks of 1000.  */
  LENT_JOB_TASKS = 10,

  /* Three keepers at rest: 2 appends and replies each 80 ms, 6 beats each
     250 ms; some more for chance.  */
  REST_MS = 500,
  REST_FRAMES = 60
};

/* What an operator's call came to.  */
struct said
{
  bool done;
  enum config_result result;
  char text[4096];
};

static void
on_document (void *arg, enum config_result result, const char *text)
{
  struct said *s = arg;

  s->done = true;
  s->result = result;
  snprintf (s->text, sizeof s->text, "%s", text == NULL ? "" : text);
}

static void
put (struct deployment *d, uint64_t version, const char *text,
     struct said *said)
{
  int64_t end = now_ms () + WAIT_MS;

  do
    {
      memset (said, 0, sizeof *said);
      deployment_run_until_leader (d);
      quorum_keeper_put_config (deployment_leader (d), now_ms (), version,
                                text, on_document, said);
      while (!said->done && now_ms () < end)
        deployment_run_step (d);
    }
  while (said->result != CONFIG_COMMITTED && now_ms () < end);
  CU_ASSERT_EQUAL (said->result, CONFIG_COMMITTED);
}

static void
get (struct deployment *d, struct said *said)
{
  int64_t end = now_ms () + WAIT_MS;

  do
    {
      memset (said, 0, sizeof *said);
      deployment_run_until_leader (d);
      quorum_keeper_get_config (deployment_leader (d), now_ms (), on_document,
                                said);
      while (!said->done && now_ms () < end)
        deployment_run_step (d);
    }
  while (said->result != CONFIG_READ && now_ms () < end);
  CU_ASSERT_EQUAL (said->result, CONFIG_READ);
}

static const char first_text[]
    = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"svc\"}]}";
static const char other_text[]
    = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"other\"}]}";
static const char next_text[]
    = "{\"version\":5,\"routes\":[],\"services\":[{\"name\":\"svc\"}]}";

/* An entry that is told of one keeper only, which does not lead, still comes
   under the leader: that keeper tells it of the others.  */
static void
test_seeds_that_do_not_lead (void)
{
  struct deployment d;
  int other = 0;

  deployment_init (&d);
  for (int i = 0; i < KEEPERS; i++)
    deployment_start_keeper (&d, i);
  deployment_run_until_leader (&d);
  while (d.keepers[other] == deployment_leader (&d))
    other++;
  d.entry_settings[0].seed_count = 1;
  memcpy (d.entry_settings[0].seeds[0].address,
          d.keeper_settings[other].peer.address, ADDRESS_BYTES);
  deployment_start_entry (&d, 0);
  deployment_run_until_owned (&d);
  deployment_done (&d);
}

/* A document that was acknowledged outlives all processes, and another text
   under its version changes nothing.  */
static void
test_document_lasts (void)
{
  struct deployment d;
  struct said said;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_start_entry (&d, 0);
  put (&d, 1, first_text, &said);
  put (&d, 1, other_text, &said);
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, first_text);
  put (&d, 5, next_text, &said);
  for (int i = 0; i < SEEDS; i++)
    deployment_stop_keeper (&d, i);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, next_text);
  for (int64_t end = now_ms () + WAIT_MS;
       d.entries[0]->config.version != 5 && now_ms () < end;)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (d.entries[0]->config.version, 5);
  deployment_done (&d);
}

/* A keeper that comes back with an empty folder takes its place in the quorum
   again, as another member, and then a second one may lose its disk.  */
static void
test_wiped_one_after_another (void)
{
  struct deployment d;
  struct said said;
  char command[128];
  uint64_t frames;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  put (&d, 1, first_text, &said);
  for (int i = 0; i < SEEDS; i++)
    {
      int64_t end = now_ms () + WAIT_MS;
      uint32_t voters;

      deployment_stop_keeper (&d, i);
      snprintf (command, sizeof command, "rm -rf '%s/data'", d.folders[i]);
      CU_ASSERT_EQUAL (system (command), 0);
      deployment_start_keeper (&d, i);
      do
        {
          deployment_run_step (&d);
          voters = 0;
          for (int n = 0; n < d.keepers[i]->log.member_count; n++)
            voters += d.keepers[i]->log.members[n].voter;
        }
      while (now_ms () < end
             && (!d.keepers[i]->log.members[d.keepers[i]->log.self].voter
                 || voters != SEEDS || d.keepers[i]->config_version != 1
                 || deployment_leader (&d) == NULL));
      CU_ASSERT (d.keepers[i]->log.members[d.keepers[i]->log.self].voter);
      CU_ASSERT_EQUAL (voters, SEEDS);
      CU_ASSERT_EQUAL (d.keepers[i]->config_version, 1);
    }
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, first_text);
  frames = counters.value[COUNTER_PEER_FRAMES_OUT];
  for (int64_t end = now_ms () + REST_MS; now_ms () < end;)
    deployment_run_step (&d);
  frames = counters.value[COUNTER_PEER_FRAMES_OUT] - frames;
  CU_ASSERT (frames < REST_FRAMES);
  if (frames >= REST_FRAMES)
    printf ("%llu frames at rest\n", (unsigned long long)frames);
  deployment_done (&d);
}

/* Targets of an entry that is gone go to the other one.  */
static void
test_entry_lost (void)
{
  struct deployment d;
  int owner;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (&d, i);
  deployment_run_until_owned (&d);
  owner = d.entries[0]->target_count != 0 ? 0 : 1;
  CU_ASSERT_EQUAL (d.entries[owner]->target_count, TARGETS);
  deployment_stop_entry (&d, owner);
  deployment_run_until_owned (&d);
  deployment_done (&d);
}

/* After all processes were lost the targets are known without waiting for
   their heartbeats.  */
static void
test_targets_recalled (void)
{
  struct deployment d;
  int64_t end;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_start_entry (&d, 0);
  deployment_run_until_owned (&d);
  for (end = now_ms () + LOGGED_MS; now_ms () < end;)
    deployment_run_step (&d);
  deployment_stop_entry (&d, 0);
  for (int i = 0; i < SEEDS; i++)
    deployment_stop_keeper (&d, i);
  d.heartbeats_paused = true;
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_start_entry (&d, 0);
  deployment_run_until_owned (&d);
  deployment_done (&d);
}

/* An entry that leaves hands its targets over before it may end.  */
static void
test_entry_leaves (void)
{
  struct deployment d;
  int64_t end;
  int owner;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (&d, i);
  deployment_run_until_owned (&d);
  owner = d.entries[0]->target_count != 0 ? 0 : 1;
  job_entry_leave (d.entries[owner], now_ms ());
  end = now_ms () + WAIT_MS;
  while (!job_entry_may_exit (d.entries[owner], now_ms ()) && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT (job_entry_may_exit (d.entries[owner], now_ms ()));
  CU_ASSERT_EQUAL (d.entries[1 - owner]->target_count, TARGETS);
  deployment_done (&d);
}

/* Counts the answers of a job.  */
struct caller
{
  uint32_t answers;
  struct job_answer answer;
};

static void
on_answered (void *arg, const struct job_answer *a)
{
  struct caller *c = arg;

  c->answers++;
  c->answer = *a;
}

/* Two entries with two targets each, in domains of their own; a job at the
   first one that needs one target more than its domain has.  */
static struct routed_job *
begin_lending (struct deployment *d, struct caller *c)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 5000,
                           .deadline_ms = WAIT_MS,
                           .step_count = 1 };
  int64_t end = now_ms () + WAIT_MS;
  struct routed_job *j;

  deployment_init (d);
  d->two_domains = true;
  snprintf (d->entry_settings[1].peer.domain, NAME_BYTES, "oven");
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (d, i);
  while ((d->entries[0]->target_count != 2 || d->entries[1]->target_count != 2
          || d->entries[0]->dispatcher_count != 2)
         && now_ms () < end)
    deployment_run_step (d);
  for (int i = 0; i < 20; i++)
    deployment_run_step (d);
  snprintf (spec.key, sizeof spec.key, "0123456789abcdef");
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0] = (struct job_step){ .count = LENT_JOB_TASKS,
                                     .cpu_milli = 1000,
                                     .estimate_ms = 200 };
  spec.payload = slice_of ("");
  memset (c, 0, sizeof *c);
  j = job_entry_submit (d->entries[0], now_ms (), &spec, on_answered, c);
  while (fake_port_starts () < LENT_JOB_TASKS && now_ms () < end)
    deployment_run_step (d);
  CU_ASSERT_EQUAL (fake_port_starts (), LENT_JOB_TASKS);
  return j;
}

static uint32_t
count_running (void)
{
  uint32_t n = 0;

  for (int i = 0; i < LENT_JOB_TASKS; i++)
    {
      char name[RUN_NAME_BYTES];

      snprintf (name, sizeof name, "0123456789abcdef.0.0.%d", i);
      n += fake_port_running (name);
    }
  return n;
}

static void
test_lent_tasks_end (void)
{
  struct deployment d;
  struct caller c;
  int64_t end = now_ms () + LONG_WAIT_MS;

  begin_lending (&d, &c);
  CU_ASSERT_EQUAL (count_running (), LENT_JOB_TASKS);
  for (int t = 0; t < TARGETS; t++)
    for (int i = 0; i < LENT_JOB_TASKS; i++)
      {
        char id[8];
        char name[RUN_NAME_BYTES];

        snprintf (id, sizeof id, "t%d", t);
        snprintf (name, sizeof name, "0123456789abcdef.0.0.%d", i);
        fake_port_end_run (fake_port_target (id), name, RUN_END_DONE);
      }
  while (c.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.answer.result, JOB_DONE);
  CU_ASSERT_EQUAL (fake_port_starts (), LENT_JOB_TASKS);
  deployment_done (&d);
}

/* A caller that leaves has its lent tasks stopped too.  */
static void
test_lent_tasks_recalled (void)
{
  struct deployment d;
  struct caller c;
  struct routed_job *j = begin_lending (&d, &c);
  int64_t end = now_ms () + WAIT_MS;

  job_entry_cancel (d.entries[0], now_ms (), j);
  while (count_running () != 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT_PTR_NULL (d.entries[0]->jobs);
  CU_ASSERT_EQUAL (c.answers, 0);
  deployment_done (&d);
}

/* Tasks that are lent to an entry that is lost are told of as unknown, and
   what runs at home is stopped.  */
static void
test_taker_lost (void)
{
  struct deployment d;
  struct caller c;
  int64_t end = now_ms () + LONG_WAIT_MS;

  begin_lending (&d, &c);
  deployment_stop_entry (&d, 1);
  while (c.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.answer.result, JOB_UNKNOWN);
  deployment_done (&d);
}

void
suite_open (void)
{
  CU_pSuite s = CU_add_suite ("open", NULL, NULL);

  CU_add_test (s, "seeds need not lead", test_seeds_that_do_not_lead);
  CU_add_test (s, "a document lasts", test_document_lasts);
  CU_add_test (s, "keepers are wiped one after another",
               test_wiped_one_after_another);
  CU_add_test (s, "a lost entry's targets go on", test_entry_lost);
  CU_add_test (s, "targets are recalled", test_targets_recalled);
  CU_add_test (s, "an entry that leaves hands over", test_entry_leaves);
  CU_add_test (s, "lent tasks end", test_lent_tasks_end);
  CU_add_test (s, "lent tasks are recalled", test_lent_tasks_recalled);
  CU_add_test (s, "the taker of tasks is lost", test_taker_lost);
}
