#include "net/frame_seal.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/params.h>
#include <string.h>

enum
{
  DIGEST_BYTES = 32
};

static void
set_key (struct frame_seal *s, const void *key, size_t length)
{
  OSSL_PARAM params[2];

  params[0] = OSSL_PARAM_construct_utf8_string (OSSL_MAC_PARAM_DIGEST,
                                                (char *)"SHA256", 0);
  params[1] = OSSL_PARAM_construct_end ();
  EVP_MAC_init (s->context, key, length, params);
}

void
frame_seal_init (struct frame_seal *s, const char *secret, bool connector)
{
  EVP_MAC *mac = EVP_MAC_fetch (NULL, "HMAC", NULL);

  s->context = EVP_MAC_CTX_new (mac);
  EVP_MAC_free (mac);
  s->out_sequence = 0;
  s->in_sequence = 0;
  s->out_direction = connector ? 0 : 1;
  set_key (s, secret, strlen (secret));
}

void
frame_seal_done (struct frame_seal *s)
{
  EVP_MAC_CTX_free (s->context);
  s->context = NULL;
}

static void
compute_digest (struct frame_seal *s, uint8_t direction, uint64_t sequence,
                const void *payload, size_t length,
                uint8_t digest[DIGEST_BYTES])
{
  uint8_t head[1 + sizeof sequence];
  size_t written;

  head[0] = direction;
  memcpy (head + 1, &sequence, sizeof sequence);
  EVP_MAC_init (s->context, NULL, 0, NULL);
  EVP_MAC_update (s->context, head, sizeof head);
  EVP_MAC_update (s->context, payload, length);
  EVP_MAC_final (s->context, digest, &written, DIGEST_BYTES);
}

void
frame_seal_start_session (struct frame_seal *s, const char *secret,
                          const char *connector_nonce,
                          const char *acceptor_nonce)
{
  uint8_t nonces[2 * FRAME_NONCE_BYTES];
  uint8_t key[DIGEST_BYTES];

  memcpy (nonces, connector_nonce, FRAME_NONCE_BYTES);
  memcpy (nonces + FRAME_NONCE_BYTES, acceptor_nonce, FRAME_NONCE_BYTES);
  set_key (s, secret, strlen (secret));
  compute_digest (s, 2, 0, nonces, sizeof nonces, key);
  set_key (s, key, sizeof key);
}

void
frame_seal_make (struct frame_seal *s, const void *payload, size_t length,
                 uint8_t seal[FRAME_SEAL_BYTES])
{
  uint8_t digest[DIGEST_BYTES];

  compute_digest (s, s->out_direction, s->out_sequence++, payload, length,
                  digest);
  memcpy (seal, digest, FRAME_SEAL_BYTES);
}

bool
frame_seal_check (struct frame_seal *s, const void *payload, size_t length,
                  const uint8_t seal[FRAME_SEAL_BYTES])
{
  uint8_t digest[DIGEST_BYTES];

  compute_digest (s, s->out_direction ^ 1, s->in_sequence++, payload, length,
                  digest);
  return CRYPTO_memcmp (digest, seal, FRAME_SEAL_BYTES) == 0;
}
