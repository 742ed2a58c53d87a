/* A TCP proxy in front of each VM's peer port, run in the process of the soak
   test.  Connections between VMs go through it; it can delay, block (also in
   one direction), black-hole or reset them.  The connecting VM is identified
   by the address that it sends in its first message.  */
#ifndef SOAK_FAULT_PROXY_H
#define SOAK_FAULT_PROXY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  PROXY_VM_LIMIT = 64
};

/* The fault applied to the bytes from one VM to another.  */
struct proxy_path
{
  bool cut;         /* bytes are held back until the cut ends */
  int64_t delay_ms; /* added latency */
};

struct proxy_connection;

struct fault_proxy
{
  struct event_base *base;
  uint16_t to_port;
  const char *addresses[PROXY_VM_LIMIT];
  struct evconnlistener *listeners[PROXY_VM_LIMIT];
  uint32_t count;
  struct proxy_path paths[PROXY_VM_LIMIT][PROXY_VM_LIMIT]; /* [from][to] */
  struct proxy_connection *connections;
};

void fault_proxy_init (struct fault_proxy *p, struct event_base *base,
                       uint16_t to_port);
void fault_proxy_done (struct fault_proxy *p);

/* Listens on PORT of ADDRESS and forwards to the VM's real peer port, to_port.
   ADDRESS must outlive P.  Returns the VM's index, or -1 if it cannot
   listen.  */
int fault_proxy_add (struct fault_proxy *p, const char *address,
                     uint16_t port);

/* Holds back the bytes from FROM to TO; with CUT false, delivers them.  */
void fault_proxy_cut (struct fault_proxy *p, int from, int to, bool cut);

/* Delays the bytes from FROM to TO by up to MS; 0 ends the delay.  */
void fault_proxy_delay (struct fault_proxy *p, int from, int to, int64_t ms);

/* Resets the connections between ONE and OTHER.  */
void fault_proxy_reset (struct fault_proxy *p, int one, int other);

/* Stops forwarding on the present connections between ONE and OTHER for good,
   without closing them; new connections work.  */
void fault_proxy_blackhole (struct fault_proxy *p, int one, int other);

#endif
