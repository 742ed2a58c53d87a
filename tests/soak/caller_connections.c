#include "tests/soak/caller_connections.h"

#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>
#include "base/now.h"

struct idle_connection
{
  struct node *entry;
  struct evhttp_connection *conn;
  struct idle_connection *prev;
  struct idle_connection *next;
};

static struct idle_connection *idle_connections; /* the last used first */

struct evhttp_connection *
caller_connection_take (struct node *entry)
{
  const struct timeval t = now_timeval (DEADLINE_MS + 2 * ANSWER_SLACK_MS);
  struct evhttp_connection *conn;
  struct idle_connection *i;

  DL_FOREACH (idle_connections, i)
  if (i->entry == entry)
    {
      conn = i->conn;
      DL_DELETE (idle_connections, i);
      free (i);
      return conn;
    }
  conn = evhttp_connection_base_new (soak.base, NULL, entry->address,
                                     CALLER_PORT);
  evhttp_connection_set_timeout_tv (conn, &t);
  return conn;
}

void
caller_connection_release (struct node *entry, struct evhttp_connection *conn)
{
  struct idle_connection *i = calloc (1, sizeof *i);

  i->entry = entry;
  i->conn = conn;
  DL_PREPEND (idle_connections, i);
}

void
caller_connection_break (struct evhttp_connection *conn, bool reset)
{
  const struct linger now = { 1, 0 };

  if (reset)
    setsockopt (bufferevent_getfd (evhttp_connection_get_bufferevent (conn)),
                SOL_SOCKET, SO_LINGER, &now, sizeof now);
  evhttp_connection_free (conn);
}

void
caller_connections_free (void)
{
  while (idle_connections != NULL)
    {
      struct idle_connection *i = idle_connections;

      DL_DELETE (idle_connections, i);
      evhttp_connection_free (i->conn);
      free (i);
    }
}
