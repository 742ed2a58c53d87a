#include "tests/runner/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>

struct relay_connection
{
  struct relay *relay;
  struct bufferevent *client_side; /* towards the VM that connected */
  struct bufferevent *server_side;
  struct relay_connection *next;
};

/* Listens for the connections that VM FROM opens to VM TO.  */
struct relay
{
  struct relays *relays;
  uint32_t from;
  uint32_t to;
  struct evconnlistener *listener;
  struct relay_connection *connections;
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
apply_cut (struct relay_connection *c)
{
  struct relay *r = c->relay;

  set_reading (c->client_side, !r->relays->cut[r->from][r->to]);
  set_reading (c->server_side, !r->relays->cut[r->to][r->from]);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct relay_connection *c = arg;

  bufferevent_write_buffer (bev == c->client_side ? c->server_side
                                                  : c->client_side,
                            bufferevent_get_input (bev));
}

static void
close_connection (struct relay_connection *c)
{
  struct relay_connection **at = &c->relay->connections;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  bufferevent_free (c->client_side);
  bufferevent_free (c->server_side);
  free (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) == 0)
    close_connection (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *arg)
{
  struct relay *r = arg;
  struct event_base *base = r->relays->cluster->base;
  const struct cluster_vm *vm = &r->relays->cluster->vms[r->to];
  struct sockaddr_in to = to_address (vm->address, PEER_PORT);
  struct relay_connection *c = calloc (1, sizeof *c);

  (void)listener;
  (void)from;
  (void)length;
  c->relay = r;
  c->client_side = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  c->server_side = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (c->client_side, on_read, NULL, on_event, c);
  bufferevent_setcb (c->server_side, on_read, NULL, on_event, c);
  c->next = r->connections;
  r->connections = c;
  bufferevent_enable (c->client_side, EV_WRITE);
  bufferevent_enable (c->server_side, EV_WRITE);
  apply_cut (c);
  if (bufferevent_socket_connect (c->server_side, (struct sockaddr *)&to,
                                  sizeof to)
      != 0)
    close_connection (c);
}

static void
listen_relay (struct relays *relays, uint32_t from, uint32_t to)
{
  struct relay *r = &relays->relay[from][to];
  struct sockaddr_in at;
  char address[32];

  cluster_relay_address (relays->cluster, from, to, address, sizeof address);
  at = to_address (address, RELAY_PORT);
  r->relays = relays;
  r->from = from;
  r->to = to;
  r->listener = evconnlistener_new_bind (
      relays->cluster->base, on_accept, r,
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
        listen_relay (r, i, j);
  return r;
}

void
relays_free (struct relays *r)
{
  for (uint32_t i = 0; i < r->cluster->vm_count; i++)
    for (uint32_t j = 0; j < r->cluster->vm_count; j++)
      {
        while (r->relay[i][j].connections != NULL)
          close_connection (r->relay[i][j].connections);
        if (r->relay[i][j].listener != NULL)
          evconnlistener_free (r->relay[i][j].listener);
      }
  free (r);
}

void
relays_cut (struct relays *r, uint32_t from, uint32_t to, bool cut)
{
  r->cut[from][to] = cut;
  for (struct relay_connection *c = r->relay[from][to].connections; c != NULL;
       c = c->next)
    apply_cut (c);
  for (struct relay_connection *c = r->relay[to][from].connections; c != NULL;
       c = c->next)
    apply_cut (c);
}
