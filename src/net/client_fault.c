#include "net/client_fault.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "net/http_server.h"

enum
{
  LOG_MS = 1000,
  HEAD_TEXT_BYTES = 256
};

struct fault_row
{
  int status; /* 0: closed without an answer */
  const char *reason;
  const char *code;
  const char *message;
  enum counter counter;
  enum event_number event;
};

static const struct fault_row faults[CLIENT_FAULTS] = {
  [CLIENT_FAULT_FRAMING]
  = { 400, "Bad Request", "bad_framing", "the request's framing is not valid",
      COUNTER_CLIENTS_BAD_FRAMING, EVENT_CLIENT_BAD_FRAMING },
  [CLIENT_FAULT_HEAD]
  = { 431, "Request Header Fields Too Large", "head_too_large",
      "the head is over its limits", COUNTER_CLIENTS_HEAD_REFUSED,
      EVENT_CLIENT_HEAD_REFUSED },
  [CLIENT_FAULT_BODY]
  = { 413, "Content Too Large", "body_too_large", "the body is over its limit",
      COUNTER_CLIENTS_BODY_REFUSED, EVENT_CLIENT_BODY_REFUSED },
  [CLIENT_FAULT_OVERHEAD]
  = { 413, "Content Too Large", "chunk_overhead",
      "the chunks' coding is out of proportion to the body",
      COUNTER_CLIENTS_BODY_REFUSED, EVENT_CLIENT_BODY_REFUSED },
  [CLIENT_FAULT_HEAD_TIME]
  = { 408, "Request Timeout", "head_too_slow", "the head was not sent in time",
      COUNTER_CLIENTS_TIMED_OUT, EVENT_CLIENT_TIMED_OUT },
  [CLIENT_FAULT_BODY_TIME]
  = { 408, "Request Timeout", "body_too_slow", "the body was not sent in time",
      COUNTER_CLIENTS_TIMED_OUT, EVENT_CLIENT_TIMED_OUT },
  [CLIENT_FAULT_BUDGET]
  = { 503, "Service Unavailable", "clients_memory",
      "no memory is left for requests", COUNTER_CLIENTS_BUDGET_REFUSED,
      EVENT_CLIENT_BUDGET_REFUSED },
  [CLIENT_FAULT_EXCESS]
  = { 0, "", "clients_excess", "", COUNTER_CLIENTS_EXCESS_CLOSED,
      EVENT_CLIENT_EXCESS_CLOSED },
  [CLIENT_FAULT_ANSWER_TIME]
  = { 0, "", "answer_not_read", "", COUNTER_CLIENTS_ANSWERS_NOT_READ,
      EVENT_CLIENT_ANSWER_NOT_READ },
  [CLIENT_FAULT_CONNECTIONS]
  = { 0, "", "clients_connections", "", COUNTER_CLIENTS_CONNECTIONS_CLOSED,
      EVENT_CLIENT_CONNECTION_CLOSED },
};

void
client_fault_record (struct client_fault_log *l, enum client_fault fault,
                     const struct client_port_state *s, int64_t now)
{
  const struct fault_row *row = &faults[fault];

  counters_add (row->counter, 1);
  if (l->logged_ms[fault] != 0 && now - l->logged_ms[fault] < LOG_MS)
    {
      l->unlogged[fault]++;
      return;
    }
  event_ring_add (row->event, "",
                  "port=%u why=%s since_last=%u connections=%u "
                  "held_bytes=%" PRIu64 " budget_bytes=%" PRIu64,
                  s->port, row->code, l->unlogged[fault] + 1, s->connections,
                  s->used_bytes, s->budget_bytes);
  l->logged_ms[fault] = now;
  l->unlogged[fault] = 0;
}

char *
client_fault_answer (enum client_fault fault)
{
  const struct fault_row *row = &faults[fault];
  char *text = http_error_text (row->code, "not_run", row->message);
  size_t size = HEAD_TEXT_BYTES + strlen (text);
  char *answer = malloc (size);

  snprintf (answer, size,
            "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n%s\r\n%s",
            row->status, row->reason, strlen (text),
            fault == CLIENT_FAULT_BUDGET ? "Retry-After: 1\r\n" : "", text);
  free (text);
  return answer;
}
