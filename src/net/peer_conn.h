/* One authenticated TCP connection between two of our processes.

   A frame is a 4-byte length (big endian), a 16-byte seal and a msgpack
   message.  Both sides begin with PEER_HELLO; anything else, another
   environment, a wrong seal or an oversized frame closes the connection.
   Connections are reference counted, since a reply may be sent after the
   other side has gone.  */
#ifndef NET_PEER_CONN_H
#define NET_PEER_CONN_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"
#include "net/frame_seal.h"
#include "net/peer_message.h"

struct peer_conn;

/* What a connection's holder is told.  */
struct peer_conn_events
{
  void (*ready) (void *arg, struct peer_conn *c);
  void (*message) (void *arg, struct peer_conn *c,
                   const struct peer_message *m);
  void (*closed) (void *arg, struct peer_conn *c);
};

struct peer_conn
{
  uint32_t references;
  bool connector;
  bool open;  /* the transport is there */
  bool ready; /* both hellos are done */

  /* the other side, once ready */
  char vm[NAME_BYTES];
  uint64_t boot_id;
  int64_t heard_ms; /* when the last frame came */

  struct bufferevent *bev;
  struct frame_seal seal;
  char nonce[FRAME_NONCE_BYTES];
  const struct settings *settings;
  uint64_t own_boot_id;
  const struct peer_conn_events *events;
  void *arg;
};

/* A connection over BEV, which it takes over.  The caller holds the one
   reference.  The hello goes out once peer_conn_start is called.  */
struct peer_conn *peer_conn_new (struct bufferevent *bev, bool connector,
                                 const struct settings *s,
                                 uint64_t own_boot_id,
                                 const struct peer_conn_events *events,
                                 void *arg);
struct peer_conn *peer_conn_hold (struct peer_conn *c);
void peer_conn_release (struct peer_conn *c);

void peer_conn_start (struct peer_conn *c);

/* Sends M.  Returns false, with nothing sent, where the connection is not
   ready or has too much unsent.  */
bool peer_conn_send (struct peer_conn *c, const struct peer_message *m);

/* Closes the connection and tells its holder, if nothing has come for
   DEAD_MS; asks for a sign of life after ASK_MS.  */
void peer_conn_check (struct peer_conn *c, int64_t now_ms, int64_t ask_ms,
                      int64_t dead_ms);

/* Closes the transport; the closed callback is not called.  */
void peer_conn_close (struct peer_conn *c);

#endif
