#include "tests/soak/socket_owner.h"

#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  REPLY_BYTES = 4096,
  PATH_BYTES = 320
};

struct diag_request
{
  struct nlmsghdr header;
  struct inet_diag_req_v2 body;
};

static int
netlink_socket (void)
{
  static int fd = -1;

  if (fd < 0)
    fd = socket (AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  return fd;
}

uint32_t
socket_owner_inode (const struct sockaddr_in *local,
                    const struct sockaddr_in *remote)
{
  struct diag_request q = { .header = { .nlmsg_len = sizeof q,
                                        .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                                        .nlmsg_flags = NLM_F_REQUEST },
                            .body = { .sdiag_family = AF_INET,
                                      .sdiag_protocol = IPPROTO_TCP,
                                      .idiag_states = UINT32_MAX } };
  union
  {
    struct nlmsghdr header;
    char bytes[REPLY_BYTES];
  } reply;

  q.body.id.idiag_sport = local->sin_port;
  q.body.id.idiag_dport = remote->sin_port;
  q.body.id.idiag_src[0] = local->sin_addr.s_addr;
  q.body.id.idiag_dst[0] = remote->sin_addr.s_addr;
  q.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  q.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  if (send (netlink_socket (), &q, sizeof q, 0) < 0
      || recv (netlink_socket (), &reply, sizeof reply, 0) < 0
      || reply.header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  return ((struct inet_diag_msg *)NLMSG_DATA (&reply.header))->idiag_inode;
}

bool
socket_owner_has (pid_t pid, uint32_t inode)
{
  char folder[64];
  char path[PATH_BYTES];
  char name[32];
  char link[32];
  bool found = false;
  struct dirent *entry;
  ssize_t n;
  DIR *d;

  snprintf (folder, sizeof folder, "/proc/%d/fd", (int)pid);
  snprintf (name, sizeof name, "socket:[%u]", inode);
  d = opendir (folder);
  while (d != NULL && !found && (entry = readdir (d)) != NULL)
    {
      snprintf (path, sizeof path, "%s/%s", folder, entry->d_name);
      n = readlink (path, link, sizeof link - 1);
      link[n < 0 ? 0 : n] = '\0';
      found = strcmp (link, name) == 0;
    }
  if (d != NULL)
    closedir (d);
  return found;
}
