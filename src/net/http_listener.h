/* The listening socket of an HTTP server.  Connections that it accepts inherit
   the sizes of its kernel buffers, so that the kernel holds little of what a
   client has sent and nobody has read, always less than
   CONNECTION_UNREAD_BYTES, and little of an answer that a client does not
   read.  */
#ifndef NET_HTTP_LISTENER_H
#define NET_HTTP_LISTENER_H

#include <stdint.h>

enum
{
  /* What Linux holds at most of what was sent on a connection and nobody has
     read.  */
  LISTENER_UNREAD_BYTES = 16384
};

/* Returns a bound socket, not yet listening, for ADDRESS, an IP number, and
   PORT; or -1 with errno set.  */
int http_listener_open (const char *address, uint16_t port);

#endif
