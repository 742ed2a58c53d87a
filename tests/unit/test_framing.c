/* Tests of the framing of requests.  Each text is taken whole, byte by byte
   and cut at random: the result must not depend on the cuts.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "net/http_framing.h"
#include "tests/unit/suites.h"

enum
{
  TEXT_BYTES = 4096,
  RANDOM_CUTS = 50
};

static const struct framing_limits limits
    = { .head_bytes = 200, .fields = 8, .empty_lines = 4, .body_bytes = 100 };

/* What was made of a text.  */
struct outcome
{
  enum framing_result result;
  size_t taken;
  char head[TEXT_BYTES];
  size_t head_length;
  char body[TEXT_BYTES];
  size_t body_length;
};

static void
add_step (struct outcome *o, const struct framing_step *step)
{
  memcpy (o->head + o->head_length, step->head == NULL ? "" : step->head,
          step->head_length);
  o->head_length += step->head_length;
  if (step->drop_from != UINT32_MAX)
    o->head_length = step->drop_from;
  memcpy (o->body + o->body_length, step->body == NULL ? "" : step->body,
          step->body_length);
  o->body_length += step->body_length;
  o->taken += step->taken;
}

static bool
goes_on (enum framing_result r)
{
  return r == FRAMING_MORE || r == FRAMING_HEAD_DONE;
}

/* Takes TEXT in pieces of at most PIECE bytes, chosen by R if it is set.  */
static void
take (struct outcome *o, const char *text, size_t length, size_t piece,
      struct prng *r)
{
  struct http_framing f;
  struct framing_step step;

  memset (o, 0, sizeof *o);
  http_framing_init (&f);
  while (o->taken < length && goes_on (o->result))
    {
      size_t end = o->taken + (r == NULL ? piece : 1 + prng_next (r, 40));

      if (end > length)
        end = length;
      do
        {
          o->result = http_framing_take (&f, &limits, text + o->taken,
                                         end - o->taken, &step);
          add_step (o, &step);
        }
      while (goes_on (o->result)
             && (o->taken < end || o->result == FRAMING_HEAD_DONE));
    }
  o->head[o->head_length] = '\0';
  o->body[o->body_length] = '\0';
}

static bool
is_same (const struct outcome *a, const struct outcome *b)
{
  return a->result == b->result
         && (a->result != FRAMING_DONE
             || (a->taken == b->taken && strcmp (a->head, b->head) == 0
                 && a->body_length == b->body_length
                 && memcmp (a->body, b->body, a->body_length) == 0));
}

static struct outcome whole;

/* Takes TEXT in all ways.  Returns the result; the outcome is in WHOLE.  */
static enum framing_result
frame_bytes (const char *text, size_t length)
{
  static struct outcome other;
  struct prng r;

  prng_init (&r, 1);
  take (&whole, text, length, length, NULL);
  take (&other, text, length, 1, NULL);
  CU_ASSERT (is_same (&whole, &other));
  for (int i = 0; i < RANDOM_CUTS; i++)
    {
      take (&other, text, length, 0, &r);
      CU_ASSERT (is_same (&whole, &other));
    }
  return whole.result;
}

static enum framing_result
frame (const char *text)
{
  return frame_bytes (text, strlen (text));
}

/* Adds FIELDS to a request and returns the result.  */
static enum framing_result
frame_fields (const char *fields)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text, "POST / HTTP/1.1\r\n%s\r\n", fields);
  return frame (text);
}

/* Guards against a request whose end is found too early or too late, so that
   its rest would be taken for another request.  */
static void
test_sound_requests (void)
{
  CU_ASSERT_EQUAL (frame ("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2"),
                   FRAMING_DONE);
  CU_ASSERT_EQUAL (whole.taken, 27);
  CU_ASSERT_STRING_EQUAL (whole.head, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CU_ASSERT_EQUAL (frame ("\r\n\r\nGET / HTTP/1.1\r\n\r\n"), FRAMING_DONE);
  CU_ASSERT_STRING_EQUAL (whole.head, "GET / HTTP/1.1\r\n\r\n");
  CU_ASSERT_EQUAL (
      frame ("PUT / HTTP/1.1\r\nA: 1\r\nContent-Length:5 \r\nB: 2\r\n\r\n"
             "01234567"),
      FRAMING_DONE);
  CU_ASSERT_STRING_EQUAL (whole.head,
                          "PUT / HTTP/1.1\r\nA: 1\r\nB: 2\r\n\r\n");
  CU_ASSERT_STRING_EQUAL (whole.body, "01234");
  CU_ASSERT_EQUAL (
      frame ("PUT / HTTP/1.1\r\ntransfer-ENCODING: Chunked\r\nA: 1\r\n\r\n"
             "5;x=y\r\n01234\r\n00a\r\n0123456789\r\n0\r\nT: t\r\n\r\nGET"),
      FRAMING_DONE);
  CU_ASSERT_STRING_EQUAL (whole.head, "PUT / HTTP/1.1\r\nA: 1\r\n\r\n");
  CU_ASSERT_STRING_EQUAL (whole.body, "012340123456789");
  CU_ASSERT_EQUAL (frame_fields ("Content-Length: 0\r\nContent-Length: 0\r\n"),
                   FRAMING_DONE);
  CU_ASSERT_EQUAL (frame_fields ("Expect: 100-continue\r\n"), FRAMING_DONE);
}

/* Guards against a request that two readers would end at different bytes.  */
static void
test_ambiguous_requests (void)
{
  static const char *const fields[]
      = { "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding:\r\n",
          "Content-Length: 1\r\nContent-Length: 2\r\n",
          "Content-Length: 1, 1\r\n",
          "Content-Length: +1\r\n",
          "Content-Length: -1\r\n",
          "Content-Length: 0x1\r\n",
          "Content-Length: 1 1\r\n",
          "Content-Length: 1                              1\r\n",
          "Content-Length:\r\n",
          "Content-Length: 18446744073709551617\r\n",
          "Content-Length : 1\r\n",
          " Content-Length: 1\r\n",
          "A: b\r\n c\r\n",
          "A: b\nContent-Length: 1\r\n",
          "A: b\rContent-Length: 1\r\n",
          "A\r\n",
          ": b\r\n",
          "A(: b\r\n",
          "Expect: 200-ok\r\n" };

  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    if (frame_fields (fields[i]) != FRAMING_INVALID)
      {
        printf ("accepted: %s", fields[i]);
        CU_FAIL ("an ambiguous request was accepted");
      }
  CU_ASSERT_EQUAL (frame ("GET / HTTP/1.1\n\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame ("\nGET / HTTP/1.1\r\n\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_bytes ("GET /\0 HTTP/1.1\r\n\r\n", 19),
                   FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_bytes ("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24),
                   FRAMING_INVALID);
}

static enum framing_result
frame_chunks (const char *chunks)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text,
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunks);
  return frame (text);
}

static void
test_chunks (void)
{
  CU_ASSERT_EQUAL (frame_chunks ("0\r\n\r\n"), FRAMING_DONE);
  CU_ASSERT_EQUAL (frame_chunks ("1\r\na\r\n0\r\n"), FRAMING_MORE);
  CU_ASSERT_EQUAL (frame_chunks ("\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("1\r\nab\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("1\na\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("g\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("0x1\r\na\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("-1\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("1 \r\na\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("0000000000000000\r\n"), FRAMING_INVALID);
  CU_ASSERT_EQUAL (frame_chunks ("ffffffffffffffff\r\n"),
                   FRAMING_BODY_TOO_LONG);
  CU_ASSERT_EQUAL (frame_chunks ("65\r\n"), FRAMING_BODY_TOO_LONG);
}

/* Guards against memory that a client takes beyond the limits.  */
static void
test_limits (void)
{
  char text[TEXT_BYTES];
  char chunks[TEXT_BYTES] = "";
  int n;

  CU_ASSERT_EQUAL (frame_fields ("Content-Length: 101\r\n"),
                   FRAMING_BODY_TOO_LONG);
  n = snprintf (text, sizeof text, "GET /%0*d HTTP/1.1\r\n\r\n", 182, 0);
  CU_ASSERT_EQUAL (n, 200);
  CU_ASSERT_EQUAL (frame (text), FRAMING_DONE);
  snprintf (text, sizeof text, "GET /%0*d HTTP/1.1\r\n\r\n", 183, 0);
  CU_ASSERT_EQUAL (frame (text), FRAMING_HEAD_TOO_LONG);
  CU_ASSERT_EQUAL (
      frame_fields ("a:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\n"),
      FRAMING_DONE);
  CU_ASSERT_EQUAL (
      frame_fields ("a:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\n"),
      FRAMING_HEAD_TOO_LONG);
  CU_ASSERT_EQUAL (frame ("\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
                   FRAMING_DONE);
  CU_ASSERT_EQUAL (frame ("\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
                   FRAMING_HEAD_TOO_LONG);
  n = 0;
  for (int i = 0; i < 100; i++)
    n += snprintf (chunks + n, sizeof chunks - (size_t)n, "1\r\nx\r\n");
  snprintf (chunks + n, sizeof chunks - (size_t)n, "0\r\n\r\n");
  CU_ASSERT_EQUAL (frame_chunks (chunks), FRAMING_DONE);
  CU_ASSERT_EQUAL (whole.body_length, 100);
  snprintf (chunks, sizeof chunks, "1;%0300d\r\nx\r\n0\r\n\r\n", 0);
  CU_ASSERT_EQUAL (frame_chunks (chunks), FRAMING_OVERHEAD);
  snprintf (chunks, sizeof chunks, "0\r\nT: %0300d\r\n\r\n", 0);
  CU_ASSERT_EQUAL (frame_chunks (chunks), FRAMING_OVERHEAD);
}

void
suite_framing (void)
{
  CU_pSuite s = CU_add_suite ("framing", NULL, NULL);

  CU_add_test (s, "where requests end", test_sound_requests);
  CU_add_test (s, "ambiguous requests", test_ambiguous_requests);
  CU_add_test (s, "chunks", test_chunks);
  CU_add_test (s, "limits of a request", test_limits);
}
