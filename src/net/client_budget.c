#include "net/client_budget.h"

#include <stddef.h>

enum
{
  DEFAULT_HEAD_BYTES = 65536,
  DEFAULT_FIELDS = 256,
  DEFAULT_EMPTY_LINES = 8,
  DEFAULT_HEAD_MS = 30000,
  DEFAULT_BODY_MS = 60000,
  DEFAULT_ANSWER_MS = 30000,
  DEFAULT_BUDGET_BYTES = 64 << 20,

  /* What the library allocates for each field: a list entry, a name and a
     value, each an allocation of its own.  */
  FIELD_BYTES = 160
};

void
client_limits_init (struct client_limits *l)
{
  *l = (struct client_limits){
    .framing = { .head_bytes = DEFAULT_HEAD_BYTES,
                 .fields = DEFAULT_FIELDS,
                 .empty_lines = DEFAULT_EMPTY_LINES },
    .head_ms = DEFAULT_HEAD_MS,
    .body_ms = DEFAULT_BODY_MS,
    .answer_ms = DEFAULT_ANSWER_MS,
    .budget_bytes = DEFAULT_BUDGET_BYTES,
  };
}

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
    case CLIENT_ANSWERED:
      return now - r->began_ms >= l->answer_ms ? CLIENT_ANSWER_NOT_READ
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
    cost += CLIENT_REQUEST_BYTES + head + (uint64_t)fields * FIELD_BYTES;
  return cost;
}

bool
client_budget_may_refuse (const struct client_request *r)
{
  return r->phase == CLIENT_HEAD || r->phase == CLIENT_BODY;
}

bool
client_budget_may_yield (const struct client_request *r)
{
  return client_budget_may_refuse (r) || r->excess_bytes != 0;
}

/* Byte milliseconds that R has held and need not have.  */
static uint64_t
weight_of (const struct client_request *r, int64_t now)
{
  int64_t age = now - r->began_ms;
  uint64_t bytes
      = client_budget_may_refuse (r) ? r->charged_bytes : r->excess_bytes;

  return bytes * (uint64_t)(age < 0 ? 1 : age + 1);
}

bool
client_budget_is_worse (const struct client_request *a,
                        const struct client_request *b, int64_t now)
{
  if (!client_budget_may_yield (a))
    return false;
  return !client_budget_may_yield (b)
         || weight_of (a, now) > weight_of (b, now);
}

/* Whether R's answer waits for a client that does not read it.  */
static bool
is_unread (const struct client_request *r, int64_t now)
{
  return r->phase == CLIENT_ANSWERED
         && now - r->began_ms >= CLIENT_ANSWER_GRACE_MS;
}

/* The order in which connections are closed for new ones.  */
enum close_rank
{
  CLOSE_UNREAD,
  CLOSE_IDLE,
  CLOSE_INCOMPLETE,
  CLOSE_SENT_AHEAD,
  CLOSE_ANSWERED,
  CLOSE_NEVER
};

static enum close_rank
rank_of (const struct client_request *r, int64_t now)
{
  switch (r->phase)
    {
    case CLIENT_IDLE:
      return CLOSE_IDLE;
    case CLIENT_HEAD:
    case CLIENT_BODY:
      return CLOSE_INCOMPLETE;
    case CLIENT_PENDING:
      return r->excess_bytes != 0 ? CLOSE_SENT_AHEAD : CLOSE_NEVER;
    default:
      return is_unread (r, now) ? CLOSE_UNREAD : CLOSE_ANSWERED;
    }
}

bool
client_budget_may_close (const struct client_request *r, int64_t now)
{
  return rank_of (r, now) != CLOSE_NEVER;
}

bool
client_budget_close_first (const struct client_request *a,
                           const struct client_request *b, int64_t now)
{
  enum close_rank ra = rank_of (a, now);
  enum close_rank rb = rank_of (b, now);

  if (ra != rb || ra == CLOSE_NEVER)
    return ra < rb;
  return now - a->began_ms > now - b->began_ms;
}
