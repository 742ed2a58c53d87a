/* The lease of a job: from which stamp it counts, what limits it, and what a
   target may be asked for under it.  */
#include <string.h>
#include "coord/job_lease.h"
#include "coord/run_job.h"
#include "coord/target_clock.h"
#include "coord/target_lease.h"
#include "tests/unit/suites.h"

enum
{
  NOW = 10000,
  LIMIT_MS = 1200,
  TARGET_LEASE_LIMIT_MS = 800,
  FAR_MS = 60000
};

/* A caller may have left before a stamp was received: the stamp counts once
   the callers were found connected after it.  */
static void
test_unconfirmed_stamp (void)
{
  struct lease_echo e = { { 0, 0 }, { 0, 0 } };

  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW + FAR_MS), 0);
  CU_ASSERT_EQUAL (job_lease_pass_on_ms (&e, NOW + FAR_MS), 0);
  lease_echo_receive (&e, 500, NOW);
  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW + FAR_MS), 0);
  lease_echo_confirm (&e);
  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW + FAR_MS), LIMIT_MS);
  lease_echo_receive (&e, 600, NOW + 90);
  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW + FAR_MS),
                   LIMIT_MS - 100);
  lease_echo_receive (&e, 550, NOW + 95);
  CU_ASSERT_EQUAL (e.latest.sent_ms, 600);
}

/* No lease outlasts the caller's patience by more than the time in which its
   runs are stopped; one that is over is not granted.  */
static void
test_deadline (void)
{
  const struct lease_stamp stamp = { 500, NOW };
  const struct lease_echo e = { stamp, stamp };

  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW + 200),
                   200 + JOB_LEASE_STOP_MS);
  CU_ASSERT_EQUAL (job_lease_grant_ms (&e, LIMIT_MS, NOW - FAR_MS), 0);
}

/* A delegate's lease never ends after that of the job.  */
static void
test_pass_on (void)
{
  const struct lease_stamp stamp = { 500, NOW };
  const struct lease_echo e = { stamp, stamp };

  CU_ASSERT_EQUAL (job_lease_pass_on_ms (&e, NOW + 700), 700);
  CU_ASSERT_EQUAL (job_lease_pass_on_ms (&e, NOW - 1), 0);
}

/* A receiver counts only from stamps that it can have sent.  */
static void
test_end (void)
{
  CU_ASSERT_EQUAL (job_lease_end_ms (NOW - 50, 800, NOW), NOW + 750);
  CU_ASSERT_EQUAL (job_lease_end_ms (0, 800, NOW), 0);
  CU_ASSERT_EQUAL (job_lease_end_ms (NOW + 1, 800, NOW), 0);
  CU_ASSERT_EQUAL (job_lease_end_ms (NOW - 50, -1, NOW), 0);
  CU_ASSERT_EQUAL (job_lease_end_ms (NOW - 50, INT64_MAX, NOW), 0);
  CU_ASSERT_TRUE (job_lease_is_ending (NOW + JOB_LEASE_STOP_MS - 1, NOW));
  CU_ASSERT_FALSE (job_lease_is_ending (NOW + JOB_LEASE_STOP_MS, NOW));
}

/* A target's lease ends with the first job lease there, and a job is not
   started under a lease that is longer than its own.  */
static void
test_target_lease (void)
{
  struct run_job one = { .lease_end_ms = NOW + 1000 };
  struct run_job other = { .lease_end_ms = NOW + 500 };
  struct run_target t;

  memset (&t, 0, sizeof t);
  CU_ASSERT_EQUAL (target_lease_limit_ms (&t, TARGET_LEASE_LIMIT_MS, NOW),
                   NOW + TARGET_LEASE_LIMIT_MS);
  t.runs[t.run_count++].job = &one;
  CU_ASSERT_EQUAL (target_lease_limit_ms (&t, TARGET_LEASE_LIMIT_MS, NOW),
                   NOW + TARGET_LEASE_LIMIT_MS);
  target_lease_requested (&t, NOW + TARGET_LEASE_LIMIT_MS);
  CU_ASSERT_TRUE (target_lease_admits (&t, NOW + TARGET_LEASE_LIMIT_MS, NOW));
  CU_ASSERT_FALSE (
      target_lease_admits (&t, NOW + TARGET_LEASE_LIMIT_MS - 1, NOW));
  t.runs[t.run_count++].job = &other;
  CU_ASSERT_EQUAL (target_lease_limit_ms (&t, TARGET_LEASE_LIMIT_MS, NOW),
                   NOW + 500);
  other.lease_end_ms = NOW + JOB_LEASE_STOP_MS - 1;
  CU_ASSERT_FALSE (target_lease_admits (&t, NOW + TARGET_LEASE_LIMIT_MS, NOW));
  target_lease_requested (&t, NOW + 100);
  CU_ASSERT_EQUAL (t.lease_end_ms, NOW + TARGET_LEASE_LIMIT_MS);
}

/* A task is not started shortly before the end of its job's lease.  */
static void
test_short_lease (void)
{
  struct run_target t;

  memset (&t, 0, sizeof t);
  CU_ASSERT_TRUE (target_lease_admits (&t, NOW + JOB_LEASE_START_MS, NOW));
  CU_ASSERT_FALSE (
      target_lease_admits (&t, NOW + JOB_LEASE_START_MS - 1, NOW));
}

/* A clock that is too low for the time of the call shows that the target has
   restarted; one in an answer that was overtaken, or of a slow clock, does
   not.  */
static void
test_reset_clock (void)
{
  struct target_clock c = { false, 0, 0 };

  CU_ASSERT_FALSE (target_clock_was_reset (&c, 0, NOW));
  target_clock_observe (&c, 5000, NOW);
  CU_ASSERT_TRUE (target_clock_was_reset (&c, 10, NOW + 100));
  CU_ASSERT_TRUE (target_clock_was_reset (&c, 4990, NOW));
  CU_ASSERT_FALSE (target_clock_was_reset (&c, 4500, NOW - 500));
  CU_ASSERT_FALSE (target_clock_was_reset (&c, 5980, NOW + 1000));
  CU_ASSERT_FALSE (target_clock_was_reset (&c, 90000, NOW));
}

void
suite_job_lease (void)
{
  CU_pSuite s = CU_add_suite ("job lease", NULL, NULL);

  CU_add_test (s, "a lease for callers counts from a confirmed stamp",
               test_unconfirmed_stamp);
  CU_add_test (s, "a lease ends with the caller's deadline", test_deadline);
  CU_add_test (s, "a delegate's lease ends with the job's", test_pass_on);
  CU_add_test (s, "a lease counts from a stamp that was sent", test_end);
  CU_add_test (s, "a target's lease ends with the first job lease",
               test_target_lease);
  CU_add_test (s, "no start shortly before the end of a lease",
               test_short_lease);
  CU_add_test (s, "a target's clock shows that it has restarted",
               test_reset_clock);
}
