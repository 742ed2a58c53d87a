#include "tests/unit/fake_disk.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>
#include "tests/unit/suites.h"

enum
{
  DISK_LIMIT = 8,
  PATH_BYTES = 256
};

enum disk_fault
{
  DISK_GOOD,
  DISK_FULL,
  DISK_SYNC_FAILS
};

struct disk
{
  char folder[PATH_BYTES];
  enum disk_fault fault;
  uint64_t bytes_left; /* until DISK_FULL refuses a write */
};

static struct disk disks[DISK_LIMIT];
static uint32_t faulty;
static uint32_t syncs;

static void
set_fault (const char *folder, enum disk_fault fault, uint64_t bytes)
{
  struct disk *d = disks;

  fake_disk_mend (folder);
  while (d->fault != DISK_GOOD)
    d++;
  snprintf (d->folder, sizeof d->folder, "%s/", folder);
  d->fault = fault;
  d->bytes_left = bytes;
  faulty++;
  CU_ASSERT_FATAL (faulty < DISK_LIMIT);
}

void
fake_disk_fill (const char *folder, uint64_t bytes)
{
  set_fault (folder, DISK_FULL, bytes);
}

void
fake_disk_fail_syncs (const char *folder)
{
  set_fault (folder, DISK_SYNC_FAILS, 0);
}

void
fake_disk_mend (const char *folder)
{
  for (int i = 0; i < DISK_LIMIT; i++)
    if (disks[i].fault != DISK_GOOD
        && (folder == NULL
            || (strncmp (disks[i].folder, folder, strlen (folder)) == 0
                && disks[i].folder[strlen (folder)] == '/')))
      {
        disks[i].fault = DISK_GOOD;
        faulty--;
      }
}

uint32_t
fake_disk_syncs (void)
{
  return syncs;
}

/* The faulty disk that holds the file or folder FD, or NULL.  */
static struct disk *
faulty_disk (int fd)
{
  char link[32];
  char path[PATH_BYTES] = { 0 };
  ssize_t n;

  if (faulty == 0)
    return NULL;
  snprintf (link, sizeof link, "/proc/self/fd/%d", fd);
  n = readlink (link, path, sizeof path - 2);
  if (n <= 0)
    return NULL;
  path[n] = '/';
  for (int i = 0; i < DISK_LIMIT; i++)
    if (disks[i].fault != DISK_GOOD
        && strncmp (path, disks[i].folder, strlen (disks[i].folder)) == 0)
      return &disks[i];
  return NULL;
}

ssize_t
write (int fd, const void *buf, size_t n)
{
  struct disk *d = faulty_disk (fd);

  if (d != NULL && d->fault == DISK_FULL)
    {
      if (n > d->bytes_left)
        n = (size_t)d->bytes_left;
      d->bytes_left -= n;
      if (n == 0)
        {
          errno = ENOSPC;
          return -1;
        }
    }
  return syscall (SYS_write, fd, buf, n);
}

static int
sync_file (int fd, long number)
{
  struct disk *d = faulty_disk (fd);
  int result;

  if (d != NULL && d->fault == DISK_SYNC_FAILS)
    {
      errno = ENOSPC;
      return -1;
    }
  result = (int)syscall (number, fd);
  syncs += result == 0;
  return result;
}

int
fsync (int fd)
{
  return sync_file (fd, SYS_fsync);
}

int
fdatasync (int fildes)
{
  return sync_file (fildes, SYS_fdatasync);
}
