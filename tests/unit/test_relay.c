/* Heartbeats and leave messages of targets that reach a follower, which relays
   them to the leader.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"
#include "controller/keeper_state.h"
#include "coord/target_reports.h"
#include "tests/unit/deployment.h"
#include "tests/unit/suites.h"

enum
{
  TERM = 4,
  UNRESPONSIVE_MS = 6000
};

static struct run_target_spec
make_target (uint64_t sequence, bool draining)
{
  struct run_target_spec t;

  memset (&t, 0, sizeof t);
  snprintf (t.id, sizeof t.id, "t1");
  snprintf (t.address, sizeof t.address, "10.0.0.1:1");
  t.started_ms = 1;
  t.sequence = sequence;
  t.draining = draining;
  return t;
}

/* A repeated heartbeat is acknowledged at once.  One with new content is
   acknowledged only after the leader has received it: the first one of a
   target, the first one under a new leader, and when the target starts to
   drain.  */
static void
test_report_content (void)
{
  struct run_target_spec ready = make_target (1, false);
  struct run_target_spec repeat = make_target (2, false);
  struct run_target_spec leaving = make_target (3, true);
  struct target_reports r;

  target_reports_init (&r);
  CU_ASSERT_FALSE (target_reports_receive (&r, 0, &ready, TERM));
  CU_ASSERT_FALSE (target_reports_receive (&r, 10, &repeat, TERM));
  target_reports_acknowledge (&r, &ready, TERM);
  CU_ASSERT (target_reports_receive (&r, 20, &repeat, TERM));
  CU_ASSERT_EQUAL (target_reports_due (r.by_id, TERM), REPORT_HEARTBEAT);
  CU_ASSERT_EQUAL (target_reports_due (r.by_id, TERM + 1), REPORT_FULL);
  CU_ASSERT_FALSE (target_reports_receive (&r, 30, &repeat, TERM + 1));
  target_reports_acknowledge (&r, &repeat, TERM + 1);
  CU_ASSERT_FALSE (target_reports_receive (&r, 40, &leaving, TERM + 1));
  /* The leader's answer to the earlier heartbeat does not cover the drain.  */
  target_reports_acknowledge (&r, &repeat, TERM + 1);
  CU_ASSERT_FALSE (target_reports_receive (&r, 50, &leaving, TERM + 1));
  target_reports_acknowledge (&r, &leaving, TERM + 1);
  CU_ASSERT (target_reports_receive (&r, 60, &leaving, TERM + 1));
  target_reports_mark_unknown (&r, "t1");
  CU_ASSERT_EQUAL (target_reports_due (r.by_id, TERM + 1), REPORT_FULL);
  target_reports_done (&r);
}

/* A stale heartbeat changes nothing.  The report of a target that has become
   unresponsive, or has left, is removed and not sent to the leader again.  */
static void
test_report_removal (void)
{
  struct run_target_spec leaving = make_target (3, true);
  struct run_target_spec late = make_target (2, false);
  struct target_reports r;

  target_reports_init (&r);
  target_reports_receive (&r, 0, &leaving, TERM);
  CU_ASSERT (target_reports_receive (&r, 10, &late, TERM));
  CU_ASSERT (r.by_id->spec.draining);
  target_reports_expire (&r, UNRESPONSIVE_MS);
  CU_ASSERT_PTR_NULL (r.by_id);
  target_reports_receive (&r, UNRESPONSIVE_MS, &leaving, TERM);
  target_reports_remove (&r, UNRESPONSIVE_MS, "t1");
  CU_ASSERT_PTR_NULL (r.by_id);
  target_reports_done (&r);
}

static void
start_all (struct deployment *d)
{
  deployment_init (d);
  d->heartbeats_to_follower = true;
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (d, i);
  for (int i = 0; i < ENTRIES; i++)
    deployment_start_entry (d, i);
  deployment_run_until_owned (d);
}

static void
run_for (struct deployment *d, int64_t ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    deployment_run_step (d);
}

/* Targets whose heartbeats never go to the leader itself get owners, stay
   alive for the leader, and are known to a new leader at once.  */
static void
test_relayed_heartbeats (void)
{
  struct deployment d;
  struct quorum_keeper *k;
  int leader = 0;

  start_all (&d);
  run_for (&d, 1000);
  k = deployment_leader (&d);
  CU_ASSERT_PTR_NULL (k->relay.reports.by_id);
  for (uint32_t i = 0; i < k->plan.target_count; i++)
    CU_ASSERT (now_ms () - k->plan.targets[i]->last_seen_ms < 800);
  CU_ASSERT (d.heartbeats_acked >= 2 * TARGETS);
  while (d.keepers[leader] != k)
    leader++;
  d.heartbeats_paused = true;
  deployment_stop_keeper (&d, leader);
  deployment_run_until_leader (&d);
  run_for (&d, 600);
  CU_ASSERT_EQUAL (deployment_leader (&d)->plan.target_count, TARGETS);
  deployment_done (&d);
}

static uint32_t
count_draining (const struct quorum_keeper *k)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < k->plan.target_count; i++)
    n += k->plan.targets[i]->spec.draining;
  return n;
}

/* The leader knows that a target is draining once the target's heartbeat is
   acknowledged, and also after a restart of all keepers and entries.  */
static void
test_draining_survives_restart (void)
{
  struct deployment d;
  int64_t end = now_ms () + WAIT_MS;
  uint32_t acked;

  start_all (&d);
  acked = d.heartbeats_acked;
  d.targets_draining = true;
  while (d.heartbeats_acked < acked + 2 * TARGETS && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (count_draining (deployment_leader (&d)), TARGETS);
  run_for (&d, 2500);
  d.heartbeats_paused = true;
  for (int i = 0; i < ENTRIES; i++)
    deployment_stop_entry (&d, i);
  for (int i = 0; i < SEEDS; i++)
    deployment_stop_keeper (&d, i);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&d, i);
  deployment_run_until_leader (&d);
  run_for (&d, 500);
  CU_ASSERT_EQUAL (count_draining (deployment_leader (&d)), TARGETS);
  deployment_done (&d);
}

static void
on_relay_done (void *arg, bool acknowledged)
{
  int *state = arg;

  *state = acknowledged ? 1 : -1;
}

static void
test_relayed_leave (void)
{
  struct deployment d;
  int64_t end = now_ms () + WAIT_MS;
  int state = 0;

  start_all (&d);
  d.heartbeats_paused = true;
  target_relay_handle_leave (&deployment_follower (&d)->relay, "t1",
                             on_relay_done, &state);
  while (state == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (state, 1);
  run_for (&d, 500);
  CU_ASSERT_PTR_NULL (owner_plan_target (&deployment_leader (&d)->plan, "t1"));
  deployment_done (&d);
}

/* Delivers a heartbeat of t1 to keeper K and waits for its end.  Returns
   whether it was acknowledged.  */
static bool
send_heartbeat (struct deployment *d, struct quorum_keeper *k,
                const struct run_target_spec *t)
{
  int64_t end = now_ms () + WAIT_MS;
  int state = 0;

  target_relay_handle_heartbeat (&k->relay, now_ms (), t, on_relay_done,
                                 &state);
  while (state == 0 && now_ms () < end)
    deployment_run_step (d);
  return state == 1;
}

/* A target has left; then a heartbeat that it sent before arrives at a keeper,
   the one that relayed its leave, another one or the leader.  It is
   acknowledged, and the target does not become known again, also not under the
   next leader.  Guards against starts on a target that has drained and left
   (review case 8).  */
static void
test_late_heartbeat (void)
{
  struct deployment d;
  struct run_target_spec late = make_target (1, false);
  struct quorum_keeper *leader;
  int64_t end = now_ms () + WAIT_MS;
  int state = 0;
  int down = 0;

  start_all (&d);
  run_for (&d, 2000);
  d.heartbeats_paused = true;
  target_relay_handle_leave (&deployment_follower (&d)->relay, "t1",
                             on_relay_done, &state);
  while (state == 0 && now_ms () < end)
    deployment_run_step (&d);
  CU_ASSERT_EQUAL (state, 1);
  leader = deployment_leader (&d);
  for (int i = 0; i < SEEDS; i++)
    CU_ASSERT (send_heartbeat (&d, d.keepers[i], &late));
  run_for (&d, 500);
  CU_ASSERT_PTR_NULL (owner_plan_target (&leader->plan, "t1"));
  while (d.keepers[down] != leader)
    down++;
  deployment_stop_keeper (&d, down);
  deployment_run_until_leader (&d);
  for (int i = 0; i < SEEDS; i++)
    if (i != down)
      send_heartbeat (&d, d.keepers[i], &late);
  run_for (&d, 1000);
  leader = deployment_leader (&d);
  CU_ASSERT_PTR_NULL (owner_plan_target (&leader->plan, "t1"));
  late.started_ms = 2;
  CU_ASSERT (send_heartbeat (&d, deployment_follower (&d), &late));
  CU_ASSERT_PTR_NOT_NULL (owner_plan_target (&leader->plan, "t1"));
  deployment_done (&d);
}

/* A target that deregisters with a new leader before this one has read the log
   stays away.  */
static void
test_leave_at_new_leader (void)
{
  struct deployment d;
  struct quorum_keeper *leader;
  int down = 0;

  start_all (&d);
  run_for (&d, 2500);
  d.heartbeats_paused = true;
  while (d.keepers[down] != deployment_leader (&d))
    down++;
  deployment_stop_keeper (&d, down);
  deployment_run_until_leader (&d);
  leader = deployment_leader (&d);
  owner_plan_start_term (&leader->plan, leader->log.term, now_ms ());
  leader->targets_restored = false;
  quorum_keeper_remove_target (leader, "t1");
  run_for (&d, 500);
  CU_ASSERT_PTR_NOT_NULL (owner_plan_target (&leader->plan, "t0"));
  CU_ASSERT_PTR_NULL (owner_plan_target (&leader->plan, "t1"));
  deployment_done (&d);
}

static void
apply_text (struct quorum_keeper *k, const char *text)
{
  json_t *o = json_loads (text, 0, NULL);

  keeper_state_apply (k, 1, o);
  json_decref (o);
}

static void
state_done (struct quorum_keeper *k)
{
  json_decref (k->applied_voters);
  json_decref (k->applied_targets);
  json_decref (k->applied_departed);
  free (k->config_text);
  free (k);
}

/* What the log tells of departed targets is in snapshots, is forgotten when a
   target is back or after its time, and may be missing in those of an earlier
   program.  Guards against a leader that does not know which targets have
   left.  */
static void
test_departed_in_state (void)
{
  static const char earlier[]
      = "{\"version\":0,\"text\":\"\",\"voters\":[],\"targets\":[]}";
  struct quorum_keeper *k = calloc (1, sizeof *k);
  struct quorum_keeper *other = calloc (1, sizeof *other);
  uint32_t length;
  char *text;

  keeper_state_reset (k);
  keeper_state_reset (other);
  apply_text (k,
              "{\"type\":\"targets\",\"drop\":[\"t1\",\"t2\"],\"departed\":["
              "{\"id\":\"t1\",\"born\":1,\"sequence\":9,\"left\":true,"
              "\"at\":1000},{\"id\":\"t2\",\"born\":1,\"sequence\":9,"
              "\"left\":true,\"at\":50000}]}");
  CU_ASSERT_EQUAL (json_object_size (k->applied_departed), 2);
  text = keeper_state_snapshot (k, &length);
  keeper_state_load (other, 1, text, length);
  free (text);
  CU_ASSERT_PTR_NOT_NULL (json_object_get (other->applied_departed, "t1"));
  CU_ASSERT (json_equal (other->applied_departed, k->applied_departed));
  apply_text (k,
              "{\"type\":\"targets\",\"put\":[{\"id\":\"t2\"}],\"drop\":[]}");
  CU_ASSERT_PTR_NULL (json_object_get (k->applied_departed, "t2"));
  apply_text (k, "{\"type\":\"targets\",\"departed\":[{\"id\":\"t3\","
                 "\"at\":61000}]}");
  CU_ASSERT_PTR_NULL (json_object_get (k->applied_departed, "t1"));
  CU_ASSERT_PTR_NOT_NULL (json_object_get (k->applied_departed, "t3"));
  keeper_state_load (other, 2, earlier, sizeof earlier - 1);
  CU_ASSERT_EQUAL (json_object_size (other->applied_departed), 0);
  state_done (k);
  state_done (other);
}

/* A keeper that knows no leader must not acknowledge a heartbeat.  */
static void
test_no_leader_no_acknowledgement (void)
{
  struct deployment d;
  struct run_target_spec t = make_target (1, false);
  int state = 0;

  deployment_init (&d);
  deployment_start_keeper (&d, 0);
  target_relay_handle_heartbeat (&d.keepers[0]->relay, now_ms (), &t,
                                 on_relay_done, &state);
  CU_ASSERT_EQUAL (state, -1);
  deployment_done (&d);
}

/* A target whose id is no UTF-8 can't be described to the leader: it is not
   acknowledged, and the follower goes on.  */
static void
test_id_not_relayable (void)
{
  struct deployment d;
  struct run_target_spec t = make_target (1, false);
  int heard = 0;
  int left = 0;

  start_all (&d);
  memcpy (t.id, "i-\xc3", sizeof "i-\xc3");
  target_relay_handle_heartbeat (&deployment_follower (&d)->relay, now_ms (),
                                 &t, on_relay_done, &heard);
  target_relay_handle_leave (&deployment_follower (&d)->relay, t.id,
                             on_relay_done, &left);
  CU_ASSERT_EQUAL (heard, -1);
  CU_ASSERT_EQUAL (left, -1);
  run_for (&d, 200);
  CU_ASSERT_PTR_NULL (owner_plan_target (&deployment_leader (&d)->plan, t.id));
  deployment_done (&d);
}

void
suite_relay (void)
{
  CU_pSuite s = CU_add_suite ("relay", NULL, NULL);

  CU_add_test (s, "the leader acknowledges heartbeats with new content",
               test_report_content);
  CU_add_test (s, "stale, expired and removed reports", test_report_removal);
  CU_add_test (s, "heartbeats relayed by a follower", test_relayed_heartbeats);
  CU_add_test (s, "draining survives a restart",
               test_draining_survives_restart);
  CU_add_test (s, "a leave relayed by a follower", test_relayed_leave);
  CU_add_test (s, "a late heartbeat of a target that has left",
               test_late_heartbeat);
  CU_add_test (s, "a leave before a new leader has read the log",
               test_leave_at_new_leader);
  CU_add_test (s, "departed targets in the log and in snapshots",
               test_departed_in_state);
  CU_add_test (s, "an id that is no UTF-8 is not relayed",
               test_id_not_relayable);
  CU_add_test (s, "no leader, no acknowledgement",
               test_no_leader_no_acknowledgement);
}
