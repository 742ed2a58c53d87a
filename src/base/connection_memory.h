/* What a client's connection takes of a VM's memory, whatever it sends.  */
#ifndef BASE_CONNECTION_MEMORY_H
#define BASE_CONNECTION_MEMORY_H

enum
{
  /* In the HTTP library and in net/http_intake while nothing is read from it:
     569 idle ones took 3.3 MB.  */
  CONNECTION_BYTES = 6144,

  /* What the kernel holds at most of what was sent on it and nobody has read.
     The users' platform holds so much whatever SO_RCVBUF says; on Linux
     net/http_listener asks for less.  */
  CONNECTION_UNREAD_BYTES = 81920
};

#endif
