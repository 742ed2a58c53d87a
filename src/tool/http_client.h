/* Blocking HTTP calls, built on evhttp, for the command-line tool.  */
#ifndef TOOL_HTTP_CLIENT_H
#define TOOL_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

struct http_response
{
  int status;           /* HTTP status code; 0: no response */
  bool sent;            /* whether the server may have received the request */
  json_t *body;         /* NULL if not JSON */
  char key_prefix[128]; /* of the Ragwort-Key-Prefix header */
  char location[256];   /* of the Location header */
};

/* Sends a request with METHOD ("GET", "POST", "PUT" or "DELETE") for PATH to
   SERVER, an IP:PORT, and waits for the RESPONSE, which http_response_done
   frees. TOKEN and BODY may be NULL.  */
void http_client_call (const char *server, const char *method,
                       const char *path, const char *token, const char *body,
                       int64_t timeout_ms, struct http_response *response);
void http_response_done (struct http_response *response);

#endif
