#include "store/journal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>
#include "base/counters.h"

static const char magic[] = "ragwort journal 2\n";
static const char journal_name[] = "journal";
static const char replacement_name[] = "journal.new";

enum
{
  MAGIC_BYTES = sizeof magic - 1,
  HEADER_BYTES = 4 + 1 + 8 + 8,
  RECORD_BYTES_MAXIMUM = 16 << 20
};

struct record_header
{
  uint32_t length;
  uint8_t type;
  uint64_t synced; /* size of the journal synced before this record */
  uint64_t checksum;
};

static enum store_error
fail (struct journal *j, const char *what)
{
  return (enum store_error)error_set (&j->error, STORE_IO, "%s in %s: %s",
                                      what, j->folder, strerror (errno));
}

/* The journal takes no more records: they could not be read after an
   incomplete one, and those of a failed sync can be read back although they
   may not be on the disk.  Removes both.  */
static enum store_error
fail_writing (struct journal *j, const char *what)
{
  enum store_error status = fail (j, what);

  j->failed = true;
  if (ftruncate (j->fd, (off_t)j->synced) == 0)
    j->size = j->synced;
  return status;
}

static uint64_t
checksum_of (uint8_t type, uint64_t synced, const void *data, uint32_t length)
{
  uint64_t seed = (synced << 8 | synced >> 56) ^ ((uint64_t)type + 1);

  return XXH3_64bits_withSeed (data, length, seed);
}

static bool
write_all (int fd, const void *data, size_t length)
{
  const char *at = data;

  while (length != 0)
    {
      ssize_t n = write (fd, at, length);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      length -= (size_t)n;
    }
  return true;
}

/* Writes the empty journal NAME.  Returns its descriptor, or -1 with errno
   set.  */
static int
write_empty (int folder_fd, const char *name)
{
  int fd
      = openat (folder_fd, name, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  int code;

  if (fd < 0)
    return -1;
  if (write_all (fd, magic, MAGIC_BYTES))
    return fd;
  code = errno;
  close (fd);
  unlinkat (folder_fd, name, 0);
  errno = code;
  return -1;
}

static bool
exists (int folder_fd, const char *name)
{
  int fd = openat (folder_fd, name, O_RDONLY | O_CLOEXEC);

  if (fd >= 0)
    close (fd);
  return fd >= 0 || errno != ENOENT;
}

/* Creates the journal under another name first: a crash or a full disk leaves
   no incomplete one.  */
static bool
create_in (int folder_fd)
{
  int fd = write_empty (folder_fd, replacement_name);
  bool synced;

  if (fd < 0)
    return false;
  synced = fdatasync (fd) == 0;
  close (fd);
  return synced
         && renameat (folder_fd, replacement_name, folder_fd, journal_name)
                == 0
         && fsync (folder_fd) == 0;
}

enum store_error
journal_create (const char *folder, struct error *e)
{
  enum store_error status = STORE_OK;
  int folder_fd;

  if (mkdir (folder, 0700) != 0 && errno != EEXIST)
    return (enum store_error)error_set (e, STORE_IO, "cannot make %s: %s",
                                        folder, strerror (errno));
  folder_fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_fd < 0)
    return (enum store_error)error_set (e, STORE_IO, "cannot open %s: %s",
                                        folder, strerror (errno));
  if (exists (folder_fd, journal_name))
    status = (enum store_error)error_set (e, STORE_ALREADY_INITIALISED,
                                          "there is a journal in %s", folder);
  else if (!create_in (folder_fd))
    status = (enum store_error)error_set (e, STORE_IO,
                                          "cannot make a journal in %s: %s",
                                          folder, strerror (errno));
  close (folder_fd);
  return status;
}

static char *
read_file (struct journal *j, size_t *length)
{
  struct stat st;
  char *text;
  size_t n = 0;

  if (fstat (j->fd, &st) != 0)
    return NULL;
  text = malloc ((size_t)st.st_size + 1);
  while (n < (size_t)st.st_size)
    {
      ssize_t got = pread (j->fd, text + n, (size_t)st.st_size - n, (off_t)n);

      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        {
          free (text);
          return NULL;
        }
      n += (size_t)got;
    }
  *length = n;
  return text;
}

/* Decodes the header of the record at AT, of which AVAILABLE bytes can be
   read, into H.  Returns the size of the record, or 0 if it is incomplete or
   its checksum is wrong.  */
static size_t
read_record (const char *at, size_t available, struct record_header *h)
{
  if (available < HEADER_BYTES)
    return 0;
  memcpy (&h->length, at, 4);
  memcpy (&h->type, at + 4, 1);
  memcpy (&h->synced, at + 5, 8);
  memcpy (&h->checksum, at + 13, 8);
  if (h->length > RECORD_BYTES_MAXIMUM || available - HEADER_BYTES < h->length)
    return 0;
  if (checksum_of (h->type, h->synced, at + HEADER_BYTES, h->length)
      != h->checksum)
    return 0;
  return HEADER_BYTES + h->length;
}

/* Returns whether the invalid record at AT, at OFFSET in the file, had been
   synced: a valid record after it states that more than OFFSET bytes were
   synced before it was appended.  Then the journal is corrupt; otherwise AT
   begins an unsynced tail, of which a power loss may keep any part.  */
static bool
was_synced (const char *at, size_t available, uint64_t offset)
{
  struct record_header h;

  for (size_t skip = 1; skip + HEADER_BYTES <= available; skip++)
    if (read_record (at + skip, available - skip, &h) > HEADER_BYTES
        && h.synced > offset)
      return true;
  return false;
}

static enum store_error
load (struct journal *j, const char *text, size_t length,
      journal_replay replay, void *arg)
{
  size_t at = MAGIC_BYTES;
  struct record_header h;

  if (length < MAGIC_BYTES || memcmp (text, magic, MAGIC_BYTES) != 0)
    return (enum store_error)error_set (&j->error, STORE_DAMAGED,
                                        "%s/%s is not a journal", j->folder,
                                        journal_name);
  while (at < length)
    {
      size_t size = read_record (text + at, length - at, &h);

      if (size == 0)
        break;
      if (!replay (arg, h.type, text + at + HEADER_BYTES, h.length))
        return (enum store_error)error_set (
            &j->error, STORE_DAMAGED, "invalid record at byte %zu of %s/%s",
            at, j->folder, journal_name);
      at += size;
    }
  if (at < length && was_synced (text + at, length - at, at))
    return (enum store_error)error_set (
        &j->error, STORE_DAMAGED,
        "%s/%s is corrupt at byte %zu: valid records follow", j->folder,
        journal_name, at);
  j->truncated_bytes = length - at;
  j->size = at;
  j->synced = at;
  return STORE_OK;
}

/* Truncates a torn tail and syncs what was read, since the process that wrote
   it may have ended before it was synced.  */
static enum store_error
make_durable (struct journal *j)
{
  if (j->truncated_bytes != 0 && ftruncate (j->fd, (off_t)j->size) != 0)
    return fail (j, "cannot truncate the torn tail");
  if (fdatasync (j->fd) != 0 || fsync (j->folder_fd) != 0)
    return fail (j, "cannot sync the journal");
  if (lseek (j->fd, (off_t)j->size, SEEK_SET) < 0)
    return fail (j, "cannot seek");
  return STORE_OK;
}

static enum store_error
open_files (struct journal *j)
{
  j->folder_fd = open (j->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (j->folder_fd < 0)
    return fail (j, "cannot open the data folder");
  if (flock (j->folder_fd, LOCK_EX | LOCK_NB) != 0)
    return (enum store_error)error_set (
        &j->error, STORE_IN_USE, "%s is in use by another process", j->folder);
  unlinkat (j->folder_fd, replacement_name, 0);
  j->fd = openat (j->folder_fd, journal_name, O_RDWR | O_CLOEXEC);
  if (j->fd < 0 && errno == ENOENT)
    return (enum store_error)error_set (
        &j->error, STORE_NOT_INITIALISED,
        "%s has no journal; make one with ragwortd --init-store, but never "
        "for a keeper that has voted before: see operate/keepers.md",
        j->folder);
  return j->fd < 0 ? fail (j, "cannot open the journal") : STORE_OK;
}

void
journal_init (struct journal *j)
{
  memset (j, 0, sizeof *j);
  j->fd = -1;
  j->folder_fd = -1;
}

enum store_error
journal_open (struct journal *j, const char *folder, int64_t sync_delay_ms,
              journal_replay replay, void *arg)
{
  enum store_error status;
  size_t length;
  char *text;

  journal_init (j);
  j->sync_delay_ms = sync_delay_ms;
  snprintf (j->folder, sizeof j->folder, "%s", folder);
  status = open_files (j);
  if (status != STORE_OK)
    return status;
  text = read_file (j, &length);
  if (text == NULL)
    return fail (j, "cannot read the journal");
  status = load (j, text, length, replay, arg);
  free (text);
  return status == STORE_OK ? make_durable (j) : status;
}

void
journal_close (struct journal *j)
{
  if (j->fd >= 0)
    close (j->fd);
  if (j->folder_fd >= 0)
    close (j->folder_fd);
  j->fd = -1;
  j->folder_fd = -1;
}

enum store_error
journal_append (struct journal *j, uint8_t type, const void *data,
                uint32_t length)
{
  uint64_t checksum = checksum_of (type, j->synced, data, length);
  char *record;
  bool good;

  if (j->failed)
    return STORE_IO;
  record = malloc (HEADER_BYTES + (size_t)length);
  memcpy (record, &length, 4);
  memcpy (record + 4, &type, 1);
  memcpy (record + 5, &j->synced, 8);
  memcpy (record + 13, &checksum, 8);
  if (length != 0)
    memcpy (record + HEADER_BYTES, data, length);
  good = write_all (j->fd, record, HEADER_BYTES + (size_t)length);
  free (record);
  if (!good)
    return fail_writing (j, "cannot write");
  j->size += HEADER_BYTES + (uint64_t)length;
  return STORE_OK;
}

enum store_error
journal_sync (struct journal *j)
{
  struct timespec delay
      = { j->sync_delay_ms / 1000, j->sync_delay_ms % 1000 * 1000000 };

  if (j->failed)
    return STORE_IO;
  counters_add (COUNTER_STORE_SYNCS, 1);
  if (j->sync_delay_ms != 0)
    nanosleep (&delay, NULL);
  if (fdatasync (j->fd) != 0)
    return fail_writing (j, "cannot sync");
  j->synced = j->size;
  return STORE_OK;
}

enum store_error
journal_rewrite_begin (struct journal *j, struct journal *replacement)
{
  memset (replacement, 0, sizeof *replacement);
  memcpy (replacement->folder, j->folder, sizeof replacement->folder);
  replacement->folder_fd = -1;
  replacement->sync_delay_ms = j->sync_delay_ms;
  replacement->fd = write_empty (j->folder_fd, replacement_name);
  if (replacement->fd < 0)
    return fail (j, "cannot write a new journal");
  replacement->size = MAGIC_BYTES;
  return STORE_OK;
}

void
journal_rewrite_abort (struct journal *j, struct journal *replacement)
{
  if (replacement->failed)
    j->error = replacement->error;
  close (replacement->fd);
  unlinkat (j->folder_fd, replacement_name, 0);
}

enum store_error
journal_rewrite_commit (struct journal *j, struct journal *replacement)
{
  if (journal_sync (replacement) != STORE_OK
      || renameat (j->folder_fd, replacement_name, j->folder_fd, journal_name)
             != 0
      || fsync (j->folder_fd) != 0)
    {
      fail (j, "cannot replace the journal");
      j->failed = true;
      journal_rewrite_abort (j, replacement);
      return STORE_IO;
    }
  close (j->fd);
  j->fd = replacement->fd;
  j->size = replacement->size;
  j->synced = replacement->size;
  return STORE_OK;
}
