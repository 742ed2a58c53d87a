/* Who votes: which keepers the plan has replaced, and how soon.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/quorum_plan.h"
#include "tests/unit/quorum_model.h"
#include "tests/unit/suites.h"

enum
{
  CATCH_UP_MS = 4000,

  /* The day on which a quorum was lost: one keeper gone for good, an empty
     successor a second later, heard by the leader soon after.  */
  GONE_MS = 4000,
  SUCCESSOR_START_MS = 5000,
  SUCCESSOR_HEARD_MS = 5600,

  STEP_MS = 20,
  COMMIT_MS = 150,
  ELECTION_MS = 700,
  GIVE_UP_MS = 5 * CATCH_UP_MS
};

static void
set_member (struct quorum_member *m, const char *address, const char *domain,
            uint64_t disk, bool voter, int64_t heard_ms)
{
  memset (m, 0, sizeof *m);
  snprintf (m->address, sizeof m->address, "%s", address);
  snprintf (m->domain, sizeof m->domain, "%s", domain);
  m->disk_id = disk;
  m->voter = voter;
  m->last_seen_ms = heard_ms;
}

/* What the leader, the first of COUNT, that has listened all the time decides
   so that LOST may be lost at once.  */
static struct quorum_change
decide (const struct quorum_member *m, uint32_t count, uint32_t lost,
        int64_t now)
{
  struct quorum_goal goal = quorum_plan_goal (lost, CATCH_UP_MS);

  return quorum_plan_decide (m, count, 0, &goal, 0, now);
}

/* Four keepers, three of which vote: the fourth takes a dead one's place, in
   two steps; one that comes back with an empty disk takes its own at once.  */
static void
test_quorum (void)
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

/* Five voters are wanted, spread over the domains.  */
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

/* When the successor of a keeper that is gone votes in its place, with nobody
   to decide from ELECTION_AT_MS on for as long as an election takes.  */
static int64_t
replaced_at_ms (int64_t election_at_ms)
{
  struct quorum_member m[4];
  int64_t busy_until = 0;
  int64_t now = 0;

  set_member (&m[0], "a", "shop", 1, true, 0);
  set_member (&m[1], "b", "oven", 1, true, 0);
  set_member (&m[2], "c", "hall", 1, true, 0);
  set_member (&m[3], "d", "oven", 9, false, 0);
  while ((m[1].voter || !m[3].voter) && now < GIVE_UP_MS)
    {
      struct quorum_change c = { QUORUM_UNCHANGED, 0, 0 };

      now += STEP_MS;
      m[0].last_seen_ms = now;
      m[2].last_seen_ms = now;
      if (now < GONE_MS)
        m[1].last_seen_ms = now;
      if (now >= SUCCESSOR_HEARD_MS)
        m[3].last_seen_ms = now;
      if (now >= busy_until
          && (now < election_at_ms || now >= election_at_ms + ELECTION_MS))
        c = decide (m, 4, 1, now);
      if (c.kind == QUORUM_UNCHANGED)
        continue;
      apply_change (m, &c);
      busy_until = now + COMMIT_MS;
    }
  return busy_until;
}

/* A keeper that is gone for good counts as lost until its successor has had
   CATCH_UP_MS: a second loss may come right then, whatever the leader's luck
   was meanwhile.  */
static void
test_replaced_in_time (void)
{
  CU_ASSERT (replaced_at_ms (0) < SUCCESSOR_START_MS + CATCH_UP_MS);
  for (int64_t at = GONE_MS; at < SUCCESSOR_START_MS + CATCH_UP_MS;
       at += STEP_MS)
    CU_ASSERT (replaced_at_ms (at) < SUCCESSOR_START_MS + CATCH_UP_MS);
}

/* A leader that has just begun to listen, or stood still itself, does not take
   those that it has not heard for dead.  */
static void
test_deaf_leader (void)
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

/* The sizes of the users' deployments: keepers, and losses at once.  */
static const uint32_t sizes[][2] = { { 3, 1 }, { 4, 1 }, { 6, 2 }, { 8, 2 } };

enum
{
  SIZES = sizeof sizes / sizeof sizes[0],

  /* Seeds in which a defect must show.  */
  DEFECT_SEEDS = 200
};

/* MODEL_SEEDS in the environment has more seeds than those of CI.  */
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
        struct quorum_run r
            = quorum_model_run (seed, sizes[i][0], sizes[i][1], QUORUM_SOUND);

        steps += r.steps;
        changes += r.changes;
        if (r.violated != NULL)
          printf ("seed %llu, %u keepers: %s\n", (unsigned long long)seed,
                  sizes[i][0], r.violated);
        CU_ASSERT_PTR_NULL (r.violated);
        CU_ASSERT (r.writes > 20);
        CU_ASSERT (r.reads > 20);
        CU_ASSERT (r.faults > 5);
      }
  CU_ASSERT (changes > 0);
  if (getenv ("MODEL_SEEDS") != NULL)
    printf ("%llu steps, %u changes of the quorum ", (unsigned long long)steps,
            changes);
}

/* Each mechanism that is switched off is found.  */
static void
test_model_finds (void)
{
  for (int defect = QUORUM_SOUND + 1; defect < QUORUM_DEFECTS; defect++)
    {
      const char *violated = NULL;
      uint64_t seed;

      for (seed = 1; seed <= DEFECT_SEEDS && violated == NULL; seed++)
        violated = quorum_model_run (seed, sizes[seed % SIZES][0],
                                     sizes[seed % SIZES][1],
                                     (enum quorum_defect)defect)
                       .violated;
      if (violated == NULL)
        printf ("defect %d is not found\n", defect);
      else if (getenv ("MODEL_SEEDS") != NULL)
        printf ("\n  defect %d, seed %llu: %s", defect,
                (unsigned long long)seed - 1, violated);
      CU_ASSERT_PTR_NOT_NULL (violated);
    }
}

void
suite_quorum (void)
{
  CU_pSuite s = CU_add_suite ("quorum", NULL, NULL);

  CU_add_test (s, "a dead or wiped voter is replaced", test_quorum);
  CU_add_test (s, "the quorum grows over domains", test_quorum_grows);
  CU_add_test (s, "a voter is replaced before the next loss",
               test_replaced_in_time);
  CU_add_test (s, "a leader that did not listen replaces nobody",
               test_deaf_leader);
  CU_add_test (s, "keepers through the losses that are allowed", test_model);
  CU_add_test (s, "the model finds each defect", test_model_finds);
}
