/* A blocking HTTP call, by evhttp, for the command-line tool.  */
#ifndef TOOL_HTTP_CLIENT_H
#define TOOL_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

struct http_answer
{
  int status; /* 0: not reached */
  bool sent;  /* whether the call may have reached the other side */
  json_t *body;
  char key_prefix[128];
};

/* Calls METHOD ("GET", "POST", "DELETE") of PATH at SERVER, an IP:PORT, with
   TOKEN and BODY, both of which may be NULL.  */
void http_client_call (const char *server, const char *method,
                       const char *path, const char *token, const char *body,
                       int64_t timeout_ms, struct http_answer *answer);
void http_answer_done (struct http_answer *answer);

#endif
