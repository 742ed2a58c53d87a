/* What the leading keeper decides: who owns which target.  */
#include <stdio.h>
#include <string.h>
#include "coord/owner_plan.h"
#include "tests/unit/suites.h"

enum
{
  TERM = 3,
  SETTLED_MS = 5000,
  HEARTBEAT_MS = 1500,
  BEAT_MS = 300
};

static struct run_target_spec
make_target (const char *id, const char *domain)
{
  struct run_target_spec t;

  memset (&t, 0, sizeof t);
  snprintf (t.id, sizeof t.id, "%s", id);
  snprintf (t.address, sizeof t.address, "10.0.0.1:1");
  snprintf (t.service, sizeof t.service, "svc");
  snprintf (t.domain, sizeof t.domain, "%s", domain);
  t.started_ms = 1;
  t.cpu_milli = 1000;
  return t;
}

static struct plan_entry *
hear_entry (struct owner_plan *p, int64_t now, const char *vm,
            const char *domain)
{
  struct plan_entry *e = owner_plan_update_entry (
      p, now,
      &(struct entry_report){ .vm = vm, .domain = domain, .boot_id = 1 });

  e->reported = true;
  return e;
}

static const char *
owner_of (const struct owner_plan *p, const char *id)
{
  for (uint32_t i = 0; i < p->target_count; i++)
    if (strcmp (p->targets[i]->spec.id, id) == 0)
      return p->targets[i]->owner;
  return "none";
}

static uint64_t
fence_of (const struct owner_plan *p, const char *id)
{
  for (uint32_t i = 0; i < p->target_count; i++)
    if (strcmp (p->targets[i]->spec.id, id) == 0)
      return p->targets[i]->fencing_token;
  return 0;
}

/* Hears all entries of the two domains and the targets in VISIBLE domains from
   FROM to TO, as they would speak.  */
static void
live (struct owner_plan *p, int64_t from, int64_t to, bool oven_visible)
{
  struct run_target_spec shop = make_target ("s1", "shop");
  struct run_target_spec oven = make_target ("o1", "oven");

  for (int64_t now = from; now < to; now += BEAT_MS)
    {
      hear_entry (p, now, "shop-1", "shop");
      hear_entry (p, now, "shop-2", "shop");
      if (oven_visible)
        hear_entry (p, now, "oven-1", "oven");
      if ((now - from) % HEARTBEAT_MS == 0)
        {
          owner_plan_update_target (p, now, &shop);
          if (oven_visible)
            owner_plan_update_target (p, now, &oven);
        }
      owner_plan_step (p, now);
    }
}

static void
start (struct owner_plan *p)
{
  owner_plan_init (p);
  owner_plan_start_term (p, TERM, 1000);
  live (p, 1000, 1000 + SETTLED_MS, true);
}

static void
test_home_domain (void)
{
  struct owner_plan p;

  start (&p);
  CU_ASSERT_NSTRING_EQUAL (owner_of (&p, "s1"), "shop-", 5);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT (fence_of (&p, "o1") != fence_of (&p, "s1"));
  CU_ASSERT (fence_of (&p, "o1") >> 20 == TERM);
  owner_plan_done (&p);
}

/* A new leader gives out nothing before the entries have told what they own;
   what they tell stays theirs with its fence.  */
static void
test_reports_first (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, 1000);
  hear_entry (&p, 1000, "shop-1", "shop");
  owner_plan_update_target (&p, 1100, &s1);
  owner_plan_step (&p, 1200);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), "");
  owner_plan_update_owned (&p, 1300, hear_entry (&p, 1300, "shop-2", "shop"),
                           &s1, 77, OWNED_HELD);
  hear_entry (&p, 1000 + SETTLED_MS, "shop-1", "shop");
  hear_entry (&p, 1000 + SETTLED_MS, "shop-2", "shop");
  owner_plan_step (&p, 1000 + SETTLED_MS);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), "shop-2");
  CU_ASSERT_EQUAL (fence_of (&p, "s1"), 77);
  owner_plan_done (&p);
}

/* An entry that dies loses its targets to another one with a higher fence.  */
static void
test_dead_entry (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  char first[NAME_BYTES];
  const char *other;
  uint64_t fencing_token;
  int64_t now = 1000 + SETTLED_MS;

  start (&p);
  snprintf (first, sizeof first, "%s", owner_of (&p, "s1"));
  fencing_token = fence_of (&p, "s1");
  other = strcmp (first, "shop-1") == 0 ? "shop-2" : "shop-1";
  for (int64_t end = now + 2000; now < end; now += BEAT_MS)
    {
      hear_entry (&p, now, other, "shop");
      owner_plan_update_target (&p, now, &s1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), other);
  CU_ASSERT (fence_of (&p, "s1") > fencing_token);
  owner_plan_done (&p);
}

/* A failure domain that was cut off keeps its targets: during the cut neither
   they nor their owner are heard, and after it the targets may be heard
   first.  */
static void
test_healed_cut (void)
{
  struct run_target_spec o1 = make_target ("o1", "oven");
  struct owner_plan p;
  uint64_t fencing_token;
  int64_t now = 1000 + SETTLED_MS;

  start (&p);
  fencing_token = fence_of (&p, "o1");
  live (&p, now, now + 6000, false);
  now += 6000;
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_update_target (&p, now, &o1);
  owner_plan_step (&p, now);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  live (&p, now + 300, now + 5000, true);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fence_of (&p, "o1"), fencing_token);
  owner_plan_done (&p);
}

/* A target of a domain without an entry goes to another domain, and comes home
   by way of a release once an entry lives there again.  */
static void
test_foreign_and_back (void)
{
  struct run_target_spec o1 = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t now = 1000;

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, now);
  for (; now < 6000; now += BEAT_MS)
    {
      hear_entry (&p, now, "shop-1", "shop");
      owner_plan_update_target (&p, now, &o1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "shop-1");
  for (int64_t end = now + 4000; now < end; now += BEAT_MS)
    {
      hear_entry (&p, now, "shop-1", "shop");
      hear_entry (&p, now, "oven-1", "oven");
      owner_plan_update_target (&p, now, &o1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "shop-1");
  CU_ASSERT (p.targets[0]->release_requested);
  owner_plan_update_owned (&p, now, hear_entry (&p, now, "shop-1", "shop"),
                           &o1, fence_of (&p, "o1"), OWNED_RELEASED);
  owner_plan_step (&p, now);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_done (&p);
}

/* A new life of a target under its old name is given out anew.  */
static void
test_reborn_target (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  uint64_t fencing_token;

  start (&p);
  fencing_token = fence_of (&p, "s1");
  s1.started_ms = 2;
  CU_ASSERT (owner_plan_update_target (&p, 1000 + SETTLED_MS, &s1));
  owner_plan_step (&p, 1000 + SETTLED_MS);
  CU_ASSERT (fence_of (&p, "s1") > fencing_token);
  s1.started_ms = 1;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, 1100 + SETTLED_MS, &s1));
  owner_plan_done (&p);
}

/* A report that was overtaken by a newer one changes nothing: a target that
   leaves does not come back by a late word of before.  */
static void
test_late_report (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 1000 + SETTLED_MS;

  start (&p);
  s1.sequence = 9;
  s1.draining = true;
  CU_ASSERT (owner_plan_update_target (&p, now, &s1));
  s1.sequence = 8;
  s1.draining = false;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now + 10, &s1));
  s1.sequence = 10;
  CU_ASSERT (owner_plan_update_target (&p, now + 20, &s1));
  owner_plan_done (&p);
}

/* The owner of S1, and how long a new leader takes to give it one, where an
   entry that is FRESH reports at once.  */
static int64_t
first_owner_ms (bool fresh)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 1000;

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, now);
  owner_plan_update_entry (&p, now,
                           &(struct entry_report){ .vm = "shop-1",
                                                   .domain = "shop",
                                                   .boot_id = 1,
                                                   .unassigned = fresh });
  /* It speaks again once it has the first view of this leader.  */
  hear_entry (&p, now, "shop-1", "shop");
  owner_plan_update_target (&p, now, &s1);
  while (strcmp (owner_of (&p, "s1"), "") == 0 && now < 1000 + SETTLED_MS)
    owner_plan_step (&p, ++now);
  owner_plan_done (&p);
  return now - 1000;
}

/* After all was lost nobody has targets to report, and nothing is waited
   for.  */
static void
test_all_fresh (void)
{
  CU_ASSERT (first_owner_ms (true) < 100);
  CU_ASSERT (first_owner_ms (false) >= 200);
}

/* A domain is cut off with its keeper, which acknowledges its targets for a
   moment more.  What that keeper tells after the cut is old news: the targets
   keep their owner until it had time to be heard too.  */
static void
test_healed_cut_with_keeper (void)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t cut = 1000 + SETTLED_MS;
  int64_t healed = cut + SETTLED_MS;
  uint64_t fencing_token;

  start (&p);
  fencing_token = fence_of (&p, "o1");
  live (&p, cut, healed, false);
  owner_plan_refresh_target (&p, cut + 1300, "o1");
  owner_plan_step (&p, healed + 20);
  owner_plan_update_target (&p, healed + 40, &oven);
  owner_plan_step (&p, healed + 60);
  CU_ASSERT_EQUAL (fence_of (&p, "o1"), fencing_token);
  hear_entry (&p, healed + 300, "oven-1", "oven");
  owner_plan_step (&p, healed + 320);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fence_of (&p, "o1"), fencing_token);
  owner_plan_done (&p);
}

/* A new leader that knows the target o1 from the log and does not hear its
   domain.  Returns the time by when it has settled.  */
static int64_t
lead_without_oven (struct owner_plan *p)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  int64_t now = 1000;

  owner_plan_init (p);
  owner_plan_start_term (p, TERM, now);
  owner_plan_restore_target (p, now, &oven);
  live (p, now, now + SETTLED_MS, false);
  return now + SETTLED_MS;
}

/* The leader was in the domain that is cut off, and a new one knows its
   targets from the log alone: they go to no other domain, and after the cut
   not to the first entry that is heard there, but stay with the one that has
   them.  */
static void
test_new_leader_in_a_cut (void)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t now = lead_without_oven (&p);

  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "");
  owner_plan_update_target (&p, now, &oven);
  hear_entry (&p, now + 20, "oven-2", "oven");
  owner_plan_step (&p, now + 40);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "");
  owner_plan_update_owned (&p, now + 250,
                           hear_entry (&p, now + 250, "oven-1", "oven"), &oven,
                           77, OWNED_HELD);
  owner_plan_step (&p, now + 270);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fence_of (&p, "o1"), 77);
  owner_plan_done (&p);
}

/* Where nobody has it, a target of a domain that came back gets an owner once
   the domain's entries had time to report.  */
static void
test_unowned_after_a_cut (void)
{
  struct owner_plan p;
  int64_t now = lead_without_oven (&p);

  live (&p, now, now + SETTLED_MS, true);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_done (&p);
}

void
suite_plan (void)
{
  CU_pSuite s = CU_add_suite ("plan", NULL, NULL);

  CU_add_test (s, "targets are owned in their domain", test_home_domain);
  CU_add_test (s, "a new leader waits for reports", test_reports_first);
  CU_add_test (s, "nothing is waited for after all was lost", test_all_fresh);
  CU_add_test (s, "a dead entry's targets go on", test_dead_entry);
  CU_add_test (s, "a healed cut changes no owner", test_healed_cut);
  CU_add_test (s, "nor does one of a domain with its keeper",
               test_healed_cut_with_keeper);
  CU_add_test (s, "nor one with the leader in it", test_new_leader_in_a_cut);
  CU_add_test (s, "who has no owner after a cut gets one",
               test_unowned_after_a_cut);
  CU_add_test (s, "a foreign owner hands back", test_foreign_and_back);
  CU_add_test (s, "a reborn target is given anew", test_reborn_target);
  CU_add_test (s, "a late report changes nothing", test_late_report);
}
