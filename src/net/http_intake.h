/* What clients send to a port, before the HTTP library sees it.

   libevhtp bounds neither what it keeps of a head nor how it keeps chunks: 64
   clients with short fields or with chunks of one byte took more than 300 MB.
   So the callbacks of an accepted connection are wrapped: heads and bodies are
   collected here within the limits of a port, and the library is given a whole
   head without a body, once the whole request is there.  The query is left out
   as well: the library would keep each of its parts in a list, some hundred
   times its bytes.  Body and query are handed to the call by the server.  A
   request that is refused here was never seen by a handler.

   While a request is answered, at most INTAKE_WAITING_BYTES of the next are
   read; the kernel's window then stops the sender.  Nothing more is taken
   before the client's kernel has all of the answer.  */
#ifndef NET_HTTP_INTAKE_H
#define NET_HTTP_INTAKE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "net/client_budget.h"
#include "net/client_fault.h"
#include "net/collected_request.h"

enum
{
  INTAKE_WAITING_BYTES = 16384
};

struct evhtp_connection;
struct http_intake;

/* A connection.  */
struct intake_client
{
  struct http_intake *intake;
  struct evhtp_connection *conn;

  /* the library's callbacks */
  bufferevent_data_cb read;
  bufferevent_data_cb write;
  bufferevent_event_cb event;
  void *library_arg;

  struct collected_request collected;
  struct client_request request;
  uint64_t pending_bytes; /* cost of the head while its request is pending */
  uint64_t answer_bytes;
  bool given;  /* the library has passed on the request */
  bool *freed; /* set when the client is removed */

  bool dropped; /* the connection is closed at the end of this pass */
  bool closing; /* refused: the connection is closed after the answer */
  int64_t closing_ms;
  uint64_t discard_bytes; /* of a refused body, still to be read */

  struct intake_client *prev;
  struct intake_client *next;
};

/* Changes the limits L as a configuration says.  */
typedef void (*intake_limits_source) (void *arg, struct client_limits *l);

/* A port.  */
struct http_intake
{
  struct client_limits own;    /* as set for the process */
  struct client_limits limits; /* in force */
  intake_limits_source source; /* or NULL */
  void *source_arg;
  uint16_t port;
  uint64_t used_bytes;
  uint32_t count;
  struct intake_client *clients;
  struct event *sweep;
  struct event *drop; /* closes the connections that are dropped */
  struct client_fault_log fault_log;
};

void http_intake_init (struct http_intake *n, struct event_base *base,
                       const struct client_limits *limits, uint16_t port);
void http_intake_done (struct http_intake *n);

void http_intake_set_source (struct http_intake *n,
                             intake_limits_source source, void *arg);

/* Whether a new connection is admitted.  If there are too many, another one is
   closed for it; false if none may be closed (client_budget).  */
bool http_intake_admit (struct http_intake *n);

/* Puts C in front of the library's callbacks of CONN.  */
void http_intake_add (struct http_intake *n, struct intake_client *c,
                      struct evhtp_connection *conn);

/* Removes C, whose connection is about to be freed.  */
void http_intake_remove (struct intake_client *c);

/* Moves the body of C's request, which the library has passed on, to BODY.  It
   stays charged until the answer or http_intake_request_dropped.  */
void http_intake_take_body (struct intake_client *c, char **body,
                            size_t *length);

/* The query of C's request, "" if there is none.  Valid until the answer or
   http_intake_request_dropped.  */
const char *http_intake_query (const struct intake_client *c);

/* The body and the header of C's request were freed.  */
void http_intake_request_dropped (struct intake_client *c);

/* BYTES of an answer wait to be sent to C.  */
void http_intake_add_answer (struct intake_client *c, size_t bytes);

/* Whether nothing of a request that is not yet passed on was read from C, and
   C was not refused.  */
bool http_intake_is_empty (const struct intake_client *c);

#endif
