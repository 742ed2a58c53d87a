/* The journal of a keeper: checksummed records in one file of the data folder.
   Records are synced before the keeper sends any message that depends on them.

   The file starts with a magic string.  A record consists of a 4-byte length,
   a 1-byte type, the 8-byte size of the file that was synced before the record
   was appended, an 8-byte XXH3 checksum over the type, that size and the
   payload, and the payload.

   An invalid record after the last synced byte belongs to a torn tail, of
   which a power loss may have kept any part, in any order; the tail is
   truncated.  An invalid record before it is corruption, and the journal is
   rejected.  */
#ifndef STORE_JOURNAL_H
#define STORE_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/error.h"
#include "base/settings.h"

enum store_error
{
  STORE_OK,
  STORE_NOT_INITIALISED,
  STORE_ALREADY_INITIALISED,
  STORE_IO,
  STORE_DAMAGED,
  STORE_IN_USE
};

struct journal
{
  int fd;
  int folder_fd;
  char folder[PATH_SETTING_BYTES];
  int64_t sync_delay_ms;
  uint64_t size;
  uint64_t synced;          /* size up to which the file is synced */
  uint64_t truncated_bytes; /* length of the torn tail removed on opening */
  bool failed;              /* a write failed; no further ones are made */
  struct error error;       /* the latest one */
};

/* Called with every record in order when the journal is opened.  Returns
   false if the record is invalid.  */
typedef bool (*journal_replay) (void *arg, uint8_t type, const char *data,
                                uint32_t length);

/* Creates an empty journal in FOLDER, which must not contain one.  A keeper's
   journal is created once, by an operator: a keeper that continued with an
   empty folder could vote twice in one term.  */
enum store_error journal_create (const char *folder, struct error *e);

/* Makes J a closed journal, which journal_close leaves as it is.  */
void journal_init (struct journal *j);

/* Opens the journal in FOLDER, locks the folder, truncates a torn tail, calls
   REPLAY with ARG for every record and makes them durable.  SYNC_DELAY_MS is
   added to each sync.  On failure J->error is set, and the caller must call
   journal_close.  */
enum store_error journal_open (struct journal *j, const char *folder,
                               int64_t sync_delay_ms, journal_replay replay,
                               void *arg);
void journal_close (struct journal *j);

/* Appends a record, which is durable only after journal_sync.  After a failed
   append or sync both fail, and what was not synced is lost, until the journal
   is closed and opened again.  */
enum store_error journal_append (struct journal *j, uint8_t type,
                                 const void *data, uint32_t length);
enum store_error journal_sync (struct journal *j);

/* Replace the journal J atomically: begin creates the empty journal
   REPLACEMENT, to which the caller appends; commit syncs it and renames it
   over the old one, which stays valid until then; abort removes it.  A failed
   begin or commit needs no abort.  */
enum store_error journal_rewrite_begin (struct journal *j,
                                        struct journal *replacement);
void journal_rewrite_abort (struct journal *j, struct journal *replacement);
enum store_error journal_rewrite_commit (struct journal *j,
                                         struct journal *replacement);

#endif
