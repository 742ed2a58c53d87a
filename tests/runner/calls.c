#include "tests/runner/calls.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"

enum
{
  CALL_TIMEOUT_S = 60
};

struct pending_call
{
  struct calls *calls;
  struct call *call;
  struct evhttp_connection *connection;
};

void
calls_init (struct calls *c, struct event_base *base)
{
  memset (c, 0, sizeof *c);
  c->base = base;
  c->last = &c->first;
}

void
calls_done (struct calls *c)
{
  while (c->first != NULL)
    {
      struct call *call = c->first;

      c->first = call->next;
      json_decref (call->body);
      free (call->text);
      free (call);
    }
}

static void
on_free (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (arg);
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct pending_call *p = arg;
  struct call *call = p->call;
  struct timeval now = now_timeval (0);

  call->done = true;
  call->answered_wall_ms = now_wall_ms ();
  p->calls->pending_count--;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    call->lost = true;
  else
    {
      struct evbuffer *in = evhttp_request_get_input_buffer (request);
      size_t n = evbuffer_get_length (in);

      call->status = evhttp_request_get_response_code (request);
      call->text = calloc (1, n + 1);
      evbuffer_copyout (in, call->text, n);
      call->body = json_loadb (call->text, n, 0, NULL);
    }
  event_base_once (p->calls->base, -1, EV_TIMEOUT, on_free, p->connection,
                   &now);
  free (p);
}

static enum evhttp_cmd_type
method_type (const char *method)
{
  if (strcmp (method, "POST") == 0)
    return EVHTTP_REQ_POST;
  return strcmp (method, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

struct call *
calls_send (struct calls *c, const struct cluster_vm *vm, const char *method,
            const char *path, const char *token, const char *body)
{
  struct pending_call *p = calloc (1, sizeof *p);
  struct call *call = calloc (1, sizeof *call);
  struct evhttp_request *request = evhttp_request_new (on_response, p);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char bearer[128];

  *c->last = call;
  c->last = &call->next;
  c->pending_count++;
  snprintf (call->vm, sizeof call->vm, "%s", vm->name);
  call->sent_wall_ms = now_wall_ms ();
  p->calls = c;
  p->call = call;
  p->connection
      = evhttp_connection_base_new (c->base, NULL, vm->address, HTTP_PORT);
  evhttp_connection_set_timeout (p->connection, CALL_TIMEOUT_S);
  snprintf (bearer, sizeof bearer, "Bearer %s", token);
  evhttp_add_header (headers, "Host", vm->address);
  evhttp_add_header (headers, "Authorization", bearer);
  evhttp_add_header (headers, "Connection", "close");
  if (body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), body,
                  strlen (body));
  evhttp_make_request (p->connection, request, method_type (method), path);
  return call;
}

const char *
call_state (const struct call *c)
{
  const char *outcome = json_get_text (c->body, "outcome", "");
  const char *state = json_get_text (c->body, "state", "");

  if (!c->done)
    return "open";
  if (c->lost)
    return "lost";
  if (strcmp (state, "complete") == 0 || strcmp (state, "accepted") == 0)
    return state;
  if (outcome[0] != '\0' && strcmp (outcome, "ran") != 0)
    return outcome;
  if (strcmp (state, "failed") == 0)
    return state;
  return c->status < 300 ? "ok" : "error";
}
