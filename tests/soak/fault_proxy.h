/* A TCP proxy in front of each VM's peer port and of each target, run in the
   process of the soak test.  Connections between VMs, and from VMs to targets,
   go through it; it can delay, cut (also in one direction), black-hole or
   reset them, or lose packets, which a sender repeats.  The connecting VM is
   identified by the address that it sends in its first message to a VM, and by
   a callback for a connection to a target, which sees it as coming from the
   VM's address.

   Bytes that are held back when their sender closes the connection, and the
   close itself, are delivered later, as a network does.  */
#ifndef SOAK_FAULT_PROXY_H
#define SOAK_FAULT_PROXY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  PROXY_LIMIT = 256 /* VMs and targets */
};

/* The fault applied to the bytes from one VM or target to another.  */
struct proxy_path
{
  uint32_t cuts;         /* bytes are held back until all of them have ended */
  int64_t delay_ms;      /* added latency */
  uint32_t loss_percent; /* of packets, which arrive when they are repeated */
};

/* Returns the index of the VM that has opened a connection from CLIENT to the
   target at SERVER and begins with REQUEST, of LENGTH bytes, or -1 if
   unknown.  */
typedef int (*proxy_find_vm) (const struct sockaddr_in *client,
                              const struct sockaddr_in *server,
                              const char *request, size_t length);

struct proxy_connection;

struct fault_proxy
{
  struct event_base *base;
  uint16_t to_port;
  proxy_find_vm find_vm;
  const char *addresses[PROXY_LIMIT];
  struct evconnlistener *listeners[PROXY_LIMIT];
  bool is_target[PROXY_LIMIT];
  uint32_t count;
  struct proxy_path paths[PROXY_LIMIT][PROXY_LIMIT]; /* [from][to] */
  struct proxy_connection *connections;
  uint64_t loss_random;
};

/* SEED determines which packets are lost.  */
void fault_proxy_init (struct fault_proxy *p, struct event_base *base,
                       uint16_t to_port, proxy_find_vm find_vm, uint64_t seed);
void fault_proxy_done (struct fault_proxy *p);

/* Listens on PORT of ADDRESS and forwards to the port to_port of ADDRESS,
   which must outlive P.  Returns the index of the VM or target, or -1 if it
   cannot listen.  */
int fault_proxy_add (struct fault_proxy *p, const char *address, uint16_t port,
                     bool is_target);

/* Holds back the bytes from FROM to TO; with CUT false, ends one such cut.
   fault_proxy_flush then delivers what is no longer held back.  */
void fault_proxy_cut (struct fault_proxy *p, int from, int to, bool cut);
void fault_proxy_flush (struct fault_proxy *p);

/* Delays the bytes from FROM to TO by up to MS; 0 ends the delay.  */
void fault_proxy_delay (struct fault_proxy *p, int from, int to, int64_t ms);

/* Loses PERCENT of the packets from FROM to TO; 0 ends the loss.  */
void fault_proxy_lose (struct fault_proxy *p, int from, int to,
                       uint32_t percent);

enum
{
  PROXY_ANY = -1,
  PROXY_TARGETS = -2, /* any target */
  PROXY_VMS = -3      /* any VM */
};

/* Resets the connections between ONE and OTHER, which may be one of the
   above.  */
void fault_proxy_reset (struct fault_proxy *p, int one, int other);

/* Stops forwarding on each STEPth of the present connections between ONE and
   OTHER, which may be one of the above, for good, without closing them; new
   connections work.  */
void fault_proxy_blackhole (struct fault_proxy *p, int one, int other,
                            uint32_t step);

#endif
