/* Writes log lines to a file descriptor without blocking.

   A line is dropped and counted when the buffer is full because the reader is
   too slow, or, unless it is urgent, when it exceeds the rate limit.  The next
   line written is preceded by a line with the number of dropped lines.  */
#ifndef BASE_LOG_WRITER_H
#define BASE_LOG_WRITER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LOG_BUFFER_BYTES = 64 << 10,

  /* The rate limit.  A process that logs more is in a loop or flooded with
     requests, and the lines that explain the failure come first.  */
  LOG_LINES_PER_SECOND = 400
};

struct log_writer
{
  int fd;
  uint32_t used; /* bytes in the buffer that are not written yet */
  uint64_t dropped;
  uint64_t dropped_logged;
  int64_t second;
  uint32_t lines_in_second;
  char buffer[LOG_BUFFER_BYTES];
};

/* Sets FD to non-blocking mode.  */
void log_writer_init (struct log_writer *w, int fd);

/* Writes as much of the buffer as the descriptor accepts.  */
void log_writer_done (struct log_writer *w);

/* Adds LINE, which ends in a newline.  URGENT lines (errors and warnings) are
   exempt from the rate limit.  */
void log_writer_add (struct log_writer *w, int64_t now, const char *line,
                     bool urgent);

#endif
