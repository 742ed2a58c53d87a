#include "net/target_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include "base/now.h"

enum
{
  STATUS_OK = 200,
  STOP_TIMEOUT_MS = 2000,
  RESULT_BYTES_MAXIMUM = 1 << 20
};

struct client_connection
{
  struct target_client *client;
  struct evhttp_connection *evcon;
  struct client_connection *next_idle;
};

struct target_client
{
  struct event_base *base;
  char address[ADDRESS_BYTES];
  uint16_t port;
  char host[ADDRESS_BYTES + 8];
  uint32_t connections_maximum;
  struct client_connection *idle;
  uint32_t open_count;
  uint32_t busy_count;
  uint32_t in_callback;
  bool freed;
};

/* A request in progress; DONE is NULL for a stop.  */
struct client_request
{
  struct client_connection *connection;
  target_done done;
  void *arg;
  int64_t sent_us;
};

struct target_client *
target_client_new (struct event_base *base, const char *address, uint16_t port,
                   uint32_t connections)
{
  struct target_client *c = calloc (1, sizeof *c);

  c->base = base;
  snprintf (c->address, sizeof c->address, "%s", address);
  c->port = port;
  snprintf (c->host, sizeof c->host, "%s:%u", address, port);
  c->connections_maximum = connections;
  return c;
}

static void
close_connection (struct client_connection *conn)
{
  conn->client->open_count--;
  evhttp_connection_free (conn->evcon);
  free (conn);
}

static void
finish_free (struct target_client *c)
{
  while (c->idle != NULL)
    {
      struct client_connection *conn = c->idle;

      c->idle = conn->next_idle;
      close_connection (conn);
    }
  free (c);
}

static struct client_connection *
acquire_connection (struct target_client *c)
{
  struct client_connection *conn = c->idle;

  c->busy_count++;
  if (conn != NULL)
    {
      c->idle = conn->next_idle;
      return conn;
    }
  conn = calloc (1, sizeof *conn);
  conn->client = c;
  conn->evcon = evhttp_connection_base_bufferevent_new (c->base, NULL, NULL,
                                                        c->address, c->port);
  evhttp_connection_set_retries (conn->evcon, 0);
  evhttp_connection_set_max_body_size (conn->evcon, RESULT_BYTES_MAXIMUM);
  c->open_count++;
  return conn;
}

static void
release_connection (struct client_connection *conn)
{
  struct target_client *c = conn->client;

  c->busy_count--;
  conn->next_idle = c->idle;
  c->idle = conn;
}

static void
on_free_later (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  finish_free (arg);
}

/* evhttp still uses the connection after the callback of a request, so the
   client and its connections are freed from the event loop.  */
static void
free_if_unused (struct target_client *c)
{
  struct timeval no_delay = now_timeval (0);

  if (c->freed && c->busy_count == 0 && c->in_callback == 0)
    event_base_once (c->base, -1, EV_TIMEOUT, on_free_later, c, &no_delay);
}

void
target_client_free (struct target_client *c)
{
  c->freed = true;
  free_if_unused (c);
}

/* Completes Q.  Its callback may free the client.  */
static void
finish_request (struct client_request *q, struct outcome outcome, char *result)
{
  struct target_client *c = q->connection->client;

  release_connection (q->connection);
  c->in_callback++;
  if (q->done != NULL)
    q->done (q->arg, outcome, result, now_us () - q->sent_us);
  else
    free (result);
  c->in_callback--;
  free (q);
  free_if_unused (c);
}

static bool
is_marked_not_run (struct evhttp_request *request)
{
  const char *v = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Ragwort-Outcome");

  return v != NULL && strcmp (v, "not_run") == 0;
}

/* Returns the outcome of REQUEST.  evhttp passes NULL if the connection failed
   after it was established, so that bytes may have been sent, and a request
   with code 0 if the connection was never established.  */
static struct outcome
read_outcome (struct evhttp_request *request, char **result)
{
  struct evbuffer *body;
  size_t length;
  json_t *value;

  if (request == NULL)
    return outcome_unknown ();
  if (evhttp_request_get_response_code (request) == 0)
    return outcome_not_run (PROOF_NOT_CONNECTED);
  if (is_marked_not_run (request))
    return outcome_not_run (PROOF_TARGET_REFUSED);
  if (evhttp_request_get_response_code (request) != STATUS_OK)
    return outcome_failed ();
  body = evhttp_request_get_input_buffer (request);
  length = evbuffer_get_length (body);
  value = json_loadb (length == 0 ? ""
                                  : (const char *)evbuffer_pullup (body, -1),
                      length, JSON_DECODE_ANY, NULL);
  if (value == NULL)
    return outcome_failed ();
  json_decref (value);
  *result = malloc (length + 1);
  evbuffer_copyout (body, *result, length);
  (*result)[length] = '\0';
  return outcome_done ();
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct client_request *q = arg;
  char *result = NULL;
  struct outcome outcome = read_outcome (request, &result);

  finish_request (q, outcome, result);
}

/* Runs if connecting failed immediately: evhttp_make_request then returns an
   error without a callback.  */
static void
on_connect_failed (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  finish_request (arg, outcome_not_run (PROOF_NOT_CONNECTED), NULL);
}

static void
send_request (struct target_client *c, const char *path, int64_t timeout_ms,
              struct client_request *q, struct evhttp_request *request,
              const char *body)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct timeval t
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  struct timeval no_delay = now_timeval (0);

  evhttp_add_header (headers, "Host", c->host);
  evbuffer_add (evhttp_request_get_output_buffer (request), body,
                strlen (body));
  evhttp_connection_set_timeout_tv (q->connection->evcon, &t);
  if (evhttp_make_request (q->connection->evcon, request, EVHTTP_REQ_POST,
                           path)
      != 0)
    event_base_once (c->base, -1, EV_TIMEOUT, on_connect_failed, q, &no_delay);
}

static struct client_request *
request_new (struct target_client *c, target_done done, void *arg)
{
  struct client_request *q = malloc (sizeof *q);

  q->connection = acquire_connection (c);
  q->done = done;
  q->arg = arg;
  q->sent_us = now_us ();
  return q;
}

void
target_client_start (struct target_client *c, const struct target_start *s,
                     target_done done, void *arg)
{
  struct client_request *q = request_new (c, done, arg);
  struct evhttp_request *request = evhttp_request_new (on_response, q);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char start_text[NAME_BYTES + 64];

  evhttp_add_header (headers, "Ragwort-Task", s->task);
  evhttp_add_header (headers, "Ragwort-Kind", s->kind);
  snprintf (start_text, sizeof start_text,
            "incarnation=%" PRIu64 "; timeout_ms=%" PRId64 "; owner=%s",
            s->incarnation, s->timeout_ms, s->owner);
  evhttp_add_header (headers, "Ragwort-Start", start_text);
  send_request (c, "/v1/tasks/start", s->timeout_ms, q, request, s->payload);
}

void
target_client_stop (struct target_client *c, const char *task)
{
  struct client_request *q;
  struct evhttp_request *request;

  if (c->open_count >= c->connections_maximum && c->idle == NULL)
    return;
  q = request_new (c, NULL, NULL);
  request = evhttp_request_new (on_response, q);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Ragwort-Task", task);
  send_request (c, "/v1/tasks/stop", STOP_TIMEOUT_MS, q, request, "{}");
}
