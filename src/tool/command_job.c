/* Commands for callers: submit, request, wait and cancel.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/json_check.h"
#include "base/json_text.h"
#include "tool/command.h"
#include "tool/http_client.h"

enum
{
  POLL_MIN_MS = 50,
  POLL_MAX_MS = 1000
};

static enum tool_exit
exit_code (const struct http_response *r)
{
  const char *state = json_get_text (r->body, "state", "");
  const char *outcome = json_get_text (r->body, "outcome", "");

  if (r->status == 0)
    return r->sent ? TOOL_UNKNOWN : TOOL_UNREACHABLE;
  if (strcmp (outcome, "unknown") == 0)
    return TOOL_UNKNOWN;
  if (r->status < 300
      && (strcmp (state, "complete") == 0 || strcmp (state, "accepted") == 0
          || strcmp (state, "cancelling") == 0))
    return TOOL_OK;
  return TOOL_FAILED;
}

static void
print_error (const json_t *body)
{
  const json_t *e = json_object_get (body, "error");

  if (e != NULL)
    printf ("%s: %s\n", json_get_text (e, "code", "error"),
            json_get_text (e, "message", ""));
  if (json_object_get (body, "outcome") != NULL)
    printf ("outcome: %s\n", json_get_text (body, "outcome", ""));
}

static void
print_list (const json_t *body, const char *field)
{
  json_t *array = json_object_get (body, field);
  json_t *o;
  size_t i;

  json_array_foreach (array, i, o)
  {
    char *text = json_encode (o);

    printf ("  %zu: %s\n", i, text);
    free (text);
  }
}

static void
print_response (const struct tool_options *o, const struct http_response *r)
{
  if (o->json)
    {
      command_print_json (r->body);
      return;
    }
  if (r->status == 0)
    {
      printf ("no answer from %s%s\n", o->servers[0],
              r->sent ? "; the submission may have run" : "");
      return;
    }
  if (json_object_get (r->body, "state") != NULL)
    printf ("%s %s\n", json_get_text (r->body, "key", ""),
            json_get_text (r->body, "state", ""));
  print_list (r->body, "results");
  print_error (r->body);
  print_list (r->body, "tasks");
  if (json_object_get (r->body, "result") != NULL)
    command_print_json (json_object_get (r->body, "result"));
  if (r->key_prefix[0] != '\0')
    printf ("key prefix for new submissions: %s\n", r->key_prefix);
}

static bool
check_server (const struct tool_options *o)
{
  if (o->server_count != 0)
    return true;
  fprintf (stderr, "ragwortctl: --server is missing\n");
  return false;
}

static enum tool_exit
send_file (const struct tool_options *o, const char *path)
{
  char *text;
  json_t *body;
  json_error_t e;
  struct http_response r;
  enum tool_exit status;

  if (!check_server (o))
    return TOOL_USAGE;
  text = command_read_file (o, 0);
  if (text == NULL)
    return TOOL_USAGE;
  body = json_loads (text, 0, &e);
  if (o->key != NULL && json_is_object (body))
    {
      json_object_set_new (body, "key", json_from_text (o->key));
      free (text);
      text = json_encode (body);
    }
  json_decref (body);
  http_client_call (o->servers[0], "POST", path, o->token, text, o->timeout_ms,
                    &r);
  print_response (o, &r);
  status = exit_code (&r);
  http_response_done (&r);
  free (text);
  return status;
}

enum tool_exit
command_submit (const struct tool_options *o)
{
  return send_file (o, "/v1/jobs");
}

enum tool_exit
command_request (const struct tool_options *o)
{
  return send_file (o, "/v1/requests");
}

enum tool_exit
command_wait (const struct tool_options *o)
{
  int64_t waited_ms = 0;
  int64_t pause_ms = POLL_MIN_MS;
  char path[256];

  if (!check_server (o))
    return TOOL_USAGE;
  snprintf (path, sizeof path, "/v1/jobs/%s", o->operands[0]);
  for (;;)
    {
      struct http_response r;
      enum tool_exit status;
      bool running;

      http_client_call (o->servers[0], "GET", path, o->token, NULL,
                        o->timeout_ms, &r);
      running = r.status == 202 && waited_ms < o->timeout_ms;
      if (!running)
        print_response (o, &r);
      status = exit_code (&r);
      http_response_done (&r);
      if (!running)
        return status;
      fprintf (stderr, "running, %lld ms\n", (long long)waited_ms);
      usleep ((useconds_t)pause_ms * 1000);
      waited_ms += pause_ms;
      pause_ms = pause_ms * 2 > POLL_MAX_MS ? POLL_MAX_MS : pause_ms * 2;
    }
}

enum tool_exit
command_cancel (const struct tool_options *o)
{
  struct http_response r;
  enum tool_exit status;
  char path[256];

  if (!check_server (o))
    return TOOL_USAGE;
  snprintf (path, sizeof path, "/v1/jobs/%s", o->operands[0]);
  http_client_call (o->servers[0], "DELETE", path, o->token, NULL,
                    o->timeout_ms, &r);
  print_response (o, &r);
  status = exit_code (&r);
  http_response_done (&r);
  return status;
}
