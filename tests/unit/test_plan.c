/* The owner plan of the keepers' leader: which entry owns which target.  */
#include <stdio.h>
#include <string.h>
#include "coord/owner_plan.h"
#include "tests/unit/suites.h"

enum
{
  TERM = 3,
  SETTLED_MS = 5000, /* by then a new leader has assigned all targets */
  TARGET_HEARTBEAT_MS = 1500,
  ENTRY_HEARTBEAT_MS = 300,
  UNEVEN_ENTRIES = 5
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

/* Delivers a heartbeat of entry VM that has reported all its targets.  */
static struct plan_entry *
report_entry (struct owner_plan *p, int64_t now, const char *vm,
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
fencing_token_of (const struct owner_plan *p, const char *id)
{
  for (uint32_t i = 0; i < p->target_count; i++)
    if (strcmp (p->targets[i]->spec.id, id) == 0)
      return p->targets[i]->fencing_token;
  return 0;
}

/* Delivers the heartbeats of all entries and targets from FROM to TO, those of
   domain oven only if it is reachable, and steps the plan.  */
static void
report_all (struct owner_plan *p, int64_t from, int64_t to,
            bool oven_reachable)
{
  struct run_target_spec shop = make_target ("s1", "shop");
  struct run_target_spec oven = make_target ("o1", "oven");

  for (int64_t now = from; now < to; now += ENTRY_HEARTBEAT_MS)
    {
      report_entry (p, now, "shop-1", "shop");
      report_entry (p, now, "shop-2", "shop");
      if (oven_reachable)
        report_entry (p, now, "oven-1", "oven");
      if ((now - from) % TARGET_HEARTBEAT_MS == 0)
        {
          owner_plan_update_target (p, now, &shop);
          if (oven_reachable)
            owner_plan_update_target (p, now, &oven);
        }
      owner_plan_step (p, now);
    }
}

static void
start_plan (struct owner_plan *p)
{
  owner_plan_init (p);
  owner_plan_start_term (p, TERM, 1000);
  report_all (p, 1000, 1000 + SETTLED_MS, true);
}

static void
test_owner_in_own_domain (void)
{
  struct owner_plan p;

  start_plan (&p);
  CU_ASSERT_NSTRING_EQUAL (owner_of (&p, "s1"), "shop-", 5);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT (fencing_token_of (&p, "o1") != fencing_token_of (&p, "s1"));
  CU_ASSERT (fencing_token_of (&p, "o1") >> 20 == TERM);
  owner_plan_done (&p);
}

/* A new leader assigns no target before the entries have reported which ones
   they own.  A reported target keeps its owner and fencing token.  */
static void
test_new_leader_waits_for_reports (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, 1000);
  report_entry (&p, 1000, "shop-1", "shop");
  owner_plan_update_target (&p, 1100, &s1);
  owner_plan_step (&p, 1200);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), "");
  owner_plan_update_owned (&p, 1300, report_entry (&p, 1300, "shop-2", "shop"),
                           &s1, 77, OWNED_HELD);
  report_entry (&p, 1000 + SETTLED_MS, "shop-1", "shop");
  report_entry (&p, 1000 + SETTLED_MS, "shop-2", "shop");
  owner_plan_step (&p, 1000 + SETTLED_MS);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), "shop-2");
  CU_ASSERT_EQUAL (fencing_token_of (&p, "s1"), 77);
  owner_plan_done (&p);
}

/* The targets of a dead entry are assigned to another one, with a higher
   fencing token.  */
static void
test_dead_entry_loses_targets (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  char first[NAME_BYTES];
  const char *other;
  uint64_t token;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  snprintf (first, sizeof first, "%s", owner_of (&p, "s1"));
  token = fencing_token_of (&p, "s1");
  other = strcmp (first, "shop-1") == 0 ? "shop-2" : "shop-1";
  for (int64_t end = now + 2000; now < end; now += ENTRY_HEARTBEAT_MS)
    {
      report_entry (&p, now, other, "shop");
      owner_plan_update_target (&p, now, &s1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), other);
  CU_ASSERT (fencing_token_of (&p, "s1") > token);
  owner_plan_done (&p);
}

/* A failure domain that was cut off keeps its targets.  During the partition
   the leader receives nothing from the targets or their owner, and after it
   perhaps from the targets first: they must not get another owner then.  */
static void
test_healed_partition (void)
{
  struct run_target_spec o1 = make_target ("o1", "oven");
  struct owner_plan p;
  uint64_t token;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  token = fencing_token_of (&p, "o1");
  report_all (&p, now, now + 6000, false);
  now += 6000;
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_update_target (&p, now, &o1);
  owner_plan_step (&p, now);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  report_all (&p, now + 300, now + 5000, true);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fencing_token_of (&p, "o1"), token);
  owner_plan_done (&p);
}

/* A target whose domain has no entry is assigned to an entry of another
   domain.  Once its own domain has an entry again, the owner is asked to
   release it, and it moves after the release.  */
static void
test_owner_of_other_domain (void)
{
  struct run_target_spec o1 = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t now = 1000;

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, now);
  for (; now < 6000; now += ENTRY_HEARTBEAT_MS)
    {
      report_entry (&p, now, "shop-1", "shop");
      owner_plan_update_target (&p, now, &o1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "shop-1");
  for (int64_t end = now + 4000; now < end; now += ENTRY_HEARTBEAT_MS)
    {
      report_entry (&p, now, "shop-1", "shop");
      report_entry (&p, now, "oven-1", "oven");
      owner_plan_update_target (&p, now, &o1);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "shop-1");
  CU_ASSERT (p.targets[0]->release_requested);
  owner_plan_update_owned (&p, now, report_entry (&p, now, "shop-1", "shop"),
                           &o1, fencing_token_of (&p, "o1"), OWNED_RELEASED);
  owner_plan_step (&p, now);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_done (&p);
}

/* A target that restarts under its old name is a new incarnation: it gets a
   higher fencing token, and heartbeats of the old incarnation are ignored.  */
static void
test_restarted_target (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  uint64_t token;

  start_plan (&p);
  token = fencing_token_of (&p, "s1");
  s1.started_ms = 2;
  CU_ASSERT (owner_plan_update_target (&p, 1000 + SETTLED_MS, &s1));
  owner_plan_step (&p, 1000 + SETTLED_MS);
  CU_ASSERT (fencing_token_of (&p, "s1") > token);
  s1.started_ms = 1;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, 1100 + SETTLED_MS, &s1));
  owner_plan_done (&p);
}

/* A heartbeat that arrives after a newer one is ignored: otherwise one sent
   before a target began to drain would make it ready again.  */
static void
test_stale_heartbeat (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
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

/* A heartbeat that was sent before its target deregistered arrives late: the
   target does not become known again, also not if its owner still reports it.
   A new incarnation is accepted at once.  Guards against starts on a target
   that has drained and left (review case 8).  */
static void
test_heartbeat_after_leave (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  struct plan_entry *e;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  e = report_entry (&p, now, "shop-1", "shop");
  s1.sequence = 9;
  s1.draining = true;
  CU_ASSERT (owner_plan_update_target (&p, now, &s1));
  owner_plan_remove_target (&p, now, "s1");
  s1.sequence = 8;
  s1.draining = false;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now + 10, &s1));
  s1.sequence = 10;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now + 20, &s1));
  CU_ASSERT_FALSE (owner_plan_refresh_target (&p, now + 30, "s1"));
  owner_plan_update_owned (&p, now + 40, e, &s1, 1, OWNED_HELD);
  CU_ASSERT_PTR_NULL (owner_plan_target (&p, "s1"));
  s1.started_ms = 2;
  s1.sequence = 1;
  CU_ASSERT (owner_plan_update_target (&p, now + 50, &s1));
  s1.started_ms = 1;
  s1.sequence = 11;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now + 60, &s1));
  CU_ASSERT_EQUAL (owner_plan_target (&p, "s1")->spec.started_ms, 2);
  owner_plan_done (&p);
}

/* A target that was removed because it was silent is known again with its next
   heartbeat, not with one from before.  */
static void
test_heartbeat_after_expiry (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  s1.sequence = 9;
  s1.draining = true;
  CU_ASSERT (owner_plan_update_target (&p, now, &s1));
  now += 16000;
  owner_plan_step (&p, now);
  CU_ASSERT_PTR_NULL (owner_plan_target (&p, "s1"));
  s1.sequence = 8;
  s1.draining = false;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now, &s1));
  s1.sequence = 9;
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now, &s1));
  s1.sequence = 10;
  CU_ASSERT (owner_plan_update_target (&p, now, &s1));
  owner_plan_done (&p);
}

/* A heartbeat that a new leader received before it had read the log does not
   keep a target that has left, and the memory ends after 60 s.  */
static void
test_departed_restored (void)
{
  struct run_target_spec s1 = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  s1.sequence = 8;
  owner_plan_update_target (&p, now, &s1);
  CU_ASSERT_PTR_NOT_NULL (owner_plan_target (&p, "s1"));
  s1.sequence = 9;
  owner_plan_restore_departed (&p, now, &s1, true);
  CU_ASSERT_PTR_NULL (owner_plan_target (&p, "s1"));
  CU_ASSERT_FALSE (owner_plan_update_target (&p, now + DEPARTED_MS - 1, &s1));
  CU_ASSERT (owner_plan_update_target (&p, now + DEPARTED_MS, &s1));
  owner_plan_done (&p);
}

/* A target that deregisters before a new leader has read the log is not added
   from the log afterwards.  */
static void
test_left_before_restore (void)
{
  struct run_target_spec s2 = make_target ("s2", "shop");
  struct owner_plan p;
  int64_t now = 1000 + SETTLED_MS;

  start_plan (&p);
  owner_plan_restore_departed (&p, now, &s2, true);
  owner_plan_restore_target (&p, now + 10, &s2);
  CU_ASSERT_PTR_NULL (owner_plan_target (&p, "s2"));
  s2.started_ms = 2;
  owner_plan_restore_target (&p, now + 20, &s2);
  CU_ASSERT_PTR_NOT_NULL (owner_plan_target (&p, "s2"));
  owner_plan_done (&p);
}

/* What is remembered of departed targets is bounded.  */
static void
test_departed_bounded (void)
{
  struct run_target_spec t = make_target ("s1", "shop");
  struct departed_targets d;

  departed_targets_init (&d);
  for (int i = 0; i < DEPARTED_LIMIT + 3; i++)
    {
      snprintf (t.id, sizeof t.id, "t%d", i);
      departed_targets_add (&d, i, &t, true);
    }
  CU_ASSERT_EQUAL (HASH_COUNT (d.by_id), DEPARTED_LIMIT);
  CU_ASSERT_EQUAL (d.evicted, 3);
  CU_ASSERT_PTR_NULL (departed_targets_find (&d, "t2"));
  CU_ASSERT_PTR_NOT_NULL (departed_targets_find (&d, "t3"));
  departed_targets_expire (&d, DEPARTED_MS + 3);
  CU_ASSERT_PTR_NULL (departed_targets_find (&d, "t3"));
  CU_ASSERT_PTR_NOT_NULL (departed_targets_find (&d, "t4"));
  departed_targets_done (&d);
}

/* Returns how long a new leader takes to assign a target to the only entry,
   which reports at once.  UNASSIGNED: the entry has had no assignment since
   its start.  */
static int64_t
first_owner_ms (bool unassigned)
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
                                                   .unassigned = unassigned });
  /* The next heartbeat, after the first assignment of this leader.  */
  report_entry (&p, now, "shop-1", "shop");
  owner_plan_update_target (&p, now, &s1);
  while (strcmp (owner_of (&p, "s1"), "") == 0 && now < 1000 + SETTLED_MS)
    owner_plan_step (&p, ++now);
  owner_plan_done (&p);
  return now - 1000;
}

/* After a restart of all entries none has targets to report, so the leader
   assigns targets without waiting for reports.  */
static void
test_all_entries_unassigned (void)
{
  CU_ASSERT (first_owner_ms (true) < 100);
  CU_ASSERT (first_owner_ms (false) >= 200);
}

/* A domain is cut off together with its keeper, which still acknowledges the
   heartbeats of the targets for a short time.  After the partition it reports
   these old heartbeats.  The targets must keep their owner until the owner had
   time to report too.  */
static void
test_healed_partition_with_keeper (void)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t cut_ms = 1000 + SETTLED_MS;
  int64_t healed_ms = cut_ms + SETTLED_MS;
  uint64_t token;

  start_plan (&p);
  token = fencing_token_of (&p, "o1");
  report_all (&p, cut_ms, healed_ms, false);
  owner_plan_refresh_target (&p, cut_ms + 1300, "o1");
  owner_plan_step (&p, healed_ms + 20);
  owner_plan_update_target (&p, healed_ms + 40, &oven);
  owner_plan_step (&p, healed_ms + 60);
  CU_ASSERT_EQUAL (fencing_token_of (&p, "o1"), token);
  report_entry (&p, healed_ms + 300, "oven-1", "oven");
  owner_plan_step (&p, healed_ms + 320);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fencing_token_of (&p, "o1"), token);
  owner_plan_done (&p);
}

/* Starts the plan of a new leader that knows target o1 from the log while o1's
   domain is cut off.  Returns the time when the plan has settled.  */
static int64_t
lead_without_oven (struct owner_plan *p)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  int64_t now = 1000;

  owner_plan_init (p);
  owner_plan_start_term (p, TERM, now);
  owner_plan_restore_target (p, now, &oven);
  report_all (p, now, now + SETTLED_MS, false);
  return now + SETTLED_MS;
}

/* The old leader is in the domain that is cut off, and the new one knows the
   targets there only from the log.  They must not be assigned to another
   domain, nor to the first entry that reports after the partition: they stay
   with the entry that owns them.  */
static void
test_new_leader_during_partition (void)
{
  struct run_target_spec oven = make_target ("o1", "oven");
  struct owner_plan p;
  int64_t now = lead_without_oven (&p);

  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "");
  owner_plan_update_target (&p, now, &oven);
  report_entry (&p, now + 20, "oven-2", "oven");
  owner_plan_step (&p, now + 40);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "");
  owner_plan_update_owned (&p, now + 250,
                           report_entry (&p, now + 250, "oven-1", "oven"),
                           &oven, 77, OWNED_HELD);
  owner_plan_step (&p, now + 270);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  CU_ASSERT_EQUAL (fencing_token_of (&p, "o1"), 77);
  owner_plan_done (&p);
}

/* After the partition a target that no entry owns is assigned once the entries
   of its domain had time to report.  */
static void
test_unowned_after_partition (void)
{
  struct owner_plan p;
  int64_t now = lead_without_oven (&p);

  report_all (&p, now, now + SETTLED_MS, true);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "o1"), "oven-1");
  owner_plan_done (&p);
}

/* A fleet that replaces its VMs brings ever new entries: the plan forgets dead
   ones when it is full, and a new entry still gets targets.  */
static void
test_replaced_entries (void)
{
  struct run_target_spec target = make_target ("s1", "shop");
  struct owner_plan p;
  int64_t now = 0;
  char vm[NAME_BYTES];

  owner_plan_init (&p);
  owner_plan_start_term (&p, TERM, now);
  for (int i = 0; i < PLAN_ENTRY_LIMIT; i++)
    {
      snprintf (vm, sizeof vm, "old-%d", i);
      report_entry (&p, now, vm, "shop");
    }
  owner_plan_step (&p, now);
  CU_ASSERT_PTR_NULL (owner_plan_update_entry (
      &p, now, &(struct entry_report){ .vm = "new", .domain = "shop" }));
  for (now = SETTLED_MS; now < 3 * (int64_t)SETTLED_MS;
       now += ENTRY_HEARTBEAT_MS)
    {
      if (owner_plan_update_entry (
              &p, now, &(struct entry_report){ .vm = "new", .domain = "shop" })
          != NULL)
        owner_plan_entry (&p, "new")->reported = true;
      owner_plan_update_target (&p, now, &target);
      owner_plan_step (&p, now);
    }
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "s1"), "new");
  CU_ASSERT_EQUAL (p.entry_count, PLAN_ENTRY_LIMIT);
  CU_ASSERT_PTR_NULL (owner_plan_entry (&p, "old-0"));
  owner_plan_done (&p);
}

/* Assigns COUNT targets of one domain to five entries there with the given
   processors, and sets OWNED to the number that each owns.  */
static void
assign_by_cpu (struct owner_plan *p, const uint32_t *cpu_milli, uint32_t count,
               uint32_t *owned)
{
  owner_plan_init (p);
  owner_plan_start_term (p, TERM, 1000);
  for (int64_t now = 1000; now < 1000 + SETTLED_MS; now += ENTRY_HEARTBEAT_MS)
    {
      for (uint32_t i = 0; i < UNEVEN_ENTRIES; i++)
        {
          char vm[16];

          snprintf (vm, sizeof vm, "shop-%u", i);
          report_entry (p, now, vm, "shop")->cpu_milli = cpu_milli[i];
        }
      for (uint32_t i = 0; i < count; i++)
        {
          struct run_target_spec t = make_target ("", "shop");

          snprintf (t.id, sizeof t.id, "t%u", i);
          owner_plan_update_target (p, now, &t);
        }
      owner_plan_step (p, now);
    }
  for (uint32_t i = 0; i < UNEVEN_ENTRIES; i++)
    owned[i] = p->entries[i]->owned;
}

/* Guards against targets that go to the smallest VMs, whose dispatchers then
   are late, while larger VMs own none: in an uneven fleet the largest come
   first, and each is full in proportion to its processor.  */
static void
test_uneven_entries (void)
{
  const uint32_t uneven[UNEVEN_ENTRIES] = { 90, 300, 90, 300, 90 };
  uint32_t owned[UNEVEN_ENTRIES];
  struct owner_plan p;

  assign_by_cpu (&p, uneven, 60, owned);
  CU_ASSERT_EQUAL (owned[0] + owned[2] + owned[4], 0);
  CU_ASSERT_EQUAL (owned[1] + owned[3], 60);
  CU_ASSERT (owned[1] == 41 || owned[3] == 41);
  owner_plan_done (&p);
  assign_by_cpu (&p, uneven, 110, owned);
  CU_ASSERT_EQUAL (owned[1], 41);
  CU_ASSERT_EQUAL (owned[3], 41);
  CU_ASSERT_EQUAL (owned[0] + owned[2] + owned[4], 28);
  CU_ASSERT (owned[0] <= 12 && owned[2] <= 12 && owned[4] <= 12);
  owner_plan_done (&p);
}

/* Guards against another assignment where processors are equal or nearly so,
   or where an entry of the earlier program reports none.  */
static void
test_even_entries (void)
{
  const uint32_t none[UNEVEN_ENTRIES] = { 0, 0, 0, 0, 0 };
  const uint32_t even[UNEVEN_ENTRIES] = { 120, 120, 120, 120, 120 };
  const uint32_t mixed[UNEVEN_ENTRIES] = { 90, 300, 0, 300, 90 };
  uint32_t before[UNEVEN_ENTRIES];
  uint32_t owned[UNEVEN_ENTRIES];
  struct owner_plan p;

  assign_by_cpu (&p, none, 60, before);
  owner_plan_done (&p);
  assign_by_cpu (&p, even, 60, owned);
  CU_ASSERT_EQUAL (memcmp (before, owned, sizeof owned), 0);
  owner_plan_done (&p);
  assign_by_cpu (&p, mixed, 60, owned);
  CU_ASSERT_EQUAL (memcmp (before, owned, sizeof owned), 0);
  owner_plan_done (&p);
}

/* Guards against targets that are released whenever the fleet changes: a large
   entry that joins gets the next targets, and the others keep theirs.  */
static void
test_large_entry_joins (void)
{
  const uint32_t small[UNEVEN_ENTRIES] = { 90, 90, 90, 90, 90 };
  struct run_target_spec t = make_target ("new", "shop");
  uint32_t owned[UNEVEN_ENTRIES];
  struct owner_plan p;
  struct plan_entry *e;
  int64_t now = 1000 + SETTLED_MS;

  assign_by_cpu (&p, small, 30, owned);
  e = report_entry (&p, now, "shop-9", "shop");
  e->cpu_milli = 300;
  owner_plan_step (&p, now);
  for (uint32_t i = 0; i < p.target_count; i++)
    CU_ASSERT_FALSE (p.targets[i]->release_requested);
  owner_plan_update_target (&p, now, &t);
  owner_plan_step (&p, now);
  CU_ASSERT_STRING_EQUAL (owner_of (&p, "new"), "shop-9");
  CU_ASSERT_EQUAL (e->owned, 1);
  owner_plan_done (&p);
}

/* Guards against further targets for an entry that cannot keep up with those
   that it has; it keeps these.  */
static void
test_short_entry (void)
{
  const uint32_t even[UNEVEN_ENTRIES] = { 90, 90, 90, 90, 90 };
  struct run_target_spec t = make_target ("new", "shop");
  uint32_t owned[UNEVEN_ENTRIES];
  struct owner_plan p;
  uint32_t first = 0;

  assign_by_cpu (&p, even, 10, owned);
  while (owned[first] != 10)
    first++;
  p.entries[first]->is_short = true;
  owner_plan_update_target (&p, 1000 + SETTLED_MS, &t);
  owner_plan_step (&p, 1000 + SETTLED_MS);
  CU_ASSERT_EQUAL (p.entries[first]->owned, 10);
  CU_ASSERT_STRING_NOT_EQUAL (owner_of (&p, "new"), p.entries[first]->vm);
  for (uint32_t i = 0; i < p.target_count; i++)
    CU_ASSERT_FALSE (p.targets[i]->release_requested);
  owner_plan_done (&p);
}

void
suite_plan (void)
{
  CU_pSuite s = CU_add_suite ("plan", NULL, NULL);

  CU_add_test (s, "a target has an owner in its own domain",
               test_owner_in_own_domain);
  CU_add_test (s, "dead entries are forgotten when the plan is full",
               test_replaced_entries);
  CU_add_test (s, "a new leader waits for reports",
               test_new_leader_waits_for_reports);
  CU_add_test (s, "a leader waits for no reports if no entry has targets",
               test_all_entries_unassigned);
  CU_add_test (s, "targets of a dead entry get a new owner",
               test_dead_entry_loses_targets);
  CU_add_test (s, "a healed partition changes no owner",
               test_healed_partition);
  CU_add_test (s, "a healed partition with a keeper changes no owner",
               test_healed_partition_with_keeper);
  CU_add_test (s, "a healed partition with the leader changes no owner",
               test_new_leader_during_partition);
  CU_add_test (s, "an unowned target gets an owner after a partition",
               test_unowned_after_partition);
  CU_add_test (s, "an owner of another domain hands its target back",
               test_owner_of_other_domain);
  CU_add_test (s, "a restarted target is assigned again",
               test_restarted_target);
  CU_add_test (s, "a stale heartbeat is ignored", test_stale_heartbeat);
  CU_add_test (s, "a heartbeat from before a target left",
               test_heartbeat_after_leave);
  CU_add_test (s, "a heartbeat from before a target was removed",
               test_heartbeat_after_expiry);
  CU_add_test (s, "departed targets known to a new leader",
               test_departed_restored);
  CU_add_test (s, "a target left before the log was read",
               test_left_before_restore);
  CU_add_test (s, "departed targets are bounded", test_departed_bounded);
  CU_add_test (s, "large VMs own targets first", test_uneven_entries);
  CU_add_test (s, "equal or unknown processors change nothing",
               test_even_entries);
  CU_add_test (s, "a large VM that joins moves no targets",
               test_large_entry_joins);
  CU_add_test (s, "a VM short of processor time gets no further targets",
               test_short_entry);
}
