/* All peer connections of this process.

   To every VM given to peer_network_connect or peer_network_connect_address a
   process opens one connection, its link, on which it sends its messages and
   receives the replies; the other process does the same in the opposite
   direction.  A lost link is reconnected with a jittered, growing delay.

   A call has a deadline.  Its outcome says whether the message may have
   reached the other side: only CALL_NOT_SENT proves that it did not.  */
#ifndef NET_PEER_NETWORK_H
#define NET_PEER_NETWORK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/settings.h"
#include "net/peer_conn.h"

enum network_error
{
  NETWORK_OK,
  NETWORK_ADDRESS_IN_USE
};

enum call_outcome
{
  CALL_REPLIED,
  CALL_NOT_SENT,
  CALL_NO_REPLY /* sent; no reply before the deadline or link loss */
};

/* REPLY is set for CALL_REPLIED only, and valid during the callback only.  */
typedef void (*call_done) (void *arg, enum call_outcome outcome,
                           const struct peer_reply *reply);

struct peer_network;

struct peer_network_events
{
  void (*message) (void *arg, struct peer_conn *from,
                   const struct peer_message *m);
  /* The link to VM was established or lost.  */
  void (*link) (void *arg, const char *vm, bool up);
  /* A connection opened by the other side was closed; may be NULL.  */
  void (*disconnected) (void *arg, struct peer_conn *from);
};

/* Starts listening.  Returns NULL with E set on failure.  */
struct peer_network *peer_network_new (struct event_base *base,
                                       const struct settings *s,
                                       uint64_t boot_id,
                                       const struct peer_network_events *ev,
                                       void *arg, struct error *e);
void peer_network_free (struct peer_network *n);

/* Adds a link to VM, which must be in the settings.  */
void peer_network_connect (struct peer_network *n, const char *vm);

/* Adds a link to the VM at ADDRESS, which need not be in the settings; its
   name is its address.  Does nothing if there is one already.  */
void peer_network_connect_address (struct peer_network *n, const char *address,
                                   uint16_t port);

/* Closes and removes the link to VM.  Must not be called for the VM whose
   message is being handled.  */
void peer_network_remove (struct peer_network *n, const char *vm);

/* Returns whether the link to VM is established.  */
bool peer_network_is_up (const struct peer_network *n, const char *vm);

/* Sends M to VM as a one-way message.  Returns false if it was not sent.  */
bool peer_network_send (struct peer_network *n, const char *vm,
                        const struct peer_message *m);

/* Sends M, a message with an id, as a call and sets its id.  DONE is called
   exactly once, never before this function returns.  */
void peer_network_call (struct peer_network *n, const char *vm,
                        struct peer_message *m, int64_t timeout_ms,
                        call_done done, void *arg);

/* Closes the link to VM and reconnects; for a peer that is unresponsive.  */
void peer_network_reset (struct peer_network *n, const char *vm);

#endif
