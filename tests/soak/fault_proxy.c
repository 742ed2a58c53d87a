#include "tests/soak/fault_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include "base/now.h"

enum
{
  CLIENT_SIDE, /* towards the VM that connected */
  SERVER_SIDE, /* towards the VM or target that it connected to */
  SIDE_COUNT,
  UNKNOWN_VM = -1,
  BACKLOG = 128,

  /* How long a sender waits before it repeats a packet; twice as long each
     further time.  */
  RETRANSMIT_MS = 200,
  RETRANSMIT_LIMIT = 5
};

/* One direction of a proxied connection.  */
struct direction
{
  struct proxy_connection *connection;
  int side;   /* the side that sends the bytes */
  bool ended; /* the sender has closed the connection */
  struct event *delay_timer;
};

struct proxy_connection
{
  struct fault_proxy *proxy;
  struct bufferevent *sides[SIDE_COUNT];
  struct direction directions[SIDE_COUNT];
  int from;
  int to;
  bool connected; /* to the server side */
  bool blackholed;
  struct proxy_connection *prev;
  struct proxy_connection *next;
};

static struct sockaddr_in
to_address (const char *text, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };

  inet_pton (AF_INET, text, &a.sin_addr);
  return a;
}

static void
close_connection (struct proxy_connection *c)
{
  DL_DELETE (c->proxy->connections, c);
  for (int i = 0; i < SIDE_COUNT; i++)
    {
      event_free (c->directions[i].delay_timer);
      bufferevent_free (c->sides[i]);
    }
  free (c);
}

static uint32_t
next_random (struct fault_proxy *p, uint32_t limit)
{
  p->loss_random ^= p->loss_random << 13;
  p->loss_random ^= p->loss_random >> 7;
  p->loss_random ^= p->loss_random << 17;
  return (uint32_t)(p->loss_random >> 11) % limit;
}

/* Returns the path of the bytes that D's side sends, or NULL while the
   connecting VM is unknown.  */
static struct proxy_path *
path_of (const struct direction *d)
{
  const struct proxy_connection *c = d->connection;

  if (c->from == UNKNOWN_VM)
    return NULL;
  return d->side == CLIENT_SIDE ? &c->proxy->paths[c->from][c->to]
                                : &c->proxy->paths[c->to][c->from];
}

/* Whether BYTES contain ADDRESS, not followed by a further digit:
   127.0.31.1 must not match 127.0.31.12.  */
static bool
contains_address (const char *bytes, size_t length, const char *address)
{
  size_t n = strlen (address);
  const char *at = memmem (bytes, length, address, n);

  return at != NULL
         && (at + n == bytes + length || at[n] < '0' || at[n] > '9');
}

/* Returns a socket to the server side of C; a target sees the connection as
   coming from the address of the VM.  */
static int
server_socket (const struct proxy_connection *c)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in from;
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (c->from == UNKNOWN_VM)
    return fd;
  from = to_address (c->proxy->addresses[c->from], 0);
  setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  (void)bind (fd, (struct sockaddr *)&from, sizeof from);
  return fd;
}

static void
connect_to_server (struct proxy_connection *c)
{
  struct sockaddr_in to
      = to_address (c->proxy->addresses[c->to], c->proxy->to_port);

  c->connected = true;
  bufferevent_setfd (c->sides[SERVER_SIDE], server_socket (c));
  bufferevent_socket_connect (c->sides[SERVER_SIDE], (struct sockaddr *)&to,
                              sizeof to);
}

static void
identify_by_address (struct proxy_connection *c, const char *bytes,
                     size_t length)
{
  for (uint32_t i = 0; i < c->proxy->count && c->from == UNKNOWN_VM; i++)
    if (!c->proxy->is_target[i]
        && contains_address (bytes, length, c->proxy->addresses[i]))
      c->from = (int)i;
}

/* Identifies the connecting VM by the first bytes that it sends.  */
static void
identify (struct proxy_connection *c)
{
  struct evbuffer *in = bufferevent_get_input (c->sides[CLIENT_SIDE]);
  size_t length = evbuffer_get_length (in);
  const char *bytes = (const char *)evbuffer_pullup (in, -1);
  evutil_socket_t fd = bufferevent_getfd (c->sides[CLIENT_SIDE]);
  struct sockaddr_in client;
  struct sockaddr_in server;
  socklen_t size = sizeof client;

  if (!c->proxy->is_target[c->to])
    {
      identify_by_address (c, bytes, length);
      return;
    }
  if (getpeername (fd, (struct sockaddr *)&client, &size) == 0
      && getsockname (fd, (struct sockaddr *)&server, &size) == 0)
    c->from = c->proxy->find_vm (&client, &server, bytes, length);
}

/* Whether the first packet of C, or the answer to it, is lost: it is repeated
   only after its sender has given up.  */
static bool
is_opening_lost (const struct proxy_connection *c)
{
  struct fault_proxy *p = c->proxy;

  return c->from != UNKNOWN_VM
         && (next_random (p, 100) < p->paths[c->from][c->to].loss_percent
             || next_random (p, 100) < p->paths[c->to][c->from].loss_percent);
}

static void
on_drained (struct bufferevent *bev, void *arg)
{
  (void)bev;
  close_connection (((struct direction *)arg)->connection);
}

static void
on_drain_failed (struct bufferevent *bev, short what, void *arg)
{
  (void)what;
  on_drained (bev, arg);
}

/* Forwards what D's side has sent, and its close.  May free the
   connection.  */
static void
forward (struct direction *d)
{
  struct proxy_connection *c = d->connection;
  struct bufferevent *to = c->sides[1 - d->side];
  const struct proxy_path *p = path_of (d);

  if (c->blackholed || (p != NULL && p->cuts != 0))
    return;
  bufferevent_write_buffer (to, bufferevent_get_input (c->sides[d->side]));
  if (!d->ended)
    return;
  if (evbuffer_get_length (bufferevent_get_output (to)) == 0)
    close_connection (c);
  else
    bufferevent_setcb (to, NULL, on_drained, on_drain_failed, d);
}

static void
on_delay_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  forward (arg);
}

/* How late the next packet on PATH arrives.  */
static int64_t
draw_delay_ms (struct fault_proxy *p, const struct proxy_path *path)
{
  int64_t delay_ms = path->delay_ms;

  for (int i = 0;
       i < RETRANSMIT_LIMIT && next_random (p, 100) < path->loss_percent; i++)
    delay_ms += RETRANSMIT_MS << i;
  return delay_ms;
}

static void
forward_in_time (struct direction *d)
{
  const struct proxy_path *p = path_of (d);
  int64_t delay_ms = 0;

  if (event_pending (d->delay_timer, EV_TIMEOUT, NULL))
    return;
  if (p != NULL)
    delay_ms = draw_delay_ms (d->connection->proxy, p);
  if (delay_ms == 0)
    forward (d);
  else
    {
      struct timeval t = now_timeval (delay_ms);

      event_add (d->delay_timer, &t);
    }
}

static void
on_bytes (struct bufferevent *bev, void *arg)
{
  struct direction *d = arg;

  (void)bev;
  if (d->side == CLIENT_SIDE && d->connection->from == UNKNOWN_VM)
    identify (d->connection);
  if (!d->connection->connected)
    {
      d->connection->blackholed = is_opening_lost (d->connection);
      connect_to_server (d->connection);
    }
  forward_in_time (d);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct direction *d = arg;
  struct proxy_connection *c = d->connection;

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  d->ended = true;
  if (c->directions[1 - d->side].ended)
    close_connection (c);
  else if (!c->blackholed)
    forward_in_time (d);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *arg)
{
  struct fault_proxy *p = arg;
  struct proxy_connection *c = calloc (1, sizeof *c);
  int on = 1;

  (void)from;
  (void)length;
  c->proxy = p;
  c->from = UNKNOWN_VM;
  while (p->listeners[c->to] != listener)
    c->to++;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->sides[CLIENT_SIDE]
      = bufferevent_socket_new (p->base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->sides[SERVER_SIDE]
      = bufferevent_socket_new (p->base, -1, BEV_OPT_CLOSE_ON_FREE);
  DL_APPEND (p->connections, c);
  for (int i = 0; i < SIDE_COUNT; i++)
    {
      c->directions[i].connection = c;
      c->directions[i].side = i;
      c->directions[i].delay_timer
          = evtimer_new (p->base, on_delay_timer, &c->directions[i]);
      bufferevent_setcb (c->sides[i], on_bytes, NULL, on_event,
                         &c->directions[i]);
      bufferevent_enable (c->sides[i], EV_READ | EV_WRITE);
    }
  if (!p->is_target[c->to])
    connect_to_server (c);
}

void
fault_proxy_init (struct fault_proxy *p, struct event_base *base,
                  uint16_t to_port, proxy_find_vm find_vm, uint64_t seed)
{
  memset (p, 0, sizeof *p);
  p->loss_random = seed * 0x9E3779B97F4A7C15U + 1;
  p->base = base;
  p->to_port = to_port;
  p->find_vm = find_vm;
}

void
fault_proxy_done (struct fault_proxy *p)
{
  while (p->connections != NULL)
    close_connection (p->connections);
  for (uint32_t i = 0; i < p->count; i++)
    evconnlistener_free (p->listeners[i]);
}

int
fault_proxy_add (struct fault_proxy *p, const char *address, uint16_t port,
                 bool is_target)
{
  struct sockaddr_in at = to_address (address, port);
  uint32_t i = p->count;

  p->listeners[i] = evconnlistener_new_bind (
      p->base, on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (p->listeners[i] == NULL)
    return -1;
  p->addresses[i] = address;
  p->is_target[i] = is_target;
  p->count++;
  return (int)i;
}

void
fault_proxy_cut (struct fault_proxy *p, int from, int to, bool cut)
{
  if (cut)
    p->paths[from][to].cuts++;
  else
    p->paths[from][to].cuts--;
}

void
fault_proxy_flush (struct fault_proxy *p)
{
  struct proxy_connection *c;
  struct proxy_connection *next;

  /* A direction whose close is forwarded frees the connection, so it comes
     last.  */
  DL_FOREACH_SAFE (p->connections, c, next)
  {
    int last = c->directions[CLIENT_SIDE].ended ? CLIENT_SIDE : SERVER_SIDE;

    forward (&c->directions[1 - last]);
    forward (&c->directions[last]);
  }
}

void
fault_proxy_delay (struct fault_proxy *p, int from, int to, int64_t ms)
{
  p->paths[from][to].delay_ms = ms;
}

void
fault_proxy_lose (struct fault_proxy *p, int from, int to, uint32_t percent)
{
  p->paths[from][to].loss_percent = percent;
}

/* Whether END, of a connection of P, is WANTED or of that kind.  */
static bool
is_end (const struct fault_proxy *p, int end, int wanted)
{
  switch (wanted)
    {
    case PROXY_ANY:
      return true;
    case PROXY_TARGETS:
      return end >= 0 && p->is_target[end];
    case PROXY_VMS:
      return end >= 0 && !p->is_target[end];
    default:
      return end == wanted;
    }
}

static bool
is_between (const struct proxy_connection *c, int one, int other)
{
  return (is_end (c->proxy, c->from, one) && is_end (c->proxy, c->to, other))
         || (is_end (c->proxy, c->from, other)
             && is_end (c->proxy, c->to, one));
}

void
fault_proxy_reset (struct fault_proxy *p, int one, int other)
{
  const struct linger now = { 1, 0 };
  struct proxy_connection *c;
  struct proxy_connection *next;

  DL_FOREACH_SAFE (p->connections, c, next)
  if (is_between (c, one, other))
    {
      for (int i = 0; i < SIDE_COUNT; i++)
        setsockopt (bufferevent_getfd (c->sides[i]), SOL_SOCKET, SO_LINGER,
                    &now, sizeof now);
      close_connection (c);
    }
}

void
fault_proxy_blackhole (struct fault_proxy *p, int one, int other,
                       uint32_t step)
{
  struct proxy_connection *c;
  uint32_t count = 0;

  DL_FOREACH (p->connections, c)
  if (is_between (c, one, other) && count++ % step == 0)
    c->blackholed = true;
}
