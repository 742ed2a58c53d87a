/* How much memory clients may take at one port, and which of them is refused
   when it is used up.  Decisions without I/O; the time is an argument.

   Charged is what a connection's request holds here and in the HTTP library
   until its answer is sent, not only the bytes that were sent.  When a request
   needs more than is left, the one that has held most memory for the longest
   time gives way, be it this one: a client that sends and reads at an ordinary
   speed holds its bytes for some milliseconds, one that stops short of the end
   for ever.  An incomplete request is refused.  A complete one may have begun
   to run, so it is never refused: its connection is closed if it holds what no
   ordinary client does, requests sent ahead or an answer that is not read.  */
#ifndef NET_CLIENT_BUDGET_H
#define NET_CLIENT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>
#include "net/http_framing.h"

enum
{
  /* What the library allocates for a request without its fields.  */
  CLIENT_REQUEST_BYTES = 4096,

  /* An answer that is not taken for longer is not being read.  */
  CLIENT_ANSWER_GRACE_MS = 100
};

/* The limits of a port.  */
struct client_limits
{
  struct framing_limits framing;
  int64_t head_ms;   /* from the first byte of a request to its head's end */
  int64_t body_ms;   /* from the head's end to the request's end */
  int64_t answer_ms; /* from an answer to when all of it is taken */
  int64_t idle_ms;   /* without a request */
  uint64_t budget_bytes;
  uint32_t connections;
};

enum client_phase
{
  CLIENT_IDLE,    /* no byte of a request was read */
  CLIENT_HEAD,    /* within a head, or empty lines before it */
  CLIENT_BODY,    /* within a body */
  CLIENT_PENDING, /* the request is complete and not yet answered */
  CLIENT_ANSWERED /* its answer is not yet sent completely */
};

struct client_request
{
  enum client_phase phase;
  int64_t began_ms;      /* when its first byte was read; when idle or
                            answered, since when it is */
  int64_t head_ended_ms; /* if past the head */
  uint64_t charged_bytes;
  uint64_t excess_bytes; /* of these, sent ahead or of an answer not sent */
};

enum client_verdict
{
  CLIENT_GOES_ON,
  CLIENT_IDLE_TOO_LONG,
  CLIENT_HEAD_TOO_SLOW,
  CLIENT_BODY_TOO_SLOW,
  CLIENT_ANSWER_NOT_READ
};

/* Limits without a setting: no client inside the platform's limits reaches
   them.  */
void client_limits_init (struct client_limits *l);

/* Whether R has reached a time limit at NOW.  */
enum client_verdict client_budget_check_time (const struct client_limits *l,
                                              const struct client_request *r,
                                              int64_t now_ms);

/* What R costs with a head of HEAD bytes allocated, FIELDS fields and a body
   of BODY bytes allocated.  WAITING bytes more are read or not yet sent.  */
uint64_t client_budget_cost (const struct client_request *r, uint64_t head,
                             uint32_t fields, uint64_t body, uint64_t waiting);

/* Whether A is to give way rather than B, when the budget is used up at
   NOW.  */
bool client_budget_is_worse (const struct client_request *a,
                             const struct client_request *b, int64_t now_ms);

/* Whether R is incomplete, and so may be refused.  */
bool client_budget_may_refuse (const struct client_request *r);

/* Whether R may give way: it is refused, or its connection closed.  */
bool client_budget_may_yield (const struct client_request *r);

/* Whether connection A is to be closed rather than B when there are too many
   for a new one at NOW: those whose answer is not read first, then those
   without a request, the longest idle, then those with an incomplete request,
   then those that have sent more than a request.  */
bool client_budget_close_first (const struct client_request *a,
                                const struct client_request *b,
                                int64_t now_ms);

/* Whether the connection of R may be closed for a new one at NOW.  */
bool client_budget_may_close (const struct client_request *r, int64_t now_ms);

#endif
