/* Tests of the settings file, the JSON schema checks and the event
   catalogue.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/settings.h"
#include "base/utf8.h"
#include "coord/environment.h"
#include "tests/unit/suites.h"

static const struct json_rule inner_rules[] = {
  { "n", RULE_INTEGER, true, 1, 5, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static const struct json_rule outer_rules[] = {
  { "name", RULE_NAME, true, 1, 4, NULL, NULL },
  { "list", RULE_ARRAY, false, 0, 2, inner_rules, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

static void
expect_report (const char *text, uint32_t faults, const char *part)
{
  struct json_report r;
  json_t *o = json_check_parse (text, strlen (text), outer_rules, &r);

  CU_ASSERT_EQUAL (r.faults, faults);
  CU_ASSERT_EQUAL (o != NULL, faults == 0);
  if (part != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (r.text, part));
  json_decref (o);
}

static void
test_json_check (void)
{
  expect_report ("{\"name\":\"ab\"}", 0, NULL);
  expect_report ("{\"name\":\"ab\",\"name\":\"b\"}", 1, "duplicate");
  expect_report ("{", 1, "not JSON");
  expect_report ("[]", 1, "must be an object");
  expect_report ("{}", 1, "name: is missing");
  expect_report ("{\"name\":\"a b\",\"x\":1}", 2, "x: unknown field");
  expect_report ("{\"name\":5,\"list\":[{\"n\":9},{}]}", 3,
                 "list[0].n: must be 1 to 5");
  expect_report ("{\"name\":\"a\",\"list\":[{},{},{}]}", 1,
                 "list: must have 0 to 2 elements, has 3");
}

static enum settings_error
load_settings (const char *text, struct error *e)
{
  struct settings *s = calloc (1, sizeof *s);
  char folder[64];
  char path[96];
  enum settings_error status;
  FILE *f;

  test_folder_make (folder);
  snprintf (path, sizeof path, "%s/settings.json", folder);
  f = fopen (path, "w");
  fputs (text, f);
  fclose (f);
  status = settings_load (s, path, e);
  test_folder_remove (folder);
  free (s);
  return status;
}

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define SETTINGS_HEAD                                                         \
  "{\"vm\":\"shop-1\",\"environment\":\"trial\",\"peer_secret\":"             \
  "\"0123456789abcdef\",\"operator_token_sha256\":\"" HASH                    \
  "\",\"target_token_sha256\":\"" HASH "\","
#define SHOP_1                                                                \
  "{\"vm\":\"shop-1\",\"domain\":\"shop\",\"address\":\"127.0.0.1\","         \
  "\"peer_port\":7000,\"http_port\":8000}"
#define KEEPER_1                                                              \
  "{\"vm\":\"k-1\",\"domain\":\"shop\",\"address\":\"127.0.0.2\","            \
  "\"peer_port\":7000,\"http_port\":8000}"

static void
test_settings (void)
{
  struct error e;

  CU_ASSERT_EQUAL (load_settings (SETTINGS_HEAD "\"entries\":[" SHOP_1
                                                "],\"keepers\":[" KEEPER_1
                                                "]}",
                                  &e),
                   SETTINGS_OK);
  CU_ASSERT_EQUAL (load_settings (SETTINGS_HEAD
                                  "\"entries\":[" SHOP_1 "," SHOP_1
                                  "],\"keepers\":[" KEEPER_1 "]}",
                                  &e),
                   SETTINGS_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (e.message, "entries[1]: vm shop-1 is named "
                                             "twice"));
  CU_ASSERT_EQUAL (load_settings (SETTINGS_HEAD "\"entries\":[" KEEPER_1
                                                "],\"keepers\":[" KEEPER_1
                                                "],\"speed\":1}",
                                  &e),
                   SETTINGS_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (e.message, "speed: unknown field"));
}

static void
expect_environment (const char *text, const char *environment,
                    const char *part)
{
  json_t *o = json_loads (text, 0, NULL);
  struct json_report r;

  json_report_init (&r);
  environment_check (o, environment, &r);
  CU_ASSERT_EQUAL (r.faults != 0, part != NULL);
  if (part != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (r.text, part));
  json_decref (o);
}

#define TEAM(name, hash)                                                      \
  "{\"name\":\"" name "\",\"token_sha256\":\"" hash                           \
  "\",\"tasks_per_s\":5,\"burst_tasks\":9}"
#define KINDS                                                                 \
  "\"kinds\":[{\"name\":\"check\",\"run_ms\":50,\"timeout_ms\":900}]"
#define OTHER_HASH                                                            \
  "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static void
test_environment (void)
{
  expect_environment ("{\"environments\":[\"trial\"],\"teams\":[" TEAM (
                          "a", HASH) "]," KINDS "}",
                      "trial", NULL);
  expect_environment ("{\"environments\":[\"trial\"],\"teams\":[" TEAM (
                          "a", HASH) "]," KINDS "}",
                      "production", "environments: does not list production");
  expect_environment ("{\"environments\":[\"trial\"],\"teams\":[" TEAM (
                          "a", HASH) "," TEAM ("a", OTHER_HASH) "]," KINDS "}",
                      "trial", "teams[1].name: stands twice");
  expect_environment ("{\"environments\":[\"trial\"],\"teams\":[" TEAM (
                          "a", HASH) "]," KINDS ",\"policy\":{\"retry_ratio\":"
                                     "7}}",
                      "trial", "policy.retry_ratio: must be 0 to 1");
}

/* docs/EVENTS.md lists exactly the events of the event table.  */
static void
test_catalogue (void)
{
  size_t length;
  char *text = json_read_file ("docs/EVENTS.md", 1 << 20, &length);
  uint32_t rows = 0;
  uint32_t events = 0;

  CU_ASSERT_PTR_NOT_NULL (text);
  if (text == NULL)
    return;
  for (const struct event_info *e = event_catalogue; e->number != 0; e++)
    {
      char row[400];

      snprintf (row, sizeof row, "| %d | %s | ", e->number, e->name);
      events++;
      CU_ASSERT_PTR_NOT_NULL (strstr (text, row));
      CU_ASSERT_PTR_NOT_NULL (strstr (text, e->action));
    }
  for (const char *at = strstr (text, "\n| "); at != NULL;
       at = strstr (at + 1, "\n| "))
    rows++;
  CU_ASSERT_EQUAL (rows, events + 2); /* and two rows of table headings */
  free (text);
}

static void
expect_repaired (const char *text, const char *expected)
{
  char buffer[64];

  snprintf (buffer, sizeof buffer, "%s", text);
  utf8_repair (buffer);
  CU_ASSERT_STRING_EQUAL (buffer, expected);
  CU_ASSERT (utf8_is_text (buffer, strlen (buffer)));
  CU_ASSERT_EQUAL (utf8_is_text (text, strlen (text)),
                   strcmp (text, expected) == 0);
}

/* The bytes that utf8_is_text accepts are those that jansson accepts.  */
static void
test_utf8 (void)
{
  char buffer[] = "a\nb\x7f\xc3";

  expect_repaired ("", "");
  expect_repaired ("\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80",
                   "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
  expect_repaired ("a\xc3", "a?");
  expect_repaired ("\xe2\x82", "??");
  expect_repaired ("\xc0\xaf", "??");
  expect_repaired ("\xe0\x80\xaf", "???");
  expect_repaired ("\xed\xa0\x80", "???");
  expect_repaired ("\xf4\x90\x80\x80", "????");
  expect_repaired ("\xff\xa9z", "??z");
  CU_ASSERT_FALSE (utf8_is_text ("a\0b", 3));
  utf8_repair_line (buffer);
  CU_ASSERT_STRING_EQUAL (buffer, "a b ?");
  for (int i = 0; i < 0x10000; i++)
    {
      const char two[] = { (char)(i >> 8), (char)i, '\0' };
      json_t *o = json_string (two);

      CU_ASSERT_EQUAL (utf8_is_text (two, strlen (two)), o != NULL);
      json_decref (o);
    }
}

/* Text that is no UTF-8 never makes a value NULL, and a value that can't be
   built is written as "null".  */
static void
test_json_text (void)
{
  json_t *o = json_from_text ("v\xc3");
  char *text = json_encode (o);

  CU_ASSERT_STRING_EQUAL (text, "\"v?\"");
  free (text);
  json_decref (o);
  CU_ASSERT_PTR_NULL (json_build ("{s:s}", "a", "v\xc3"));
  text = json_encode (NULL);
  CU_ASSERT_STRING_EQUAL (text, "null");
  free (text);
}

/* The detail of an event is cut within a character, its key has bytes of no
   UTF-8 and its text a newline: it is listed, on one line.  */
static void
test_event_of_odd_text (void)
{
  char detail[700];
  const char *listed;
  json_t *events;

  for (size_t i = 0; i + 3 < sizeof detail; i += 2)
    memcpy (detail + i, "\xc3\xa9", 3);
  event_ring_init ("test", EVENT_ERROR);
  event_ring_add (EVENT_PEER_REFUSED, "k\xff", "\n%s", detail);
  events = event_ring_json ("k?", 1);
  CU_ASSERT_EQUAL (json_array_size (events), 1);
  listed = json_string_value (
      json_object_get (json_array_get (events, 0), "detail"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (listed);
  CU_ASSERT_EQUAL (listed[0], ' ');
  json_decref (events);
  event_ring_done ();
}

void
suite_base (void)
{
  CU_pSuite s = CU_add_suite ("base", NULL, NULL);

  CU_add_test (s, "json_check reports every fault with its path",
               test_json_check);
  CU_add_test (s, "invalid settings are reported", test_settings);
  CU_add_test (s, "invalid environment configurations are reported",
               test_environment);
  CU_add_test (s, "UTF-8 is checked and repaired", test_utf8);
  CU_add_test (s, "no text makes a JSON value fail unseen", test_json_text);
  CU_add_test (s, "an event of odd text is listed", test_event_of_odd_text);
  CU_add_test (s, "docs/EVENTS.md matches the event table", test_catalogue);
}
