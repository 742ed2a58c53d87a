/* Authentication of peer frames.  A frame's seal is an HMAC-SHA-256, truncated
   to 16 bytes, over the direction, the frame's sequence number and its
   payload.  The key is the shared secret for the first frame of each side, and
   then a session key derived from the secret and both sides' nonces, so that
   frames of one connection cannot be replayed on another.  */
#ifndef NET_FRAME_SEAL_H
#define NET_FRAME_SEAL_H

#include <openssl/evp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FRAME_SEAL_BYTES = 16,
  FRAME_NONCE_BYTES = 16
};

struct frame_seal
{
  EVP_MAC_CTX *context;
  uint64_t out_sequence;
  uint64_t in_sequence;
  uint8_t out_direction;
};

/* CONNECTOR is true on the side that opened the connection.  */
void frame_seal_init (struct frame_seal *s, const char *secret,
                      bool connector);
void frame_seal_done (struct frame_seal *s);

/* Derives the session key and uses it from the next frame on.  CONNECTOR_NONCE
   and ACCEPTOR_NONCE have FRAME_NONCE_BYTES each.  */
void frame_seal_start_session (struct frame_seal *s, const char *secret,
                               const char *connector_nonce,
                               const char *acceptor_nonce);

/* Computes the SEAL of the next frame to send.  */
void frame_seal_make (struct frame_seal *s, const void *payload, size_t length,
                      uint8_t seal[FRAME_SEAL_BYTES]);

/* Returns whether SEAL is right for the next frame received.  */
bool frame_seal_check (struct frame_seal *s, const void *payload,
                       size_t length, const uint8_t seal[FRAME_SEAL_BYTES]);

#endif
