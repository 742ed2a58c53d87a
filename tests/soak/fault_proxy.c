#include "tests/soak/fault_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>
#include "base/now.h"

enum
{
  NEAR, /* towards the VM that connected */
  FAR,  /* towards the one it reached */
  SIDES,
  UNKNOWN_VM = -1,
  BACKLOG = 64
};

/* One direction of a connection.  */
struct lane
{
  struct proxied *of;
  int side; /* from where the bytes come */
  struct event *later;
};

struct proxied
{
  struct fault_proxy *proxy;
  struct bufferevent *ends[SIDES];
  struct lane lanes[SIDES];
  int from;
  int to;
  bool silent;
  struct proxied *prev;
  struct proxied *next;
};

static struct sockaddr_in
to_address (const char *text, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };

  inet_pton (AF_INET, text, &a.sin_addr);
  return a;
}

static void
close_both (struct proxied *c)
{
  DL_DELETE (c->proxy->connections, c);
  for (int i = 0; i < SIDES; i++)
    {
      event_free (c->lanes[i].later);
      bufferevent_free (c->ends[i]);
    }
  free (c);
}

/* The path that the bytes from SIDE take.  */
static struct proxy_path *
path_of (const struct proxied *c, int side)
{
  if (c->from == UNKNOWN_VM)
    return NULL;
  return side == NEAR ? &c->proxy->paths[c->from][c->to]
                      : &c->proxy->paths[c->to][c->from];
}

/* Whether ADDRESS stands in the first bytes as a whole.  */
static bool
is_named (const char *bytes, size_t length, const char *address)
{
  size_t n = strlen (address);
  const char *at = memmem (bytes, length, address, n);

  return at != NULL
         && (at + n == bytes + length || at[n] < '0' || at[n] > '9');
}

static void
identify (struct proxied *c)
{
  struct evbuffer *in = bufferevent_get_input (c->ends[NEAR]);
  size_t length = evbuffer_get_length (in);
  const char *bytes = (const char *)evbuffer_pullup (in, -1);

  for (uint32_t i = 0; i < c->proxy->count && c->from == UNKNOWN_VM; i++)
    if (is_named (bytes, length, c->proxy->addresses[i]))
      c->from = (int)i;
}

static void
forward (struct lane *l)
{
  struct proxied *c = l->of;
  const struct proxy_path *p = path_of (c, l->side);

  if (c->silent || (p != NULL && p->cut))
    return;
  bufferevent_write_buffer (c->ends[1 - l->side],
                            bufferevent_get_input (c->ends[l->side]));
}

static void
on_later (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  forward (arg);
}

static void
on_bytes (struct bufferevent *bev, void *arg)
{
  struct lane *l = arg;
  const struct proxy_path *p;

  (void)bev;
  if (l->side == NEAR && l->of->from == UNKNOWN_VM)
    identify (l->of);
  p = path_of (l->of, l->side);
  if (p == NULL || p->delay_ms == 0)
    forward (l);
  else if (!event_pending (l->later, EV_TIMEOUT, NULL))
    {
      struct timeval t = now_timeval (p->delay_ms);

      event_add (l->later, &t);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct lane *l = arg;

  (void)bev;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || l->of->silent)
    return;
  close_both (l->of);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *arg)
{
  struct fault_proxy *p = arg;
  struct proxied *c = calloc (1, sizeof *c);
  struct sockaddr_in to;
  int on = 1;

  (void)from;
  (void)length;
  c->proxy = p;
  c->from = UNKNOWN_VM;
  while (p->listeners[c->to] != listener)
    c->to++;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->ends[NEAR] = bufferevent_socket_new (p->base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->ends[FAR] = bufferevent_socket_new (p->base, -1, BEV_OPT_CLOSE_ON_FREE);
  DL_APPEND (p->connections, c);
  for (int i = 0; i < SIDES; i++)
    {
      c->lanes[i].of = c;
      c->lanes[i].side = i;
      c->lanes[i].later = evtimer_new (p->base, on_later, &c->lanes[i]);
      bufferevent_setcb (c->ends[i], on_bytes, NULL, on_event, &c->lanes[i]);
      bufferevent_enable (c->ends[i], EV_READ | EV_WRITE);
    }
  to = to_address (p->addresses[c->to], p->to_port);
  bufferevent_socket_connect (c->ends[FAR], (struct sockaddr *)&to, sizeof to);
}

void
fault_proxy_init (struct fault_proxy *p, struct event_base *base,
                  uint16_t to_port)
{
  memset (p, 0, sizeof *p);
  p->base = base;
  p->to_port = to_port;
}

void
fault_proxy_done (struct fault_proxy *p)
{
  struct proxied *c;
  struct proxied *next;

  DL_FOREACH_SAFE (p->connections, c, next)
  close_both (c);
  for (uint32_t i = 0; i < p->count; i++)
    evconnlistener_free (p->listeners[i]);
}

int
fault_proxy_add (struct fault_proxy *p, const char *address, uint16_t port)
{
  struct sockaddr_in at = to_address (address, port);
  uint32_t i = p->count;

  p->listeners[i] = evconnlistener_new_bind (
      p->base, on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (p->listeners[i] == NULL)
    return -1;
  p->addresses[i] = address;
  p->count++;
  return (int)i;
}

void
fault_proxy_cut (struct fault_proxy *p, int from, int to, bool cut)
{
  struct proxied *c;

  p->paths[from][to].cut = cut;
  if (cut)
    return;
  DL_FOREACH (p->connections, c)
  for (int i = 0; i < SIDES; i++)
    forward (&c->lanes[i]);
}

void
fault_proxy_delay (struct fault_proxy *p, int from, int to, int64_t ms)
{
  p->paths[from][to].delay_ms = ms;
}

static bool
is_between (const struct proxied *c, int one, int other)
{
  return (c->from == one && c->to == other)
         || (c->from == other && c->to == one);
}

void
fault_proxy_reset (struct fault_proxy *p, int one, int other)
{
  const struct linger now = { 1, 0 };
  struct proxied *c;
  struct proxied *next;

  DL_FOREACH_SAFE (p->connections, c, next)
  if (is_between (c, one, other))
    {
      for (int i = 0; i < SIDES; i++)
        setsockopt (bufferevent_getfd (c->ends[i]), SOL_SOCKET, SO_LINGER,
                    &now, sizeof now);
      close_both (c);
    }
}

void
fault_proxy_silence (struct fault_proxy *p, int one, int other)
{
  struct proxied *c;

  DL_FOREACH (p->connections, c)
  if (is_between (c, one, other))
    c->silent = true;
}
