#include "net/client_budget.h"

#include <stddef.h>

enum
{
  /* What the library allocates for a request, and for each of its fields: a
     list entry, a name and a value, each an allocation of its own.  */
  REQUEST_BYTES = 4096,
  FIELD_BYTES = 160
};

enum client_verdict
client_budget_check_time (const struct client_limits *l,
                          const struct client_request *r, int64_t now)
{
  switch (r->phase)
    {
    case CLIENT_IDLE:
      return now - r->began_ms >= l->idle_ms ? CLIENT_IDLE_TOO_LONG
                                             : CLIENT_GOES_ON;
    case CLIENT_HEAD:
      return now - r->began_ms >= l->head_ms ? CLIENT_HEAD_TOO_SLOW
                                             : CLIENT_GOES_ON;
    case CLIENT_BODY:
      return now - r->head_ended_ms >= l->body_ms ? CLIENT_BODY_TOO_SLOW
                                                  : CLIENT_GOES_ON;
    default:
      return CLIENT_GOES_ON;
    }
}

uint64_t
client_budget_cost (const struct client_request *r, uint64_t head,
                    uint32_t fields, uint64_t body, uint64_t waiting)
{
  uint64_t cost = head + body + waiting;

  /* The library parses a head only once it is whole, and keeps a copy.  */
  if (r->phase == CLIENT_PENDING)
    cost += REQUEST_BYTES + head + (uint64_t)fields * FIELD_BYTES;
  return cost;
}

bool
client_budget_may_refuse (const struct client_request *r)
{
  return r->phase == CLIENT_HEAD || r->phase == CLIENT_BODY;
}

/* Byte milliseconds that R has held.  */
static uint64_t
weight_of (const struct client_request *r, int64_t now)
{
  int64_t age = now - r->began_ms;

  return r->charged_bytes * (uint64_t)(age < 0 ? 1 : age + 1);
}

bool
client_budget_is_worse (const struct client_request *a,
                        const struct client_request *b, int64_t now)
{
  if (!client_budget_may_refuse (a))
    return false;
  return !client_budget_may_refuse (b)
         || weight_of (a, now) > weight_of (b, now);
}

bool
client_budget_close_first (const struct client_request *a,
                           const struct client_request *b, int64_t now)
{
  if (a->phase == CLIENT_PENDING)
    return false;
  if (b->phase == CLIENT_PENDING)
    return true;
  if ((a->phase == CLIENT_IDLE) != (b->phase == CLIENT_IDLE))
    return a->phase == CLIENT_IDLE;
  return now - a->began_ms > now - b->began_ms;
}
