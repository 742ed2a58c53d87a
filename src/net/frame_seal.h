/* Authentication of peer frames: HMAC-SHA-256, cut to 16 bytes, over the
   direction, the frame's sequence number and its payload.  The first frame
   of each side is sealed with the shared secret; later ones with a key that
   is derived from the secret and both sides' nonces, so that frames of one
   connection cannot be replayed on another.  */
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

/* CONNECTOR tells which side this is.  */
void frame_seal_init (struct frame_seal *s, const char *secret,
                      bool connector);
void frame_seal_done (struct frame_seal *s);

/* Goes over to the connection's own key.  CONNECTOR_NONCE and
   ACCEPTOR_NONCE have FRAME_NONCE_BYTES each.  */
void frame_seal_start_session (struct frame_seal *s, const char *secret,
                               const char *connector_nonce,
                               const char *acceptor_nonce);

/* Writes the seal of the next frame to send.  */
void frame_seal_make (struct frame_seal *s, const void *payload, size_t length,
                      uint8_t seal[FRAME_SEAL_BYTES]);

/* Checks the seal of the next frame received.  */
bool frame_seal_check (struct frame_seal *s, const void *payload,
                       size_t length, const uint8_t seal[FRAME_SEAL_BYTES]);

#endif
