#include "tool/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"

struct pending_call
{
  struct event_base *base;
  struct http_response *response;
};

static void
copy_header (const struct evkeyvalq *headers, const char *name, char *value,
             size_t size)
{
  const char *found = evhttp_find_header (headers, name);

  snprintf (value, size, "%s", found == NULL ? "" : found);
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct pending_call *c = arg;
  struct evbuffer *in;
  struct evkeyvalq *headers;
  size_t n;

  event_base_loopbreak (c->base);
  c->response->sent
      = request == NULL || evhttp_request_get_response_code (request) != 0;
  if (request == NULL)
    return;
  c->response->status = evhttp_request_get_response_code (request);
  if (c->response->status == 0)
    return;
  in = evhttp_request_get_input_buffer (request);
  n = evbuffer_get_length (in);
  c->response->body
      = json_loadb (n == 0 ? "" : (const char *)evbuffer_pullup (in, -1), n,
                    JSON_DECODE_ANY, NULL);
  headers = evhttp_request_get_input_headers (request);
  copy_header (headers, "Ragwort-Key-Prefix", c->response->key_prefix,
               sizeof c->response->key_prefix);
  copy_header (headers, "Location", c->response->location,
               sizeof c->response->location);
}

static enum evhttp_cmd_type
command_of (const char *method)
{
  if (strcmp (method, "POST") == 0)
    return EVHTTP_REQ_POST;
  if (strcmp (method, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

static void
add_headers (struct evhttp_request *request, const char *server,
             const char *token)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char bearer[256];

  evhttp_add_header (headers, "Host", server);
  evhttp_add_header (headers, "Connection", "close");
  if (token == NULL)
    return;
  snprintf (bearer, sizeof bearer, "Bearer %s", token);
  evhttp_add_header (headers, "Authorization", bearer);
}

void
http_client_call (const char *server, const char *method, const char *path,
                  const char *token, const char *body, int64_t timeout_ms,
                  struct http_response *response)
{
  const char *colon = strrchr (server, ':');
  struct pending_call c = { event_base_new (), response };
  struct timeval t = now_timeval (timeout_ms);
  struct evhttp_connection *connection;
  struct evhttp_request *request;
  char address[64];

  memset (response, 0, sizeof *response);
  snprintf (address, sizeof address, "%.*s",
            colon == NULL ? (int)strlen (server) : (int)(colon - server),
            server);
  connection = evhttp_connection_base_new (
      c.base, NULL, address,
      colon == NULL ? 80 : (uint16_t)strtoul (colon + 1, NULL, 10));
  evhttp_connection_set_timeout_tv (connection, &t);
  request = evhttp_request_new (on_response, &c);
  add_headers (request, server, token);
  if (body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), body,
                  strlen (body));
  if (evhttp_make_request (connection, request, command_of (method), path)
      == 0)
    event_base_dispatch (c.base);
  evhttp_connection_free (connection);
  event_base_free (c.base);
}

void
http_response_done (struct http_response *response)
{
  json_decref (response->body);
  response->body = NULL;
}
