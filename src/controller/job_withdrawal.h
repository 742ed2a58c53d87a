/* Withdrawal of a job whose entry is not known, at a keeper: every entry that
   is connected to this keeper is asked to withdraw it.  */
#ifndef CONTROLLER_JOB_WITHDRAWAL_H
#define CONTROLLER_JOB_WITHDRAWAL_H

#include "controller/quorum_keeper.h"

/* Handles an entry's call C, METHOD_WITHDRAW.  It is answered with status 200
   if an entry held the job and has withdrawn it, 410 if no entry holds it, or
   503 if that is not certain.  */
void job_withdrawal_handle_call (struct quorum_keeper *k, int64_t now_ms,
                                 struct peer_conn *from,
                                 const struct peer_call *c);

/* Handles an entry's reply.  */
void job_withdrawal_handle_reply (struct quorum_keeper *k, int64_t now_ms,
                                  const struct peer_reply *r);

/* Answers the calls that have timed out.  */
void job_withdrawal_tick (struct quorum_keeper *k, int64_t now_ms);

/* Drops all calls without an answer.  */
void job_withdrawal_done (struct quorum_keeper *k);

#endif
