/* The lease of a volatile job: until when its runs may go on without news from
   the entry that holds its caller.

   A caller that loses its connection or is answered "unknown" submits the job
   again after a fixed delay, at any entry, which may start it at once.  So all
   runs of the first attempt must have ended by then, whichever VM is late,
   frozen or cut off meanwhile.  The entry grants the lease for less than that
   delay and stops extending it when it answers or loses the caller; a
   dispatcher passes on to delegates what is left of it, and requests no lease
   from a target that ends later (coord/target_lease).  Nobody else extends it.

   Clocks are not compared.  A receiver stamps its messages with its own clock,
   the grantor echoes a stamp, and the lease counts from there: the stamp is
   older than the grant, so the lease never ends later than granted.  */
#ifndef COORD_JOB_LEASE_H
#define COORD_JOB_LEASE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* The runs of a job are stopped when less than this is left of its lease, so
     that a lost stop can be repeated.  */
  JOB_LEASE_STOP_MS = 300,

  /* No task is started with less than this left.  */
  JOB_LEASE_START_MS = 400
};

/* A time stamp of a peer.  It was sent no later than it was received.  */
struct lease_stamp
{
  int64_t sent_ms;     /* on the peer's clock; 0: none */
  int64_t received_ms; /* on the own clock */
};

/* The time stamps that were received from a peer.  A lease for callers counts
   from a stamp that came before their connections were last found open.  */
struct lease_echo
{
  struct lease_stamp latest;
  struct lease_stamp confirmed; /* the latest at the last call of confirm */
};

/* Records that a message with the stamp SENT_MS was received at NOW_MS.  */
void lease_echo_receive (struct lease_echo *e, int64_t sent_ms,
                         int64_t now_ms);

/* To be called after the callers whose connections had ended were dropped,
   with no message received in between.  */
void lease_echo_confirm (struct lease_echo *e);

/* The length of the longest lease for callers that retry RETRY_MS after a lost
   connection.  */
int64_t job_lease_limit_ms (int64_t retry_ms);

/* The lease that an entry grants for a caller that waits until DEADLINE_MS,
   counted from the latest stamp of E; 0 if none.  */
int64_t job_lease_grant_ms (const struct lease_echo *e, int64_t limit_ms,
                            int64_t deadline_ms);

/* The lease that a dispatcher passes on for a job whose lease ends at END_MS,
   counted from the latest stamp of E; 0 if none.  */
int64_t job_lease_pass_on_ms (const struct lease_echo *e, int64_t end_ms);

/* What is left at NOW_MS of a lease that ends at END_MS; 0 if none.  */
int64_t job_lease_left_ms (int64_t end_ms, int64_t now_ms);

/* The end, on the receiver's clock, of a lease of GRANTED_MS that counts from
   the receiver's stamp ECHO_MS.  Returns 0 if the receiver cannot have sent
   that stamp, or the lease is longer than any entry grants.  */
int64_t job_lease_end_ms (int64_t echo_ms, int64_t granted_ms, int64_t now_ms);

/* Whether the runs of a job whose lease ends at END_MS are to be stopped.  */
bool job_lease_is_ending (int64_t end_ms, int64_t now_ms);

#endif
