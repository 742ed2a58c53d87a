/* Commands for the environment's configuration.  */
#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "coord/environment.h"
#include "tool/command.h"
#include "tool/http_client.h"

enum
{
  ROLLOUT_POLL_MS = 100
};

static json_t *
read_config (const struct tool_options *o)
{
  struct json_report r;
  char *text = command_read_file (o, 0);
  json_error_t e;
  json_t *config;

  if (text == NULL)
    return NULL;
  config = json_loads (text, JSON_REJECT_DUPLICATES, &e);
  free (text);
  json_report_init (&r);
  if (config == NULL)
    json_report_add (&r, o->operands[0], "not JSON at line %d, column %d: %s",
                     e.line, e.column, e.text);
  else
    environment_check (config, o->environment, &r);
  if (r.faults == 0)
    return config;
  printf ("%s\n", r.text);
  json_decref (config);
  return NULL;
}

enum tool_exit
command_config_check (const struct tool_options *o)
{
  char sha256[SHA256_HEX_BYTES];
  json_t *config;

  if (access (o->operands[0], R_OK) != 0)
    {
      perror (o->operands[0]);
      return TOOL_USAGE;
    }
  config = read_config (o);
  if (config == NULL)
    return TOOL_FAILED;
  environment_sha256 (config, sha256);
  if (o->json)
    printf ("{\"valid\": true, \"sha256\": \"%s\"}\n", sha256);
  else
    printf ("valid, sha256 %s\n", sha256);
  json_decref (config);
  return TOOL_OK;
}

/* Fetches the configuration at SERVER and its rollout state into R.  Returns
   false after printing an error.  */
static bool
fetch_config (const char *server, const char *token, int64_t timeout_ms,
              struct http_response *r)
{
  http_client_call (server, "GET", "/v1/config", token, NULL, timeout_ms, r);
  if (r->status == 200)
    return true;
  fprintf (stderr, "%s: %s\n", server,
           r->status == 0 ? "no answer"
                          : json_get_text (json_object_get (r->body, "error"),
                                           "message", "refused"));
  http_response_done (r);
  return false;
}

static void
print_rollout (const json_t *body)
{
  static const char *const lists[] = { "taken", "waiting", "silent" };
  const json_t *rollout = json_object_get (body, "spread");

  for (int i = 0; i < 3; i++)
    {
      json_t *array = json_object_get (rollout, lists[i]);
      json_t *v;
      size_t j;

      printf ("%-8s", lists[i]);
      json_array_foreach (array, j, v) printf (" %s", json_string_value (v));
      printf ("\n");
    }
}

enum tool_exit
command_config_show (const struct tool_options *o)
{
  struct http_response r;

  if (o->server_count == 0)
    {
      fprintf (stderr, "ragwortctl: --server is missing\n");
      return TOOL_USAGE;
    }
  if (!fetch_config (o->servers[0], o->token, o->timeout_ms, &r))
    return TOOL_UNREACHABLE;
  if (o->json)
    command_print_json (r.body);
  else
    {
      printf ("number %lld, sha256 %s, %s\n",
              (long long)json_get_integer (r.body, "number", 0),
              json_get_text (r.body, "sha256", ""),
              json_get_boolean (r.body, "in_force", false)
                  ? "in force at every responsive VM"
                  : "not yet in force everywhere");
      print_rollout (r.body);
    }
  http_response_done (&r);
  return TOOL_OK;
}

/* Waits until configuration NUMBER is in force at every responsive VM, or the
   timeout expires.  */
static enum tool_exit
wait_for_rollout (const struct tool_options *o, int64_t number)
{
  int64_t begun_ms = now_ms ();

  for (;;)
    {
      struct http_response r;
      bool in_force;

      if (!fetch_config (o->servers[0], o->token, o->timeout_ms, &r))
        return TOOL_UNKNOWN;
      in_force = json_get_boolean (r.body, "in_force", false)
                 && json_get_integer (r.body, "number", 0) >= number;
      if (in_force || now_ms () - begun_ms > o->timeout_ms)
        {
          if (!o->json)
            {
              printf ("%s after %lld ms\n",
                      in_force ? "in force" : "not yet in force",
                      (long long)(now_ms () - begun_ms));
              print_rollout (r.body);
            }
          http_response_done (&r);
          return in_force ? TOOL_OK : TOOL_UNKNOWN;
        }
      http_response_done (&r);
      usleep (ROLLOUT_POLL_MS * 1000);
    }
}

/* Returns the configuration number to replace: --expect, or the one in force.
   Returns -1 after printing an error.  */
static int64_t
expected_number (const struct tool_options *o)
{
  struct http_response r;
  int64_t number;

  if (o->expect >= 0)
    return o->expect;
  if (!fetch_config (o->servers[0], o->token, o->timeout_ms, &r))
    return -1;
  number = json_get_integer (r.body, "number", 0);
  http_response_done (&r);
  return number;
}

/* Sends COMMAND and waits until its configuration is in force.  The request id
   makes a retry idempotent: it gets the same answer.  */
static enum tool_exit
send_config (const struct tool_options *o, json_t *command)
{
  char request_id[40];
  struct http_response r;
  enum tool_exit status;
  uint64_t random;
  int64_t number;
  char *text;

  RAND_bytes ((unsigned char *)&random, sizeof random);
  snprintf (request_id, sizeof request_id, "ctl-%" PRIx64, random);
  json_object_set_new (
      command, "request_id",
      json_from_text (o->request_id == NULL ? request_id : o->request_id));
  json_object_set_new (command, "operator", json_from_text (o->operator_name));
  text = json_encode (command);
  http_client_call (o->servers[0], "POST", "/v1/config/accept", o->token, text,
                    o->timeout_ms, &r);
  free (text);
  number = json_get_integer (r.body, "number", 0);
  if (r.status == 200)
    {
      if (o->json)
        command_print_json (r.body);
      else
        printf ("accepted as number %lld, sha256 %s\n", (long long)number,
                json_get_text (r.body, "sha256", ""));
      status = wait_for_rollout (o, number);
    }
  else
    {
      printf ("%s (request id %s)\n",
              r.status == 0 ? "no answer; repeat with the same request id"
                            : json_get_text (json_object_get (r.body, "error"),
                                             "message", "refused"),
              o->request_id == NULL ? request_id : o->request_id);
      status = r.status == 0 || r.status == 503 ? TOOL_UNKNOWN : TOOL_FAILED;
    }
  http_response_done (&r);
  return status;
}

enum tool_exit
command_config_accept (const struct tool_options *o)
{
  json_t *config;
  json_t *command;
  enum tool_exit status;
  int64_t expect;

  if (o->server_count == 0)
    return TOOL_USAGE;
  config = read_config (o);
  if (config == NULL)
    return TOOL_FAILED;
  expect = expected_number (o);
  if (expect < 0)
    {
      json_decref (config);
      return TOOL_UNREACHABLE;
    }
  command = json_build ("{s:I s:o}", "expect", (json_int_t)expect, "document",
                        config);
  status = send_config (o, command);
  json_decref (command);
  return status;
}

enum tool_exit
command_config_promote (const struct tool_options *o)
{
  struct http_response r;
  json_t *command;
  enum tool_exit status;
  int64_t expect;

  if (o->server_count == 0 || o->from == NULL)
    {
      fprintf (stderr, "ragwortctl: --server or --from is missing\n");
      return TOOL_USAGE;
    }
  if (!fetch_config (o->from, o->from_token == NULL ? o->token : o->from_token,
                     o->timeout_ms, &r))
    return TOOL_UNREACHABLE;
  expect = expected_number (o);
  if (expect < 0 || !json_is_object (json_object_get (r.body, "document")))
    {
      fprintf (stderr, "ragwortctl: nothing to promote\n");
      http_response_done (&r);
      return TOOL_FAILED;
    }
  command = json_build ("{s:I s:O s:s s:s}", "expect", (json_int_t)expect,
                        "document", json_object_get (r.body, "document"),
                        "promoted_from", "trial", "promoted_sha256",
                        json_get_text (r.body, "sha256", ""));
  http_response_done (&r);
  status = send_config (o, command);
  json_decref (command);
  return status;
}
