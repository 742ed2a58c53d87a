#include "tests/runner/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>

struct relayed
{
  struct relay *relay;
  struct bufferevent *near; /* to the VM that connected */
  struct bufferevent *far;
  struct relayed *next;
};

/* Carries the connections that VM FROM makes to VM TO.  */
struct relay
{
  struct relays *all;
  uint32_t from;
  uint32_t to;
  struct evconnlistener *listener;
  struct relayed *connections;
};

struct relays
{
  struct cluster *cluster;
  struct relay relay[CLUSTER_VM_LIMIT][CLUSTER_VM_LIMIT];
  bool cut[CLUSTER_VM_LIMIT][CLUSTER_VM_LIMIT];
};

static struct sockaddr_in
to_address (const char *text, int port)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, text, &a.sin_addr);
  return a;
}

static void
set_reading (struct bufferevent *bev, bool on)
{
  if (on)
    bufferevent_enable (bev, EV_READ);
  else
    bufferevent_disable (bev, EV_READ);
}

static void
apply_cut (struct relayed *c)
{
  struct relay *r = c->relay;

  set_reading (c->near, !r->all->cut[r->from][r->to]);
  set_reading (c->far, !r->all->cut[r->to][r->from]);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct relayed *c = arg;

  bufferevent_write_buffer (bev == c->near ? c->far : c->near,
                            bufferevent_get_input (bev));
}

static void
close_relayed (struct relayed *c)
{
  struct relayed **at = &c->relay->connections;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  bufferevent_free (c->near);
  bufferevent_free (c->far);
  free (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) == 0)
    close_relayed (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *arg)
{
  struct relay *r = arg;
  struct event_base *base = r->all->cluster->base;
  const struct cluster_vm *vm = &r->all->cluster->vms[r->to];
  struct sockaddr_in to = to_address (vm->address, PEER_PORT);
  struct relayed *c = calloc (1, sizeof *c);

  (void)listener;
  (void)from;
  (void)length;
  c->relay = r;
  c->near = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->far = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (c->near, on_read, NULL, on_event, c);
  bufferevent_setcb (c->far, on_read, NULL, on_event, c);
  c->next = r->connections;
  r->connections = c;
  bufferevent_enable (c->near, EV_WRITE);
  bufferevent_enable (c->far, EV_WRITE);
  apply_cut (c);
  if (bufferevent_socket_connect (c->far, (struct sockaddr *)&to, sizeof to)
      != 0)
    close_relayed (c);
}

static void
listen_one (struct relays *all, uint32_t from, uint32_t to)
{
  struct relay *r = &all->relay[from][to];
  struct sockaddr_in at;
  char address[32];

  cluster_relay_address (all->cluster, from, to, address, sizeof address);
  at = to_address (address, RELAY_PORT);
  r->all = all;
  r->from = from;
  r->to = to;
  r->listener = evconnlistener_new_bind (
      all->cluster->base, on_accept, r,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 16,
      (struct sockaddr *)&at, sizeof at);
  if (r->listener == NULL)
    {
      fprintf (stderr, "relay: cannot listen on %s\n", address);
      exit (3);
    }
}

struct relays *
relays_new (struct cluster *c)
{
  struct relays *r = calloc (1, sizeof *r);

  r->cluster = c;
  for (uint32_t i = 0; i < c->vm_count; i++)
    for (uint32_t j = 0; j < c->vm_count; j++)
      if (i != j)
        listen_one (r, i, j);
  return r;
}

void
relays_free (struct relays *r)
{
  for (uint32_t i = 0; i < r->cluster->vm_count; i++)
    for (uint32_t j = 0; j < r->cluster->vm_count; j++)
      {
        while (r->relay[i][j].connections != NULL)
          close_relayed (r->relay[i][j].connections);
        if (r->relay[i][j].listener != NULL)
          evconnlistener_free (r->relay[i][j].listener);
      }
  free (r);
}

void
relays_cut (struct relays *r, uint32_t from, uint32_t to, bool cut)
{
  r->cut[from][to] = cut;
  for (struct relayed *c = r->relay[from][to].connections; c != NULL;
       c = c->next)
    apply_cut (c);
  for (struct relayed *c = r->relay[to][from].connections; c != NULL;
       c = c->next)
    apply_cut (c);
}
