/* All peer connections of this process.

   To every other VM of the settings that it is told to reach, a process
   keeps one connection of its own making, on which it sends its messages and
   gets the replies; it accepts the others' connections alike.  A lost
   connection is made again with a jittered, growing delay.

   A call has a deadline.  Its outcome tells whether the message may have
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
  CALL_LOST /* sent; no reply before the deadline or the link's end */
};

/* REPLY is set for CALL_REPLIED only and is valid during the callback.  */
typedef void (*call_done) (void *arg, enum call_outcome outcome,
                           const struct peer_reply *reply);

struct peer_network;

struct peer_network_events
{
  void (*message) (void *arg, struct peer_conn *from,
                   const struct peer_message *m);
  /* The link to VM came up or went down.  */
  void (*link) (void *arg, const char *vm, bool up);
  /* An accepted connection has ended; may be NULL.  */
  void (*gone) (void *arg, struct peer_conn *from);
};

/* Starts listening.  Returns NULL with E set on failure.  */
struct peer_network *peer_network_new (struct event_base *base,
                                       const struct settings *s,
                                       uint64_t boot_id,
                                       const struct peer_network_events *ev,
                                       void *arg, struct error *e);
void peer_network_free (struct peer_network *n);

/* Keeps a connection to VM from now on.  */
void peer_network_reach (struct peer_network *n, const char *vm);

/* Keeps a connection to the VM that goes by its ADDRESS, which need not be in
   the settings.  Does nothing for one that is reached already.  */
void peer_network_reach_address (struct peer_network *n, const char *address,
                                 uint16_t port);

/* Closes the link to VM for good.  Not to be called for the VM whose message
   is being handled.  */
void peer_network_forget (struct peer_network *n, const char *vm);

/* Whether the link to VM is ready.  */
bool peer_network_is_up (const struct peer_network *n, const char *vm);

/* Sends M to VM without a reply by id.  Returns false if it was not sent.  */
bool peer_network_send (struct peer_network *n, const char *vm,
                        const struct peer_message *m);

/* Sends the call M, whose id this function sets, and calls DONE exactly once,
   never before returning.  */
void peer_network_call (struct peer_network *n, const char *vm,
                        struct peer_message *m, int64_t timeout_ms,
                        call_done done, void *arg);

/* Closes the link to VM, to be made again; used when it has gone silent.  */
void peer_network_reset (struct peer_network *n, const char *vm);

#endif
