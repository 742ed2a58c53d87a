/* Carries records between the members of this entry's replica group, so that
   every member has them before the executor goes on.  */
#ifndef CONTROLLER_REPLICA_CONTROLLER_H
#define CONTROLLER_REPLICA_CONTROLLER_H

#include <stdbool.h>
#include "controller/entry.h"

/* What became of a change on its way to all other members.  */
enum replica_outcome
{
  REPLICA_ACKED,   /* every one has it */
  REPLICA_REFUSED, /* not every one took it, and each has said so or was not
                      reached at all */
  REPLICA_LOST     /* some message may still arrive */
};

typedef void (*replica_done) (struct entry *n, struct submission *s,
                              enum replica_outcome outcome);

/* Sends the record S, whole, to every other member, again and again until
   UNTIL_MS.  DONE is called once, at once where there is no other member.  */
void replica_put (struct entry *n, struct submission *s, int64_t until_ms,
                  replica_done done);

/* Raises the watermark of S to MAY_START at every other member.  */
void replica_advance (struct entry *n, struct submission *s,
                      uint32_t may_start, int64_t until_ms, replica_done done);

/* Gives every other member the answer of S.  */
void replica_end (struct entry *n, struct submission *s, int64_t until_ms,
                  replica_done done);

/* Has every other member forget S, which was not begun.  */
void replica_drop (struct entry *n, struct submission *s, int64_t until_ms,
                   replica_done done);

/* Sends all records to the members that do not have them yet, where that is
   this member's part.  */
void replica_sync_others (struct entry *n);

/* Takes a record message of another member and answers it.  */
void replica_receive (struct entry *n, struct peer_conn *from,
                      const struct peer_message *m);

#endif
