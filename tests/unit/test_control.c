/* The keepers' state machine, and membership changes of replica groups.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "controller/keeper.h"
#include "coord/control_state.h"
#include "coord/group_manager.h"
#include "tests/unit/suites.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Applies an operator's change of the configuration to C, with RUN_MS as its
   content; EXPECT is the configuration number that it replaces.  Returns the
   HTTP status.  */
static int
accept_config (struct control_state *c, const char *request,
               const char *operator_name, int expect, int run_ms)
{
  static uint64_t index;
  char text[600];
  struct control_result r;

  snprintf (text, sizeof text,
            "{\"type\":\"config\",\"request_id\":\"%s\",\"operator\":\"%s\","
            "\"expect\":%d,\"document\":{\"environments\":[\"trial\"],"
            "\"teams\":[{\"name\":\"a\",\"token_sha256\":\"" HASH
            "\",\"tasks_per_s\":1,\"burst_tasks\":1}],\"kinds\":[{\"name\":"
            "\"k\",\"run_ms\":%d,\"timeout_ms\":9}]}}",
            request, operator_name, expect, run_ms);
  r = control_state_apply (c, ++index, text, (uint32_t)strlen (text));
  free (r.answer);
  return r.status;
}

/* Of two operators' changes for one configuration number only the first is
   accepted, and a retried request gets its first answer again, also after a
   restart from a snapshot.  */
static void
test_config_conflicts (void)
{
  struct control_state c;
  struct control_state other;
  uint32_t length;
  char *saved;

  control_state_init (&c, "trial");
  CU_ASSERT_EQUAL (accept_config (&c, "r1", "anna", 0, 5), 200);
  CU_ASSERT_EQUAL (accept_config (&c, "r2", "boris", 0, 6), 409);
  CU_ASSERT_EQUAL (c.view.config_number, 1);
  /* A retry.  */
  CU_ASSERT_EQUAL (accept_config (&c, "r1", "anna", 0, 5), 200);
  CU_ASSERT_EQUAL (c.view.config_number, 1);
  CU_ASSERT_EQUAL (accept_config (&c, "r2", "boris", 0, 6), 409);
  /* The same request_id with another content.  */
  CU_ASSERT_EQUAL (accept_config (&c, "r1", "anna", 1, 7), 409);
  CU_ASSERT_EQUAL (accept_config (&c, "r3", "boris", 1, 6), 200);
  /* An invalid run_ms.  */
  CU_ASSERT_EQUAL (accept_config (&c, "r4", "boris", 2, 0), 400);
  CU_ASSERT_EQUAL (c.view.config_number, 2);
  saved = control_state_save (&c, &length);
  control_state_init (&other, "trial");
  control_state_load (&other, saved, length);
  free (saved);
  CU_ASSERT_EQUAL (other.view.config_number, 2);
  CU_ASSERT_EQUAL (accept_config (&other, "r1", "anna", 0, 5), 200);
  CU_ASSERT_EQUAL (other.view.config_number, 2);
  control_state_done (&c);
  control_state_done (&other);
  control_state_init (&c, "production");
  CU_ASSERT_EQUAL (accept_config (&c, "r1", "anna", 0, 5), 400);
  control_state_done (&c);
}

static struct settings *
make_settings (void)
{
  struct settings *s = calloc (1, sizeof *s);

  s->lease_ms = 100;
  s->vm_count = 3;
  for (int i = 0; i < 3; i++)
    {
      snprintf (s->vms[i].name, NAME_BYTES, "v%d", i);
      snprintf (s->vms[i].domain, NAME_BYTES, "shop");
    }
  return s;
}

static void
set_heartbeat (struct group_manager *m, const char *vm, uint64_t boot,
               int64_t now)
{
  struct entry_heartbeat *h = group_manager_find (m, vm);

  h->boot_id = boot;
  h->last_seen_ms = now;
}

/* A member is removed only once a synced member was last seen more than a
   lease later.  If the heartbeats of a whole domain stop together, the domain
   is cut off and its group stays as it is.  */
static void
test_group_changes (void)
{
  struct settings *s = make_settings ();
  struct group_manager m;
  struct group g = { 0 };
  struct group next;

  group_manager_init (&m, s);
  group_manager_start_term (&m, 1000);
  CU_ASSERT_FALSE (group_manager_decide (&m, &g, "shop", 1000, 7, &next));
  set_heartbeat (&m, "v0", 1, 1010);
  set_heartbeat (&m, "v1", 2, 1010);
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1010, 7, &next));
  CU_ASSERT_EQUAL (next.incarnation, 1);
  CU_ASSERT_EQUAL (next.member_count, 2);
  CU_ASSERT_TRUE (next.members[1].synced);
  g = next;
  /* No heartbeats of both: the domain is cut off, and its group stays.  */
  CU_ASSERT_FALSE (group_manager_decide (&m, &g, "shop", 9000, 7, &next));
  /* One is seen more than a lease after the other: the other is removed.  */
  set_heartbeat (&m, "v0", 1, 1111);
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1111, 7, &next));
  CU_ASSERT_EQUAL (next.member_count, 1);
  CU_ASSERT_EQUAL (next.complete_since, 1);
  g = next;
  /* A new member joins and has no records yet.  */
  set_heartbeat (&m, "v2", 3, 1112);
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1112, 7, &next));
  CU_ASSERT_EQUAL (next.member_count, 2);
  CU_ASSERT_FALSE (next.members[1].synced);
  CU_ASSERT_PTR_NULL (group_manager_newly_synced (&m, &next));
  group_manager_find (&m, "v2")->synced_incarnation = next.incarnation;
  CU_ASSERT_PTR_NOT_NULL (group_manager_newly_synced (&m, &next));
  g = next;
  /* The only member with all records restarts: the records are lost.  */
  set_heartbeat (&m, "v0", 9, 1113);
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1113, 7, &next));
  CU_ASSERT_EQUAL (next.complete_since, next.incarnation);
  CU_ASSERT_EQUAL (next.complete_since_wall_ms, 7);
  g = next;
  /* A planned stop: the member drains, then it is removed.  */
  group_manager_find (&m, "v2")->leaving = LEAVING_DRAINING;
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1114, 7, &next));
  CU_ASSERT_EQUAL (next.member_count, 2);
  for (int i = 0; i < 50; i++)
    {
      char key[16];

      snprintf (key, sizeof key, "key%d", i);
      CU_ASSERT_STRING_EQUAL (group_owner (&next, key)->vm, "v0");
    }
  g = next;
  group_manager_find (&m, "v2")->leaving = LEAVING_DRAINED;
  CU_ASSERT_TRUE (group_manager_decide (&m, &g, "shop", 1115, 7, &next));
  CU_ASSERT_EQUAL (next.member_count, 1);
  free (s);
}

static void
test_view_json (void)
{
  struct control_view v = { .version = 9, .config_number = 4 };
  struct control_view got;
  json_t *o;

  v.group_count = 1;
  snprintf (v.groups[0].domain, NAME_BYTES, "shop");
  v.groups[0].incarnation = 3;
  v.groups[0].member_count = 1;
  v.groups[0].members[0] = (struct group_member){ "v0", 77, true, true };
  o = control_view_to_json (&v);
  CU_ASSERT_TRUE (control_view_from_json (&got, o));
  CU_ASSERT_EQUAL (got.groups[0].members[0].boot_id, 77);
  CU_ASSERT_TRUE (got.groups[0].members[0].draining);
  CU_ASSERT_TRUE (group_has_member (&got.groups[0], "v0", 77));
  CU_ASSERT_FALSE (group_has_member (&got.groups[0], "v0", 78));
  json_decref (o);
}

/* A restarted keeper that has just been elected has applied its snapshot only.
   Until an entry of its term is committed and applied, it must not answer with
   that state: entries would put an older configuration in force.  */
static void
test_new_leader_does_not_answer (void)
{
  static struct keeper k;

  log_entries_add (&k.log.stored, 1, "", 0);
  log_entries_add (&k.log.stored, 2, "", 0);
  k.log.term = 2;
  k.log.role = LOG_LEADER;
  k.log.commit_index = 1;
  k.log.applied_index = 1;
  CU_ASSERT_FALSE (keeper_may_answer (&k));
  k.log.commit_index = 2;
  CU_ASSERT_FALSE (keeper_may_answer (&k));
  k.log.applied_index = 2;
  CU_ASSERT_TRUE (keeper_may_answer (&k));
  k.stopping = true;
  CU_ASSERT_FALSE (keeper_may_answer (&k));
  k.stopping = false;
  k.log.role = LOG_FOLLOWER;
  CU_ASSERT_FALSE (keeper_may_answer (&k));
  log_entries_done (&k.log.stored);
}

/* The report on a configuration names the field at fault, cut to a limit that
   can lie within a character; the operator gets the report all the same.  */
static void
test_fault_cut_within_character (void)
{
  static const char before[]
      = "{\"type\":\"config\",\"request_id\":\"r\",\"operator\":\"o\","
        "\"expect\":0,\"document\":{";
  char text[600];
  struct control_state c;
  struct control_result r;
  size_t n = sizeof before - 1;

  memcpy (text, before, n);
  text[n++] = '"';
  text[n++] = 'x';
  for (int i = 0; i < 100; i++)
    n += (size_t)sprintf (text + n, "\xc3\xa9");
  n += (size_t)sprintf (text + n, "\":1}}");
  control_state_init (&c, "trial");
  r = control_state_apply (&c, 1, text, (uint32_t)n);
  CU_ASSERT_EQUAL (r.status, 400);
  CU_ASSERT_PTR_NOT_NULL (strstr (r.answer, "unknown field"));
  free (r.answer);
  control_state_done (&c);
}

/* A snapshot that lacks its lists, as another program may have written it, is
   read as one with empty lists, and can be written again.  */
static void
test_snapshot_without_lists (void)
{
  struct control_state c;
  uint32_t length;
  char *saved;

  control_state_init (&c, "trial");
  control_state_load (&c, "{\"view\":5}", 10);
  CU_ASSERT_EQUAL (accept_config (&c, "r1", "anna", 0, 20), 200);
  saved = control_state_save (&c, &length);
  CU_ASSERT (saved != NULL && strstr (saved, "\"r1\"") != NULL);
  free (saved);
  control_state_done (&c);
}

void
suite_control (void)
{
  CU_pSuite s = CU_add_suite ("control", NULL, NULL);

  CU_add_test (s, "conflicting and retried config changes",
               test_config_conflicts);
  CU_add_test (s, "a group follows the heartbeats of its members",
               test_group_changes);
  CU_add_test (s, "the control view as JSON and back", test_view_json);
  CU_add_test (s, "a new leader whose state is not current does not answer",
               test_new_leader_does_not_answer);
  CU_add_test (s, "a report that is cut within a character",
               test_fault_cut_within_character);
  CU_add_test (s, "a snapshot without its lists", test_snapshot_without_lists);
}
