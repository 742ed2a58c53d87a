/* What is known of the process at the other end of a connection to a target.

   A target that restarts under its id begins its clock anew, so a lease that
   is requested by the earlier clock lasts there for the target's longest
   lease.  But no connection outlives the process that accepted it: whoever
   answered on a connection carries out what is sent on it later, or nobody
   does.  So a call that requests a lease goes out only on a connection on
   which the incarnation that is known has answered; then the lease ends in
   time however late the call arrives, and whether or not its answer does.  */
#ifndef COORD_TARGET_CHANNEL_H
#define COORD_TARGET_CHANNEL_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/target_clock.h"

/* A connection; zero it when it is opened and when it has ended.  */
struct target_channel
{
  bool confirmed; /* the known incarnation has answered on it */
};

/* What to do with a call that requests a lease.  */
enum channel_step
{
  CHANNEL_SEND,
  CHANNEL_PROBE, /* first send a call without a lease on the same connection */
  CHANNEL_DROP   /* its lease has ended: never send it */
};

/* An answer on a connection.  */
struct channel_answer
{
  bool is_named;    /* it names the known incarnation */
  int64_t clock_ms; /* the target's clock when it replied */
  int64_t sent_ms;  /* when the call was sent */
  int64_t received_ms;
};

/* Records A, an answer on C, and the clock in it in CLOCK, that of the known
   incarnation.  Returns false, without doing so, if A is the first answer on C
   and its clock shows that a later incarnation sent it.  */
bool target_channel_answered (struct target_channel *c,
                              struct target_clock *clock,
                              const struct channel_answer *a);

/* The step at NOW_MS for a call on C that requests a lease until
   LEASE_END_MS, on the target's clock.  */
enum channel_step target_channel_step (const struct target_channel *c,
                                       const struct target_clock *clock,
                                       int64_t lease_end_ms, int64_t now_ms);

#endif
