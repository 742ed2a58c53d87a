#include "net/http_intake.h"

#include <evhtp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <event2/buffer.h>
#include <utlist.h>
#include "base/now.h"

enum
{
  SWEEP_MS = 250,

  /* How long and how much is still read after a refusal.  Closing with unread
     bytes would reset the connection, and the answer could be lost.  */
  LINGER_MS = 1000,

  /* The rest of a refused body of an announced length is read up to this many
     times the limit: many clients read no answer before they have sent all. */
  DISCARD_FACTOR = 8
};

static struct evbuffer *
input_of (const struct intake_client *c)
{
  return bufferevent_get_input (c->conn->bev);
}

static void
record (struct http_intake *n, enum client_fault fault)
{
  const struct client_port_state state
      = { n->port, n->count, n->used_bytes, n->limits.budget_bytes };

  client_fault_record (&n->fault_log, fault, &state, now_ms ());
}

static void
charge (struct intake_client *c, uint64_t bytes)
{
  c->intake->used_bytes += bytes - c->request.charged_bytes;
  c->request.charged_bytes = bytes;
}

/* Whether C's request is complete.  */
static bool
is_complete (const struct intake_client *c)
{
  return c->request.phase == CLIENT_PENDING
         || c->request.phase == CLIENT_ANSWERED;
}

/* What C costs with a head of HEAD and a body of BODY bytes allocated.  */
static uint64_t
cost_of (const struct intake_client *c, uint64_t head, uint64_t body)
{
  if (is_complete (c))
    return body + c->pending_bytes + c->request.excess_bytes;
  return client_budget_cost (&c->request, head,
                             c->collected.framing.field_count, body, 0);
}

static void
drop_request (struct intake_client *c)
{
  collected_request_clear (&c->collected);
  c->pending_bytes = c->answer_bytes = 0;
  c->request.excess_bytes = 0;
  c->request.phase = CLIENT_IDLE;
  c->request.began_ms = now_ms ();
}

/* How much of C's body is still to come and is read.  */
static uint64_t
rest_of_body (const struct intake_client *c)
{
  const struct http_framing *f = &c->collected.framing;
  uint64_t maximum
      = (uint64_t)c->intake->limits.framing.body_bytes * DISCARD_FACTOR;

  return f->chunked || f->body_left > maximum ? 0 : f->body_left;
}

/* Discards what was read from C, which was refused, and ends its sending side
   once it has all of the answer and has sent all of its body.  */
static void
discard (struct intake_client *c)
{
  struct evbuffer *input = input_of (c);
  size_t n = evbuffer_get_length (input);

  evbuffer_drain (input, n);
  if (n < c->discard_bytes)
    {
      c->discard_bytes -= n;
      return;
    }
  if (c->discard_bytes != 0)
    c->closing_ms = now_ms ();
  c->discard_bytes = 0;
  if (evbuffer_get_length (bufferevent_get_output (c->conn->bev)) == 0)
    shutdown (bufferevent_getfd (c->conn->bev), SHUT_WR);
}

/* Refuses C's incomplete request and closes its connection when the answer is
   sent.  C stays valid.  */
static void
refuse (struct intake_client *c, enum client_fault fault)
{
  char *answer = client_fault_answer (fault);

  record (c->intake, fault);
  c->discard_bytes = rest_of_body (c);
  drop_request (c);
  c->closing = true;
  c->closing_ms = now_ms ();
  charge (c, 0);
  bufferevent_write (c->conn->bev, answer, strlen (answer));
  free (answer);
}

/* Closes C's connection once the callbacks that may use it have returned.  */
static void
drop (struct intake_client *c, enum client_fault fault)
{
  record (c->intake, fault);
  c->dropped = true;
  charge (c, 0);
  event_active (c->intake->drop, EV_TIMEOUT, 0);
}

/* The request to give way first, or NULL if none may.  */
static struct intake_client *
find_worst (const struct http_intake *n)
{
  int64_t now = now_ms ();
  struct intake_client *worst = n->clients;
  struct intake_client *c;

  DL_FOREACH (n->clients, c)
  if (client_budget_is_worse (&c->request, &worst->request, now))
    worst = c;
  return worst != NULL && client_budget_may_yield (&worst->request) ? worst
                                                                    : NULL;
}

/* Refuses requests and closes connections until the others fit into the
   budget, or none may give way.  */
static void
keep_budget (struct http_intake *n)
{
  while (n->used_bytes > n->limits.budget_bytes)
    {
      struct intake_client *worst = find_worst (n);

      if (worst == NULL)
        return;
      if (client_budget_may_refuse (&worst->request))
        refuse (worst, CLIENT_FAULT_BUDGET);
      else
        drop (worst, CLIENT_FAULT_EXCESS);
    }
}

/* Charges C, whose request is incomplete, with COST in all, if need be by
   refusing others.  Returns false if its own request was refused.  */
static bool
reserve (struct intake_client *c, uint64_t cost)
{
  charge (c, cost);
  keep_budget (c->intake);
  return !c->closing;
}

/* Charges C with what it holds now.  */
static void
charge_again (struct intake_client *c)
{
  if (c->closing || c->dropped)
    return;
  if (is_complete (c))
    c->request.excess_bytes
        = c->answer_bytes + evbuffer_get_length (input_of (c));
  charge (c, cost_of (c, c->collected.head_size, c->collected.body_size));
  keep_budget (c->intake);
}

/* Adds the bytes of STEP to C's request, unless it is refused for them.  */
static void
add (struct intake_client *c, const struct framing_step *step)
{
  const struct framing_limits *limits = &c->intake->limits.framing;
  struct collected_request *r = &c->collected;
  size_t head = collected_request_head_size (r, step, limits);
  size_t body = collected_request_body_size (r, step, limits);

  if ((head > r->head_size || body > r->body_size)
      && !reserve (c, cost_of (c, head, body)))
    return;
  collected_request_add_head (r, step, head);
  collected_request_add_body (r, step, body);
}

/* Ends a time in which C->freed pointed to FREED: it points to OUTER again. */
static void
restore_freed (struct intake_client *c, bool *outer, bool freed)
{
  if (!freed)
    c->freed = outer;
  else if (outer != NULL)
    *outer = true;
}

/* Gives the library the head of C's request, which is complete, and nothing of
   what follows it.  Returns false if the connection is freed.  */
static bool
give_head (struct intake_client *c)
{
  struct bufferevent *bev = c->conn->bev;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer *rest = NULL;
  bool *outer = c->freed;
  bool freed = false;

  if (evbuffer_get_length (input) != 0)
    {
      rest = evbuffer_new ();
      evbuffer_add_buffer (rest, input);
    }
  evbuffer_prepend (input, c->collected.head, c->collected.head_length);
  collected_request_drop_head (&c->collected);
  c->given = false;
  c->freed = &freed;
  c->read (bev, c->library_arg);
  restore_freed (c, outer, freed);
  if (!freed && rest != NULL)
    evbuffer_prepend_buffer (input, rest);
  if (rest != NULL)
    evbuffer_free (rest);
  if (freed || c->given)
    return !freed;
  /* The library waits for more, although the head is whole.  */
  record (c->intake, CLIENT_FAULT_FRAMING);
  evhtp_connection_free (c->conn);
  return false;
}

/* Passes C's complete request on.  Returns false if its connection is
   freed.  */
static bool
pass_on (struct intake_client *c)
{
  struct client_request pending = { .phase = CLIENT_PENDING };
  uint64_t head = client_budget_cost (&pending, c->collected.head_size,
                                      c->collected.framing.field_count, 0, 0);

  if (!reserve (c, head + c->collected.body_size))
    return true;
  collected_request_take_query (&c->collected);
  if (collected_request_path_length (&c->collected) > FRAMING_TOKEN_BYTES)
    {
      refuse (c, CLIENT_FAULT_HEAD);
      return true;
    }
  c->pending_bytes = head;
  c->request.phase = CLIENT_PENDING;
  return give_head (c);
}

static enum client_fault
fault_of (enum framing_result r)
{
  switch (r)
    {
    case FRAMING_HEAD_TOO_LONG:
      return CLIENT_FAULT_HEAD;
    case FRAMING_BODY_TOO_LONG:
      return CLIENT_FAULT_BODY;
    case FRAMING_OVERHEAD:
      return CLIENT_FAULT_OVERHEAD;
    default:
      return CLIENT_FAULT_FRAMING;
    }
}

static void
end_head (struct intake_client *c)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

  c->request.phase = CLIENT_BODY;
  c->request.head_ended_ms = now_ms ();
  if (c->collected.framing.expects_continue
      && (c->collected.framing.chunked || c->collected.framing.length != 0))
    bufferevent_write (c->conn->bev, text, sizeof text - 1);
}

/* Notes that a request has begun with what was taken.  */
static void
note_begin (struct intake_client *c)
{
  if (c->request.phase != CLIENT_IDLE
      || !http_framing_has_begun (&c->collected.framing))
    return;
  c->request.phase = CLIENT_HEAD;
  c->request.began_ms = now_ms ();
}

/* Takes the bytes of INPUT that lie in one piece, up to the next point where
   something is to be done.  */
static enum framing_result
take_piece (struct intake_client *c, struct evbuffer *input)
{
  struct evbuffer_iovec piece = { NULL, 0 };
  struct framing_step step;
  enum framing_result r;
  const char *data;
  size_t taken = 0;

  evbuffer_peek (input, -1, NULL, &piece, 1);
  data = piece.iov_base != NULL ? piece.iov_base : "";
  do
    {
      r = http_framing_take (&c->collected.framing, &c->intake->limits.framing,
                             data + taken, piece.iov_len - taken, &step);
      taken += step.taken;
      note_begin (c);
      if (r == FRAMING_MORE || r == FRAMING_HEAD_DONE || r == FRAMING_DONE)
        add (c, &step);
    }
  while (r == FRAMING_MORE && taken < piece.iov_len && !c->closing);
  evbuffer_drain (input, taken);
  return r;
}

/* Notes the end of C's request if its answer was sent.  */
static void
end_answered (struct intake_client *c)
{
  if (!c->closing && !c->dropped && is_complete (c)
      && c->conn->request == NULL)
    {
      drop_request (c);
      charge (c, 0);
    }
}

/* Whether bytes of C belong to a request that is being read.  */
static bool
is_parsing (const struct intake_client *c)
{
  return !c->closing && !c->dropped && c->conn->request == NULL;
}

/* Takes what was read from C.  C may be freed by it.  */
static void
take_input (struct intake_client *c)
{
  struct evbuffer *input = input_of (c);
  enum framing_result r = FRAMING_MORE;

  end_answered (c);
  while (is_parsing (c)
         && (evbuffer_get_length (input) != 0 || r == FRAMING_HEAD_DONE))
    {
      r = take_piece (c, input);
      if (c->closing)
        break;
      if (r == FRAMING_HEAD_DONE)
        end_head (c);
      else if (r == FRAMING_DONE && !pass_on (c))
        return;
      else if (r != FRAMING_MORE && r != FRAMING_DONE)
        refuse (c, fault_of (r));
      end_answered (c);
    }
  if (c->closing)
    discard (c);
  charge_again (c);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  (void)bev;
  take_input (arg);
}

static void
on_write (struct bufferevent *bev, void *arg)
{
  struct intake_client *c = arg;
  bool *outer = c->freed;
  bool freed = false;

  if (c->closing)
    {
      discard (c);
      return;
    }
  if (c->conn->request == NULL)
    {
      /* What was sent is not the library's: 100 Continue.  The library would
         close the connection.  */
      take_input (c);
      return;
    }
  c->freed = &freed;
  c->write (bev, c->library_arg);
  restore_freed (c, outer, freed);
  if (!freed)
    take_input (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct intake_client *c = arg;

  if (c->closing)
    evhtp_connection_free (c->conn);
  else
    c->event (bev, what, c->library_arg);
}

/* Checks C's time limits.  C may be freed by it.  */
static void
check_time (struct intake_client *c, int64_t now)
{
  if (c->dropped)
    return;
  if (c->closing)
    {
      if (now - c->closing_ms
          >= (c->discard_bytes != 0 ? c->intake->limits.body_ms : LINGER_MS))
        evhtp_connection_free (c->conn);
      return;
    }
  end_answered (c);
  switch (client_budget_check_time (&c->intake->limits, &c->request, now))
    {
    case CLIENT_GOES_ON:
      break;
    case CLIENT_IDLE_TOO_LONG:
      evhtp_connection_free (c->conn);
      break;
    case CLIENT_HEAD_TOO_SLOW:
      refuse (c, CLIENT_FAULT_HEAD_TIME);
      break;
    case CLIENT_BODY_TOO_SLOW:
      refuse (c, CLIENT_FAULT_BODY_TIME);
      break;
    case CLIENT_ANSWER_NOT_READ:
      drop (c, CLIENT_FAULT_ANSWER_TIME);
      break;
    }
}

static void
read_limits (struct http_intake *n)
{
  n->limits = n->own;
  if (n->source != NULL)
    n->source (n->source_arg, &n->limits);
}

static void
on_drop (evutil_socket_t fd, short what, void *arg)
{
  struct http_intake *n = arg;
  struct intake_client *c;
  struct intake_client *next;

  (void)fd;
  (void)what;
  DL_FOREACH_SAFE (n->clients, c, next)
  if (c->dropped)
    evhtp_connection_free (c->conn);
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct http_intake *n = arg;
  struct intake_client *c;
  struct intake_client *next;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  read_limits (n);
  DL_FOREACH_SAFE (n->clients, c, next)
  check_time (c, now);
}

void
http_intake_init (struct http_intake *n, struct event_base *base,
                  const struct client_limits *limits, uint16_t port)
{
  struct timeval period = now_timeval (SWEEP_MS);

  memset (n, 0, sizeof *n);
  n->own = n->limits = *limits;
  n->port = port;
  n->drop = event_new (base, -1, 0, on_drop, n);
  n->sweep = event_new (base, -1, EV_PERSIST, on_sweep, n);
  event_add (n->sweep, &period);
}

void
http_intake_done (struct http_intake *n)
{
  event_free (n->sweep);
  event_free (n->drop);
}

void
http_intake_set_source (struct http_intake *n, intake_limits_source source,
                        void *arg)
{
  n->source = source;
  n->source_arg = arg;
  read_limits (n);
}

bool
http_intake_admit (struct http_intake *n)
{
  struct intake_client *first = n->clients;
  struct intake_client *c;
  int64_t now = now_ms ();

  if (n->count < n->limits.connections)
    return true;
  record (n, CLIENT_FAULT_CONNECTIONS);
  DL_FOREACH (n->clients, c)
  {
    end_answered (c);
    if (client_budget_close_first (&c->request, &first->request, now))
      first = c;
  }
  if (first == NULL || !client_budget_may_close (&first->request, now))
    return false;
  evhtp_connection_free (first->conn);
  return true;
}

void
http_intake_add (struct http_intake *n, struct intake_client *c,
                 struct evhtp_connection *conn)
{
  c->intake = n;
  c->conn = conn;
  c->request.phase = CLIENT_IDLE;
  c->request.began_ms = now_ms ();
  DL_APPEND (n->clients, c);
  n->count++;
  bufferevent_getcb (conn->bev, &c->read, &c->write, &c->event,
                     &c->library_arg);
  bufferevent_setcb (conn->bev, on_read, on_write, on_event, c);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, INTAKE_WAITING_BYTES);
}

void
http_intake_remove (struct intake_client *c)
{
  charge (c, 0);
  collected_request_clear (&c->collected);
  DL_DELETE (c->intake->clients, c);
  c->intake->count--;
  if (c->freed != NULL)
    *c->freed = true;
}

void
http_intake_take_body (struct intake_client *c, char **body, size_t *length)
{
  *body = c->collected.body != NULL ? c->collected.body : calloc (1, 1);
  *length = c->collected.body_length;
  c->collected.body = NULL;
  c->collected.body_length = 0;
  c->given = true;
}

const char *
http_intake_query (const struct intake_client *c)
{
  return c->collected.query != NULL ? c->collected.query : "";
}

void
http_intake_request_dropped (struct intake_client *c)
{
  free (c->collected.query);
  c->collected.query = NULL;
  c->collected.body_size = 0;
  c->pending_bytes = CLIENT_REQUEST_BYTES;
  charge_again (c);
}

void
http_intake_add_answer (struct intake_client *c, size_t bytes)
{
  c->answer_bytes += bytes;
  c->request.phase = CLIENT_ANSWERED;
  c->request.began_ms = now_ms ();
  charge_again (c);
}

bool
http_intake_is_empty (const struct intake_client *c)
{
  return !c->closing && (c->request.phase == CLIENT_IDLE || is_complete (c));
}
