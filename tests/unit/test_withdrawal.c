/* Withdrawal of a job by an entry that does not hold it.  */
#include <stdio.h>
#include <string.h>
#include "base/json_text.h"
#include "base/now.h"
#include "controller/entry_links.h"
#include "controller/entry_withdrawal.h"
#include "controller/entry_withdrawn.h"
#include "controller/keeper_withdrawn.h"
#include "coord/job_search.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  NO_RESULT = -1,

  /* A leader is certain of the entries after 3 s.  */
  KEEPERS_SETTLE_MS = 3400,

  /* Within this time a cancellation must be in force everywhere.  */
  SPREAD_MS = 3000
};

static const char key[] = "0123456789abcdef";

/* What the caller of a job and that of its withdrawal were told.  */
struct callers
{
  uint32_t answers;
  enum job_result job_result;
  enum refusal_reason reason;
  int withdrawal;
};

static void
on_answered (void *arg, const struct job_answer *a)
{
  struct callers *c = arg;

  c->answers++;
  c->job_result = a->result;
  c->reason = a->reason;
}

static void
on_withdrawn (void *arg, enum withdrawal_result result)
{
  struct callers *c = arg;

  c->withdrawal = (int)result;
}

static void
run_for (struct deployment *d, int64_t ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    deployment_run_step (d);
}

static void
start_all (struct deployment *d)
{
  deployment_init (d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (d, i);
  deployment_run_until_owned (d);
}

/* Has entry 1 withdraw the job KEY and returns the result.  */
static int
withdraw_at_other (struct deployment *d, struct callers *c)
{
  int64_t end = now_ms () + WAIT_MS;

  c->withdrawal = NO_RESULT;
  entry_withdrawal_start (d->entries[1], key, on_withdrawn, c);
  while (c->withdrawal == NO_RESULT && now_ms () < end)
    deployment_run_step (d);
  return c->withdrawal;
}

/* Whether entry 1 learns within WAIT_MS that no entry holds the job.  Where a
   busy machine delays the keepers they elect another leader, which is not
   certain for 3 s.  */
static bool
learns_no_job (struct deployment *d, struct callers *c)
{
  int64_t end = now_ms () + WAIT_MS;
  int result;

  do
    result = withdraw_at_other (d, c);
  while (result == WITHDRAWAL_UNSURE && now_ms () < end);
  return result == WITHDRAWAL_NO_JOB;
}

/* Submits a job of two tasks to entry 0 and waits until both run.  */
static void
submit_job (struct deployment *d, struct callers *c)
{
  struct job_spec spec = { .attempts = 3,
                           .stretch_milli = 1600,
                           .floor_ms = 5000,
                           .deadline_ms = LONG_WAIT_MS,
                           .step_count = 1 };
  int64_t end = now_ms () + WAIT_MS;
  uint32_t before = fake_port_starts ();

  snprintf (spec.key, sizeof spec.key, "%s", key);
  snprintf (spec.queue, sizeof spec.queue, "q");
  snprintf (spec.service, sizeof spec.service, "svc");
  spec.steps[0]
      = (struct job_step){ .count = 2, .cpu_milli = 1000, .estimate_ms = 200 };
  spec.payload = slice_of ("");
  job_entry_submit (d->entries[0], now_ms (), now_ms (), &spec, on_answered,
                    c);
  while (fake_port_starts () < before + 2 && now_ms () < end)
    deployment_run_step (d);
  CU_ASSERT_EQUAL (fake_port_starts (), before + 2);
}

static uint32_t
count_running (void)
{
  return fake_port_running ("0123456789abcdef.0.0.0")
         + fake_port_running ("0123456789abcdef.0.0.1");
}

/* A caller that cancels its job at another entry than the one that holds it:
   the job is withdrawn and its runs end.  Guards against an answer that no
   such job exists while its tasks are started on (review case 2).  */
static void
test_withdrawn_at_other_entry (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  submit_job (&d, &c);
  CU_ASSERT_EQUAL (count_running (), 2);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_DONE);
  run_for (&d, 300);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.job_result, JOB_UNKNOWN);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_done (&d);
}

/* That no entry holds a job is said only if all entries have answered: not by
   keepers that have just started, and not just after an entry was lost.  */
static void
test_not_certain (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  run_for (&d, KEEPERS_SETTLE_MS);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_stop_entry (&d, 0);
  run_for (&d, 100);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  deployment_done (&d);
}

/* An entry that stops while it waits for the keepers tells its caller that the
   result is not certain.  */
static void
test_stop_while_asked (void)
{
  struct deployment d;
  struct callers c = { .withdrawal = NO_RESULT };

  start_all (&d);
  entry_withdrawal_start (d.entries[1], key, on_withdrawn, &c);
  deployment_stop_entry (&d, 1);
  CU_ASSERT_EQUAL (c.withdrawal, WITHDRAWAL_UNSURE);
  deployment_done (&d);
}

/* A keeper without a majority does not say that no entry holds a job, however
   long it has been without the others: an entry that it no longer hears may
   hold the job.  Guards against 410 from a keeper that is cut off (review case
   6).  */
static void
test_minority_not_certain (void)
{
  struct deployment d;
  struct callers c = { 0 };
  int rest = 0;

  start_all (&d);
  while (d.keepers[rest] == deployment_leader (&d))
    rest++;
  for (int i = 0; i < SEEDS; i++)
    if (i != rest)
      deployment_stop_keeper (&d, i);
  run_for (&d, KEEPERS_SETTLE_MS);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  deployment_done (&d);
}

/* The same by a leader that has lost its majority.  */
static void
test_lone_leader_not_certain (void)
{
  struct deployment d;
  struct callers c = { 0 };
  struct quorum_keeper *leader;

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  deployment_run_until_leader (&d);
  leader = deployment_leader (&d);
  for (int i = 0; i < SEEDS; i++)
    if (d.keepers[i] != leader)
      deployment_stop_keeper (&d, i);
  CU_ASSERT (quorum_keeper_leads (leader));
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  deployment_done (&d);
}

/* An entry that asks a keeper which does not vote, and knows only the entries
   whose seeds name it, is sent to the leader, which finds the job.  Guards
   against 410 while the job runs (review case 9).  */
static void
test_asked_non_voter (void)
{
  struct deployment d;
  struct callers c = { 0 };

  deployment_init (&d);
  d.entry_settings[1].seed_count = 1;
  memcpy (d.entry_settings[1].seeds[0].address,
          d.keeper_settings[SEEDS].peer.address, ADDRESS_BYTES);
  for (int i = 0; i < KEEPERS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (&d, i);
  deployment_run_until_owned (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  submit_job (&d, &c);
  d.entries[1]->leader[0] = '\0';
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_DONE);
  run_for (&d, 300);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_done (&d);
}

/* A leader that has just been elected does not know the entries that only the
   one before it heard, so it is certain only after 3 s.  */
static void
test_new_leader_not_certain (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  deployment_run_until_leader (&d);
  for (int i = 0; i < SEEDS; i++)
    if (d.keepers[i] == deployment_leader (&d))
      {
        deployment_stop_keeper (&d, i);
        break;
      }
  deployment_run_until_leader (&d);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  run_for (&d, KEEPERS_SETTLE_MS);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_done (&d);
}

/* An entry that only another keeper hears may hold the job.  It counts until
   nobody has heard it for 3 s.  */
static void
test_entry_of_other_keeper (void)
{
  struct deployment d;
  struct callers c = { 0 };
  json_t *list;

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  deployment_run_until_leader (&d);
  list = entry_links_contacted (deployment_follower (&d), now_ms ());
  CU_ASSERT_EQUAL (json_array_size (list), 2 * (size_t)ENTRIES);
  json_decref (list);
  list = json_build ("[s, i]", "elsewhere", 100);
  entry_links_receive_contacted (deployment_leader (&d), now_ms (), list);
  json_decref (list);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  run_for (&d, KEEPERS_SETTLE_MS);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_done (&d);
}

/* An entry that is killed and started again at its address answers for itself
   once it is connected, and one that is gone for good does not keep the answer
   uncertain for longer than 3 s.  */
static void
test_entry_restarted (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  deployment_stop_entry (&d, 0);
  deployment_start_entry (&d, 0);
  run_for (&d, 1000);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_stop_entry (&d, 0);
  run_for (&d, 500);
  CU_ASSERT_EQUAL (withdraw_at_other (&d, &c), WITHDRAWAL_UNSURE);
  run_for (&d, KEEPERS_SETTLE_MS);
  CU_ASSERT (learns_no_job (&d, &c));
  deployment_done (&d);
}

/* Entry 0 withdraws the job KEY, which it holds.  */
static void
withdraw_own (struct deployment *d)
{
  struct routed_job *j = job_entry_find (d->entries[0], key);

  CU_ASSERT_PTR_NOT_NULL (j);
  if (j != NULL)
    job_entry_withdraw (d->entries[0], now_ms (), j);
}

/* Waits until all processes that run remember that the job KEY was
   withdrawn.  */
static bool
all_remember (struct deployment *d)
{
  int64_t end = now_ms () + SPREAD_MS;
  bool all = false;

  while (!all && now_ms () < end)
    {
      deployment_run_step (d);
      all = true;
      for (int i = 0; i < KEEPERS; i++)
        all &= d->keepers[i] == NULL
               || withdrawn_jobs_has (&d->keepers[i]->withdrawn, now_ms (),
                                      key);
      for (int i = 0; i < ENTRIES; i++)
        all &= d->entries[i] == NULL
               || entry_withdrawn_has (d->entries[i], now_ms (), key);
    }
  return all;
}

/* An acknowledged cancellation reaches all entries and keepers, also one that
   does not vote, and is remembered by those that start again later, also
   after a change of the leader.  */
static void
test_spread (void)
{
  struct deployment d;
  struct callers c = { 0 };
  struct quorum_keeper *leader;

  deployment_init (&d);
  for (int i = 0; i < KEEPERS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (&d, i);
  deployment_run_until_owned (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  submit_job (&d, &c);
  withdraw_own (&d);
  CU_ASSERT (all_remember (&d));
  deployment_stop_entry (&d, 0);
  deployment_start_entry (&d, 0);
  CU_ASSERT (all_remember (&d));
  leader = deployment_leader (&d);
  for (int i = 0; i < SEEDS; i++)
    if (d.keepers[i] != NULL && d.keepers[i] != leader)
      {
        deployment_stop_keeper (&d, i);
        deployment_start_keeper (&d, i);
        break;
      }
  CU_ASSERT (all_remember (&d));
  for (int i = 0; i < SEEDS; i++)
    if (d.keepers[i] == leader)
      {
        deployment_stop_keeper (&d, i);
        deployment_run_until_leader (&d);
        deployment_start_keeper (&d, i);
      }
  deployment_stop_entry (&d, 1);
  deployment_start_entry (&d, 1);
  CU_ASSERT (all_remember (&d));
  deployment_done (&d);
}

/* A job that was cancelled elsewhere while its entry was cut off is withdrawn
   when the entry learns of it, and its caller is told that it was.  */
static void
test_learnt_while_open (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  submit_job (&d, &c);
  deployment_run_until_leader (&d);
  keeper_withdrawn_add (deployment_leader (&d), now_ms (), key);
  CU_ASSERT (all_remember (&d));
  run_for (&d, 300);
  CU_ASSERT_EQUAL (count_running (), 0);
  CU_ASSERT_EQUAL (c.answers, 1);
  CU_ASSERT_EQUAL (c.reason, REFUSAL_WITHDRAWN);
  deployment_done (&d);
}

/* A cancellation that an entry acknowledged while no keeper ran is sent until
   one has it.  */
static void
test_sent_until_received (void)
{
  struct deployment d;
  struct callers c = { 0 };

  start_all (&d);
  run_for (&d, KEEPERS_SETTLE_MS);
  submit_job (&d, &c);
  for (int i = 0; i < SEEDS; i++)
    deployment_stop_keeper (&d, i);
  withdraw_own (&d);
  run_for (&d, 1500);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  CU_ASSERT (all_remember (&d));
  deployment_done (&d);
}

/* What is remembered is bounded in number, the oldest evicted first, and in
   time; what one process does not have of another is found by number.  */
static void
test_withdrawn_table (void)
{
  struct withdrawn_jobs w;
  char name[JOB_KEY_BYTES];

  withdrawn_jobs_init (&w, 3);
  CU_ASSERT_PTR_NULL (withdrawn_jobs_after (&w, 0));
  CU_ASSERT (withdrawn_jobs_add (&w, 100, "b", 20, WITHDRAWN_HERE));
  CU_ASSERT (withdrawn_jobs_add (&w, 100, "a", 10, WITHDRAWN_KEEPER));
  CU_ASSERT (withdrawn_jobs_add (&w, 100, "c", 30, WITHDRAWN_ENTRY));
  CU_ASSERT_FALSE (withdrawn_jobs_add (&w, 100, "a", 60, WITHDRAWN_HERE));
  CU_ASSERT_STRING_EQUAL (withdrawn_jobs_after (&w, 0)->key, "b");
  CU_ASSERT_STRING_EQUAL (withdrawn_jobs_after (&w, 1)->key, "a");
  CU_ASSERT (withdrawn_jobs_add (&w, 100, "d", 40, WITHDRAWN_HERE));
  CU_ASSERT_EQUAL (w.evicted, 1);
  CU_ASSERT_FALSE (withdrawn_jobs_has (&w, 100, "a"));
  CU_ASSERT_STRING_EQUAL (withdrawn_jobs_after (&w, 1)->key, "c");
  CU_ASSERT (withdrawn_jobs_has (&w, WITHDRAWN_MS + 19, "b"));
  CU_ASSERT_FALSE (withdrawn_jobs_has (&w, WITHDRAWN_MS + 20, "b"));
  CU_ASSERT_EQUAL (withdrawn_jobs_expire (&w, WITHDRAWN_MS + 30), 2);
  CU_ASSERT_EQUAL (withdrawn_jobs_count (&w), 1);
  CU_ASSERT_FALSE (
      withdrawn_jobs_add (&w, WITHDRAWN_MS + 30, "c", 30, WITHDRAWN_KEEPER));
  CU_ASSERT (withdrawn_jobs_add (&w, 2000, "d", 2000, WITHDRAWN_KEEPER));
  CU_ASSERT (withdrawn_jobs_has (&w, WITHDRAWN_MS + 1999, "d"));
  withdrawn_jobs_done (&w);
  withdrawn_jobs_init (&w, WITHDRAWN_LIMIT);
  for (int i = 0; i < WITHDRAWN_LIMIT + 10; i++)
    {
      snprintf (name, sizeof name, "%016x", (unsigned)i);
      withdrawn_jobs_add (&w, i, name, i, WITHDRAWN_HERE);
    }
  CU_ASSERT_EQUAL (withdrawn_jobs_count (&w), WITHDRAWN_LIMIT);
  CU_ASSERT_EQUAL (w.evicted, 10);
  CU_ASSERT_FALSE (withdrawn_jobs_has (&w, 20, "0000000000000009"));
  CU_ASSERT (withdrawn_jobs_has (&w, 20, "000000000000000a"));
  withdrawn_jobs_done (&w);
}

static void
test_search_result (void)
{
  struct job_search s = { .expected = 2, .complete = true, .deadline_ms = 10 };

  s.confirmed = true;
  CU_ASSERT_EQUAL (job_search_result (&s, 0), JOB_SEARCH_PENDING);
  job_search_add (&s, false);
  CU_ASSERT_EQUAL (job_search_result (&s, 9), JOB_SEARCH_PENDING);
  CU_ASSERT_EQUAL (job_search_result (&s, 10), JOB_SEARCH_UNSURE);
  job_search_add (&s, false);
  CU_ASSERT_EQUAL (job_search_result (&s, 10), JOB_SEARCH_NONE);
  s.confirmed = false;
  CU_ASSERT_EQUAL (job_search_result (&s, 9), JOB_SEARCH_PENDING);
  CU_ASSERT_EQUAL (job_search_result (&s, 10), JOB_SEARCH_UNSURE);
  s.confirmed = true;
  s.complete = false;
  CU_ASSERT_EQUAL (job_search_result (&s, 9), JOB_SEARCH_UNSURE);
  s.answered = 0;
  job_search_add (&s, true);
  CU_ASSERT_EQUAL (job_search_result (&s, 9), JOB_SEARCH_FOUND);
}

void
suite_withdrawal (void)
{
  CU_pSuite s = CU_add_suite ("withdrawal", NULL, NULL);

  CU_add_test (s, "what the answers of entries prove", test_search_result);
  CU_add_test (s, "a job withdrawn at another entry",
               test_withdrawn_at_other_entry);
  CU_add_test (s, "that no entry holds a job is certain", test_not_certain);
  CU_add_test (s, "an entry that stops while it asks", test_stop_while_asked);
  CU_add_test (s, "a keeper without a majority is not certain",
               test_minority_not_certain);
  CU_add_test (s, "a leader that lost its majority is not certain",
               test_lone_leader_not_certain);
  CU_add_test (s, "a keeper that does not vote is asked",
               test_asked_non_voter);
  CU_add_test (s, "ids of withdrawn jobs are bounded", test_withdrawn_table);
  CU_add_test (s, "a cancellation reaches all processes", test_spread);
  CU_add_test (s, "an entry learns that its job was cancelled",
               test_learnt_while_open);
  CU_add_test (s, "a cancellation while no keeper runs",
               test_sent_until_received);
  CU_add_test (s, "a new leader is not certain", test_new_leader_not_certain);
  CU_add_test (s, "an entry that another keeper hears",
               test_entry_of_other_keeper);
  CU_add_test (s, "an entry restarted, and one gone for good",
               test_entry_restarted);
}
