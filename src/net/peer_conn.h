/* One authenticated TCP connection between two processes of a deployment.

   A frame is a 4-byte length (big endian), a 16-byte seal (frame_seal.h) and
   a msgpack message.  The first frame of each side is a PEER_HELLO; anything
   else, a different environment, a wrong seal or an oversized frame closes the
   connection.  Connections are reference counted, since a reply may be sent
   after the other side has disconnected.  */
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

/* Callbacks of a connection.  */
struct peer_conn_events
{
  /* Both hellos have been exchanged; may be NULL.  */
  void (*ready) (void *arg, struct peer_conn *c);
  void (*message) (void *arg, struct peer_conn *c,
                   const struct peer_message *m);
  /* The connection has failed or timed out.  */
  void (*closed) (void *arg, struct peer_conn *c);
};

struct peer_conn
{
  uint32_t references;
  bool connector;
  bool open;  /* BEV is not closed */
  bool ready; /* both hellos have been exchanged */
  int64_t opened_ms;

  /* the other side, once ready */
  char vm[NAME_BYTES];
  uint64_t boot_id;
  int64_t last_seen_ms; /* when the last frame was received */

  struct bufferevent *bev;
  struct frame_seal seal;
  char nonce[FRAME_NONCE_BYTES];
  const struct settings *settings;
  uint64_t own_boot_id;
  const struct peer_conn_events *events;
  void *arg;
};

/* Creates a connection over BEV and takes ownership of BEV.  The caller holds
   the only reference.  CONNECTOR is true on the side that opened the
   connection, which sends its hello first, in peer_conn_start.  */
struct peer_conn *peer_conn_new (struct bufferevent *bev, bool connector,
                                 const struct settings *s,
                                 uint64_t own_boot_id,
                                 const struct peer_conn_events *events,
                                 void *arg);
struct peer_conn *peer_conn_hold (struct peer_conn *c);
void peer_conn_release (struct peer_conn *c);

void peer_conn_start (struct peer_conn *c);

/* Sends M.  Returns false, with nothing sent, if the connection is not ready
   or its send buffer is full.  */
bool peer_conn_send (struct peer_conn *c, const struct peer_message *m);

/* Replies to call CALL_ID of TO with STATUS, an HTTP status, and BODY.  The
   caller's deadline covers a reply that is not sent.  */
void peer_conn_reply (struct peer_conn *to, uint64_t call_id, int status,
                      const char *body);

/* Sends a PEER_PING if nothing has been received for PING_AFTER_MS, and closes
   the connection after DEAD_AFTER_MS, with the closed callback.  An accepted
   connection that sends no hello is closed after DEAD_AFTER_MS too.  */
void peer_conn_check (struct peer_conn *c, int64_t now, int64_t ping_after_ms,
                      int64_t dead_after_ms);

/* Closes the connection without the closed callback.  */
void peer_conn_close (struct peer_conn *c);

#endif
