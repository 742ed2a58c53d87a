/* Keepers and entries of an open deployment together, in one process, over
   loopback addresses of their own; targets are tables (fake_port).  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/now.h"
#include "controller/job_entry.h"
#include "controller/quorum_keeper.h"
#include "platform/desired_state.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  KEEPERS = 4,
  ENTRIES = 2,
  TARGETS = 4,
  SEEDS = 3,
  PEER_PORT = 17720,
  WAIT_MS = 8000,
  LONG_WAIT_MS = 2 * WAIT_MS,
  STEP_MS = 20,
  HEARTBEAT_MS = 300,
  LOGGED_MS = 1800,

  /* Two targets run 8 tasks of 1000.  */
  LENT_JOB_TASKS = 10,

  /* Three keepers at rest: 2 appends and replies each 80 ms, 6 beats each
     250 ms; some more for chance.  */
  REST_MS = 500,
  REST_FRAMES = 60
};

struct deployment
{
  struct event_base *base;
  struct node_settings keeper_settings[KEEPERS];
  struct node_settings entry_settings[ENTRIES];
  char folders[KEEPERS][64];
  struct quorum_keeper *keepers[KEEPERS]; /* NULL while down */
  struct job_entry *entries[ENTRIES];
  int64_t heartbeat_ms;
  bool targets_silent;
  bool two_domains; /* the second entry and every second target in another */
};

static void
fill_settings (struct node_settings *s, const char *name, int net, int host,
               enum process_role role)
{
  memset (s, 0, sizeof *s);
  snprintf (s->name, sizeof s->name, "%s-%d", name, host);
  snprintf (s->peer.vm, sizeof s->peer.vm, "127.0.%d.%d", net, host);
  snprintf (s->peer.address, sizeof s->peer.address, "127.0.%d.%d", net, host);
  snprintf (s->peer.domain, sizeof s->peer.domain, "shop");
  snprintf (s->peer.environment, sizeof s->peer.environment, "test");
  snprintf (s->peer.peer_secret, sizeof s->peer.peer_secret,
            "0123456789abcdef");
  s->peer.peer_port = PEER_PORT;
  s->peer.open_membership = true;
  s->role = role;
  s->first_start = true;
  s->lost_keepers = 1;
  s->lease_limit_ms = 500;
  s->seed_count = SEEDS;
  for (int i = 0; i < SEEDS; i++)
    {
      snprintf (s->seeds[i].address, sizeof s->seeds[i].address, "127.0.21.%d",
                i + 1);
      s->seeds[i].port = 1;
    }
}

static void
start_keeper (struct deployment *d, int i)
{
  struct error e;

  d->keepers[i] = calloc (1, sizeof *d->keepers[i]);
  CU_ASSERT_FATAL (quorum_keeper_start (
      d->keepers[i], d->base, &d->keeper_settings[i], (uint64_t)rand (), &e));
}

static void
stop_keeper (struct deployment *d, int i)
{
  quorum_keeper_done (d->keepers[i]);
  free (d->keepers[i]);
  d->keepers[i] = NULL;
  d->keeper_settings[i].first_start = false;
}

static void
start_entry (struct deployment *d, int i)
{
  struct error e;

  d->entries[i] = calloc (1, sizeof *d->entries[i]);
  CU_ASSERT_FATAL (job_entry_start (d->entries[i], d->base,
                                    &d->entry_settings[i], (uint64_t)rand (),
                                    &fake_port_ops, desired_state_decode, &e));
}

static void
stop_entry (struct deployment *d, int i)
{
  job_entry_done (d->entries[i]);
  free (d->entries[i]);
  d->entries[i] = NULL;
}

static void
deployment_init (struct deployment *d)
{
  memset (d, 0, sizeof *d);
  fake_port_reset ();
  d->base = event_base_new ();
  for (int i = 0; i < KEEPERS; i++)
    {
      test_folder_make (d->folders[i]);
      fill_settings (&d->keeper_settings[i], "keeper", 21, i + 1, ROLE_KEEPER);
      snprintf (d->keeper_settings[i].peer.data_folder,
                sizeof d->keeper_settings[i].peer.data_folder, "%s/data",
                d->folders[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    fill_settings (&d->entry_settings[i], "entry", 22, i + 1, ROLE_ENTRY);
}

static void
deployment_done (struct deployment *d)
{
  for (int i = 0; i < ENTRIES; i++)
    if (d->entries[i] != NULL)
      stop_entry (d, i);
  for (int i = 0; i < KEEPERS; i++)
    {
      if (d->keepers[i] != NULL)
        stop_keeper (d, i);
      test_folder_remove (d->folders[i]);
    }
  event_base_free (d->base);
}

static struct quorum_keeper *
leader (const struct deployment *d)
{
  for (int i = 0; i < KEEPERS; i++)
    if (d->keepers[i] != NULL && quorum_keeper_leads (d->keepers[i]))
      return d->keepers[i];
  return NULL;
}

/* Targets speak to the leading keeper, as their heartbeats would.  */
static void
send_heartbeats (struct deployment *d)
{
  struct quorum_keeper *k = leader (d);
  struct run_target_spec t;

  if (k == NULL || d->targets_silent
      || now_ms () - d->heartbeat_ms < HEARTBEAT_MS)
    return;
  d->heartbeat_ms = now_ms ();
  for (int i = 0; i < TARGETS; i++)
    {
      memset (&t, 0, sizeof t);
      snprintf (t.id, sizeof t.id, "t%d", i);
      snprintf (t.address, sizeof t.address, "127.0.0.1:1");
      snprintf (t.service, sizeof t.service, "svc");
      snprintf (t.domain, sizeof t.domain, "%s",
                d->two_domains && i % 2 != 0 ? "oven" : "shop");
      t.born_ms = 1;
      t.cpu_milli = 4000;
      t.memory_mb = 1000;
      t.slots = 8;
      quorum_keeper_hear_target (k, now_ms (), &t);
    }
}

static void
run_step (struct deployment *d)
{
  struct timeval t = now_timeval (STEP_MS);

  event_base_loopexit (d->base, &t);
  event_base_dispatch (d->base);
  send_heartbeats (d);
}

static uint32_t
targets_owned (const struct deployment *d)
{
  uint32_t n = 0;

  for (int i = 0; i < ENTRIES; i++)
    if (d->entries[i] != NULL)
      n += d->entries[i]->target_count;
  return n;
}

static void
run_until_owned (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (targets_owned (d) != TARGETS && now_ms () < end)
    run_step (d);
  CU_ASSERT_EQUAL (targets_owned (d), TARGETS);
}

static void
run_until_led (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (leader (d) == NULL && now_ms () < end)
    run_step (d);
  CU_ASSERT_PTR_NOT_NULL (leader (d));
}

/* What an operator's call came to.  */
struct said
{
  bool done;
  enum document_result result;
  char text[4096];
};

static void
on_document (void *arg, enum document_result result, const char *text)
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
      run_until_led (d);
      quorum_keeper_put (leader (d), now_ms (), version, text, on_document,
                         said);
      while (!said->done && now_ms () < end)
        run_step (d);
    }
  while (said->result != DOCUMENT_TAKEN && now_ms () < end);
  CU_ASSERT_EQUAL (said->result, DOCUMENT_TAKEN);
}

static void
get (struct deployment *d, struct said *said)
{
  int64_t end = now_ms () + WAIT_MS;

  do
    {
      memset (said, 0, sizeof *said);
      run_until_led (d);
      quorum_keeper_get (leader (d), now_ms (), on_document, said);
      while (!said->done && now_ms () < end)
        run_step (d);
    }
  while (said->result != DOCUMENT_READ && now_ms () < end);
  CU_ASSERT_EQUAL (said->result, DOCUMENT_READ);
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
    start_keeper (&d, i);
  run_until_led (&d);
  while (d.keepers[other] == leader (&d))
    other++;
  d.entry_settings[0].seed_count = 1;
  memcpy (d.entry_settings[0].seeds[0].address,
          d.keeper_settings[other].peer.address, ADDRESS_BYTES);
  start_entry (&d, 0);
  run_until_owned (&d);
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
    start_keeper (&d, i);
  start_entry (&d, 0);
  put (&d, 1, first_text, &said);
  put (&d, 1, other_text, &said);
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, first_text);
  put (&d, 5, next_text, &said);
  for (int i = 0; i < SEEDS; i++)
    stop_keeper (&d, i);
  for (int i = 0; i < SEEDS; i++)
    start_keeper (&d, i);
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, next_text);
  for (int64_t end = now_ms () + WAIT_MS;
       d.entries[0]->document.version != 5 && now_ms () < end;)
    run_step (&d);
  CU_ASSERT_EQUAL (d.entries[0]->document.version, 5);
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
    start_keeper (&d, i);
  put (&d, 1, first_text, &said);
  for (int i = 0; i < SEEDS; i++)
    {
      int64_t end = now_ms () + WAIT_MS;
      uint32_t voters;

      stop_keeper (&d, i);
      snprintf (command, sizeof command, "rm -rf '%s/data'", d.folders[i]);
      CU_ASSERT_EQUAL (system (command), 0);
      start_keeper (&d, i);
      do
        {
          run_step (&d);
          voters = 0;
          for (int n = 0; n < d.keepers[i]->log.member_count; n++)
            voters += d.keepers[i]->log.members[n].voter;
        }
      while (now_ms () < end
             && (!d.keepers[i]->log.members[d.keepers[i]->log.self].voter
                 || voters != SEEDS || d.keepers[i]->document_version != 1
                 || leader (&d) == NULL));
      CU_ASSERT (d.keepers[i]->log.members[d.keepers[i]->log.self].voter);
      CU_ASSERT_EQUAL (voters, SEEDS);
      CU_ASSERT_EQUAL (d.keepers[i]->document_version, 1);
    }
  get (&d, &said);
  CU_ASSERT_STRING_EQUAL (said.text, first_text);
  frames = counters.value[COUNTER_PEER_FRAMES_OUT];
  for (int64_t end = now_ms () + REST_MS; now_ms () < end;)
    run_step (&d);
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
    start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    start_entry (&d, i);
  run_until_owned (&d);
  owner = d.entries[0]->target_count != 0 ? 0 : 1;
  CU_ASSERT_EQUAL (d.entries[owner]->target_count, TARGETS);
  stop_entry (&d, owner);
  run_until_owned (&d);
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
    start_keeper (&d, i);
  start_entry (&d, 0);
  run_until_owned (&d);
  for (end = now_ms () + LOGGED_MS; now_ms () < end;)
    run_step (&d);
  stop_entry (&d, 0);
  for (int i = 0; i < SEEDS; i++)
    stop_keeper (&d, i);
  d.targets_silent = true;
  for (int i = 0; i < SEEDS; i++)
    start_keeper (&d, i);
  start_entry (&d, 0);
  run_until_owned (&d);
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
    start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    start_entry (&d, i);
  run_until_owned (&d);
  owner = d.entries[0]->target_count != 0 ? 0 : 1;
  job_entry_leave (d.entries[owner], now_ms ());
  end = now_ms () + WAIT_MS;
  while (!job_entry_may_end (d.entries[owner], now_ms ()) && now_ms () < end)
    run_step (&d);
  CU_ASSERT (job_entry_may_end (d.entries[owner], now_ms ()));
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
static struct entry_job *
begin_lending (struct deployment *d, struct caller *c)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 5000,
                           .deadline_ms = WAIT_MS,
                           .step_count = 1 };
  int64_t end = now_ms () + WAIT_MS;
  struct entry_job *j;

  deployment_init (d);
  d->two_domains = true;
  snprintf (d->entry_settings[1].peer.domain, NAME_BYTES, "oven");
  for (int i = 0; i < SEEDS; i++)
    start_keeper (d, i);
  for (int i = 0; i < ENTRIES; i++)
    start_entry (d, i);
  while ((d->entries[0]->target_count != 2 || d->entries[1]->target_count != 2
          || d->entries[0]->dispatcher_count != 2)
         && now_ms () < end)
    run_step (d);
  for (int i = 0; i < 20; i++)
    run_step (d);
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
    run_step (d);
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
        fake_port_end (fake_port_target (id), name, RUN_END_DONE);
      }
  while (c.answers == 0 && now_ms () < end)
    run_step (&d);
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
  struct entry_job *j = begin_lending (&d, &c);
  int64_t end = now_ms () + WAIT_MS;

  job_entry_cancel (d.entries[0], now_ms (), j);
  while (count_running () != 0 && now_ms () < end)
    run_step (&d);
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
  stop_entry (&d, 1);
  while (c.answers == 0 && now_ms () < end)
    run_step (&d);
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
