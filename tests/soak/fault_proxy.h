/* A forwarder in front of each VM's peer port, in the soak's own process: the
   connections between VMs go through it, and it delays, silences, cuts one
   way or resets them.  Who connects is read from the first bytes, in which a
   VM names itself.  */
#ifndef SOAK_FAULT_PROXY_H
#define SOAK_FAULT_PROXY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  PROXY_VM_LIMIT = 64
};

/* What happens to the bytes from one VM to another.  */
struct proxy_path
{
  bool cut;         /* held back; they arrive when it ends */
  int64_t delay_ms; /* later than they would */
};

struct proxied;

struct fault_proxy
{
  struct event_base *base;
  uint16_t to_port;
  const char *addresses[PROXY_VM_LIMIT];
  struct evconnlistener *listeners[PROXY_VM_LIMIT];
  uint32_t count;
  struct proxy_path paths[PROXY_VM_LIMIT][PROXY_VM_LIMIT]; /* from, to */
  struct proxied *connections;
};

void fault_proxy_init (struct fault_proxy *p, struct event_base *base,
                       uint16_t to_port);
void fault_proxy_done (struct fault_proxy *p);

/* Forwards PORT of ADDRESS, which must outlive P.  Returns the VM's number,
   or -1 if it cannot listen.  */
int fault_proxy_add (struct fault_proxy *p, const char *address,
                     uint16_t port);

/* Has the bytes from FROM to TO be held back, or go on.  */
void fault_proxy_cut (struct fault_proxy *p, int from, int to, bool cut);

/* Has the bytes from FROM to TO come MS later.  */
void fault_proxy_delay (struct fault_proxy *p, int from, int to, int64_t ms);

/* Resets the connections between ONE and OTHER.  */
void fault_proxy_reset (struct fault_proxy *p, int one, int other);

/* Silences the present connections between ONE and OTHER for good; new ones
   work.  */
void fault_proxy_silence (struct fault_proxy *p, int one, int other);

#endif
