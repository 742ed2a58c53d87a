/* Tests of keepers and entries together (deployment.h): the service
   configuration, keepers that lose their disk, owners of targets, delegated
   tasks, and evacuated failure domains.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/evacuation_control.h"
#include "controller/routed_job.h"
#include "tests/unit/deployment.h"
#include "tests/unit/event_lines.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  /* After this time the keepers have logged the targets.  */
  LOGGED_MS = 1800,

  /* The two targets of an entry have capacity for 8 tasks of one core each, so
     two tasks are delegated.  */
  DELEGATED_JOB_TASKS = 10,

  /* Longer than a test lasts: a run without progress is restarted after about
     its expected time.  */
  LONG_TASK_MS = 4000,

  COLD_MS = 3000,

  /* After so many steps each entry has a new report of the others' capacity.
   */
  REPORT_STEPS = 20,

  /* Upper bound for the peer messages of three idle keepers in IDLE_MS: 2
     appends and their replies every 80 ms, 6 heartbeats every 250 ms, and a
     margin.  */
  IDLE_MS = 500,
  IDLE_FRAMES = 60
};

/* Whether a test runs on a stopped clock, so that its result does not depend
   on the load of the machine.  */
static bool simulated;

static void
run_step (struct deployment *d)
{
  if (simulated)
    deployment_run_simulated_step (d);
  else
    deployment_run_step (d);
}

static void
begin_simulated (struct deployment *d)
{
  deployment_init (d);
  fake_clock_stop ();
  simulated = true;
}

static void
end_simulated (struct deployment *d)
{
  deployment_done (d);
  fake_clock_resume ();
  simulated = false;
}

static void
run_until_leader (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (deployment_leader (d) == NULL && now_ms () < end)
    run_step (d);
  CU_ASSERT_PTR_NOT_NULL_FATAL (deployment_leader (d));
}

/* The result of a call that stores or reads the configuration.  */
struct config_reply
{
  bool done;
  enum config_result result;
  char text[4096];
};

static void
on_config_reply (void *arg, enum config_result result, const char *text)
{
  struct config_reply *r = arg;

  r->done = true;
  r->result = result;
  snprintf (r->text, sizeof r->text, "%s", text == NULL ? "" : text);
}

/* Stores TEXT as VERSION of the configuration through the leader, again after
   each failure.  The test fails if it is not committed within WAIT_MS.  */
static void
put_config (struct deployment *d, uint64_t version, const char *text,
            struct config_reply *reply)
{
  int64_t end = now_ms () + WAIT_MS;

  do
    {
      memset (reply, 0, sizeof *reply);
      run_until_leader (d);
      quorum_keeper_put_config (deployment_leader (d), now_ms (), version,
                                text, on_config_reply, reply);
      while (!reply->done && now_ms () < end)
        run_step (d);
    }
  while (reply->result != CONFIG_COMMITTED && now_ms () < end);
  CU_ASSERT_EQUAL (reply->result, CONFIG_COMMITTED);
}

/* Reads the configuration from the leader, again after each failure.  The test
   fails if that takes longer than WAIT_MS.  */
static void
get_config (struct deployment *d, struct config_reply *reply)
{
  int64_t end = now_ms () + WAIT_MS;

  do
    {
      memset (reply, 0, sizeof *reply);
      run_until_leader (d);
      quorum_keeper_get_config (deployment_leader (d), now_ms (),
                                on_config_reply, reply);
      while (!reply->done && now_ms () < end)
        run_step (d);
    }
  while (reply->result != CONFIG_READ && now_ms () < end);
  CU_ASSERT_EQUAL (reply->result, CONFIG_READ);
}

static const char first_text[]
    = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"svc\"}]}";
static const char other_text[]
    = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"other\"}]}";
static const char next_text[]
    = "{\"version\":5,\"routes\":[],\"services\":[{\"name\":\"svc\"}]}";

/* An entry whose only seed is a keeper that does not lead still registers with
   the leader: the seed sends it the addresses of the other keepers.  */
static void
test_seed_not_leader (void)
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

/* A configuration that was acknowledged survives a restart of all keepers, and
   another text with the same version does not replace it.  */
static void
test_config_durable (void)
{
  struct deployment d;
  struct config_reply reply;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_start_entry (&d, 0);
  put_config (&d, 1, first_text, &reply);
  put_config (&d, 1, other_text, &reply);
  get_config (&d, &reply);
  CU_ASSERT_STRING_EQUAL (reply.text, first_text);
  put_config (&d, 5, next_text, &reply);
  for (int i = 0; i < SEEDS; i++)
    deployment_stop_keeper (&d, i);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  get_config (&d, &reply);
  CU_ASSERT_STRING_EQUAL (reply.text, next_text);
  for (int64_t end = now_ms () + WAIT_MS;
       d.entries[0]->config.version != 5 && now_ms () < end;)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (d.entries[0]->config.version, 5);
  deployment_done (&d);
}

/* A keeper that restarts with an empty folder becomes a voter again, as a new
   member, so that the other keepers may lose their disks one after another.
   After that the voters exchange no more messages than idle ones do.  */
static void
test_wiped_keepers (void)
{
  struct deployment d;
  struct config_reply reply;
  char command[128];
  uint64_t frames;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  put_config (&d, 1, first_text, &reply);
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
  get_config (&d, &reply);
  CU_ASSERT_STRING_EQUAL (reply.text, first_text);
  frames = counters.value[COUNTER_PEER_FRAMES_OUT];
  for (int64_t end = now_ms () + IDLE_MS; now_ms () < end;)
    deployment_run_step (&d);
  frames = counters.value[COUNTER_PEER_FRAMES_OUT] - frames;
  CU_ASSERT (frames < IDLE_FRAMES);
  if (frames >= IDLE_FRAMES)
    printf ("%llu frames while idle\n", (unsigned long long)frames);
  deployment_done (&d);
}

/* The targets of an entry that crashed are assigned to the other one.  */
static void
test_entry_crash (void)
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

/* After all processes were restarted the targets are restored from the log,
   without waiting for their heartbeats.  */
static void
test_targets_restored (void)
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

/* An entry that leaves hands its targets over to the other one before it may
   exit.  */
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

/* The answers to a job: their number and the last one.  */
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

/* Starts two entries in different failure domains with two targets each, and
   submits a job to the first entry that needs targets of both domains, with
   tasks that are expected to take ESTIMATE_MS.  Returns the job once all its
   tasks were started.  */
static struct routed_job *
start_delegation_of (struct deployment *d, struct caller *c,
                     int64_t estimate_ms)
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
    run_step (d);
  for (int i = 0; i < 20; i++)
    run_step (d);
  snprintf (spec.key, sizeof spec.key, "0123456789abcdef");
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0] = (struct job_step){ .count = DELEGATED_JOB_TASKS,
                                     .cpu_milli = 1000,
                                     .estimate_ms = estimate_ms };
  spec.payload = slice_of ("");
  memset (c, 0, sizeof *c);
  j = job_entry_submit (d->entries[0], now_ms (), now_ms (), &spec,
                        on_answered, c);
  while (fake_port_starts () < DELEGATED_JOB_TASKS && now_ms () < end)
    run_step (d);
  CU_ASSERT_EQUAL (fake_port_starts (), DELEGATED_JOB_TASKS);
  return j;
}

static struct routed_job *
start_delegation (struct deployment *d, struct caller *c)
{
  return start_delegation_of (d, c, 200);
}

static uint32_t
count_running (void)
{
  uint32_t n = 0;

  for (int i = 0; i < DELEGATED_JOB_TASKS; i++)
    {
      char name[TASK_NAME_BYTES];

      snprintf (name, sizeof name, "0123456789abcdef.0.0.%d", i);
      n += fake_port_running (name);
    }
  return n;
}

/* Ends all runs of the job of start_delegation.  */
static void
end_delegated_job (void)
{
  for (int t = 0; t < TARGETS; t++)
    for (int i = 0; i < DELEGATED_JOB_TASKS; i++)
      {
        char id[8];
        char name[TASK_NAME_BYTES];

        snprintf (id, sizeof id, "t%d", t);
        snprintf (name, sizeof name, "0123456789abcdef.0.0.%d", i);
        fake_port_end_run (fake_port_target (id), name, RUN_END_DONE);
      }
}

/* A job is answered once, after all local and delegated tasks are done, and no
   task is started twice.  */
static void
test_delegated_tasks_end (void)
{
  struct deployment d;
  struct caller c;
  int64_t end = now_ms () + LONG_WAIT_MS;

  start_delegation (&d, &c);
  CU_ASSERT_EQUAL (count_running (), DELEGATED_JOB_TASKS);
  end_delegated_job ();
  while (c.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.answer.result, JOB_DONE);
  CU_ASSERT_EQUAL (fake_port_starts (), DELEGATED_JOB_TASKS);
  deployment_done (&d);
}

/* When a caller cancels its job the delegated tasks are stopped too.  */
static void
test_delegated_tasks_revoked (void)
{
  struct deployment d;
  struct caller c;
  struct routed_job *j = start_delegation (&d, &c);
  int64_t end = now_ms () + WAIT_MS;

  job_entry_cancel (d.entries[0], now_ms (), j);
  while (count_running () != 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT_PTR_NULL (d.entries[0]->jobs);
  CU_ASSERT_EQUAL (c.answers, 0);
  deployment_done (&d);
}

/* If the entry that runs delegated tasks crashes, the job is answered as
   unknown.  That its local tasks are stopped then is tested with the scheduler
   (test_delegated_results).  */
static void
test_delegate_crash (void)
{
  struct deployment d;
  struct caller c;
  int64_t end = now_ms () + LONG_WAIT_MS;

  start_delegation (&d, &c);
  deployment_stop_entry (&d, 1);
  while (c.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.answer.result, JOB_UNKNOWN);
  deployment_done (&d);
}

/* A caller repeats its job at another entry while runs of the first attempt
   are still active.  No dispatcher starts it, and the answer is unknown: tasks
   of it may have run.  */
static void
test_repeated_while_running (void)
{
  struct deployment d;
  struct caller first;
  struct caller second = { 0 };
  struct routed_job *j = start_delegation (&d, &first);
  struct job_spec spec = j->spec;
  int64_t end = now_ms () + WAIT_MS;

  spec.deadline_ms = WAIT_MS;
  job_entry_submit (d.entries[1], now_ms (), now_ms (), &spec, on_answered,
                    &second);
  while (second.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (second.answers, 1);
  CU_ASSERT_EQUAL (second.answer.result, JOB_UNKNOWN);
  CU_ASSERT_EQUAL (second.answer.reason, REFUSAL_DUPLICATE);
  CU_ASSERT_EQUAL (fake_port_starts (), DELEGATED_JOB_TASKS);
  deployment_done (&d);
}

/* A caller repeats its job at the same entry, which has not noticed that the
   first connection is broken: the first attempt is stopped everywhere.  */
static void
test_repeated_at_same_entry (void)
{
  static const char key[] = "0123456789abcdef";
  struct deployment d;
  struct caller c;
  int64_t end;

  start_delegation (&d, &c);
  CU_ASSERT_FALSE (
      job_entry_withdraw_repeated (d.entries[0], now_ms (), "another"));
  CU_ASSERT_TRUE (job_entry_withdraw_repeated (d.entries[0], now_ms (), key));
  end = now_ms () + d.entry_settings[0].caller_retry_ms;
  while ((count_running () != 0 || c.answers == 0) && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.answer.result, JOB_UNKNOWN);
  deployment_done (&d);
}

/* The lines about a delegated part have the same job id at the dispatcher, at
   its delegate and when the part is revoked, and tell whether the cancellation
   could be sent.  */
static void
test_delegation_lines (void)
{
  static const char key[] = "0123456789abcdef";
  struct deployment d;
  struct caller c;
  struct routed_job *j;
  int64_t id;

  event_ring_init ("test", EVENT_ERROR);
  j = start_delegation (&d, &c);
  id = event_lines_number ("TASKS_DELEGATED", key, "id");
  CU_ASSERT (id > 0);
  CU_ASSERT_EQUAL (event_lines_number ("DISPATCH_ACCEPTED", key, "id"), id);
  CU_ASSERT (event_lines_is ("DISPATCH_ACCEPTED", key, "from",
                             d.entry_settings[0].peer.vm));
  CU_ASSERT_FALSE (event_lines_is ("DISPATCH_ACCEPTED", key, "part", "-"));
  job_entry_cancel (d.entries[0], now_ms (), j);
  CU_ASSERT_EQUAL (event_lines_number ("TASKS_REVOKED", key, "id"), id);
  CU_ASSERT_EQUAL (event_lines_number ("TASKS_REVOKED", key, "sent"), 1);
  CU_ASSERT (event_lines_is ("TASKS_REVOKED", key, "to",
                             d.entry_settings[1].peer.vm));
  CU_ASSERT (event_lines_is ("DISPATCH_STOPPED", key, "from", "self"));
  CU_ASSERT (event_lines_is ("JOB_GIVEN_UP", key, "why", "caller_gone"));
  CU_ASSERT (event_lines_is ("JOB_GIVEN_UP", key, "at", "self"));
  CU_ASSERT_EQUAL (event_lines_number ("JOB_GIVEN_UP", key, "cancel_sent"), 1);
  deployment_done (&d);
  event_ring_done ();
}

/* The line about a part whose delegate crashed tells that no cancellation was
   sent, and how old the delegate's last report was.  */
static void
test_lost_link_lines (void)
{
  static const char key[] = "0123456789abcdef";
  struct deployment d;
  struct caller c;
  int64_t end = now_ms () + LONG_WAIT_MS;

  event_ring_init ("test", EVENT_ERROR);
  start_delegation (&d, &c);
  deployment_stop_entry (&d, 1);
  while (c.answers == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT (event_lines_is ("JOB_GIVEN_UP", key, "why", "link_lost"));
  CU_ASSERT (
      event_lines_is ("JOB_GIVEN_UP", key, "at", d.entry_settings[1].peer.vm));
  CU_ASSERT_EQUAL (event_lines_number ("JOB_GIVEN_UP", key, "cancel_sent"), 0);
  CU_ASSERT (event_lines_number ("JOB_GIVEN_UP", key, "report_ms_ago") >= 0);
  deployment_done (&d);
  event_ring_done ();
}

/* The result of an order or a list of evacuations.  */
struct evacuation_reply
{
  bool done;
  enum evacuation_result result;
  struct evacuation_set set;
};

static void
on_evacuation_reply (void *arg, enum evacuation_result result,
                     const struct evacuation_set *set)
{
  struct evacuation_reply *r = arg;

  r->done = true;
  r->result = result;
  if (set != NULL)
    r->set = *set;
}

/* Sends an order about DOMAIN to the leader, again after each failure, as an
   operator does.  The test fails if it is not acknowledged within WAIT_MS.  */
static void
order_evacuation (struct deployment *d, const char *domain, bool active)
{
  int64_t end = now_ms () + WAIT_MS;
  struct evacuation_reply reply;

  do
    {
      memset (&reply, 0, sizeof reply);
      run_until_leader (d);
      evacuation_control_order (deployment_leader (d), now_ms (), domain,
                                active, on_evacuation_reply, &reply);
      while (!reply.done && now_ms () < end)
        run_step (d);
    }
  while (reply.result != EVACUATION_DONE && now_ms () < end);
  CU_ASSERT_TRUE (reply.done);
  CU_ASSERT_EQUAL (reply.result, EVACUATION_DONE);
}

/* Reads the set from the leader, again after each failure.  */
static void
read_evacuations (struct deployment *d, struct evacuation_set *set)
{
  int64_t end = now_ms () + WAIT_MS;
  struct evacuation_reply reply;

  do
    {
      memset (&reply, 0, sizeof reply);
      run_until_leader (d);
      evacuation_control_read (deployment_leader (d), now_ms (),
                               on_evacuation_reply, &reply);
      while (!reply.done && now_ms () < end)
        run_step (d);
    }
  while (reply.result != EVACUATION_READ && now_ms () < end);
  CU_ASSERT_EQUAL (reply.result, EVACUATION_READ);
  *set = reply.set;
}

static int
leader_index (const struct deployment *d)
{
  int i = 0;

  while (d->keepers[i] != deployment_leader (d))
    i++;
  return i;
}

/* An acknowledged order must survive the loss of the leader right after the
   acknowledgement, and then of all power; a repeated one is acknowledged again
   and keeps its version.  The same for the end of the evacuation.  */
static void
test_evacuation_durable (void)
{
  struct deployment d;
  struct evacuation_set first;
  struct evacuation_set set;

  begin_simulated (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  order_evacuation (&d, "shop", true);
  deployment_stop_keeper (&d, leader_index (&d));
  read_evacuations (&d, &first);
  CU_ASSERT_EQUAL (first.count, 1);
  CU_ASSERT_PTR_NOT_NULL (evacuation_set_find (&first, "shop"));
  order_evacuation (&d, "shop", true);
  for (int i = 0; i < SEEDS; i++)
    if (d.keepers[i] != NULL)
      deployment_stop_keeper (&d, i);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  read_evacuations (&d, &set);
  CU_ASSERT_EQUAL (set.count, 1);
  CU_ASSERT_EQUAL (set.version, first.version);
  order_evacuation (&d, "shop", false);
  order_evacuation (&d, "shop", false);
  deployment_stop_keeper (&d, leader_index (&d));
  read_evacuations (&d, &set);
  CU_ASSERT_EQUAL (set.count, 0);
  CU_ASSERT (set.version > first.version);
  end_simulated (&d);
}

/* A leader that is lost between an order and its acknowledgement must answer
   that the outcome is not known, never that the order is in force; the
   repeated order is acknowledged by the next leader.  */
static void
test_evacuation_leader_lost (void)
{
  struct deployment d;
  struct evacuation_reply reply = { 0 };
  struct evacuation_set set;

  begin_simulated (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  read_evacuations (&d, &set);
  CU_ASSERT_EQUAL (set.count, 0);
  evacuation_control_order (deployment_leader (&d), now_ms (), "shop", true,
                            on_evacuation_reply, &reply);
  CU_ASSERT_FALSE (reply.done);
  deployment_stop_keeper (&d, leader_index (&d));
  CU_ASSERT_TRUE (reply.done);
  CU_ASSERT_EQUAL (reply.result, EVACUATION_UNCONFIRMED);
  order_evacuation (&d, "shop", true);
  read_evacuations (&d, &set);
  CU_ASSERT_PTR_NOT_NULL (evacuation_set_find (&set, "shop"));
  end_simulated (&d);
}

/* Without a majority of the keepers an order must not be acknowledged, and the
   caller gets an answer within a second, so that it can go elsewhere.  */
static void
test_evacuation_no_majority (void)
{
  struct deployment d;
  struct evacuation_reply reply = { 0 };
  int leader;
  int64_t start;

  begin_simulated (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  run_until_leader (&d);
  leader = leader_index (&d);
  for (int i = 0; i < SEEDS; i++)
    if (i != leader)
      deployment_stop_keeper (&d, i);
  start = now_ms ();
  evacuation_control_order (d.keepers[leader], start, "shop", true,
                            on_evacuation_reply, &reply);
  while (!reply.done && now_ms () - start < WAIT_MS)
    run_step (&d);
  CU_ASSERT_TRUE (reply.done);
  CU_ASSERT_EQUAL (reply.result, EVACUATION_UNCONFIRMED);
  end_simulated (&d);
}

/* Starts keepers, and two entries that own the targets of their own failure
   domains: t0 and t2 in "shop", t1 and t3 in "oven".  */
static void
start_two_domains (struct deployment *d)
{
  int64_t end;

  begin_simulated (d);
  end = now_ms () + WAIT_MS;
  d->two_domains = true;
  snprintf (d->entry_settings[1].peer.domain, NAME_BYTES, "oven");
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (d, i);
  while ((d->entries[0]->target_count != 2 || d->entries[1]->target_count != 2
          || d->entries[0]->dispatcher_count != 2)
         && now_ms () < end)
    run_step (d);
  CU_ASSERT_EQUAL (d->entries[0]->target_count, 2);
}

/* Whether all entries have the same set of evacuated domains as the leader,
   which knows that.  */
static bool
evacuations_are_everywhere (const struct deployment *d)
{
  const struct quorum_keeper *leader = deployment_leader (d);

  if (leader == NULL || leader->link_count < ENTRIES)
    return false;
  for (uint32_t i = 0; i < leader->link_count; i++)
    if (leader->links[i].evacuations_version != leader->evacuations.version)
      return false;
  for (int i = 0; i < ENTRIES; i++)
    if (d->entries[i]->dispatcher.evacuations.version
        != leader->evacuations.version)
      return false;
  return true;
}

static void
run_until_evacuations_everywhere (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (!evacuations_are_everywhere (d) && now_ms () < end)
    run_step (d);
  CU_ASSERT_TRUE (evacuations_are_everywhere (d));
}

/* Submits a job of COUNT tasks of one core, in a queue with the name of its
   KEY, to the entry in "shop".  */
static void
submit_tasks (struct deployment *d, const char *key, uint32_t count,
              struct caller *c)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 5000,
                           .deadline_ms = WAIT_MS,
                           .step_count = 1 };

  snprintf (spec.key, sizeof spec.key, "%s", key);
  snprintf (spec.queue, sizeof spec.queue, "%s", key);
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0] = (struct job_step){ .count = count,
                                     .cpu_milli = 1000,
                                     .estimate_ms = LONG_TASK_MS };
  spec.payload = slice_of ("");
  memset (c, 0, sizeof *c);
  job_entry_submit (d->entries[0], now_ms (), now_ms (), &spec, on_answered,
                    c);
}

static uint32_t
starts_in_shop (void)
{
  return fake_port_target ("t0")->starts + fake_port_target ("t2")->starts;
}

/* Once an order is in force everywhere, jobs from callers in the evacuated
   domain run in the other one, and after its end in their own again.  */
static void
test_evacuation_in_force (void)
{
  struct deployment d;
  struct caller c;
  int64_t end;

  start_two_domains (&d);
  order_evacuation (&d, "shop", true);
  run_until_evacuations_everywhere (&d);
  for (int i = 0; i < 20; i++)
    run_step (&d);
  submit_tasks (&d, "0123456789abcdef", 4, &c);
  for (end = now_ms () + WAIT_MS; fake_port_starts () < 4 && now_ms () < end;)
    run_step (&d);
  CU_ASSERT_EQUAL (fake_port_starts (), 4);
  CU_ASSERT_EQUAL (starts_in_shop (), 0);
  order_evacuation (&d, "shop", false);
  run_until_evacuations_everywhere (&d);
  for (int i = 0; i < 20; i++)
    run_step (&d);
  submit_tasks (&d, "0123456789abcdee", 4, &c);
  for (end = now_ms () + WAIT_MS; fake_port_starts () < 8 && now_ms () < end;)
    run_step (&d);
  CU_ASSERT_EQUAL (starts_in_shop (), 4);
  end_simulated (&d);
}

/* What runs in a domain when it is evacuated, delegated tasks too, is neither
   stopped nor started anew elsewhere.  */
static void
test_evacuation_running (void)
{
  static const char *const domains[] = { "shop", "oven" };

  for (size_t i = 0; i < sizeof domains / sizeof domains[0]; i++)
    {
      struct deployment d;
      struct caller c;
      int64_t end;

      fake_clock_stop ();
      simulated = true;
      end = now_ms () + LONG_WAIT_MS;
      start_delegation_of (&d, &c, LONG_TASK_MS);
      order_evacuation (&d, domains[i], true);
      run_until_evacuations_everywhere (&d);
      for (int n = 0; n < 10; n++)
        run_step (&d);
      CU_ASSERT_EQUAL (count_running (), DELEGATED_JOB_TASKS);
      end_delegated_job ();
      while (c.answers == 0 && now_ms () < end)
        run_step (&d);
      CU_ASSERT_EQUAL (c.answer.result, JOB_DONE);
      CU_ASSERT_EQUAL (fake_port_starts (), DELEGATED_JOB_TASKS);
      end_simulated (&d);
    }
}

/* An entry that restarts during an evacuation must know of it whenever it owns
   targets, also when the leader has changed since.  */
static void
test_evacuation_entry_restart (void)
{
  struct deployment d;
  bool always = true;
  int64_t end;

  start_two_domains (&d);
  end = now_ms () + LONG_WAIT_MS;
  order_evacuation (&d, "shop", true);
  deployment_stop_entry (&d, 0);
  deployment_stop_keeper (&d, leader_index (&d));
  deployment_start_entry (&d, 0);
  while (d.entries[0]->target_count != 2 && now_ms () < end)
    {
      run_step (&d);
      if (d.entries[0]->target_count != 0)
        always = always
                 && evacuation_set_find (&d.entries[0]->dispatcher.evacuations,
                                         "shop")
                        != NULL;
    }
  CU_ASSERT_TRUE (always);
  CU_ASSERT_EQUAL (d.entries[0]->target_count, 2);
  for (uint32_t i = 0; i < d.entries[0]->dispatcher.scheduler.target_count;
       i++)
    CU_ASSERT_TRUE (d.entries[0]->dispatcher.scheduler.targets[i]->evacuated);
  end_simulated (&d);
}

/* When all domains are evacuated callers are refused at once, and the entries
   stay ready: else balancers would drop every entry, and callers would get no
   answer at all.  */
static void
test_evacuation_of_all (void)
{
  struct deployment d;
  struct config_reply reply;
  struct caller c;
  int64_t end;

  start_two_domains (&d);
  put_config (&d, 1, first_text, &reply);
  for (end = now_ms () + WAIT_MS;
       !job_entry_is_ready (d.entries[0]) && now_ms () < end;)
    run_step (&d);
  order_evacuation (&d, "shop", true);
  order_evacuation (&d, "oven", true);
  run_until_evacuations_everywhere (&d);
  for (int i = 0; i < 30; i++)
    {
      run_step (&d);
      CU_ASSERT_TRUE (job_entry_is_ready (d.entries[0]));
    }
  submit_tasks (&d, "0123456789abcdef", 1, &c);
  for (end = now_ms () + WAIT_MS; c.answers == 0 && now_ms () < end;)
    run_step (&d);
  CU_ASSERT_EQUAL (c.answer.result, JOB_REFUSED);
  CU_ASSERT_EQUAL (fake_port_starts (), 0);
  end_simulated (&d);
}

/* A job that waits at a dispatcher when its domain is evacuated is tried at
   another one at once, instead of waiting there until its deadline.  */
static void
test_evacuation_waiting_job (void)
{
  static const char waiting[] = "0123456789abcdee"; /* key and queue */
  struct deployment d;
  struct caller first;
  struct caller second;
  int64_t end;

  start_two_domains (&d);
  end = now_ms () + WAIT_MS;
  for (int i = 0; i < REPORT_STEPS; i++)
    run_step (&d);
  submit_tasks (&d, "0123456789abcdef", 16, &first);
  while (fake_port_starts () < 16 && now_ms () < end)
    run_step (&d);
  CU_ASSERT_EQUAL (fake_port_starts (), 16);
  for (int i = 0; i < REPORT_STEPS; i++)
    run_step (&d);
  submit_tasks (&d, waiting, 2, &second);
  for (int i = 0; i < 10; i++)
    run_step (&d);
  CU_ASSERT_EQUAL (job_entry_waiting (d.entries[0], waiting), 1);
  order_evacuation (&d, "shop", true);
  run_until_evacuations_everywhere (&d);
  CU_ASSERT_EQUAL (job_entry_waiting (d.entries[0], waiting), 0);
  for (int i = 0; i < 10; i++)
    run_step (&d);
  CU_ASSERT (second.answer.result == JOB_REFUSED
             || job_entry_waiting (d.entries[1], waiting) == 1);
  CU_ASSERT_EQUAL (starts_in_shop (), 8);
  end_simulated (&d);
}

/* The number of targets at their owners that are cold.  */
static uint32_t
count_cold (const struct deployment *d)
{
  uint32_t n = 0;

  for (int i = 0; i < ENTRIES; i++)
    for (uint32_t t = 0; t < d->entries[i]->dispatcher.scheduler.target_count;
         t++)
      n += run_target_spec_is_cold (
          &d->entries[i]->dispatcher.scheduler.targets[t]->spec, now_ms ());
  return n;
}

/* A target that becomes cold is known as cold at its owner, whichever keeper
   gets its heartbeats, until its time is over.  */
static void
test_cold_targets (void)
{
  for (int follower = 0; follower < 2; follower++)
    {
      struct deployment d;
      int64_t end;

      start_two_domains (&d);
      d.heartbeats_to_follower = follower == 1;
      CU_ASSERT_EQUAL (count_cold (&d), 0);
      d.cold_ms = COLD_MS;
      end = now_ms () + COLD_MS / 2;
      while (count_cold (&d) != TARGETS && now_ms () < end)
        run_step (&d);
      CU_ASSERT_EQUAL (count_cold (&d), TARGETS);
      d.cold_ms = 0;
      for (end = now_ms () + COLD_MS + COLD_MS; now_ms () < end;)
        run_step (&d);
      CU_ASSERT_EQUAL (count_cold (&d), 0);
      end_simulated (&d);
    }
}

void
suite_deployment (void)
{
  CU_pSuite s = CU_add_suite ("deployment", NULL, NULL);

  CU_add_test (s, "a seed need not be the leader", test_seed_not_leader);
  CU_add_test (s, "an acknowledged configuration is durable",
               test_config_durable);
  CU_add_test (s, "keepers lose their disks one after another",
               test_wiped_keepers);
  CU_add_test (s, "targets of a crashed entry are reassigned",
               test_entry_crash);
  CU_add_test (s, "targets are restored from the log", test_targets_restored);
  CU_add_test (s, "an entry that leaves hands its targets over",
               test_entry_leaves);
  CU_add_test (s, "a job with delegated tasks is answered",
               test_delegated_tasks_end);
  CU_add_test (s, "delegated tasks are revoked", test_delegated_tasks_revoked);
  CU_add_test (s, "a job ends as unknown if its delegate crashes",
               test_delegate_crash);
  CU_add_test (s, "a job is refused as not run while its first attempt runs",
               test_repeated_while_running);
  CU_add_test (s, "the first attempt of a repeated job goes on",
               test_repeated_at_same_entry);
  CU_add_test (s, "lines of a revoked delegation", test_delegation_lines);
  CU_add_test (s, "lines of a delegate that crashed", test_lost_link_lines);
  CU_add_test (s, "an acknowledged evacuation is durable",
               test_evacuation_durable);
  CU_add_test (s, "a leader is lost between order and acknowledgement",
               test_evacuation_leader_lost);
  CU_add_test (s, "an evacuation is in force until its end",
               test_evacuation_in_force);
  CU_add_test (s, "what runs in an evacuated domain goes on",
               test_evacuation_running);
  CU_add_test (s, "an entry restarts during an evacuation",
               test_evacuation_entry_restart);
  CU_add_test (s, "all domains are evacuated", test_evacuation_of_all);
  CU_add_test (s, "targets become cold", test_cold_targets);
  CU_add_test (s, "a job waits where its domain is evacuated",
               test_evacuation_waiting_job);
  CU_add_test (s, "no evacuation is acknowledged without a majority",
               test_evacuation_no_majority);
}
