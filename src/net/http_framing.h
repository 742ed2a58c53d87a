/* The framing of HTTP/1 requests: where a head ends, how long its body is and
   how it is coded.  Incremental and without I/O: each byte is looked at once,
   in whatever pieces it arrives.

   Stricter than RFC 9112 requires, so that no other reader of the same bytes
   can find another end of a request: a line ends with CR LF, a field's name
   has no space around it and no line is continued; a request with both
   Content-Length and Transfer-Encoding, with two differing lengths, or with a
   coding other than chunked is refused.  */
#ifndef NET_HTTP_FRAMING_H
#define NET_HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FRAMING_NAME_BYTES = 20, /* longer than any field name that matters here */

  /* The library's parser ends a connection at a longer field or path.  */
  FRAMING_TOKEN_BYTES = 8187
};

struct framing_limits
{
  uint32_t head_bytes; /* request line, fields and their line ends */
  uint32_t fields;
  uint32_t empty_lines; /* before the request line */
  uint32_t body_bytes;  /* decoded */
};

enum framing_result
{
  FRAMING_MORE,          /* all bytes are taken; the request goes on */
  FRAMING_HEAD_DONE,     /* the head has ended here; call again for the body */
  FRAMING_DONE,          /* the request has ended here */
  FRAMING_INVALID,       /* 400 */
  FRAMING_HEAD_TOO_LONG, /* 431 */
  FRAMING_BODY_TOO_LONG, /* 413 */
  FRAMING_OVERHEAD       /* 413: chunk sizes, extensions and trailers are out
                            of proportion to the body */
};

enum framing_state
{
  FRAMING_BEFORE,
  FRAMING_BEFORE_LF,
  FRAMING_LINE,
  FRAMING_LINE_LF,
  FRAMING_FIELD_START,
  FRAMING_FIELD_NAME,
  FRAMING_FIELD_VALUE,
  FRAMING_FIELD_LF,
  FRAMING_HEAD_LF,
  FRAMING_BODY,
  FRAMING_CHUNK_SIZE,
  FRAMING_CHUNK_EXTENSION,
  FRAMING_CHUNK_LF,
  FRAMING_CHUNK_DATA,
  FRAMING_CHUNK_END,
  FRAMING_CHUNK_END_LF,
  FRAMING_TRAILER_START,
  FRAMING_TRAILER,
  FRAMING_TRAILER_LF,
  FRAMING_END_LF
};

/* A field whose value decides about the framing.  */
enum framing_field
{
  FRAMING_FIELD_OTHER,
  FRAMING_FIELD_LENGTH,
  FRAMING_FIELD_CODING,
  FRAMING_FIELD_EXPECT
};

struct http_framing
{
  enum framing_state state;
  uint32_t head_bytes; /* taken of this request, without empty lines before */
  uint32_t kept_bytes; /* of these, in the caller's head */
  uint32_t field_count;
  uint32_t empty_lines;

  /* the field being read */
  enum framing_field field;
  uint32_t field_at; /* offset of its first byte in the caller's head */
  char text[FRAMING_NAME_BYTES + 1]; /* its name, then its value */
  uint32_t text_length;

  /* what the head says */
  bool has_length;
  bool chunked;
  bool expects_continue;
  uint64_t length; /* of the body, or of the chunk being read */

  uint64_t body_bytes;     /* decoded so far */
  uint64_t overhead_bytes; /* of the body's coding so far */
  uint64_t body_left;      /* of the body or the chunk */
  uint32_t size_digits;
};

/* What one call has found in the bytes that it was given.  */
struct framing_step
{
  size_t taken; /* the caller passes the rest in its next call */

  /* Of these, what belongs to the head without the fields that tell of the
     body's framing, which are decided here, and without those of more than
     FRAMING_TOKEN_BYTES.  A field of these that is already in the caller's
     head is to be cut off: DROP_FROM, or UINT32_MAX.  */
  const char *head;
  size_t head_length;
  uint32_t drop_from;

  /* and what belongs to the decoded body */
  const char *body;
  size_t body_length;
};

void http_framing_init (struct http_framing *f);

/* Whether a request has begun: a byte of its request line was taken.  */
bool http_framing_has_begun (const struct http_framing *f);

/* Takes bytes of DATA up to the next point where something is to be done.
   After any result other than FRAMING_MORE and FRAMING_HEAD_DONE, F is of no
   use before it is initialized again.  */
enum framing_result http_framing_take (struct http_framing *f,
                                       const struct framing_limits *limits,
                                       const char *data, size_t length,
                                       struct framing_step *step);

#endif
