/* How the keepers and the view of the entries grow with a deployment: who
   speaks to whom, what the log holds, which dispatchers an entry knows.  */
#include <stdio.h>
#include <string.h>
#include "base/now.h"
#include "controller/quorum_members.h"
#include "coord/dispatcher_subset.h"
#include "tests/unit/deployment.h"
#include "tests/unit/suites.h"

enum
{
  SPARE = KEEPERS - 1, /* is no seed and does not vote */
  MANY_ENTRIES = 300,
  MANY_DOMAINS = 3,
  MANY_DISPATCHERS = 120
};

static void
run_until_known (struct deployment *d, const struct quorum_keeper *at,
                 const char *old)
{
  int64_t end = now_ms () + WAIT_MS;
  const char *known = NULL;

  while ((known == NULL || (old != NULL && strcmp (known, old) == 0))
         && now_ms () < end)
    {
      deployment_run_step (d);
      known = quorum_keeper_leader_address (at);
    }
  CU_ASSERT_PTR_NOT_NULL (known);
}

/* A keeper that does not vote learns the leader through its only seed, and a
   new one after that; it speaks to the core alone, and the core replies.  */
static void
test_spare_finds_leader (void)
{
  struct deployment d;
  char old[64];
  int other = 0;
  int led = 0;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_run_until_led (&d);
  while (d.keepers[other] == deployment_leader (&d))
    other++;
  d.keeper_settings[SPARE].seed_count = 1;
  memcpy (d.keeper_settings[SPARE].seeds[0].address,
          d.keeper_settings[other].peer.address, ADDRESS_BYTES);
  deployment_start_keeper (&d, SPARE);
  run_until_known (&d, d.keepers[SPARE], NULL);
  CU_ASSERT_EQUAL (d.keepers[SPARE]->reported_voter_count, SEEDS);
  snprintf (old, sizeof old, "%s",
            quorum_keeper_leader_address (d.keepers[SPARE]));
  /* Whoever leads by now: on a busy machine leaders change.  */
  while (strncmp (old, d.keeper_settings[led].control.address,
                  strlen (d.keeper_settings[led].control.address))
         != 0)
    led++;
  deployment_stop_keeper (&d, led);
  run_until_known (&d, d.keepers[SPARE], old);
  CU_ASSERT_STRING_NOT_EQUAL (quorum_keeper_leader_address (d.keepers[SPARE]),
                              old);
  deployment_done (&d);
}

/* What the log tells of the targets grows by what has changed, and the form
   that earlier versions wrote is still read.  */
static void
test_targets_logged_by_change (void)
{
  struct deployment d;
  struct quorum_keeper *k;
  int64_t end = now_ms () + WAIT_MS;
  uint64_t index;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  d.targets_silent = true;
  deployment_run_until_led (&d);
  k = deployment_leader (&d);
  /* What it finds in the log as it begins to lead it takes for present.  */
  while (!k->targets_restored && now_ms () < end)
    deployment_run_step (&d);
  quorum_keeper_propose (k,
                         json_pack ("{s:s s:[{s:s s:s} {s:s s:s}]}", "type",
                                    "targets", "list", "id", "old", "address",
                                    "127.0.0.1:1", "id", "t0", "address",
                                    "127.0.0.1:9"),
                         now_ms (), &index);
  while (json_object_size (k->applied_targets) != 2 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (json_object_size (k->applied_targets), 2);
  d.targets_silent = false;
  while (json_object_size (k->applied_targets) != TARGETS && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (json_object_size (k->applied_targets), TARGETS);
  CU_ASSERT_PTR_NULL (json_object_get (k->applied_targets, "old"));
  CU_ASSERT_PTR_NOT_NULL (json_object_get (k->applied_targets, "t3"));
  deployment_done (&d);
}

/* An entry that owns nothing but has lived for long does not pass for one that
   has just started: a leader that hears it alone must wait for the owners.  */
static void
test_old_entries_are_not_fresh (void)
{
  struct deployment d;
  const struct owner_plan *p;
  int64_t end = now_ms () + WAIT_MS;
  int led = 0;

  deployment_init (&d);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (&d, i);
  deployment_run_until_owned (&d);
  while (d.keepers[led] != deployment_leader (&d))
    led++;
  deployment_stop_keeper (&d, led);
  deployment_run_until_led (&d);
  p = &deployment_leader (&d)->plan;
  while (p->entry_count != ENTRIES && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (p->entry_count, ENTRIES);
  for (uint32_t i = 0; i < p->entry_count; i++)
    CU_ASSERT_FALSE (p->entries[i]->unassigned);
  deployment_done (&d);
}

/* 300 entries of three domains, 120 of them dispatchers: each entry knows few,
   its own domain's first, and each dispatcher is known to enough.  */
static void
test_choice_is_bounded (void)
{
  struct owner_plan p;
  uint32_t known[MANY_ENTRIES] = { 0 };
  uint32_t least = MANY_ENTRIES;

  owner_plan_init (&p);
  owner_plan_start_term (&p, 1, 0);
  for (int i = 0; i < MANY_ENTRIES; i++)
    {
      char vm[NAME_BYTES];
      char domain[NAME_BYTES];

      snprintf (vm, sizeof vm, "10.0.%d.%d", i / 100, i % 100);
      snprintf (domain, sizeof domain, "d%d", i % MANY_DOMAINS);
      owner_plan_update_entry (
          &p, 1,
          &(struct entry_report){ .vm = vm, .domain = domain, .boot_id = 1 })
          ->owned
          = i < MANY_DISPATCHERS;
    }
  for (int i = 0; i < MANY_ENTRIES; i++)
    {
      struct dispatcher_subset c;
      uint32_t near = 0;

      dispatcher_subset_make (&p, p.entries[i], &c);
      CU_ASSERT (c.count <= SUBSET_LIMIT);
      for (uint32_t n = 0; n < c.count; n++)
        {
          int at = 0;

          near += strcmp (c.entries[n]->domain, p.entries[i]->domain) == 0;
          while (p.entries[at] != c.entries[n])
            at++;
          known[at]++;
        }
      CU_ASSERT (near >= SUBSET_LOCAL_LIMIT);
      CU_ASSERT (i >= MANY_DISPATCHERS || c.entries[0] == p.entries[i]);
    }
  for (int i = 0; i < MANY_DISPATCHERS; i++)
    if (known[i] < least)
      least = known[i];
  CU_ASSERT (least > 30);
  owner_plan_done (&p);
}

/* With few dispatchers an entry knows them all, and the same set has the same
   digest whatever its order.  */
static void
test_choice_of_few (void)
{
  struct owner_plan p;
  struct dispatcher_subset one;
  struct dispatcher_subset other;

  owner_plan_init (&p);
  owner_plan_start_term (&p, 1, 0);
  for (int i = 0; i < 8; i++)
    {
      char vm[NAME_BYTES];

      snprintf (vm, sizeof vm, "vm%d", i);
      owner_plan_update_entry (
          &p, 1,
          &(struct entry_report){
              .vm = vm, .domain = i % 2 == 0 ? "a" : "b", .boot_id = 1 })
          ->owned
          = 1;
    }
  dispatcher_subset_make (&p, p.entries[0], &one);
  dispatcher_subset_make (&p, p.entries[5], &other);
  CU_ASSERT_EQUAL (one.count, 8);
  CU_ASSERT_EQUAL (one.digest, other.digest);
  p.entries[3]->owned = 0;
  dispatcher_subset_make (&p, p.entries[0], &other);
  CU_ASSERT_NOT_EQUAL (one.digest, other.digest);
  owner_plan_done (&p);
}

void
suite_keepers (void)
{
  CU_pSuite s = CU_add_suite ("keepers", NULL, NULL);

  CU_add_test (s, "old entries are not fresh", test_old_entries_are_not_fresh);
  CU_add_test (s, "a spare keeper finds the leader", test_spare_finds_leader);
  CU_add_test (s, "targets are logged by change",
               test_targets_logged_by_change);
  CU_add_test (s, "an entry knows few dispatchers", test_choice_is_bounded);
  CU_add_test (s, "an entry knows all of few", test_choice_of_few);
}
