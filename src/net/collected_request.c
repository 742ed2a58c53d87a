#include "net/collected_request.h"

#include <stdlib.h>
#include <string.h>

enum
{
  HEAD_BYTES_FIRST = 1024,
  BODY_BYTES_FIRST = 1024,
  BODY_BYTES_AT_ONCE = 16384 /* of an announced length */
};

void
collected_request_init (struct collected_request *r)
{
  memset (r, 0, sizeof *r);
  http_framing_init (&r->framing);
}

void
collected_request_clear (struct collected_request *r)
{
  free (r->head);
  free (r->query);
  free (r->body);
  collected_request_init (r);
}

static size_t
grown (size_t size, size_t needed, size_t first, size_t maximum)
{
  if (size < first)
    size = first;
  while (size < needed)
    size *= 2;
  return size < maximum || maximum < needed ? size : maximum;
}

size_t
collected_request_head_size (const struct collected_request *r,
                             const struct framing_step *step,
                             const struct framing_limits *limits)
{
  size_t needed = r->head_length + step->head_length;

  if (needed <= r->head_size)
    return r->head_size;
  return grown (r->head_size, needed, HEAD_BYTES_FIRST, limits->head_bytes);
}

size_t
collected_request_body_size (const struct collected_request *r,
                             const struct framing_step *step,
                             const struct framing_limits *limits)
{
  size_t needed = r->body_length + step->body_length + 1;
  size_t maximum
      = r->framing.chunked ? limits->body_bytes : (size_t)r->framing.length;

  if (step->body_length == 0 || needed <= r->body_size)
    return r->body_size;
  if (!r->framing.chunked && maximum < BODY_BYTES_AT_ONCE)
    return maximum + 1;
  return grown (r->body_size, needed, BODY_BYTES_FIRST, maximum + 1);
}

void
collected_request_add_head (struct collected_request *r,
                            const struct framing_step *step, size_t size)
{
  if (size > r->head_size)
    r->head = realloc (r->head, size);
  r->head_size = size;
  if (step->head_length != 0)
    memcpy (r->head + r->head_length, step->head, step->head_length);
  r->head_length += step->head_length;
  if (step->drop_from != UINT32_MAX)
    r->head_length = step->drop_from;
}

void
collected_request_add_body (struct collected_request *r,
                            const struct framing_step *step, size_t size)
{
  if (step->body_length == 0)
    return;
  if (size > r->body_size)
    r->body = realloc (r->body, size);
  r->body_size = size;
  memcpy (r->body + r->body_length, step->body, step->body_length);
  r->body_length += step->body_length;
  r->body[r->body_length] = '\0';
}

/* The length of the request line in the head.  */
static size_t
line_length (const struct collected_request *r)
{
  const char *end = memchr (r->head, '\r', r->head_length);

  return (size_t)(end - r->head);
}

size_t
collected_request_path_length (const struct collected_request *r)
{
  size_t line = line_length (r);
  const char *path = memchr (r->head, ' ', line);
  const char *end;

  if (path == NULL)
    return line;
  path++;
  line -= (size_t)(path - r->head);
  end = memchr (path, ' ', line);
  return end == NULL ? line : (size_t)(end - path);
}

void
collected_request_take_query (struct collected_request *r)
{
  size_t line = line_length (r);
  char *query = memchr (r->head, '?', line);
  char *end;

  if (query == NULL)
    return;
  end = memchr (query, ' ', line - (size_t)(query - r->head));
  if (end == NULL)
    return;
  r->query = strndup (query + 1, (size_t)(end - query - 1));
  memmove (query, end, r->head_length - (size_t)(end - r->head));
  r->head_length -= (size_t)(end - query);
}

void
collected_request_drop_head (struct collected_request *r)
{
  free (r->head);
  r->head = NULL;
  r->head_length = r->head_size = 0;
}
