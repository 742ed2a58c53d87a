/* The submission register: which submissions this member of a replica group
   knows, and what a new one may do.  No I/O and no clock.

   Safety in short.  A record is at every member of the group before the first
   start, and tasks from index may_start on are not started before every
   member has taken a higher may_start.  A member that has gone over to a new
   incarnation refuses messages of an older one, so an executor that the
   quorum removed can neither accept nor start further tasks.  Answers go to
   callers only once every member holds them.  Nothing here depends on clocks
   agreeing, but for the age of a key, where CLOCK_SLACK_MS is allowed.  */
#ifndef COORD_SUBMISSION_REGISTER_H
#define COORD_SUBMISSION_REGISTER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/control_view.h"
#include "coord/submission.h"
#include "net/peer_message.h"

enum
{
  CLOCK_SLACK_MS = 30000,
  STRAY_RECORD_MS = 600000 /* longer than any deadline */
};

/* What becomes of a submission that arrived here.  */
enum submit_verdict
{
  SUBMIT_NEW,         /* a record was made; this member executes it */
  SUBMIT_KNOWN,       /* the record is here, running here or ended */
  SUBMIT_ELSEWHERE,   /* another member executes it */
  SUBMIT_CONFLICT,    /* same key, other content */
  SUBMIT_EXPIRED,     /* key as old as forgotten ones: may have run */
  SUBMIT_MEMORY_LOST, /* key older than the group's memory: may have run */
  SUBMIT_FUTURE,      /* key of an incarnation or time yet to come */
  SUBMIT_NOT_MEMBER,  /* this VM is not in the group: nothing was done */
  SUBMIT_NOT_SYNCED,  /* records are still coming in: nothing was done */
  SUBMIT_FULL         /* no room for records: nothing was done */
};

/* What a member says of another member's record message.  */
enum record_status
{
  RECORD_OK = 200,
  RECORD_STALE = 409,  /* the sender's incarnation is an older one */
  RECORD_BEHIND = 425, /* the sender's incarnation is newer than ours */
  RECORD_MISSING = 404 /* send the whole record */
};

struct submission_register
{
  char vm[NAME_BYTES];
  uint64_t boot_id;
  int64_t window_ms;
  uint32_t capacity;
  uint64_t bytes_limit; /* of ended records; 0: none */

  /* Ended records whose keys were issued up to here may have been forgotten
     before their window was over, for lack of room.  */
  int64_t forgotten_wall_ms;

  struct group group; /* as this member last learnt it */
  bool synced;

  struct submission *records;
};

void submission_register_init (struct submission_register *r, const char *vm,
                               uint64_t boot_id, int64_t window_ms,
                               uint32_t capacity);
void submission_register_done (struct submission_register *r);

/* Forgets all records and the group, and goes on as BOOT_ID under the same
   bounds.  */
void submission_register_reset (struct submission_register *r,
                                uint64_t boot_id);

struct submission *
submission_register_find (const struct submission_register *r, const char *id);

/* Judges a submission of TEAM by key K and DIGEST.  For SUBMIT_NEW, KNOWN and
   ELSEWHERE, FOUND is its record.  */
enum submit_verdict
submission_register_submit (struct submission_register *r, int64_t now_wall_ms,
                            const struct submission_key *k, const char *team,
                            struct submission_digest digest,
                            struct submission **found);

/* Forgets a record that was refused before its first start.  */
void submission_register_drop (struct submission_register *r,
                               struct submission *s);

/* Takes another member's message about a record.  PEER_RECORD_DONE with state
   SUBMISSION_PREPARING has an unbegun record forgotten.  */
enum record_status submission_register_put (struct submission_register *r,
                                            const struct peer_record_put *m);
enum record_status
submission_register_advance (struct submission_register *r,
                             const struct peer_record_advance *m);
enum record_status submission_register_end (struct submission_register *r,
                                            const struct peer_record_done *m);

/* Goes over to group G.  Returns true if it is another incarnation.  */
bool submission_register_set_group (struct submission_register *r,
                                    const struct group *g);

/* The records whose executor has left the group and that this member owns
   now: calls EACH for every one, after making this member their executor.  */
void submission_register_take_over (struct submission_register *r,
                                    void (*each) (void *arg,
                                                  struct submission *s),
                                    void *arg);

/* Whether this member sends all records to the members not yet synced.  */
bool submission_register_is_sync_source (const struct submission_register *r);

/* Forgets ended records older than the window, open ones of other executors
   that nobody ended, and the oldest ended ones that do not fit the bound of
   bytes.  Returns their number.  */
uint32_t submission_register_expire (struct submission_register *r,
                                     int64_t now_wall_ms);

/* Fills M for sending record S whole; slices point into S.  */
void submission_register_fill_put (const struct submission_register *r,
                                   const struct submission *s,
                                   struct peer_message *m);

#endif
