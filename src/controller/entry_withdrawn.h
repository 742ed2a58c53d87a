/* The ids of withdrawn jobs at an entry: sends those that it has acknowledged
   to a keeper until one has them, and withdraws the jobs that it holds when a
   keeper tells it of their cancellation.  */
#ifndef CONTROLLER_ENTRY_WITHDRAWN_H
#define CONTROLLER_ENTRY_WITHDRAWN_H

#include "controller/job_entry.h"

/* Records that the withdrawal of job KEY is being acknowledged.  */
void entry_withdrawn_add (struct job_entry *n, int64_t now_ms,
                          const char *key);

/* Whether the job KEY was withdrawn, so that it must not run again.  */
bool entry_withdrawn_has (const struct job_entry *n, int64_t now_ms,
                          const char *key);

/* Sends what is due.  */
void entry_withdrawn_tick (struct job_entry *n, int64_t now_ms);

/* Handles the call C of a keeper, METHOD_WITHDRAWN.  */
void entry_withdrawn_handle_call (struct job_entry *n, int64_t now_ms,
                                  struct peer_conn *from,
                                  const struct peer_call *c);

#endif
