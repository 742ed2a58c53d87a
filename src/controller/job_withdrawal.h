/* Withdrawal of a job whose entry is not known, at a keeper: every entry that
   is connected to this keeper is asked to withdraw it.

   That no entry holds the job is said by the keepers' leader only, and only by
   proof: a majority has confirmed after the call arrived that it leads, and
   every entry that may hold the job has answered.  These are the entries that
   are connected to it and those from which this or another keeper has received
   a heartbeat in the last 3 s.  */
#ifndef CONTROLLER_JOB_WITHDRAWAL_H
#define CONTROLLER_JOB_WITHDRAWAL_H

#include "controller/quorum_keeper.h"

/* Handles an entry's call C, METHOD_WITHDRAW.  It is answered with

   - 200 if an entry held the job and has withdrawn it;
   - 410 if it is proved that no entry holds it; the body is the leader's term,
     which earlier versions of this program, that did not prove it, left out;
   - 307 if another keeper leads; the body is its peer address;
   - 503 if it is not certain; the body is not empty if the leader says so.  */
void job_withdrawal_handle_call (struct quorum_keeper *k, int64_t now_ms,
                                 struct peer_conn *from,
                                 const struct peer_call *c);

/* Handles the reply of the entry at FROM.  */
void job_withdrawal_handle_reply (struct quorum_keeper *k, int64_t now_ms,
                                  struct peer_conn *from,
                                  const struct peer_reply *r);

/* Answers the calls that have timed out, or that a majority has confirmed. */
void job_withdrawal_tick (struct quorum_keeper *k, int64_t now_ms);

/* Drops all calls without an answer.  */
void job_withdrawal_done (struct quorum_keeper *k);

#endif
