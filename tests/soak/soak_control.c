#include "tests/soak/soak.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"

static uint64_t next_version = 1;
static uint64_t acked_version;
static int64_t acked_ms;
static int64_t next_change_ms;
static int64_t next_heartbeat_ms;

struct evhttp_connection *
soak_connect (const char *address, uint16_t port, int64_t timeout_ms)
{
  struct evhttp_connection *c
      = evhttp_connection_base_new (soak.base, NULL, address, port);
  struct timeval t = now_timeval (timeout_ms);

  evhttp_connection_set_timeout_tv (c, &t);
  evhttp_connection_free_on_completion (c);
  return c;
}

struct control_call
{
  uint64_t version;     /* of a put; 0 for a read or a heartbeat */
  uint64_t min_version; /* the oldest version that a read may return */
  struct fake_worker *worker;
  char *body;
  uint32_t redirects;
};

static void send_control (struct control_call *c, const char *address);

static void
control_free (struct control_call *c)
{
  free (c->body);
  free (c);
}

static void
check_read (const struct control_call *c, struct evhttp_request *req)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  json_t *o = json_loadb ((char *)evbuffer_pullup (in, -1),
                          evbuffer_get_length (in), 0, NULL);

  if ((uint64_t)json_integer_value (json_object_get (o, "version"))
      < c->min_version)
    soak_violation ("a document older than an acknowledged one was read", "");
  json_decref (o);
}

static void
on_control (struct evhttp_request *req, void *arg)
{
  struct control_call *c = arg;
  int status = req == NULL ? 0 : evhttp_request_get_response_code (req);
  const char *location
      = status != 307 ? NULL
                      : evhttp_find_header (
                          evhttp_request_get_input_headers (req), "Location");
  char address[32];

  if (location != NULL && c->redirects++ < 2
      && sscanf (location, "http://%31[0-9.]", address) == 1)
    {
      send_control (c, address);
      return;
    }
  if (c->version != 0 && status == 200)
    {
      soak.changes_acked++;
      if (c->version > acked_version)
        {
          acked_version = c->version;
          acked_ms = now_ms ();
        }
    }
  if (c->version == 0 && c->worker == NULL && status == 200)
    check_read (c, req);
  if (c->version != 0 && status >= 400 && status < 500)
    soak_violation ("a valid document was refused", "");
  control_free (c);
}

static void
send_control (struct control_call *c, const char *address)
{
  struct evhttp_request *req = evhttp_request_new (on_control, c);
  char path[96] = "/v1/config";

  evhttp_add_header (evhttp_request_get_output_headers (req), "Host", address);
  if (c->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (req), c->body,
                  strlen (c->body));
  if (c->worker != NULL)
    snprintf (path, sizeof path, "/v1/instances/%s", c->worker->id);
  evhttp_make_request (soak_connect (address, CONTROL_PORT, 1000), req,
                       c->body != NULL ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                       path);
}

static struct control_call *
control_new (void)
{
  return calloc (1, sizeof (struct control_call));
}

static const char *
random_keeper (void)
{
  return soak.nodes[soak_random_load (soak.keeper_count)].address;
}

static void
put_config (void)
{
  struct control_call *c = control_new ();
  char text[TEXT_BYTES];

  c->version = next_version++;
  snprintf (text, sizeof text,
            "{\"version\":%" PRIu64 ",\"routes\":[{\"name\":\"r\",\"host\":"
            "\"soak.example\",\"path-prefix\":\"/jobs/\",\"timeout-ms\":%d,"
            "\"target-duration-ms\":400,\"service\":\"svc\",\"max-attempts\":"
            "4,\"stretch\":2}],\"services\":[{\"name\":\"svc\"}]}",
            c->version, 1500 + (int)soak_random_load (500));
  c->body = strdup (text);
  send_control (c, random_keeper ());
}

void
soak_send_changes (int64_t now)
{
  struct control_call *read;

  if (now < next_change_ms)
    return;
  next_change_ms = now + CHANGE_GAP_MS / 2 + soak_random_load (CHANGE_GAP_MS);
  put_config ();
  read = control_new ();
  read->min_version = now - acked_ms > APPLY_MS ? acked_version : 0;
  send_control (read, random_keeper ());
}

void
soak_send_heartbeats (int64_t now)
{
  if (now < next_heartbeat_ms)
    return;
  next_heartbeat_ms = now + HEARTBEAT_MS;
  for (uint32_t i = 0; i < soak.worker_count; i++)
    {
      struct control_call *c;

      if (now < soak.workers[i].unheard_until_ms)
        continue;
      c = control_new ();
      c->worker = &soak.workers[i];
      c->body = fake_worker_heartbeat (&soak.workers[i]);
      send_control (c, random_keeper ());
    }
}
