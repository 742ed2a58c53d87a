/* Encoding of peer messages, and frame seals.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "net/frame_seal.h"
#include "net/peer_message.h"
#include "tests/unit/suites.h"

static struct peer_message
example (void)
{
  struct peer_message m = { .type = PEER_CALL, .clock = 77 };

  m.u.call = (struct peer_call){ 5,
                                 METHOD_SUBMIT,
                                 slice_of ("shop"),
                                 slice_of ("shop.1.1.a"),
                                 -3,
                                 slice_of ("{\"tasks\":[]}") };
  return m;
}

static void
test_round_trip (void)
{
  struct peer_message m = example ();
  struct peer_message got;
  msgpack_sbuffer b;

  msgpack_sbuffer_init (&b);
  peer_message_pack (&m, &b);
  CU_ASSERT_TRUE (peer_message_unpack (&got, b.data, b.size));
  CU_ASSERT_EQUAL (got.type, PEER_CALL);
  CU_ASSERT_EQUAL (got.clock, 77);
  CU_ASSERT_EQUAL (got.u.call.timeout_ms, -3);
  CU_ASSERT_TRUE (slice_equals (got.u.call.body, "{\"tasks\":[]}"));
  msgpack_sbuffer_destroy (&b);
}

/* A header whose length exceeds the message must be refused without an
   allocation of that length: msgpack itself allocates before it reads the
   elements.  */
static void
test_oversized_lengths (void)
{
  static const char huge_array[] = "\xdd\x7f\xff\xff\xff\x01\x02";
  static const char nested[] = "\x92\x01\xdd\x7f\xff\xff\xff";
  static const char huge_bin[] = "\x92\x01\xc6\x7f\xff\xff\xff";
  struct peer_message m;

  CU_ASSERT_FALSE (
      peer_message_unpack (&m, huge_array, sizeof huge_array - 1));
  CU_ASSERT_FALSE (peer_message_unpack (&m, nested, sizeof nested - 1));
  CU_ASSERT_FALSE (peer_message_unpack (&m, huge_bin, sizeof huge_bin - 1));
}

/* A truncated message is refused.  One with random bytes replaced is refused
   or decoded, without an access outside its buffer (detected if this runs
   under AddressSanitizer).  */
static void
test_malformed (void)
{
  struct peer_message m = example ();
  struct prng prng;
  msgpack_sbuffer b;

  prng_init (&prng, first_seed ());
  msgpack_sbuffer_init (&b);
  peer_message_pack (&m, &b);
  for (size_t n = 0; n < b.size; n++)
    {
      char *copy = malloc (n + 1);
      struct peer_message got;

      memcpy (copy, b.data, n);
      CU_ASSERT_FALSE (peer_message_unpack (&got, copy, n));
      free (copy);
    }
  for (int i = 0; i < 20000; i++)
    {
      char *copy = calloc (1, b.size + 1);
      struct peer_message got;

      memcpy (copy, b.data, b.size);
      for (uint32_t j = prng_next (&prng, 4); j < 4; j++)
        copy[prng_next (&prng, (uint32_t)b.size)]
            = (char)prng_next (&prng, 256);
      if (peer_message_unpack (&got, copy, b.size) && got.type == PEER_CALL)
        CU_ASSERT_TRUE (got.u.call.body.length <= b.size);
      free (copy);
    }
  msgpack_sbuffer_destroy (&b);
}

/* A text that is no UTF-8, or has a NUL byte, is refused with its message;
   bytes may hold anything.  */
static void
test_text_not_utf8 (void)
{
  static const char entries[] = { '\xff', '\0' };
  struct peer_message calls[] = { example (), example (), example () };
  struct peer_message append = { .type = PEER_APPEND };
  struct peer_message got;
  msgpack_sbuffer b;

  calls[0].u.call.key = slice_of ("k\xc3");
  calls[1].u.call.body = slice_of ("{\"a\":\"\xff\"}");
  calls[2].u.call.team = (struct slice){ "a\0b", 3 };
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    {
      msgpack_sbuffer_init (&b);
      peer_message_pack (&calls[i], &b);
      CU_ASSERT_FALSE (peer_message_unpack (&got, b.data, b.size));
      msgpack_sbuffer_destroy (&b);
    }
  append.u.append.entries = (struct slice){ entries, sizeof entries };
  msgpack_sbuffer_init (&b);
  peer_message_pack (&append, &b);
  CU_ASSERT (peer_message_unpack (&got, b.data, b.size));
  msgpack_sbuffer_destroy (&b);
}

static void
test_frame_seal (void)
{
  struct frame_seal a;
  struct frame_seal b;
  uint8_t seal[FRAME_SEAL_BYTES];
  char nonce_a[FRAME_NONCE_BYTES] = "nonce of a";
  char nonce_b[FRAME_NONCE_BYTES] = "nonce of b";

  frame_seal_init (&a, "secret", true);
  frame_seal_init (&b, "secret", false);
  frame_seal_make (&a, "hello", 5, seal);
  CU_ASSERT_TRUE (frame_seal_check (&b, "hello", 5, seal));
  frame_seal_start_session (&a, "secret", nonce_a, nonce_b);
  frame_seal_start_session (&b, "secret", nonce_a, nonce_b);
  frame_seal_make (&a, "one", 3, seal);
  CU_ASSERT_TRUE (frame_seal_check (&b, "one", 3, seal));
  CU_ASSERT_FALSE (frame_seal_check (&b, "one", 3, seal)); /* a replay */
  frame_seal_make (&b, "two", 3, seal);
  seal[0] ^= 1;
  CU_ASSERT_FALSE (frame_seal_check (&a, "two", 3, seal));
  frame_seal_done (&a);
  frame_seal_done (&b);
}

void
suite_net (void)
{
  CU_pSuite s = CU_add_suite ("net", NULL, NULL);

  CU_add_test (s, "a message is packed and unpacked", test_round_trip);
  CU_add_test (s, "oversized lengths allocate no memory",
               test_oversized_lengths);
  CU_add_test (s, "malformed messages are refused", test_malformed);
  CU_add_test (s, "a text that is no UTF-8 is refused", test_text_not_utf8);
  CU_add_test (s, "seals refuse replays and changes", test_frame_seal);
}
