/* The faults of clients: how each is answered, counted and logged.  */
#ifndef NET_CLIENT_FAULT_H
#define NET_CLIENT_FAULT_H

#include <stdint.h>

enum client_fault
{
  CLIENT_FAULT_FRAMING,
  CLIENT_FAULT_HEAD,
  CLIENT_FAULT_BODY,
  CLIENT_FAULT_OVERHEAD,
  CLIENT_FAULT_HEAD_TIME,
  CLIENT_FAULT_BODY_TIME,
  CLIENT_FAULT_BUDGET,
  CLIENT_FAULT_EXCESS, /* closed without an answer, like those below */
  CLIENT_FAULT_ANSWER_TIME,
  CLIENT_FAULT_CONNECTIONS,
  CLIENT_FAULTS
};

/* The faults at a port that were logged lately.  */
struct client_fault_log
{
  int64_t logged_ms[CLIENT_FAULTS];
  uint32_t unlogged[CLIENT_FAULTS];
};

/* The state of a port that a log line tells.  */
struct client_port_state
{
  uint16_t port;
  uint32_t connections;
  uint64_t used_bytes;
  uint64_t budget_bytes;
};

/* Counts FAULT, and logs one of its kind a second.  */
void client_fault_record (struct client_fault_log *l, enum client_fault fault,
                          const struct client_port_state *s, int64_t now_ms);

/* Returns the whole answer to a request that was refused for FAULT, which the
   caller frees: the request has not run.  */
char *client_fault_answer (enum client_fault fault);

#endif
