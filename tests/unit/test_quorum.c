/* The quorum plan: which voters it adds, removes or replaces, and how soon;
   and the simulation of keepers (quorum_model).  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/quorum_plan.h"
#include "tests/unit/quorum_model.h"
#include "tests/unit/suites.h"

enum
{
  CATCH_UP_MS = 4000,

  /* The times of a fault by which a quorum has been lost: a keeper is lost for
     good, a successor with an empty disk starts a second later, and the leader
     receives the successor's first heartbeat soon after.  */
  LOST_MS = 4000,
  SUCCESSOR_START_MS = 5000,
  SUCCESSOR_SEEN_MS = 5600,

  STEP_MS = 20,
  COMMIT_MS = 150,
  ELECTION_MS = 700,
  REPLACE_LIMIT_MS = 5 * CATCH_UP_MS
};

static void
set_member (struct quorum_member *m, const char *address, const char *domain,
            uint64_t disk, bool voter, int64_t last_seen_ms)
{
  memset (m, 0, sizeof *m);
  snprintf (m->address, sizeof m->address, "%s", address);
  snprintf (m->domain, sizeof m->domain, "%s", domain);
  m->disk_id = disk;
  m->voter = voter;
  m->last_seen_ms = last_seen_ms;
}

/* The decision of the leader, which is the first of the COUNT members and has
   received heartbeats since time 0, where LOST keepers may be lost at once. */
static struct quorum_change
decide (const struct quorum_member *m, uint32_t count, uint32_t lost,
        int64_t now)
{
  struct quorum_goal goal = quorum_plan_goal (lost, CATCH_UP_MS);

  return quorum_plan_decide (m, count, 0, &goal, 0, now);
}

/* Four keepers, of which three vote.  The fourth replaces a dead voter in two
   changes, an addition and a removal.  A voter that returns with an empty disk
   is a new member, which replaces the old one in one change.  */
static void
test_replace_voter (void)
{
  struct quorum_member m[5];
  struct quorum_change c;

  set_member (&m[0], "a", "shop", 1, true, 20000);
  set_member (&m[1], "b", "oven", 1, true, 20000);
  set_member (&m[2], "c", "hall", 1, true, 20000);
  set_member (&m[3], "d", "yard", 9, false, 20000);
  c = decide (m, 4, 1, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_UNCHANGED);
  m[1].last_seen_ms = 20000 - CATCH_UP_MS / 4;
  c = decide (m, 4, 1, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_UNCHANGED);
  m[1].last_seen_ms = 20000 - CATCH_UP_MS;
  c = decide (m, 4, 1, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_ADD);
  CU_ASSERT_EQUAL (c.in, 3);
  m[3].voter = true;
  c = decide (m, 4, 1, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_REMOVE);
  CU_ASSERT_EQUAL (c.out, 1);
  m[3].voter = false;
  set_member (&m[4], "b", "oven", 7, false, 19900);
  c = decide (m, 5, 1, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_REPLACE);
  CU_ASSERT_EQUAL (c.in, 4);
  CU_ASSERT_EQUAL (c.out, 1);
}

/* Five voters are needed to survive two losses: the next voter comes from a
   domain that has none yet.  */
static void
test_quorum_grows (void)
{
  struct quorum_member m[6];
  struct quorum_change c;

  set_member (&m[0], "a", "shop", 1, true, 100);
  set_member (&m[1], "b", "oven", 1, true, 100);
  set_member (&m[2], "c", "hall", 1, true, 100);
  set_member (&m[3], "d", "shop", 4, false, 100);
  set_member (&m[4], "e", "yard", 5, false, 100);
  c = decide (m, 5, 2, 100);
  CU_ASSERT_EQUAL (c.kind, QUORUM_ADD);
  CU_ASSERT_EQUAL (c.in, 4);
}

/* Applies C to the members M.  */
static void
apply_change (struct quorum_member *m, const struct quorum_change *c)
{
  if (c->kind == QUORUM_ADD || c->kind == QUORUM_REPLACE)
    m[c->in].voter = true;
  if (c->kind == QUORUM_REMOVE || c->kind == QUORUM_REPLACE)
    m[c->out].voter = false;
}

/* Returns when the last change is committed that gives the vote of a lost
   keeper to its successor.  An election at ELECTION_AT_MS leaves the keepers
   without a leader for ELECTION_MS.  */
static int64_t
replaced_at_ms (int64_t election_at_ms)
{
  struct quorum_member m[4];
  int64_t committed_ms = 0;
  int64_t now = 0;

  set_member (&m[0], "a", "shop", 1, true, 0);
  set_member (&m[1], "b", "oven", 1, true, 0);
  set_member (&m[2], "c", "hall", 1, true, 0);
  set_member (&m[3], "d", "oven", 9, false, 0);
  while ((m[1].voter || !m[3].voter) && now < REPLACE_LIMIT_MS)
    {
      struct quorum_change c = { QUORUM_UNCHANGED, 0, 0 };

      now += STEP_MS;
      m[0].last_seen_ms = now;
      m[2].last_seen_ms = now;
      if (now < LOST_MS)
        m[1].last_seen_ms = now;
      if (now >= SUCCESSOR_SEEN_MS)
        m[3].last_seen_ms = now;
      if (now >= committed_ms
          && (now < election_at_ms || now >= election_at_ms + ELECTION_MS))
        c = decide (m, 4, 1, now);
      if (c.kind == QUORUM_UNCHANGED)
        continue;
      apply_change (m, &c);
      committed_ms = now + COMMIT_MS;
    }
  return committed_ms;
}

/* A keeper that is lost for good counts as lost until CATCH_UP_MS after its
   successor has started, and a second loss may follow right then.  The
   replacement must be over by that time, even if the leader changes in the
   meantime.  */
static void
test_replaced_in_time (void)
{
  CU_ASSERT (replaced_at_ms (0) < SUCCESSOR_START_MS + CATCH_UP_MS);
  for (int64_t at = LOST_MS; at < SUCCESSOR_START_MS + CATCH_UP_MS;
       at += STEP_MS)
    CU_ASSERT (replaced_at_ms (at) < SUCCESSOR_START_MS + CATCH_UP_MS);
}

/* A leader that has received heartbeats only for a short time, since it was
   just elected or was frozen, must not count a voter as dead because it has
   received none from it.  */
static void
test_leader_just_listening (void)
{
  struct quorum_goal goal = quorum_plan_goal (1, CATCH_UP_MS);
  struct quorum_member m[4];
  struct quorum_change c;

  set_member (&m[0], "a", "shop", 1, true, 20000);
  set_member (&m[1], "b", "oven", 1, true, 0);
  set_member (&m[2], "c", "hall", 1, true, 20000);
  set_member (&m[3], "d", "yard", 9, false, 20000);
  c = quorum_plan_decide (m, 4, 0, &goal, 19500, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_UNCHANGED);
  c = quorum_plan_decide (m, 4, 0, &goal, 20000 - CATCH_UP_MS, 20000);
  CU_ASSERT_EQUAL (c.kind, QUORUM_ADD);
}

/* Deployment sizes that users run: keepers, and losses allowed at once.  */
static const uint32_t sizes[][2] = { { 3, 1 }, { 4, 1 }, { 6, 2 }, { 8, 2 } };

enum
{
  SIZES = sizeof sizes / sizeof sizes[0],

  /* Each defect must be found within this many seeds.  */
  DEFECT_SEEDS = 200
};

/* The number of seeds to run: that of CI, unless MODEL_SEEDS is set in the
   environment.  */
static uint64_t
model_seeds (void)
{
  const char *text = getenv ("MODEL_SEEDS");

  return text == NULL ? 12 : strtoull (text, NULL, 10);
}

static void
test_model (void)
{
  uint64_t steps = 0;
  uint32_t changes = 0;

  for (uint64_t seed = 1; seed <= model_seeds (); seed++)
    for (int i = 0; i < SIZES; i++)
      {
        struct quorum_run r = quorum_model_run (seed, sizes[i][0], sizes[i][1],
                                                QUORUM_NO_DEFECT);

        steps += r.steps;
        changes += r.changes;
        if (r.violation != NULL)
          printf ("seed %llu, %u keepers: %s\n", (unsigned long long)seed,
                  sizes[i][0], r.violation);
        CU_ASSERT_PTR_NULL (r.violation);
        CU_ASSERT (r.writes > 20);
        CU_ASSERT (r.reads > 20);
        CU_ASSERT (r.faults > 5);
      }
  CU_ASSERT (changes > 0);
  if (getenv ("MODEL_SEEDS") != NULL)
    printf ("%llu steps, %u changes of the quorum ", (unsigned long long)steps,
            changes);
}

static void
test_full_disks (void)
{
  uint32_t changes = 0;

  for (uint64_t seed = 1; seed <= model_seeds (); seed++)
    for (int i = 0; i < SIZES; i++)
      {
        struct quorum_run r = quorum_model_run_full_disks (
            seed, sizes[i][0], sizes[i][1], QUORUM_NO_DEFECT);

        changes += r.changes;
        if (r.violation != NULL)
          printf ("seed %llu, %u keepers: %s\n", (unsigned long long)seed,
                  sizes[i][0], r.violation);
        CU_ASSERT_PTR_NULL (r.violation);
        CU_ASSERT (r.writes > 200);
        CU_ASSERT (r.faults > 5);
      }
  if (getenv ("MODEL_SEEDS") != NULL)
    printf ("%u changes of the quorum ", changes);
}

/* Keepers that stay stopped after a failed write end in no quorum.  */
static void
test_full_disks_find_defect (void)
{
  for (int i = 0; i < SIZES; i++)
    {
      const char *violation = NULL;

      for (uint64_t seed = 1; seed <= DEFECT_SEEDS && violation == NULL;
           seed++)
        violation = quorum_model_run_full_disks (
                        seed, sizes[i][0], sizes[i][1], QUORUM_NOT_REOPENED)
                        .violation;
      CU_ASSERT_PTR_NOT_NULL (violation);
    }
}

/* For each mechanism that is switched off, a check of the simulation fails. */
static void
test_model_finds_defects (void)
{
  for (int defect = QUORUM_NO_DEFECT + 1; defect < QUORUM_DEFECTS; defect++)
    {
      const char *violation = NULL;
      uint64_t seed;

      for (seed = 1; seed <= DEFECT_SEEDS && violation == NULL; seed++)
        violation = quorum_model_run (seed, sizes[seed % SIZES][0],
                                      sizes[seed % SIZES][1],
                                      (enum quorum_defect)defect)
                        .violation;
      if (violation == NULL)
        printf ("defect %d is not found\n", defect);
      else if (getenv ("MODEL_SEEDS") != NULL)
        printf ("\n  defect %d, seed %llu: %s", defect,
                (unsigned long long)seed - 1, violation);
      CU_ASSERT_PTR_NOT_NULL (violation);
    }
}

void
suite_quorum (void)
{
  CU_pSuite s = CU_add_suite ("quorum", NULL, NULL);

  CU_add_test (s, "a dead or wiped voter is replaced", test_replace_voter);
  CU_add_test (s, "a voter is added from a domain without one",
               test_quorum_grows);
  CU_add_test (s, "a voter is replaced before the next loss",
               test_replaced_in_time);
  CU_add_test (s, "a leader that has just begun to listen replaces no voter",
               test_leader_just_listening);
  CU_add_test (s, "simulated keepers survive the losses that are allowed",
               test_model);
  CU_add_test (s, "changes are refused after disks were full in turn",
               test_full_disks);
  CU_add_test (s, "a keeper stays stopped after a failed write",
               test_full_disks_find_defect);
  CU_add_test (s, "the simulation finds each defect",
               test_model_finds_defects);
}
