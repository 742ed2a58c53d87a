/* Records and exchanges the ids of withdrawn jobs (coord/withdrawn_jobs), at
   entries and keepers.  Each change is counted, and logged as an event.

   Every process sends the others what they do not have yet, in calls with the
   method METHOD_WITHDRAWN that are repeated until they are answered.  Programs
   that do not know the method do not answer it.  */
#ifndef CONTROLLER_WITHDRAWN_RECORD_H
#define CONTROLLER_WITHDRAWN_RECORD_H

#include "coord/withdrawn_jobs.h"
#include "net/peer_message.h"

/* What one other process has been sent.  */
struct withdrawn_feed
{
  uint64_t acked; /* it has all ids up to this number */
  uint64_t sent;  /* the highest number in the call that is pending */
  bool pending;
  int64_t next_ms;     /* no call before this time */
  uint32_t generation; /* of the connection to the other process */
};

enum
{
  WITHDRAWN_CALL_MS = 700,

  /* The delay after a call that was not answered.  */
  WITHDRAWN_RETRY_MS = 100
};

/* The team of a call: whether a keeper or an entry sends it.  */
extern const char withdrawn_from_keeper[];
extern const char withdrawn_from_entry[];

/* Called for each id of a message that was not known.  */
typedef void (*withdrawn_learnt) (void *arg, int64_t now_ms, const char *key);

/* Records that the job KEY was withdrawn.  Returns false if that was known. */
bool withdrawn_record_add (struct withdrawn_jobs *w, int64_t now_ms,
                           const char *key, int64_t withdrawn_ms,
                           enum withdrawn_source source);

/* Forgets the ids whose time is over.  */
void withdrawn_record_expire (struct withdrawn_jobs *w, int64_t now_ms);

/* The other process may have restarted: it is sent all ids again.  */
void withdrawn_feed_reset (struct withdrawn_feed *f);

/* The body of the next call for F: ids, each followed by the time since its
   withdrawal in ms, as a JSON list that the caller frees.  Ids learnt from
   keepers are left out unless ALL.  Sets the number sent in F.  Returns NULL
   if there is nothing to send or a call is pending.  */
char *withdrawn_record_next (const struct withdrawn_jobs *w, int64_t now_ms,
                             struct withdrawn_feed *f, bool all);

/* The call that was sent for F has ended.  */
void withdrawn_record_sent (struct withdrawn_feed *f, int64_t now_ms,
                            bool answered);

/* Records the ids in call C.  */
void withdrawn_record_receive (struct withdrawn_jobs *w, int64_t now_ms,
                               const struct peer_call *c,
                               withdrawn_learnt learnt, void *arg);

/* The message that carries BODY.  */
struct peer_message withdrawn_record_message (const char *body,
                                              const char *from);

#endif
