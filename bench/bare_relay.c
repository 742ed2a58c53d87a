/* bare_relay: the baseline of the throughput benchmark.  Receives requests
   with evhtp and forwards them with evhttp over connections that are assigned
   to the targets round-robin, without any scheduling.
   Usage: bare_relay IP:PORT TARGET-IP:PORT...  */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <evhtp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BACKLOG = 1024
};

/* A connection to a target and the request that is forwarded on it.  */
struct outgoing
{
  struct evhttp_connection *connection;
  evhtp_request_t *request;
  struct outgoing *next;
};

static struct event_base *base;
static struct outgoing *idle;
static char **targets;
static int target_count;
static int next_target;

static void
split_address (const char *text, char *address, size_t size, uint16_t *port)
{
  const char *colon = strchr (text, ':');

  snprintf (address, size, "%.*s", (int)(colon - text), text);
  *port = (uint16_t)atoi (colon + 1);
}

static struct outgoing *
acquire_outgoing (void)
{
  struct outgoing *o = idle;
  char address[64];
  uint16_t port;

  if (o != NULL)
    {
      idle = o->next;
      return o;
    }
  o = calloc (1, sizeof *o);
  split_address (targets[next_target++ % target_count], address,
                 sizeof address, &port);
  o->connection = evhttp_connection_base_new (base, NULL, address, port);
  return o;
}

static void
on_response (struct evhttp_request *response, void *arg)
{
  struct outgoing *o = arg;
  evhtp_request_t *request = o->request;

  o->next = idle;
  idle = o;
  if (response == NULL)
    {
      evhtp_send_reply (request, EVHTP_RES_BADGATEWAY);
      return;
    }
  evbuffer_add_buffer (request->buffer_out,
                       evhttp_request_get_input_buffer (response));
  evhtp_send_reply (request,
                    (evhtp_res)evhttp_request_get_response_code (response));
}

static void
copy_header (evhtp_request_t *from, struct evhttp_request *to,
             const char *name)
{
  const char *value = evhtp_header_find (from->headers_in, name);

  if (value != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (to), name, value);
}

static void
on_request (evhtp_request_t *request, void *arg)
{
  struct outgoing *o = acquire_outgoing ();
  struct evhttp_request *out = evhttp_request_new (on_response, o);

  (void)arg;
  o->request = request;
  evhttp_add_header (evhttp_request_get_output_headers (out), "Host", "x");
  copy_header (request, out, "Ragwort-Task");
  copy_header (request, out, "Ragwort-Kind");
  copy_header (request, out, "Ragwort-Start");
  evbuffer_add_buffer (evhttp_request_get_output_buffer (out),
                       request->buffer_in);
  evhttp_make_request (o->connection, out, EVHTTP_REQ_POST,
                       request->uri->path->full);
}

int
main (int argc, char **argv)
{
  evhtp_t *htp;
  char address[64];
  uint16_t port;

  if (argc < 3)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  targets = argv + 2;
  target_count = argc - 2;
  base = event_base_new ();
  htp = evhtp_new (base, NULL);
  evhtp_set_gencb (htp, on_request, NULL);
  split_address (argv[1], address, sizeof address, &port);
  if (evhtp_bind_socket (htp, address, port, BACKLOG) != 0)
    return 3;
  event_base_dispatch (base);
  return 0;
}
