#include "coord/control_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/json_text.h"
#include "coord/environment.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_COMMAND = 400,
  STATUS_CONFLICT = 409,
  REQUEST_ID_BYTES_MAXIMUM = 80
};

static const struct json_rule config_rules[] = {
  { "type", RULE_CHOICE, true, 0, 0, NULL, "config" },
  { "request_id", RULE_NAME, true, 1, REQUEST_ID_BYTES_MAXIMUM, NULL, NULL },
  { "operator", RULE_NAME, true, 1, NAME_BYTES - 1, NULL, NULL },
  { "expect", RULE_INTEGER, true, 0, INT64_MAX, NULL, NULL },
  { "document", RULE_ANY, true, 0, 0, NULL, NULL },
  { "promoted_from", RULE_NAME, false, 1, NAME_BYTES - 1, NULL, NULL },
  { "promoted_sha256", RULE_TEXT, false, 64, 64, NULL, NULL },
  { "wall_ms", RULE_INTEGER, false, 0, INT64_MAX, NULL, NULL },
  { NULL, RULE_END, false, 0, 0, NULL, NULL },
};

void
control_state_init (struct control_state *c, const char *environment)
{
  memset (c, 0, sizeof *c);
  snprintf (c->environment, sizeof c->environment, "%s", environment);
  c->requests = json_array ();
  c->history = json_array ();
}

void
control_state_done (struct control_state *c)
{
  json_decref (c->config);
  json_decref (c->requests);
  json_decref (c->history);
}

static struct control_result
result_json (int status, json_t *o)
{
  return (struct control_result){ status, json_encode_new (o) };
}

static json_t *
error_json (const char *code, const char *message)
{
  return json_build ("{s:{s:s s:o}}", "error", "code", code, "message",
                     json_from_text (message));
}

/* The stored answer to REQUEST_ID, or NULL.  A repeated operator request gets
   the same answer again.  */
static const json_t *
find_request (const struct control_state *c, const char *request_id)
{
  json_t *o;
  size_t i;

  json_array_foreach (
      c->requests, i,
      o) if (strcmp (json_get_text (o, "request_id", ""), request_id)
             == 0) return o;
  return NULL;
}

static void
store_request (struct control_state *c, const char *request_id,
               const char *sha256, const struct control_result *r)
{
  json_array_append_new (c->requests,
                         json_build ("{s:s s:s s:i s:s}", "request_id",
                                     request_id, "sha256", sha256, "status",
                                     r->status, "answer", r->answer));
  if (json_array_size (c->requests) > CONTROL_REQUEST_LIMIT)
    json_array_remove (c->requests, 0);
}

static struct control_result
reject_number (const struct control_state *c, int64_t expect)
{
  const json_t *last
      = json_array_get (c->history, json_array_size (c->history) - 1);
  char message[200];
  json_t *o;

  snprintf (message, sizeof message,
            "expect: the number in force is %" PRIu64 ", accepted by %s, "
            "not %" PRId64,
            c->view.config_number, json_get_text (last, "operator", "nobody"),
            expect);
  o = error_json ("number_conflict", message);
  json_object_set_new (o, "number",
                       json_integer ((json_int_t)c->view.config_number));
  json_object_set_new (o, "accepted_by",
                       json_from_text (json_get_text (last, "operator", "")));
  return result_json (STATUS_CONFLICT, o);
}

/* Makes CONFIG the active configuration under the next number.  */
static struct control_result
activate_config (struct control_state *c, json_t *config, const char *sha256,
                 const json_t *command)
{
  struct control_view *v = &c->view;

  json_incref (config);
  json_decref (c->config);
  c->config = config;
  v->config_number++;
  snprintf (v->config_sha256, sizeof v->config_sha256, "%s", sha256);
  json_array_append_new (
      c->history,
      json_build ("{s:I s:s s:s s:s s:I}", "number",
                  (json_int_t)v->config_number, "sha256", sha256, "operator",
                  json_get_text (command, "operator", ""), "promoted_from",
                  json_get_text (command, "promoted_from", ""), "wall_ms",
                  (json_int_t)json_get_integer (command, "wall_ms", 0)));
  if (json_array_size (c->history) > CONTROL_HISTORY_LIMIT)
    json_array_remove (c->history, 0);
  return result_json (STATUS_OK, json_build ("{s:I s:s}", "number",
                                             (json_int_t)v->config_number,
                                             "sha256", sha256));
}

/* Checks the configuration in COMMAND and activates it if it is valid and the
   expected number is the active one.  */
static struct control_result
try_activate_config (struct control_state *c, const json_t *command,
                     const char *sha256)
{
  json_t *config = json_object_get (command, "document");
  int64_t expect = json_get_integer (command, "expect", -1);
  const char *promoted = json_get_text (command, "promoted_sha256", sha256);
  struct json_report report;

  json_report_init (&report);
  environment_check (config, c->environment, &report);
  if (report.faults != 0)
    return result_json (STATUS_BAD_COMMAND,
                        error_json ("invalid_document", report.text));
  if (strcmp (promoted, sha256) != 0)
    return result_json (STATUS_BAD_COMMAND,
                        error_json ("not_the_document",
                                    "promoted_sha256: is not the hash of this "
                                    "document"));
  if ((uint64_t)expect != c->view.config_number)
    return reject_number (c, expect);
  return activate_config (c, config, sha256, command);
}

static struct control_result
apply_config (struct control_state *c, const json_t *command)
{
  const char *request_id;
  char sha256[SHA256_HEX_BYTES];
  struct json_report report;
  struct control_result r;
  const json_t *earlier;

  json_report_init (&report);
  json_check_object (command, config_rules, "", &report);
  if (report.faults != 0
      || !json_is_object (json_object_get (command, "document")))
    return result_json (
        STATUS_BAD_COMMAND,
        error_json ("invalid_command", report.faults != 0
                                           ? report.text
                                           : "document: must be an object"));
  request_id = json_get_text (command, "request_id", "");
  environment_sha256 (json_object_get (command, "document"), sha256);
  earlier = find_request (c, request_id);
  if (earlier != NULL)
    {
      if (strcmp (json_get_text (earlier, "sha256", ""), sha256) != 0)
        return result_json (
            STATUS_CONFLICT,
            error_json ("request_id_reused",
                        "request_id: was used for another document"));
      return (struct control_result){
        (int)json_get_integer (earlier, "status", STATUS_OK),
        strdup (json_get_text (earlier, "answer", "{}"))
      };
    }
  r = try_activate_config (c, command, sha256);
  store_request (c, request_id, sha256, &r);
  return r;
}

static struct group *
find_or_add_group (struct control_state *c, const char *domain)
{
  struct group *g = (struct group *)control_view_group (&c->view, domain);

  if (g != NULL)
    return g;
  if (c->view.group_count == DOMAIN_LIMIT || domain[0] == '\0')
    return NULL;
  g = &c->view.groups[c->view.group_count++];
  snprintf (g->domain, sizeof g->domain, "%s", domain);
  return g;
}

/* Replaces a group.  The command must carry the incarnation that follows the
   current one, so that of two concurrent changes only the first is applied. */
static struct control_result
apply_group (struct control_state *c, const json_t *command)
{
  struct control_view next;
  json_t *wrapper
      = json_build ("{s:[O]}", "groups", json_object_get (command, "group"));
  bool valid = control_view_from_json (&next, wrapper);
  struct group *g;

  json_decref (wrapper);
  if (!valid)
    return result_json (STATUS_BAD_COMMAND,
                        error_json ("invalid_command", "group: is not one"));
  g = find_or_add_group (c, next.groups[0].domain);
  if (g == NULL || next.groups[0].incarnation != g->incarnation + 1)
    return result_json (STATUS_CONFLICT,
                        error_json ("incarnation_conflict", "group changed"));
  *g = next.groups[0];
  return result_json (STATUS_OK, json_object ());
}

/* Marks a member of a group as synced.  Has no effect if the member has
   restarted since.  */
static struct control_result
apply_synced (struct control_state *c, const json_t *command)
{
  struct group *g = (struct group *)control_view_group (
      &c->view, json_get_text (command, "domain", ""));
  uint64_t incarnation
      = (uint64_t)json_get_integer (command, "incarnation", 0);
  uint64_t boot_id = (uint64_t)json_get_integer (command, "boot_id", 0);
  struct group_member *m;

  if (g == NULL || g->incarnation != incarnation)
    return result_json (STATUS_CONFLICT,
                        error_json ("incarnation_conflict", "group changed"));
  m = (struct group_member *)group_member_find (
      g, json_get_text (command, "vm", ""));
  if (m != NULL && m->boot_id == boot_id)
    m->synced = true;
  return result_json (STATUS_OK, json_object ());
}

struct control_result
control_state_apply (struct control_state *c, uint64_t index, const char *text,
                     uint32_t length)
{
  json_t *command = json_loadb (text, length, 0, NULL);
  const char *type = json_get_text (command, "type", "");
  struct control_result r;

  c->view.version = index;
  if (strcmp (type, "config") == 0)
    r = apply_config (c, command);
  else if (strcmp (type, "group") == 0)
    r = apply_group (c, command);
  else if (strcmp (type, "synced") == 0)
    r = apply_synced (c, command);
  else
    r = result_json (STATUS_BAD_COMMAND,
                     error_json ("invalid_command", "type: unknown"));
  json_decref (command);
  return r;
}

/* Returns a new reference to O, or an empty array if O is none.  */
static json_t *
array_or_empty (json_t *o)
{
  return json_is_array (o) ? json_incref (o) : json_array ();
}

char *
control_state_save (const struct control_state *c, uint32_t *length)
{
  json_t *o = json_build (
      "{s:o s:O? s:O s:O}", "view", control_view_to_json (&c->view),
      "document", c->config, "requests", c->requests, "history", c->history);
  char *text;

  if (o == NULL)
    return NULL;
  text = json_encode_new (o);
  *length = (uint32_t)strlen (text);
  return text;
}

void
control_state_load (struct control_state *c, const char *text, uint32_t length)
{
  json_t *o = json_loadb (text, length, 0, NULL);
  json_t *config = json_object_get (o, "document");

  json_decref (c->config);
  json_decref (c->requests);
  json_decref (c->history);
  c->config = json_is_object (config) ? json_incref (config) : NULL;
  c->requests = array_or_empty (json_object_get (o, "requests"));
  c->history = array_or_empty (json_object_get (o, "history"));
  control_view_from_json (&c->view, json_object_get (o, "view"));
  json_decref (o);
}

char *
control_command_group (const struct group *next, int64_t wall_ms)
{
  struct control_view v = { .group_count = 1 };
  json_t *view;
  json_t *o;
  char *text;

  v.groups[0] = *next;
  view = control_view_to_json (&v);
  o = json_build ("{s:s s:I s:O}", "type", "group", "wall_ms",
                  (json_int_t)wall_ms, "group",
                  json_array_get (json_object_get (view, "groups"), 0));
  text = json_encode_new (o);
  json_decref (view);
  return text;
}
