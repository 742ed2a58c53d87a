/* The head and the body of a request, as they are collected.  Whoever adds to
   them asks first how much memory the next bytes need.  */
#ifndef NET_COLLECTED_REQUEST_H
#define NET_COLLECTED_REQUEST_H

#include <stddef.h>
#include <stdint.h>
#include "net/http_framing.h"

struct collected_request
{
  struct http_framing framing;
  char *head;
  size_t head_length;
  size_t head_size; /* allocated */
  char *query;      /* of a complete request, or NULL */
  char *body;       /* followed by a zero */
  size_t body_length;
  size_t body_size; /* allocated */
};

void collected_request_init (struct collected_request *r);

/* Frees all that was collected.  R is as initialized then.  */
void collected_request_clear (struct collected_request *r);

/* The bytes that are to be allocated for the head, or the body, once the bytes
   of STEP are added.  */
size_t collected_request_head_size (const struct collected_request *r,
                                    const struct framing_step *step,
                                    const struct framing_limits *limits);
size_t collected_request_body_size (const struct collected_request *r,
                                    const struct framing_step *step,
                                    const struct framing_limits *limits);

/* Adds the bytes of STEP, with SIZE bytes allocated as above.  */
void collected_request_add_head (struct collected_request *r,
                                 const struct framing_step *step, size_t size);
void collected_request_add_body (struct collected_request *r,
                                 const struct framing_step *step, size_t size);

/* Moves the query of the request line out of the head, which is complete.  */
void collected_request_take_query (struct collected_request *r);

/* The length of the path, or of what stands in its place.  */
size_t collected_request_path_length (const struct collected_request *r);

/* Frees the head.  */
void collected_request_drop_head (struct collected_request *r);

#endif
