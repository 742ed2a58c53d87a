#include "net/peer_network.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "base/event_ring.h"
#include "base/now.h"

enum
{
  RECONNECT_MIN_MS = 50,
  RECONNECT_MAX_MS = 500,

  /* Time limit of connect and handshake, as a multiple of the reconnect delay.
     A SYN to a VM that is down is lost, and TCP repeats it only after a
     second; a new attempt is quicker.  */
  HANDSHAKE_TIMEOUT_DELAYS = 3,

  /* The delay doubles after this many failed attempts.  VMs that are started
     together come up one after the other within a second.  */
  ATTEMPTS_PER_DELAY = 4,

  /* An attempt that has taken this long hangs: a handshake takes a few ms.  */
  ATTEMPT_HUNG_MS = 100,

  /* A connection on which nothing was received for PING_AFTER_MS is pinged,
     and closed after DEAD_AFTER_MS: packets may be dropped without the socket
     showing an error.  */
  PING_AFTER_MS = 700,
  DEAD_AFTER_MS = 2100,
  CHECK_INTERVAL_MS = 350,

  /* Accepted connections without a hello: the oldest is closed for a new one.
     All VMs of a large deployment may connect at the same time.  */
  UNREADY_MAXIMUM = 512,

  /* TCP_USER_TIMEOUT: sent bytes may stay unacknowledged this long.  */
  UNACKED_TIMEOUT_MS = 2500
};

struct pending_call
{
  uint64_t id;
  struct peer_network *network;
  struct link *link; /* NULL if the call was not sent */
  call_done done;
  void *arg;
  struct event *timer;
  struct pending_call *next_failed;
  UT_hash_handle hh;
};

/* An outgoing connection, reconnected when lost.  */
struct link
{
  struct peer_network *network;
  struct vm_settings vm;
  struct peer_conn *conn;
  struct event *timer; /* next attempt, or the handshake's deadline */
  int64_t delay_ms;
  uint32_t attempts;        /* failed with this delay */
  int64_t attempt_began_ms; /* start of the present attempt */
  bool was_up;
};

/* An accepted connection.  */
struct accepted
{
  struct peer_conn *conn;
  struct accepted *next;
};

struct peer_network
{
  struct event_base *base;
  const struct settings *settings;
  uint64_t boot_id;
  const struct peer_network_events *events;
  void *arg;
  struct evconnlistener *listener;
  struct event *check;
  int64_t last_check_ms;
  int64_t skip_checks_until_ms; /* no check before, after a stall */
  struct link **links;
  uint32_t link_count;
  struct accepted *accepted;
  struct pending_call *calls;
  uint64_t next_id;
};

static void link_connect (struct link *l);

static void
set_options (struct bufferevent *bev)
{
  int on = 1;
  unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
  evutil_socket_t fd = bufferevent_getfd (bev);

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
}

/* Completes P, which has been removed from the table.  */
static void
call_complete (struct pending_call *p, enum call_outcome outcome,
               const struct peer_reply *reply)
{
  event_free (p->timer);
  p->done (p->arg, outcome, reply);
  free (p);
}

/* Removes P from the table and completes it.  */
static void
call_finish (struct peer_network *n, struct pending_call *p,
             enum call_outcome outcome, const struct peer_reply *reply)
{
  HASH_DEL (n->calls, p);
  call_complete (p, outcome, reply);
}

static void
on_call_timer (evutil_socket_t fd, short what, void *arg)
{
  struct pending_call *p = arg;

  (void)fd;
  (void)what;
  call_finish (p->network, p, p->link == NULL ? CALL_NOT_SENT : CALL_NO_REPLY,
               NULL);
}

/* Completes the calls of L, or all calls if L is NULL, as CALL_NO_REPLY.  All
   are removed from the table before any callback runs, since callbacks make
   new calls.  */
static void
fail_calls (struct peer_network *n, const struct link *l)
{
  struct pending_call *failed = NULL;
  struct pending_call *p;
  struct pending_call *next;

  HASH_ITER (hh, n->calls, p, next)
  if (l == NULL || p->link == l)
    {
      HASH_DEL (n->calls, p);
      p->next_failed = failed;
      failed = p;
    }
  for (p = failed; p != NULL; p = next)
    {
      next = p->next_failed;
      call_complete (p, CALL_NO_REPLY, NULL);
    }
}

static void
link_schedule (struct link *l)
{
  int64_t jitter = l->delay_ms / 2 + rand () % (l->delay_ms / 2 + 1);
  struct timeval t = now_timeval (jitter);

  evtimer_add (l->timer, &t);
  if (++l->attempts < ATTEMPTS_PER_DELAY)
    return;
  l->attempts = 0;
  l->delay_ms *= 2;
  if (l->delay_ms > RECONNECT_MAX_MS)
    l->delay_ms = RECONNECT_MAX_MS;
}

static void
link_down (struct link *l)
{
  struct peer_network *n = l->network;

  if (l->conn != NULL)
    {
      peer_conn_close (l->conn);
      peer_conn_release (l->conn);
      l->conn = NULL;
    }
  link_schedule (l);
  if (l->was_up)
    {
      l->was_up = false;
      event_ring_add (EVENT_PEER_DOWN, l->vm.name, "%s", "");
      n->events->link (n->arg, l->vm.name, false);
    }
  fail_calls (n, l);
}

static void
on_link_timer (evutil_socket_t fd, short what, void *arg)
{
  struct link *l = arg;

  (void)fd;
  (void)what;
  if (l->conn == NULL)
    link_connect (l);
  else if (!l->conn->ready)
    link_down (l);
}

static void
on_link_ready (void *arg, struct peer_conn *c)
{
  struct link *l = arg;

  if (strcmp (c->vm, l->vm.name) != 0)
    {
      event_ring_add (EVENT_PEER_REFUSED, l->vm.name, "answered as %s", c->vm);
      link_down (l);
      return;
    }
  evtimer_del (l->timer);
  l->delay_ms = RECONNECT_MIN_MS;
  l->attempts = 0;
  l->was_up = true;
  event_ring_add (EVENT_PEER_UP, l->vm.name, "%s", "");
  l->network->events->link (l->network->arg, l->vm.name, true);
}

static void
on_link_message (void *arg, struct peer_conn *c, const struct peer_message *m)
{
  struct link *l = arg;
  struct peer_network *n = l->network;
  struct pending_call *p;

  if (m->type != PEER_REPLY)
    {
      n->events->message (n->arg, c, m);
      return;
    }
  HASH_FIND (hh, n->calls, &m->u.reply.id, sizeof m->u.reply.id, p);
  if (p != NULL && p->link == l)
    call_finish (n, p, CALL_REPLIED, &m->u.reply);
}

static void
on_link_closed (void *arg, struct peer_conn *c)
{
  (void)c;
  link_down (arg);
}

static const struct peer_conn_events link_events
    = { on_link_ready, on_link_message, on_link_closed };

static int
fill_address (const char *address, uint16_t port, struct sockaddr_storage *to)
{
  char text[ADDRESS_BYTES + 10];
  int length = sizeof *to;

  if (strchr (address, ':') != NULL)
    snprintf (text, sizeof text, "[%s]:%u", address, port);
  else
    snprintf (text, sizeof text, "%s:%u", address, port);
  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)to, &length) != 0)
    return -1;
  return length;
}

static void
link_connect (struct link *l)
{
  struct peer_network *n = l->network;
  struct timeval t = now_timeval (HANDSHAKE_TIMEOUT_DELAYS * l->delay_ms);
  struct sockaddr_storage to;
  int length = fill_address (l->vm.address, l->vm.peer_port, &to);
  struct bufferevent *bev
      = bufferevent_socket_new (n->base, -1, BEV_OPT_CLOSE_ON_FREE);

  if (length < 0
      || bufferevent_socket_connect (bev, (struct sockaddr *)&to, length) != 0)
    {
      bufferevent_free (bev);
      link_schedule (l);
      return;
    }
  set_options (bev);
  l->attempt_began_ms = now_ms ();
  l->conn
      = peer_conn_new (bev, true, n->settings, n->boot_id, &link_events, l);
  evtimer_add (l->timer, &t);
  peer_conn_start (l->conn);
}

static void
on_accepted_message (void *arg, struct peer_conn *c,
                     const struct peer_message *m)
{
  struct peer_network *n = arg;

  n->events->message (n->arg, c, m);
}

static void
on_accepted_closed (void *arg, struct peer_conn *c)
{
  struct peer_network *n = arg;
  struct accepted **at = &n->accepted;

  while (*at != NULL && (*at)->conn != c)
    at = &(*at)->next;
  if (*at != NULL)
    {
      struct accepted *closed = *at;

      *at = closed->next;
      free (closed);
      if (n->events->disconnected != NULL)
        n->events->disconnected (n->arg, c);
      peer_conn_release (c);
    }
}

static struct link *
link_find (const struct peer_network *n, const char *vm)
{
  for (uint32_t i = 0; i < n->link_count; i++)
    if (strcmp (n->links[i]->vm.name, vm) == 0)
      return n->links[i];
  return NULL;
}

/* A peer that has connected to this process is up: if the link to it waits for
   its next attempt, or the attempt hangs, a new attempt starts at once.  */
static void
on_accepted_ready (void *arg, struct peer_conn *c)
{
  struct peer_network *n = arg;
  struct link *l = link_find (n, c->vm);

  /* A recent attempt is not interrupted: two VMs that connect to each other at
     the same time would otherwise keep aborting each other's attempts.  */
  if (l == NULL || (l->conn != NULL && l->conn->ready)
      || (l->conn != NULL
          && now_ms () - l->attempt_began_ms < ATTEMPT_HUNG_MS))
    return;
  if (l->conn != NULL)
    {
      peer_conn_close (l->conn);
      peer_conn_release (l->conn);
      l->conn = NULL;
    }
  l->delay_ms = RECONNECT_MIN_MS;
  l->attempts = 0;
  evtimer_del (l->timer);
  link_connect (l);
}

static const struct peer_conn_events accepted_events
    = { on_accepted_ready, on_accepted_message, on_accepted_closed };

/* Closes the oldest accepted connection without a hello if there are too many.
   The list has the newest first.  */
static void
limit_unready (struct peer_network *n)
{
  struct peer_conn *oldest = NULL;
  uint32_t count = 0;

  for (const struct accepted *a = n->accepted; a != NULL; a = a->next)
    if (!a->conn->ready)
      {
        oldest = a->conn;
        count++;
      }
  if (count < UNREADY_MAXIMUM)
    return;
  peer_conn_close (oldest);
  on_accepted_closed (n, oldest);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int length, void *arg)
{
  struct peer_network *n = arg;
  struct accepted *a = calloc (1, sizeof *a);
  struct bufferevent *bev
      = bufferevent_socket_new (n->base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)from;
  (void)length;
  limit_unready (n);
  set_options (bev);
  a->conn = peer_conn_new (bev, false, n->settings, n->boot_id,
                           &accepted_events, n);
  a->next = n->accepted;
  n->accepted = a;
  peer_conn_start (a->conn);
}

/* Checks all connections for unresponsive peers.  Skipped for
   CHECK_INTERVAL_MS after this process itself has stalled, since it has yet to
   read what was received meanwhile.  */
static void
on_check (evutil_socket_t fd, short what, void *arg)
{
  struct peer_network *n = arg;
  int64_t now = now_ms ();
  int64_t stalled_ms = now - n->last_check_ms - CHECK_INTERVAL_MS;
  struct accepted *a;
  struct accepted *next;

  (void)fd;
  (void)what;
  n->last_check_ms = now;
  if (stalled_ms > CHECK_INTERVAL_MS)
    n->skip_checks_until_ms = now + CHECK_INTERVAL_MS;
  if (now < n->skip_checks_until_ms)
    return;
  for (uint32_t i = 0; i < n->link_count; i++)
    if (n->links[i]->conn != NULL)
      peer_conn_check (n->links[i]->conn, now, PING_AFTER_MS, DEAD_AFTER_MS);
  for (a = n->accepted; a != NULL; a = next)
    {
      next = a->next;
      peer_conn_check (a->conn, now, PING_AFTER_MS, DEAD_AFTER_MS);
    }
}

struct peer_network *
peer_network_new (struct event_base *base, const struct settings *s,
                  uint64_t boot_id, const struct peer_network_events *ev,
                  void *arg, struct error *e)
{
  struct peer_network *n = calloc (1, sizeof *n);
  struct sockaddr_storage at;
  struct timeval interval = now_timeval (CHECK_INTERVAL_MS);
  uint16_t port
      = s->peer_listen_port != 0 ? s->peer_listen_port : s->peer_port;
  int length = fill_address (s->address, port, &at);

  n->base = base;
  n->settings = s;
  n->boot_id = boot_id;
  n->events = ev;
  n->arg = arg;
  n->listener = evconnlistener_new_bind (
      base, on_accept, n, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
      (struct sockaddr *)&at, length);
  if (n->listener == NULL)
    {
      error_set (e, NETWORK_ADDRESS_IN_USE, "cannot listen on %s port %u: %s",
                 s->address, port,
                 evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
      free (n);
      return NULL;
    }
  n->last_check_ms = now_ms ();
  n->check = event_new (base, -1, EV_PERSIST, on_check, n);
  event_add (n->check, &interval);
  return n;
}

static void
link_free (struct link *l)
{
  event_free (l->timer);
  if (l->conn != NULL)
    {
      peer_conn_close (l->conn);
      peer_conn_release (l->conn);
    }
  free (l);
}

void
peer_network_free (struct peer_network *n)
{
  evconnlistener_free (n->listener);
  event_free (n->check);
  fail_calls (n, NULL);
  for (uint32_t i = 0; i < n->link_count; i++)
    link_free (n->links[i]);
  free (n->links);
  while (n->accepted != NULL)
    {
      struct accepted *a = n->accepted;

      n->accepted = a->next;
      peer_conn_close (a->conn);
      peer_conn_release (a->conn);
      free (a);
    }
  free (n);
}

static void
add_link (struct peer_network *n, const struct vm_settings *vm)
{
  struct link *l = calloc (1, sizeof *l);

  n->links = realloc (n->links, (n->link_count + 1) * sizeof (struct link *));
  n->links[n->link_count++] = l;
  l->network = n;
  l->vm = *vm;
  l->delay_ms = RECONNECT_MIN_MS;
  l->timer = evtimer_new (n->base, on_link_timer, l);
  link_connect (l);
}

void
peer_network_connect (struct peer_network *n, const char *vm)
{
  add_link (n, settings_vm (n->settings, vm));
}

void
peer_network_connect_address (struct peer_network *n, const char *address,
                              uint16_t port)
{
  struct vm_settings vm = { .peer_port = port };

  if (link_find (n, address) != NULL)
    return;
  snprintf (vm.name, sizeof vm.name, "%s", address);
  snprintf (vm.address, sizeof vm.address, "%s", address);
  add_link (n, &vm);
}

void
peer_network_remove (struct peer_network *n, const char *vm)
{
  struct link *l = link_find (n, vm);
  uint32_t i = 0;

  if (l == NULL)
    return;
  fail_calls (n, l);
  while (n->links[i] != l)
    i++;
  n->links[i] = n->links[--n->link_count];
  link_free (l);
}

bool
peer_network_is_up (const struct peer_network *n, const char *vm)
{
  const struct link *l = link_find (n, vm);

  return l != NULL && l->conn != NULL && l->conn->ready;
}

bool
peer_network_send (struct peer_network *n, const char *vm,
                   const struct peer_message *m)
{
  struct link *l = link_find (n, vm);

  return l != NULL && l->conn != NULL && peer_conn_send (l->conn, m);
}

/* The id is the first field of every message that has one.  */
static void
set_id (struct peer_message *m, uint64_t id)
{
  memcpy (&m->u, &id, sizeof id);
}

void
peer_network_call (struct peer_network *n, const char *vm,
                   struct peer_message *m, int64_t timeout_ms, call_done done,
                   void *arg)
{
  struct pending_call *p = calloc (1, sizeof *p);
  struct timeval when = now_timeval (timeout_ms < 1 ? 1 : timeout_ms);
  struct link *l = link_find (n, vm);

  p->id = ++n->next_id;
  p->network = n;
  p->done = done;
  p->arg = arg;
  set_id (m, p->id);
  if (l != NULL && l->conn != NULL && peer_conn_send (l->conn, m))
    p->link = l;
  else
    when = now_timeval (0);
  p->timer = evtimer_new (n->base, on_call_timer, p);
  evtimer_add (p->timer, &when);
  HASH_ADD (hh, n->calls, id, sizeof p->id, p);
}

void
peer_network_reset (struct peer_network *n, const char *vm)
{
  struct link *l = link_find (n, vm);

  if (l != NULL && l->conn != NULL)
    link_down (l);
}
