/* Commands that evacuate failure domains of an open deployment, at its
   keepers.  */
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "base/json_check.h"
#include "base/now.h"
#include "tool/command.h"
#include "tool/http_client.h"

enum
{
  /* A keeper answers within 0.9 s; without an answer another one is tried, and
     the call is repeated for as long as an election may take.  */
  CALL_MS = 1000,
  TOTAL_MS = 5000,
  PAUSE_US = 100000,

  REDIRECT_LIMIT = 2,
  STATUS_OK = 200,
  STATUS_REDIRECT = 307,
  STATUS_BAD_REQUEST = 400,
  PATH_BYTES = 256,
  SERVER_BYTES = 64,
  TIME_BYTES = 32
};

static const char list_path[] = "/v1/evacuations";

/* Copies the host and port of the URL LOCATION to SERVER.  */
static bool
read_location (const char *location, char server[SERVER_BYTES])
{
  static const char scheme[] = "http://";
  size_t length;

  if (strncmp (location, scheme, sizeof scheme - 1) != 0)
    return false;
  location += sizeof scheme - 1;
  length = strcspn (location, "/");
  if (length == 0 || length >= SERVER_BYTES)
    return false;
  memcpy (server, location, length);
  server[length] = '\0';
  return true;
}

/* Calls SERVER, and the keepers that it redirects to.  */
static void
call_leader (const struct tool_options *o, const char *server,
             const char *method, const char *path, struct http_response *r)
{
  char next[SERVER_BYTES];

  http_client_call (server, method, path, o->token, NULL, CALL_MS, r);
  for (int i = 0; i < REDIRECT_LIMIT && r->status == STATUS_REDIRECT
                  && read_location (r->location, next);
       i++)
    {
      http_response_done (r);
      http_client_call (next, method, path, o->token, NULL, CALL_MS, r);
    }
}

/* Calls the servers in turn until one answers 200 or refuses the call for
   good, for at most TOTAL_MS.  */
static void
call_until_clear (const struct tool_options *o, const char *method,
                  const char *path, struct http_response *r)
{
  int64_t end = now_ms () + TOTAL_MS;
  const struct timespec pause = { 0, PAUSE_US * 1000L };

  for (uint32_t i = 0;; i++)
    {
      call_leader (o, o->servers[i % o->server_count], method, path, r);
      if (r->status == STATUS_OK || r->status == STATUS_BAD_REQUEST
          || now_ms () >= end)
        return;
      http_response_done (r);
      nanosleep (&pause, NULL);
    }
}

static enum tool_exit
report_failure (const struct http_response *r)
{
  const json_t *e = json_object_get (r->body, "error");

  if (r->status == 0)
    {
      fprintf (stderr, "ragwortctl: no keeper answered\n");
      return TOOL_UNREACHABLE;
    }
  fprintf (stderr, "ragwortctl: status %d: %s\n", r->status,
           json_get_text (e, "message", "refused"));
  return r->status == STATUS_BAD_REQUEST ? TOOL_FAILED : TOOL_UNKNOWN;
}

static bool
has_server (const struct tool_options *o)
{
  if (o->server_count == 0)
    fprintf (stderr, "ragwortctl: --server is missing\n");
  return o->server_count != 0;
}

static enum tool_exit
order (const struct tool_options *o, const char *method, const char *done)
{
  struct http_response r;
  enum tool_exit status = TOOL_OK;
  char path[PATH_BYTES];
  char *name;

  if (!has_server (o))
    return TOOL_USAGE;
  name = evhttp_uriencode (o->operands[0], -1, 0);
  snprintf (path, sizeof path, "%s/%s", list_path, name);
  free (name);
  call_until_clear (o, method, path, &r);
  if (r.status == STATUS_OK)
    printf ("%s: %s\n", o->operands[0], done);
  else
    status = report_failure (&r);
  http_response_done (&r);
  return status;
}

enum tool_exit
command_evacuate (const struct tool_options *o)
{
  return order (o, "PUT", "evacuation ordered");
}

enum tool_exit
command_evacuate_end (const struct tool_options *o)
{
  return order (o, "DELETE", "evacuation ended");
}

static void
print_set (const json_t *body)
{
  size_t i;
  json_t *e;

  json_array_foreach (json_object_get (body, "list"), i, e)
  {
    time_t since = (time_t)(json_get_integer (e, "since", 0) / 1000);
    char text[TIME_BYTES];
    struct tm utc;

    gmtime_r (&since, &utc);
    strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
    printf ("%-24s since %s version %lld\n", json_get_text (e, "domain", ""),
            text, (long long)json_get_integer (e, "version", 0));
  }
  printf ("%zu evacuated, version %lld\n",
          json_array_size (json_object_get (body, "list")),
          (long long)json_get_integer (body, "version", 0));
}

enum tool_exit
command_evacuations (const struct tool_options *o)
{
  struct http_response r;
  enum tool_exit status = TOOL_OK;

  if (!has_server (o))
    return TOOL_USAGE;
  call_until_clear (o, "GET", list_path, &r);
  if (r.status != STATUS_OK)
    status = report_failure (&r);
  else if (o->json)
    command_print_json (r.body);
  else
    print_set (r.body);
  http_response_done (&r);
  return status;
}
