/* The submission register: the submissions that this member of a replica group
   has a record of, and the decision on a new one.  No I/O and no clock.

   Safety: every member of the group stores a record before its first task
   starts, and no task with index start_watermark or above starts before every
   member has stored a higher start_watermark.  A member that has moved to a
   new incarnation refuses messages of an older one, so an executor that the
   quorum removed can neither accept submissions nor start further tasks.  An
   answer is sent to callers only after every member has stored it.  Nothing
   here depends on synchronized clocks except the age of a key, for which a
   skew of MAX_CLOCK_SKEW_MS is allowed.  */
#ifndef COORD_SUBMISSION_REGISTER_H
#define COORD_SUBMISSION_REGISTER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/control_view.h"
#include "coord/submission.h"
#include "net/peer_message.h"

enum
{
  MAX_CLOCK_SKEW_MS = 30000,
  ORPHAN_RECORD_MS = 600000 /* longer than any deadline */
};

/* The decision on a submission that arrived here.  */
enum submit_verdict
{
  SUBMIT_NEW,       /* a record was created; this member executes it */
  SUBMIT_KNOWN,     /* there is a record, which runs here or has ended */
  SUBMIT_ELSEWHERE, /* another member executes it */
  SUBMIT_CONFLICT,  /* same key, different content */
  SUBMIT_EXPIRED,   /* key so old that its record may be gone: may have run */
  SUBMIT_RECORDS_LOST, /* key older than the group's records: may have run */
  SUBMIT_FUTURE,       /* key of a later incarnation or a time ahead */
  SUBMIT_NOT_MEMBER,   /* this VM is not in the group; nothing changed */
  SUBMIT_NOT_SYNCED,   /* records are still being received; nothing changed */
  SUBMIT_FULL          /* the register is full; nothing changed */
};

/* A member's reply to a record message of another member.  */
enum record_status
{
  RECORD_OK = 200,
  RECORD_STALE = 409,  /* the sender's incarnation is older than ours */
  RECORD_BEHIND = 425, /* the sender's incarnation is newer than ours */
  RECORD_MISSING = 404 /* no such record: the sender should put all of it */
};

struct submission_register
{
  char vm[NAME_BYTES];
  uint64_t boot_id;
  int64_t window_ms;    /* for which ended records are retained */
  uint32_t capacity;    /* number of records at which new ones are refused */
  uint64_t bytes_limit; /* of ended records; 0: no limit */

  /* Ended records whose keys were issued up to this time may have been evicted
     before their window was over, to stay within bytes_limit.  */
  int64_t evicted_wall_ms;

  struct group group; /* the latest that this member knows */
  bool synced;        /* this member has received all records of the group */

  struct submission *records;
};

void submission_register_init (struct submission_register *r, const char *vm,
                               uint64_t boot_id, int64_t window_ms,
                               uint32_t capacity);
void submission_register_done (struct submission_register *r);

/* Removes all records and the group, and continues as BOOT_ID with the same
   limits.  */
void submission_register_reset (struct submission_register *r,
                                uint64_t boot_id);

struct submission *
submission_register_find (const struct submission_register *r, const char *id);

/* Decides on a submission of TEAM with key K and DIGEST.  Sets *FOUND to the
   record with that key, new or existing, or to NULL if none was found.  */
enum submit_verdict
submission_register_submit (struct submission_register *r, int64_t now_wall_ms,
                            const struct submission_key *k, const char *team,
                            struct submission_digest digest,
                            struct submission **found);

/* Removes the record S and releases the register's reference to it.  */
void submission_register_drop (struct submission_register *r,
                               struct submission *s);

/* Apply another member's message about a record.  PEER_RECORD_DONE with state
   SUBMISSION_PREPARING removes a record that has not been started.  */
enum record_status submission_register_put (struct submission_register *r,
                                            const struct peer_record_put *m);
enum record_status
submission_register_advance (struct submission_register *r,
                             const struct peer_record_advance *m);
enum record_status submission_register_end (struct submission_register *r,
                                            const struct peer_record_done *m);

/* Adopts group G unless its incarnation is older than that of the present one.
   Returns true if the incarnation has changed.  */
bool submission_register_set_group (struct submission_register *r,
                                    const struct group *g);

/* Makes this member the executor of all open records that it owns and whose
   executor has left the group, and calls EACH for every one.  EACH must
   continue those of which no task was started and write the answer of the
   others.  */
void submission_register_take_over (struct submission_register *r,
                                    void (*each) (void *arg,
                                                  struct submission *s),
                                    void *arg);

/* Whether this member is the one that sends all records to the members not yet
   synced.  */
bool submission_register_is_sync_source (const struct submission_register *r);

/* Removes ended records older than the window, open records of other executors
   that were never ended, and the oldest ended ones beyond bytes_limit.
   Returns the number of removed records.  */
uint32_t submission_register_expire (struct submission_register *r,
                                     int64_t now_wall_ms);

/* Fills M with the complete record S; slices of M point into S.  */
void submission_register_fill_put (const struct submission_register *r,
                                   const struct submission *s,
                                   struct peer_message *m);

#endif
