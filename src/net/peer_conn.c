#include "net/peer_conn.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <inttypes.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"

enum
{
  FRAME_HEAD_BYTES = 4 + FRAME_SEAL_BYTES,
  FRAME_BYTES_MAXIMUM = 16 << 20,
  HELLO_BYTES_MAXIMUM = 512,
  UNSENT_BYTES_MAXIMUM = 64 << 20
};

static void on_read (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);

struct peer_conn *
peer_conn_new (struct bufferevent *bev, bool connector,
               const struct settings *s, uint64_t own_boot_id,
               const struct peer_conn_events *events, void *arg)
{
  struct peer_conn *c = calloc (1, sizeof *c);

  c->references = 1;
  c->connector = connector;
  c->open = true;
  c->opened_ms = now_ms ();
  c->bev = bev;
  c->settings = s;
  c->own_boot_id = own_boot_id;
  c->events = events;
  c->arg = arg;
  frame_seal_init (&c->seal, s->peer_secret, connector);
  RAND_bytes ((unsigned char *)c->nonce, sizeof c->nonce);
  bufferevent_setcb (bev, on_read, NULL, on_event, c);
  return c;
}

struct peer_conn *
peer_conn_hold (struct peer_conn *c)
{
  c->references++;
  return c;
}

void
peer_conn_release (struct peer_conn *c)
{
  if (--c->references != 0)
    return;
  peer_conn_close (c);
  frame_seal_done (&c->seal);
  free (c);
}

void
peer_conn_close (struct peer_conn *c)
{
  if (!c->open)
    return;
  c->open = false;
  c->ready = false;
  bufferevent_free (c->bev);
  c->bev = NULL;
}

static void
fail (struct peer_conn *c)
{
  peer_conn_hold (c);
  peer_conn_close (c);
  c->events->closed (c->arg, c);
  peer_conn_release (c);
}

static bool
send_frame (struct peer_conn *c, const struct peer_message *m)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);
  struct peer_message stamped = *m;
  msgpack_sbuffer packed;
  uint8_t head[FRAME_HEAD_BYTES];
  uint32_t length;

  if (evbuffer_get_length (out) > UNSENT_BYTES_MAXIMUM)
    return false;
  stamped.clock = event_ring_advance_clock ();
  msgpack_sbuffer_init (&packed);
  peer_message_pack (&stamped, &packed);
  length = htonl ((uint32_t)packed.size + FRAME_SEAL_BYTES);
  memcpy (head, &length, sizeof length);
  frame_seal_make (&c->seal, packed.data, packed.size, head + sizeof length);
  evbuffer_add (out, head, sizeof head);
  evbuffer_add (out, packed.data, packed.size);
  counters_add (COUNTER_PEER_FRAMES_OUT, 1);
  counters_add (COUNTER_PEER_BYTES_OUT, packed.size + sizeof head);
  if (peer_message_is_control (m->type))
    counters_add (COUNTER_CONTROL_BYTES_OUT, packed.size + sizeof head);
  msgpack_sbuffer_destroy (&packed);
  return true;
}

bool
peer_conn_send (struct peer_conn *c, const struct peer_message *m)
{
  if (!c->ready)
    return false;
  return send_frame (c, m);
}

void
peer_conn_reply (struct peer_conn *to, uint64_t call_id, int status,
                 const char *body)
{
  struct peer_message m = { .type = PEER_REPLY };

  m.u.reply.id = call_id;
  m.u.reply.status = (uint64_t)status;
  m.u.reply.body = slice_of (body);
  peer_conn_send (to, &m);
}

static void
send_hello (struct peer_conn *c)
{
  struct peer_message m
      = { .type = PEER_HELLO,
          .u.hello = { .version = PEER_PROTOCOL_VERSION,
                       .environment = slice_of (c->settings->environment),
                       .vm = slice_of (c->settings->vm),
                       .boot_id = c->own_boot_id,
                       .nonce = { c->nonce, sizeof c->nonce } } };

  send_frame (c, &m);
}

void
peer_conn_start (struct peer_conn *c)
{
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  if (c->connector)
    send_hello (c);
}

/* Returns NULL, or why the hello is refused.  */
static const char *
handle_hello (struct peer_conn *c, const struct peer_message *m)
{
  const struct peer_hello *h = &m->u.hello;

  if (m->type != PEER_HELLO)
    return "first frame is not a hello";
  if (h->version != PEER_PROTOCOL_VERSION)
    return "hello has a different protocol version";
  if (!slice_equals (h->environment, c->settings->environment))
    return "hello is from a different environment";
  if (h->nonce.length != FRAME_NONCE_BYTES
      || !slice_copy (h->vm, c->vm, sizeof c->vm))
    return "malformed hello";
  if (!c->settings->open_membership
      && settings_vm (c->settings, c->vm) == NULL)
    return "hello is from a VM that is not in the settings";
  c->boot_id = h->boot_id;
  if (!c->connector)
    send_hello (c);
  frame_seal_start_session (&c->seal, c->settings->peer_secret,
                            c->connector ? c->nonce : h->nonce.data,
                            c->connector ? h->nonce.data : c->nonce);
  c->ready = true;
  return NULL;
}

static void
handle_message (struct peer_conn *c, const struct peer_message *m)
{
  const struct peer_message pong = { .type = PEER_PONG };

  if (m->type == PEER_PING)
    send_frame (c, &pong);
  else if (m->type != PEER_PONG)
    c->events->message (c->arg, c, m);
}

/* Returns NULL, or why the frame is refused.  */
static const char *
handle_frame (struct peer_conn *c, const uint8_t *frame, uint32_t length)
{
  const char *payload = (const char *)frame + FRAME_HEAD_BYTES;
  size_t size = length - FRAME_SEAL_BYTES;
  struct peer_message m;
  const char *fault;

  if (!frame_seal_check (&c->seal, payload, size, frame + sizeof length))
    return "frame has a wrong seal (HMAC)";
  if (!peer_message_unpack (&m, payload, size))
    return "frame holds a malformed message";
  counters_add (COUNTER_PEER_FRAMES_IN, 1);
  counters_add (COUNTER_PEER_BYTES_IN, length + sizeof length);
  event_ring_merge_clock (m.clock);
  c->last_seen_ms = now_ms ();
  if (c->ready)
    {
      handle_message (c, &m);
      return NULL;
    }
  fault = handle_hello (c, &m);
  if (fault == NULL && c->events->ready != NULL)
    c->events->ready (c->arg, c);
  return fault;
}

static void
refuse (struct peer_conn *c, const char *fault)
{
  counters_add (COUNTER_PEER_FRAMES_REFUSED, 1);
  event_ring_add (EVENT_PEER_REFUSED, c->vm, "%s", fault);
  fail (c);
}

void
peer_conn_check (struct peer_conn *c, int64_t now, int64_t ping_after_ms,
                 int64_t dead_after_ms)
{
  const struct peer_message ping = { .type = PEER_PING };

  if (!c->ready && !c->connector && now - c->opened_ms >= dead_after_ms)
    {
      refuse (c, "no hello in time");
      return;
    }
  if (!c->ready || now - c->last_seen_ms < ping_after_ms)
    return;
  if (now - c->last_seen_ms < dead_after_ms)
    {
      send_frame (c, &ping);
      return;
    }
  event_ring_add (EVENT_PEER_SILENT, c->vm, "silent_ms=%" PRId64,
                  now - c->last_seen_ms);
  fail (c);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct peer_conn *c = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  const char *fault = NULL;
  uint32_t length;

  peer_conn_hold (c);
  while (c->open && fault == NULL && evbuffer_get_length (in) >= sizeof length)
    {
      evbuffer_copyout (in, &length, sizeof length);
      length = ntohl (length);
      if (length <= FRAME_SEAL_BYTES || length > FRAME_BYTES_MAXIMUM
          || (!c->ready && length > HELLO_BYTES_MAXIMUM))
        {
          fault = "frame length out of range";
          break;
        }
      if (evbuffer_get_length (in) < length + sizeof length)
        break;
      fault = handle_frame (
          c, evbuffer_pullup (in, (ssize_t)(length + sizeof length)), length);
      if (c->open)
        evbuffer_drain (in, length + sizeof length);
    }
  if (fault != NULL && c->open)
    refuse (c, fault);
  peer_conn_release (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct peer_conn *c = arg;

  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  fail (c);
}
