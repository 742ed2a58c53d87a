/* Withdrawal of a job that another entry may hold, at an entry: the keepers
   know all entries and ask them.  */
#ifndef CONTROLLER_ENTRY_WITHDRAWAL_H
#define CONTROLLER_ENTRY_WITHDRAWAL_H

#include "controller/job_entry.h"

enum withdrawal_result
{
  WITHDRAWAL_DONE,
  WITHDRAWAL_NO_JOB, /* no entry holds the job */
  WITHDRAWAL_UNSURE  /* an entry may hold it and go on */
};

typedef void (*withdrawal_done) (void *arg, enum withdrawal_result result);

/* Has the job KEY withdrawn by whichever entry holds it.  DONE is called
   exactly once, never before this function returns unless no keeper is
   known.  */
void entry_withdrawal_start (struct job_entry *n, const char *key,
                             withdrawal_done done, void *arg);

/* Handles a keeper's call C, METHOD_WITHDRAW: withdraws the job if this entry
   holds it, and replies whether it did.  */
void entry_withdrawal_handle_call (struct job_entry *n, int64_t now_ms,
                                   struct peer_conn *from,
                                   const struct peer_call *c);

#endif
