/* Commands for operators.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "coord/environment.h"
#include "tool/command.h"
#include "tool/http_client.h"

typedef void (*print_body) (const char *server, const json_t *body);

/* Sends a METHOD request for PATH to every server and prints each response
   with PRINT, or with --json all of them as one array.  */
static enum tool_exit
call_servers (const struct tool_options *o, const char *method,
              const char *path, print_body print)
{
  json_t *all = json_array ();
  enum tool_exit status = TOOL_OK;

  if (o->server_count == 0)
    {
      fprintf (stderr, "ragwortctl: --server is missing\n");
      status = TOOL_USAGE;
    }
  for (uint32_t i = 0; i < o->server_count; i++)
    {
      struct http_response r;

      http_client_call (o->servers[i], method, path, o->token, NULL,
                        o->timeout_ms, &r);
      if (r.status == 0)
        {
          fprintf (stderr, "%s: no answer\n", o->servers[i]);
          status = TOOL_UNREACHABLE;
        }
      else if (r.status >= 300)
        {
          const json_t *e = json_object_get (r.body, "error");

          fprintf (stderr, "%s: %s\n", o->servers[i],
                   json_get_text (e, "message", "refused"));
          status = TOOL_FAILED;
        }
      else if (o->json)
        json_array_append (all, r.body);
      else
        print (o->servers[i], r.body);
      http_response_done (&r);
    }
  if (o->json)
    command_print_json (all);
  json_decref (all);
  return status;
}

static void
print_members (const json_t *body)
{
  json_t *groups = json_object_get (json_object_get (body, "view"), "groups");
  json_t *g;
  size_t i;

  json_array_foreach (groups, i, g)
  {
    json_t *members = json_object_get (g, "members");
    json_t *m;
    size_t j;

    printf ("  group %s incarnation %lld:", json_get_text (g, "domain", ""),
            (long long)json_get_integer (g, "incarnation", 0));
    json_array_foreach (members, j, m)
        printf (" %s%s%s", json_get_text (m, "vm", ""),
                json_get_boolean (m, "synced", false) ? "" : " (joining)",
                json_get_boolean (m, "draining", false) ? " (draining)" : "");
    printf ("\n");
  }
}

static void
print_status (const char *server, const json_t *body)
{
  const char *name;
  json_t *value;

  printf ("%s (%s)\n", json_get_text (body, "vm", "?"), server);
  json_object_foreach ((json_t *)body, name, value)
  {
    char *text;

    if (json_is_object (value) || strcmp (name, "vm") == 0)
      continue;
    text = json_encode_with (value, 0);
    printf ("  %-16s %s\n", name, text);
    free (text);
  }
  print_members (body);
}

static void
print_counters (const char *server, const json_t *body)
{
  const char *name;
  json_t *value;

  printf ("%s (%s)\n", json_get_text (body, "vm", "?"), server);
  json_object_foreach (json_object_get (body, "counters"), name, value)
      printf ("  %-22s %lld\n", name, (long long)json_integer_value (value));
}

static void
print_targets (const char *server, const json_t *body)
{
  json_t *array = json_object_get (body, "targets");
  json_t *t;
  size_t i;

  printf ("%s (%s): %zu targets\n", json_get_text (body, "vm", "?"), server,
          json_array_size (array));
  json_array_foreach (array, i, t)
      printf ("  %-40s rack %-10s slots %lld/%lld %s%s%s\n",
              json_get_text (t, "target", ""), json_get_text (t, "rack", ""),
              (long long)json_get_integer (t, "in_use", 0),
              (long long)json_get_integer (t, "slots", 0),
              json_get_boolean (t, "usable", false) ? "usable" : "unusable",
              json_get_boolean (t, "leaving", false) ? " leaving" : "",
              json_get_boolean (t, "ejected", false) ? " ejected" : "");
}

static void
print_stop (const char *server, const json_t *body)
{
  (void)body;
  printf ("%s: stopping\n", server);
}

enum tool_exit
command_status (const struct tool_options *o)
{
  return call_servers (o, "GET", "/v1/status", print_status);
}

enum tool_exit
command_counters (const struct tool_options *o)
{
  return call_servers (o, "GET", "/v1/counters", print_counters);
}

enum tool_exit
command_target_list (const struct tool_options *o)
{
  return call_servers (o, "GET", "/v1/targets", print_targets);
}

enum tool_exit
command_stop (const struct tool_options *o)
{
  return call_servers (o, "POST", "/v1/stop", print_stop);
}

enum tool_exit
command_events (const struct tool_options *o)
{
  static const char *const levels[] = { "debug", "info", "warning", "error" };

  (void)o;
  printf ("# Events\n\nMade by `ragwortctl events` from "
          "`src/base/event_table.h`; a test compares the two.\n\n"
          "| number | event | level | what happened | what to do |\n"
          "| --- | --- | --- | --- | --- |\n");
  for (const struct event_info *e = event_catalogue; e->number != 0; e++)
    printf ("| %d | %s | %s | %s | %s |\n", e->number, e->name,
            levels[e->level], e->text, e->action);
  return TOOL_OK;
}

enum tool_exit
command_token_hash (const struct tool_options *o)
{
  char sha256[SHA256_HEX_BYTES];

  sha256_text (o->operands[0], strlen (o->operands[0]), sha256);
  puts (sha256);
  return TOOL_OK;
}
