/* The HTTP server, on libevhtp.  Every request becomes a reference-counted
   http_call, which may be answered at any later time.  If the caller
   disconnects first, its disconnected callback runs and the answer is dropped.

   What a client may send is limited by net/http_intake: a request beyond its
   limits is refused before a handler sees it.

   A request whose path, query, Host or Authorization is not UTF-8 is refused
   here with status 400: handlers may treat these as text.  */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "base/error.h"
#include "base/settings.h"
#include "base/shared_text.h"
#include "net/http_intake.h"

enum http_server_error
{
  HTTP_SERVER_OK,
  HTTP_SERVER_ADDRESS_IN_USE
};

enum http_method
{
  HTTP_GET,
  HTTP_POST,
  HTTP_PUT,
  HTTP_DELETE,
  HTTP_OTHER
};

struct evhtp_request;
struct http_server;
struct http_connection;

struct http_call
{
  uint32_t references;
  struct evhtp_request *request; /* NULL once answered or disconnected */
  struct http_server *server;
  struct http_connection *connection; /* NULL like REQUEST */
  int64_t sent_after_ms; /* the request was sent later than that, by the checks
                            of http_server_drop_ended */

  /* the request; PATH and QUERY are valid only until the answer */
  enum http_method method;
  const char *path;
  const char *query; /* "" where there is none */
  char *body;
  size_t body_length;

  /* called if the caller disconnects before the answer */
  void (*disconnected) (void *arg, struct http_call *c);
  void *disconnected_arg;
};

/* Handles C.  Must answer it, now or later.  */
typedef void (*http_handler) (void *arg, struct http_call *c);

/* Listens on the settings' address and HTTP port.  Returns NULL with E set on
   failure.  */
struct http_server *http_server_new (struct event_base *base,
                                     const struct settings *s,
                                     http_handler handler, void *arg,
                                     struct error *e);
void http_server_free (struct http_server *s);

/* Sets a function that is called from time to time to change the limits of
   clients as a configuration says.  */
void http_server_set_limits_source (struct http_server *s,
                                    intake_limits_source source, void *arg);

/* Returns the number of calls not yet answered.  */
uint32_t http_server_open_calls (const struct http_server *s);

/* Stops accepting connections.  */
void http_server_stop_accepting (struct http_server *s);

/* Disconnects the calls whose callers have closed or reset their connections
   by now, whatever still lies unread on them, and records which connections
   have no unread request.  Returns false if that could not be determined.  */
bool http_server_drop_ended (struct http_server *s, int64_t now_ms);

/* Closes the connections on which no request is being read or answered.  */
void http_server_close_idle (struct http_server *s);

/* Whether C is not yet answered and its caller has not closed or reset the
   connection by now.  */
bool http_call_is_connected (const struct http_call *c);

struct http_call *http_call_hold (struct http_call *c);
void http_call_release (struct http_call *c);

/* Returns the value of the request's header NAME, or NULL.  */
const char *http_call_header (const struct http_call *c, const char *name);

/* Returns the request's bearer token, or NULL.  */
const char *http_call_token (const struct http_call *c);

/* Copies the query parameter NAME to VALUE, cut to SIZE - 1 bytes and not
   percent-decoded.  Returns false if there is none.  */
bool http_call_query (const struct http_call *c, const char *name, char *value,
                      size_t size);

/* Frees the body and the header of C, once the handler has read them and holds
   the call.  */
void http_call_drop_request (struct http_call *c);

/* Adds a header to the answer.  No effect once answered.  */
void http_call_set_header (struct http_call *c, const char *name,
                           const char *value);

/* Closes the connection after the answer.  No effect once answered.  */
void http_call_close_after (struct http_call *c);

/* Answers with STATUS and the text JSON.  */
void http_call_answer (struct http_call *c, int status, const char *json);

/* Answers with STATUS and the JSON text T, of which no copy is made.  */
void http_call_answer_shared (struct http_call *c, int status,
                              struct shared_text *t);

/* Answers with STATUS and VALUE, and drops the caller's reference to VALUE.  A
   VALUE of NULL, which could not be built, is answered with status 500.  */
void http_call_answer_json (struct http_call *c, int status, json_t *value);

/* Answers with STATUS and an error.  OUTCOME says whether the request may have
   been run: "not_run", "unknown" or NULL.  */
void http_call_refuse (struct http_call *c, int status, const char *code,
                       const char *outcome, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Returns the JSON text of an error, which the caller frees.  Bytes of MESSAGE
   that are not UTF-8 become '?'.  */
char *http_error_text (const char *code, const char *outcome,
                       const char *message);

#endif
