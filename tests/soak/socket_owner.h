/* Finds out which process opened a TCP connection to this machine's loopback
   addresses: entries do not name themselves to workers, and their connections
   all come from the same address.  */
#ifndef SOAK_SOCKET_OWNER_H
#define SOAK_SOCKET_OWNER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Returns the inode of the socket that is bound to LOCAL and connected to
   REMOTE, or 0 if there is none.  */
uint32_t socket_owner_inode (const struct sockaddr_in *local,
                             const struct sockaddr_in *remote);

/* Whether process PID has the socket INODE open.  */
bool socket_owner_has (pid_t pid, uint32_t inode);

#endif
