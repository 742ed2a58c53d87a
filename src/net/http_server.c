#include "net/http_server.h"

#include <errno.h>
#include <evhtp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_text.h"
#include "base/now.h"
#include "base/utf8.h"
#include "net/http_intake.h"
#include "net/http_listener.h"

enum
{
  BACKLOG = 1024,
  ERROR_TEXT_BYTES = 4200,
  STATUS_INTERNAL = 500,

  /* The other side has closed or reset the connection.  */
  POLL_ENDED = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL
};

struct http_server
{
  evhtp_t *htp;
  http_handler handler;
  void *arg;
  struct timeval idle;
  struct http_intake intake;
  uint32_t open_calls;
  bool closed;
  int64_t accepted_ms; /* all connections that came before are accepted */
  struct http_connection *open;
};

/* An accepted connection.  */
struct http_connection
{
  struct intake_client client;
  struct http_server *server;
  evhtp_connection_t *conn;
  struct http_call *call; /* pending, or NULL */
  int64_t read_ms;        /* all requests that were sent before are read */
  struct http_connection *prev;
  struct http_connection *next;
};

struct http_call *
http_call_hold (struct http_call *c)
{
  c->references++;
  return c;
}

void
http_call_release (struct http_call *c)
{
  if (--c->references != 0)
    return;
  free (c->body);
  free (c);
}

static void
detach (struct http_call *c)
{
  c->request = NULL;
  if (c->connection != NULL)
    c->connection->call = NULL;
  c->connection = NULL;
  c->server->open_calls--;
  c->disconnected = NULL;
}

/* The request is about to be freed: it was answered, or its caller has
   disconnected.  */
static evhtp_res
on_request_fini (evhtp_request_t *request, void *arg)
{
  struct http_call *c = arg;

  (void)request;
  if (c->request != NULL)
    {
      void (*callback) (void *, struct http_call *) = c->disconnected;
      void *callback_arg = c->disconnected_arg;

      detach (c);
      if (callback != NULL)
        callback (callback_arg, c);
    }
  http_call_release (c);
  return EVHTP_RES_OK;
}

static enum http_method
method_of (const evhtp_request_t *request)
{
  switch (request->method)
    {
    case htp_method_GET:
      return HTTP_GET;
    case htp_method_POST:
      return HTTP_POST;
    case htp_method_PUT:
      return HTTP_PUT;
    case htp_method_DELETE:
      return HTTP_DELETE;
    default:
      return HTTP_OTHER;
    }
}

static bool
is_text (const char *text)
{
  return text == NULL || utf8_is_text (text, strlen (text));
}

/* Returns the name of a part of C's request that handlers may pass on as text
   and that is no UTF-8, or NULL if there is none.  A body is checked by its
   decoder.  */
static const char *
find_invalid_text (const struct http_call *c)
{
  static const char *const headers[] = { "Host", "Authorization" };

  if (!is_text (c->path))
    return "path";
  if (!is_text (c->query))
    return "query";
  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    if (!is_text (http_call_header (c, headers[i])))
      return headers[i];
  return NULL;
}

/* Refuses C if no handler can serve it.  Returns whether it did.  */
static bool
refuse_unservable (struct http_call *c)
{
  const char *invalid = find_invalid_text (c);

  if (invalid != NULL)
    {
      event_ring_add (EVENT_CALLER_REFUSED, c->path,
                      "status=400 why=not_text part=%s", invalid);
      http_call_refuse (c, 400, "not_text", "not_run", "%s: is not UTF-8",
                        invalid);
      return true;
    }
  return false;
}

static void
on_request (evhtp_request_t *request, void *arg)
{
  struct http_server *s = arg;
  struct http_connection *connection
      = request->conn->hooks->on_connection_fini_arg;
  struct http_call *c = calloc (1, sizeof *c);

  c->references = 1;
  c->request = request;
  c->server = s;
  c->connection = connection;
  c->sent_after_ms = connection->read_ms;
  connection->call = c;
  c->method = method_of (request);
  c->path = request->uri->path->full;
  c->query = http_intake_query (&connection->client);
  http_intake_take_body (&connection->client, &c->body, &c->body_length);
  s->open_calls++;
  counters_add (COUNTER_HTTP_REQUESTS, 1);
  evhtp_request_set_hook (request, evhtp_hook_on_request_fini,
                          (evhtp_hook)on_request_fini, c);
  /* The idle timeout must not close a connection whose request is pending.  */
  bufferevent_set_timeouts (request->conn->bev, NULL, NULL);
  if (!refuse_unservable (c))
    s->handler (s->arg, c);
}

/* Where errno is EAGAIN, evhtp takes the end of a connection for a failed read
   and reads again.  But errno is that of any earlier call then, such as the
   last accept of this pass.  */
static void
on_connection_event (evhtp_connection_t *conn, short what, void *arg)
{
  (void)conn;
  (void)arg;
  if ((what & BEV_EVENT_EOF) != 0)
    errno = 0;
}

static evhtp_res
on_connection_fini (evhtp_connection_t *conn, void *arg)
{
  struct http_connection *c = arg;

  (void)conn;
  if (c->call != NULL)
    c->call->connection = NULL;
  http_intake_remove (&c->client);
  DL_DELETE (c->server->open, c);
  free (c);
  return EVHTP_RES_OK;
}

static evhtp_res
on_accept (evhtp_connection_t *conn, void *arg)
{
  struct http_server *s = arg;
  struct http_connection *c;

  if (!http_intake_admit (&s->intake))
    {
      counters_add (COUNTER_HTTP_REFUSED, 1);
      return EVHTP_RES_ERROR;
    }
  c = calloc (1, sizeof *c);
  c->server = s;
  c->conn = conn;
  c->read_ms = s->accepted_ms;
  DL_APPEND (s->open, c);
  evhtp_connection_set_hook (conn, evhtp_hook_on_event,
                             (evhtp_hook)(void (*) (void))on_connection_event,
                             NULL);
  evhtp_connection_set_hook (conn, evhtp_hook_on_connection_fini,
                             (evhtp_hook)on_connection_fini, c);
  http_intake_add (&s->intake, &c->client, conn);
  return EVHTP_RES_OK;
}

/* The limits that SETTINGS say; those that are 0 have defaults.  */
static struct client_limits
limits_of (const struct settings *settings)
{
  struct client_limits l;

  client_limits_init (&l);
  l.framing.body_bytes = settings->body_bytes;
  l.connections = settings->connections;
  l.idle_ms = settings->idle_timeout_ms;
  if (settings->head_bytes != 0)
    l.framing.head_bytes = settings->head_bytes;
  if (settings->head_timeout_ms != 0)
    l.head_ms = settings->head_timeout_ms;
  if (settings->body_timeout_ms != 0)
    l.body_ms = settings->body_timeout_ms;
  if (settings->answer_timeout_ms != 0)
    l.answer_ms = settings->answer_timeout_ms;
  if (settings->client_bytes != 0)
    l.budget_bytes = settings->client_bytes;
  return l;
}

static bool
listen_at (struct http_server *s, const struct settings *settings)
{
  int fd = http_listener_open (settings->address, settings->http_port);
  uint32_t backlog = settings->backlog != 0 ? settings->backlog : BACKLOG;

  if (fd < 0)
    return false;
  if (evhtp_accept_socket (s->htp, fd, (int)backlog) == 0)
    return true;
  close (fd);
  return false;
}

struct http_server *
http_server_new (struct event_base *base, const struct settings *settings,
                 http_handler handler, void *arg, struct error *e)
{
  struct http_server *s = calloc (1, sizeof *s);
  struct client_limits limits = limits_of (settings);

  s->handler = handler;
  s->arg = arg;
  s->accepted_ms = now_ms ();
  s->idle = now_timeval (settings->idle_timeout_ms);
  s->htp = evhtp_new (base, NULL);
  evhtp_set_gencb (s->htp, on_request, s);
  evhtp_set_post_accept_cb (s->htp, on_accept, s);
  evhtp_set_timeouts (s->htp, &s->idle, &s->idle);
  if (!listen_at (s, settings))
    {
      error_set (e, HTTP_SERVER_ADDRESS_IN_USE,
                 "cannot listen on %s port %u for HTTP: %s", settings->address,
                 settings->http_port, strerror (errno));
      evhtp_free (s->htp);
      free (s);
      return NULL;
    }
  http_intake_init (&s->intake, base, &limits, settings->http_port);
  return s;
}

void
http_server_set_limits_source (struct http_server *s,
                               intake_limits_source source, void *arg)
{
  http_intake_set_source (&s->intake, source, arg);
}

void
http_server_stop_accepting (struct http_server *s)
{
  if (s->closed)
    return;
  s->closed = true;
  evhtp_unbind_socket (s->htp);
}

/* evhtp_free leaves open connections behind, with requests that point to it,
   so they are freed first, which detaches calls that are still held.  */
void
http_server_free (struct http_server *s)
{
  struct http_connection *c;
  struct http_connection *next;

  DL_FOREACH_SAFE (s->open, c, next)
  evhtp_connection_free (c->conn);
  http_server_stop_accepting (s);
  http_intake_done (&s->intake);
  evhtp_free (s->htp);
  free (s);
}

void
http_server_close_idle (struct http_server *s)
{
  struct http_connection *c;
  struct http_connection *next;

  DL_FOREACH_SAFE (s->open, c, next)
  if (c->conn->request == NULL && http_intake_is_empty (&c->client)
      && evbuffer_get_length (bufferevent_get_input (c->conn->bev)) == 0
      && evbuffer_get_length (bufferevent_get_output (c->conn->bev)) == 0)
    evhtp_connection_free (c->conn);
}

/* Polls the listener and the open connections, in this order.  Returns NULL if
   that fails; the caller frees the result.  */
static struct pollfd *
poll_all (const struct http_server *s)
{
  struct pollfd *fds = calloc (s->intake.count + 1, sizeof *fds);
  const struct http_connection *c;
  nfds_t n = 0;

  fds[n++] = (struct pollfd){
    .fd = s->closed ? -1 : evconnlistener_get_fd (s->htp->server),
    .events = POLLIN,
  };
  DL_FOREACH (s->open, c)
  fds[n++] = (struct pollfd){
    .fd = bufferevent_getfd (c->conn->bev),
    .events = POLLIN | POLLRDHUP,
  };
  if (poll (fds, n, 0) >= 0)
    return fds;
  free (fds);
  return NULL;
}

/* Whether all that was read from C belongs to requests that were handled.  */
static bool
is_handled (const struct http_connection *c)
{
  const struct evbuffer *in = bufferevent_get_input (c->conn->bev);

  return evbuffer_get_length (in) == 0 && http_intake_is_empty (&c->client)
         && (c->call != NULL || c->conn->request == NULL);
}

bool
http_server_drop_ended (struct http_server *s, int64_t now)
{
  struct pollfd *fds = poll_all (s);
  const struct pollfd *fd = fds;
  struct http_connection *c;
  struct http_connection *next;

  if (fds == NULL)
    return false;
  if (fd->revents == 0)
    s->accepted_ms = now;
  DL_FOREACH_SAFE (s->open, c, next)
  {
    fd++;
    if (fd->revents == 0 && is_handled (c))
      c->read_ms = now;
    else if (c->call != NULL && (fd->revents & POLL_ENDED) != 0)
      evhtp_connection_free (c->conn);
  }
  free (fds);
  return true;
}

bool
http_call_is_connected (const struct http_call *c)
{
  struct pollfd fd = { .events = POLLRDHUP };

  if (c->request == NULL)
    return false;
  fd.fd = bufferevent_getfd (c->request->conn->bev);
  return poll (&fd, 1, 0) >= 0 && (fd.revents & POLL_ENDED) == 0;
}

uint32_t
http_server_open_calls (const struct http_server *s)
{
  return s->open_calls;
}

const char *
http_call_header (const struct http_call *c, const char *name)
{
  if (c->request == NULL)
    return NULL;
  return evhtp_header_find (c->request->headers_in, name);
}

const char *
http_call_token (const struct http_call *c)
{
  static const char scheme[] = "Bearer ";
  const char *value;

  if (c->request == NULL)
    return NULL;
  value = evhtp_header_find (c->request->headers_in, "Authorization");
  if (value == NULL || strncmp (value, scheme, sizeof scheme - 1) != 0)
    return NULL;
  return value + sizeof scheme - 1;
}

bool
http_call_query (const struct http_call *c, const char *name, char *value,
                 size_t size)
{
  size_t length = strlen (name);
  const char *at = c->query;

  while (*at != '\0')
    {
      size_t pair = strcspn (at, "&");

      if (pair > length && strncmp (at, name, length) == 0
          && at[length] == '=')
        {
          snprintf (value, size, "%.*s", (int)(pair - length - 1),
                    at + length + 1);
          return true;
        }
      at += pair;
      at += *at == '&';
    }
  return false;
}

void
http_call_drop_request (struct http_call *c)
{
  evhtp_header_t *h;

  free (c->body);
  c->body = NULL;
  c->body_length = 0;
  if (c->request == NULL)
    return;
  c->query = "";
  while ((h = TAILQ_FIRST (c->request->headers_in)) != NULL)
    evhtp_header_rm_and_free (c->request->headers_in, h);
  http_intake_request_dropped (&c->connection->client);
}

void
http_call_set_header (struct http_call *c, const char *name, const char *value)
{
  if (c->request != NULL)
    evhtp_headers_add_header (c->request->headers_out,
                              evhtp_header_new (name, value, 1, 1));
}

void
http_call_close_after (struct http_call *c)
{
  if (c->request == NULL)
    return;
  http_call_set_header (c, "Connection", "close");
  evhtp_request_set_keepalive (c->request, 0);
}

/* Sends the answer of C, whose body is in the request's output.  OWN_BYTES of
   it are held for C alone.  */
static void
send_answer (struct http_call *c, int status, size_t own_bytes)
{
  evhtp_request_t *request = c->request;

  http_intake_add_answer (&c->connection->client, own_bytes);
  detach (c);
  evhtp_headers_add_header (
      request->headers_out,
      evhtp_header_new ("Content-Type", "application/json", 0, 0));
  bufferevent_set_timeouts (request->conn->bev, &c->server->idle,
                            &c->server->idle);
  evhtp_send_reply (request, (evhtp_res)status);
}

void
http_call_answer (struct http_call *c, int status, const char *json)
{
  size_t length = strlen (json);

  if (c->request == NULL)
    return;
  evbuffer_add (c->request->buffer_out, json, length);
  send_answer (c, status, length);
}

static void
release_shared (const void *data, size_t length, void *arg)
{
  (void)data;
  (void)length;
  shared_text_release (arg);
}

void
http_call_answer_shared (struct http_call *c, int status,
                         struct shared_text *t)
{
  if (c->request == NULL)
    return;
  evbuffer_add_reference (c->request->buffer_out, t->data, t->length,
                          release_shared, shared_text_hold (t));
  send_answer (c, status, 0);
}

void
http_call_answer_json (struct http_call *c, int status, json_t *value)
{
  char *text;

  if (value == NULL)
    {
      http_call_refuse (c, STATUS_INTERNAL, "no_answer", NULL,
                        "the answer could not be built");
      return;
    }
  text = json_encode_new (value);
  http_call_answer (c, status, text);
  free (text);
}

char *
http_error_text (const char *code, const char *outcome, const char *message)
{
  json_t *o = json_build ("{s:{s:s s:o}}", "error", "code", code, "message",
                          json_from_text (message));

  if (outcome != NULL)
    json_object_set_new (o, "outcome", json_from_text (outcome));
  return json_encode_new (o);
}

void
http_call_refuse (struct http_call *c, int status, const char *code,
                  const char *outcome, const char *format, ...)
{
  char message[ERROR_TEXT_BYTES];
  va_list args;
  char *text;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  text = http_error_text (code, outcome, message);
  http_call_answer (c, status, text);
  free (text);
}
