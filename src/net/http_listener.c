#include "net/http_listener.h"

#include <errno.h>
#include <event2/util.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* The kernel doubles these sizes: half is for its own records.  */
  RECEIVE_BYTES = LISTENER_UNREAD_BYTES / 2,
  SEND_BYTES = 4096,

  ADDRESS_TEXT_BYTES = 64
};

static int
set_option (int fd, int name, int value)
{
  return setsockopt (fd, SOL_SOCKET, name, &value, sizeof value);
}

static int
prepare (int fd, const struct sockaddr *address, socklen_t length)
{
  if (set_option (fd, SO_REUSEADDR, 1) != 0
      || set_option (fd, SO_RCVBUF, RECEIVE_BYTES) != 0
      || set_option (fd, SO_SNDBUF, SEND_BYTES) != 0)
    return -1;
  return bind (fd, address, length);
}

/* Converts ADDRESS and PORT.  Returns 0, or -1 with errno set.  */
static int
parse_address (const char *address, uint16_t port,
               struct sockaddr_storage *parsed, int *length)
{
  bool v6 = strchr (address, ':') != NULL;
  char text[ADDRESS_TEXT_BYTES];

  snprintf (text, sizeof text, v6 ? "[%s]:%u" : "%s:%u", address, port);
  *length = sizeof *parsed;
  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)parsed, length)
      == 0)
    return 0;
  errno = EINVAL;
  return -1;
}

int
http_listener_open (const char *address, uint16_t port)
{
  struct sockaddr_storage parsed;
  int length;
  int saved;
  int fd;

  if (parse_address (address, port, &parsed, &length) != 0)
    return -1;
  fd = socket (parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd < 0)
    return -1;
  if (prepare (fd, (struct sockaddr *)&parsed, (socklen_t)length) == 0)
    return fd;
  saved = errno;
  close (fd);
  errno = saved;
  return -1;
}
