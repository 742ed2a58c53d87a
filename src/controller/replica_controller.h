/* Replicates records among the members of this entry's replica group, so that
   every member has stored a change before the executor proceeds.  */
#ifndef CONTROLLER_REPLICA_CONTROLLER_H
#define CONTROLLER_REPLICA_CONTROLLER_H

#include <stdbool.h>
#include "controller/entry.h"

/* The result of sending a change to all other members.  */
enum replica_outcome
{
  REPLICA_ACKED,   /* stored by all members */
  REPLICA_REFUSED, /* not stored by all; no message can still arrive */
  REPLICA_UNKNOWN  /* not acknowledged by all; a message may still arrive */
};

typedef void (*replica_callback) (struct entry *n, struct submission *s,
                                  enum replica_outcome outcome);

/* Sends the complete record S to every other member, with retries until
   UNTIL_MS.  DONE is called once; before this function returns if there is no
   other member.  */
void replica_put (struct entry *n, struct submission *s, int64_t until_ms,
                  replica_callback done);

/* Raises the watermark of S to START_WATERMARK at every other member.  */
void replica_advance (struct entry *n, struct submission *s,
                      uint32_t start_watermark, int64_t until_ms,
                      replica_callback done);

/* Sends the answer of S to every other member.  */
void replica_end (struct entry *n, struct submission *s, int64_t until_ms,
                  replica_callback done);

/* Removes S, of which no task was started, at every other member.  */
void replica_drop (struct entry *n, struct submission *s, int64_t until_ms,
                   replica_callback done);

/* Sends all records to the members that do not have them yet, if this member
   is the one to do so (submission_register_is_sync_source).  */
void replica_sync_others (struct entry *n);

/* Handles a record message from another member and replies to it.  */
void replica_receive (struct entry *n, struct peer_conn *from,
                      const struct peer_message *m);

#endif
