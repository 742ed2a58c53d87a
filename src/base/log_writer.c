#include "base/log_writer.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  MS_PER_SECOND = 1000,
  NOTE_BYTES = 80
};

void
log_writer_init (struct log_writer *w, int fd)
{
  int flags = fcntl (fd, F_GETFL);

  memset (w, 0, sizeof *w);
  w->fd = fd;
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

static void
flush (struct log_writer *w)
{
  ssize_t n;

  if (w->used == 0)
    return;
  n = write (w->fd, w->buffer, w->used);
  if (n <= 0)
    return;
  w->used -= (uint32_t)n;
  memmove (w->buffer, w->buffer + n, w->used);
}

void
log_writer_done (struct log_writer *w)
{
  flush (w);
}

static bool
append (struct log_writer *w, const char *text)
{
  size_t n = strlen (text);

  if (n > sizeof w->buffer - w->used)
    return false;
  memcpy (w->buffer + w->used, text, n);
  w->used += (uint32_t)n;
  return true;
}

/* Counts a line; returns whether it is within the rate limit.  */
static bool
within_rate_limit (struct log_writer *w, int64_t now)
{
  int64_t second = now / MS_PER_SECOND;

  if (second != w->second)
    {
      w->second = second;
      w->lines_in_second = 0;
    }
  return ++w->lines_in_second <= LOG_LINES_PER_SECOND;
}

static void
log_dropped (struct log_writer *w, int64_t now)
{
  char note[NOTE_BYTES];

  if (w->dropped == w->dropped_logged)
    return;
  snprintf (note, sizeof note,
            "t=%" PRId64 " level=warn name=LOG_DROPPED lines=%" PRIu64 "\n",
            now, w->dropped - w->dropped_logged);
  if (append (w, note))
    w->dropped_logged = w->dropped;
}

void
log_writer_add (struct log_writer *w, int64_t now, const char *line,
                bool urgent)
{
  if (!urgent && !within_rate_limit (w, now))
    {
      w->dropped++;
      return;
    }
  log_dropped (w, now);
  if (!append (w, line))
    w->dropped++;
  flush (w);
}
