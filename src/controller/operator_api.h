/* The operators' calls that every process serves: status, counters, events and
   stop.  They require the operators' token, which callers do not have.  */
#ifndef CONTROLLER_OPERATOR_API_H
#define CONTROLLER_OPERATOR_API_H

#include <stdbool.h>
#include <jansson.h>
#include "base/settings.h"
#include "net/http_server.h"

/* What a process supplies for these calls.  ARG goes to both functions.  */
struct operator_source
{
  const struct settings *settings;
  json_t *(*status) (void *arg);
  void (*stop) (void *arg);
  void *arg;
};

/* Whether C carries the operators' token.  If it does not, answers C with
   401.  */
bool operator_api_authorize (const struct settings *s, struct http_call *c);

/* Answers C if it is one of these calls; otherwise returns false.  */
bool operator_api_handle (const struct operator_source *o,
                          struct http_call *c);

#endif
