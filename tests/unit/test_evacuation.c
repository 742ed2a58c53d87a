/* Tests of the evacuation of failure domains: the set of evacuated domains,
   and its place in the keepers' replicated state.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/CUnit.h>
#include "base/json_text.h"
#include "controller/keeper_state.h"
#include "coord/evacuation.h"
#include "tests/unit/suites.h"

static int64_t
since_ms (const struct evacuation_set *s, const char *domain)
{
  const struct evacuation *e = evacuation_set_find (s, domain);

  return e == NULL ? -1 : e->since_ms;
}

static uint64_t
order_version (const struct evacuation_set *s, const char *domain)
{
  const struct evacuation *e = evacuation_set_find (s, domain);

  return e == NULL ? 0 : e->version;
}

/* A repeated order must neither be refused nor change the time and version of
   the first one, else every repeat is sent to all entries again.  */
static void
test_set_repeats (void)
{
  struct evacuation_set s;

  evacuation_set_init (&s);
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 7, "shop", false, 50),
                   EVACUATION_UNCHANGED);
  CU_ASSERT_EQUAL (s.version, 0);
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 8, "shop", true, 100),
                   EVACUATION_CHANGED);
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 9, "shop", true, 200),
                   EVACUATION_UNCHANGED);
  CU_ASSERT_EQUAL (since_ms (&s, "shop"), 100);
  CU_ASSERT_EQUAL (order_version (&s, "shop"), 8);
  CU_ASSERT_EQUAL (s.version, 8);
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 10, "shop", false, 300),
                   EVACUATION_CHANGED);
  CU_ASSERT_EQUAL (s.version, 10);
  CU_ASSERT_EQUAL (s.count, 0);
  CU_ASSERT_PTR_NULL (evacuation_set_find (&s, "shop"));
}

/* An entry that hears two keepers must not go back to the older set, also when
   the newer one is empty.  */
static void
test_set_versions (void)
{
  struct evacuation_set old;
  struct evacuation_set ended;
  struct evacuation_set held;

  evacuation_set_init (&old);
  evacuation_set_init (&held);
  evacuation_set_apply (&old, 5, "shop", true, 1);
  ended = old;
  evacuation_set_apply (&ended, 6, "shop", false, 2);
  CU_ASSERT_TRUE (evacuation_set_replace (&held, &old));
  CU_ASSERT_FALSE (evacuation_set_replace (&held, &old));
  CU_ASSERT_TRUE (evacuation_set_replace (&held, &ended));
  CU_ASSERT_FALSE (evacuation_set_replace (&held, &old));
  CU_ASSERT_EQUAL (held.count, 0);
}

/* Names that no domain can have and orders beyond the limit leave the set
   unchanged: every keeper must refuse the same ones.  */
static void
test_set_bounds (void)
{
  struct evacuation_set s;
  char name[NAME_BYTES + 1];

  evacuation_set_init (&s);
  memset (name, 'x', NAME_BYTES);
  name[NAME_BYTES] = '\0';
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 1, "", true, 1),
                   EVACUATION_REFUSED);
  CU_ASSERT_EQUAL (evacuation_set_apply (&s, 1, name, true, 1),
                   EVACUATION_REFUSED);
  for (uint64_t i = 1; i <= EVACUATION_LIMIT; i++)
    {
      snprintf (name, sizeof name, "domain-%d", (int)i);
      CU_ASSERT_EQUAL (evacuation_set_apply (&s, i, name, true, 1),
                       EVACUATION_CHANGED);
    }
  CU_ASSERT_EQUAL (
      evacuation_set_apply (&s, EVACUATION_LIMIT + 1, "more", true, 1),
      EVACUATION_REFUSED);
  CU_ASSERT_EQUAL (
      evacuation_set_apply (&s, EVACUATION_LIMIT + 1, "domain-2", false, 1),
      EVACUATION_CHANGED);
  CU_ASSERT_PTR_NULL (evacuation_set_find (&s, "domain-2"));
  CU_ASSERT_PTR_NOT_NULL (evacuation_set_find (&s, "domain-3"));
  CU_ASSERT_EQUAL (s.count, EVACUATION_LIMIT - 1);
}

/* A malformed message must not evacuate a part of what it lists.  */
static void
test_set_malformed (void)
{
  static const char *const texts[] = {
    "{}",
    "{\"version\":3}",
    "{\"version\":3,\"list\":{}}",
    "{\"version\":3,\"list\":[{\"domain\":\"a\",\"version\":3},{}]}",
    "{\"version\":3,\"list\":[{\"domain\":\"a\"}]}",
    "{\"version\":3,\"list\":[{\"version\":3}]}",
    "{\"version\":-3,\"list\":[]}",
  };
  struct evacuation_set s;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      json_t *o = json_loads (texts[i], 0, NULL);

      CU_ASSERT_FALSE (evacuation_set_from_json (&s, o));
      CU_ASSERT_EQUAL (s.count, 0);
      CU_ASSERT_EQUAL (s.version, 0);
      json_decref (o);
    }
  CU_ASSERT_FALSE (evacuation_set_from_json (&s, NULL));
}

/* The state machine of a keeper without a network.  */
struct state
{
  struct node_settings settings;
  struct quorum_keeper keeper;
};

static struct state *
state_new (void)
{
  struct state *s = calloc (1, sizeof *s);

  snprintf (s->settings.name, sizeof s->settings.name, "keeper");
  s->keeper.settings = &s->settings;
  keeper_state_reset (&s->keeper);
  return s;
}

static void
state_free (struct state *s)
{
  json_decref (s->keeper.applied_voters);
  json_decref (s->keeper.applied_targets);
  free (s->keeper.config_text);
  free (s);
}

static void
apply_text (struct state *s, uint64_t index, const char *text)
{
  json_t *o = json_loads (text, 0, NULL);

  keeper_state_apply (&s->keeper, index, o);
  json_decref (o);
}

static const char order_text[]
    = "{\"type\":\"evacuation\",\"domain\":\"shop\",\"active\":true,"
      "\"at\":1700000000000}";
static const char end_text[]
    = "{\"type\":\"evacuation\",\"domain\":\"shop\",\"active\":false,"
      "\"at\":1700000001000}";

/* An evacuation must survive the log's compaction into a snapshot, and so must
   the version of one that has ended: entries ignore lower versions.  */
static void
test_state_snapshot (void)
{
  struct state *one = state_new ();
  struct state *other = state_new ();
  const struct evacuation_set *loaded = &other->keeper.evacuations;
  uint32_t length;
  char *text;

  apply_text (one, 4, order_text);
  text = keeper_state_snapshot (&one->keeper, &length);
  keeper_state_load (&other->keeper, 4, text, length);
  free (text);
  CU_ASSERT_EQUAL (since_ms (loaded, "shop"), 1700000000000);
  CU_ASSERT_EQUAL (order_version (loaded, "shop"), 4);
  CU_ASSERT_EQUAL (loaded->version, 4);
  apply_text (one, 9, end_text);
  text = keeper_state_snapshot (&one->keeper, &length);
  keeper_state_load (&other->keeper, 9, text, length);
  free (text);
  CU_ASSERT_EQUAL (loaded->count, 0);
  CU_ASSERT_EQUAL (loaded->version, 9);
  state_free (one);
  state_free (other);
}

/* A snapshot of an earlier program, without evacuations, is loaded; it does
   not end an evacuation, since that program does not know of it.  */
static void
test_state_older_snapshot (void)
{
  static const char older[]
      = "{\"version\":3,\"text\":\"{}\",\"voters\":[],\"targets\":[]}";
  struct state *s = state_new ();

  keeper_state_load (&s->keeper, 2, older, sizeof older - 1);
  CU_ASSERT_EQUAL (s->keeper.config_version, 3);
  CU_ASSERT_EQUAL (s->keeper.evacuations.version, 0);
  apply_text (s, 4, order_text);
  keeper_state_load (&s->keeper, 6, older, sizeof older - 1);
  CU_ASSERT_PTR_NOT_NULL (
      evacuation_set_find (&s->keeper.evacuations, "shop"));
  state_free (s);
}

void
suite_evacuation (void)
{
  CU_pSuite s = CU_add_suite ("evacuation", NULL, NULL);

  CU_add_test (s, "a repeated order changes nothing", test_set_repeats);
  CU_add_test (s, "an older set is ignored", test_set_versions);
  CU_add_test (s, "the set is bounded", test_set_bounds);
  CU_add_test (s, "a malformed set is refused", test_set_malformed);
  CU_add_test (s, "evacuations are in snapshots", test_state_snapshot);
  CU_add_test (s, "a snapshot without evacuations", test_state_older_snapshot);
}
