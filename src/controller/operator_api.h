/* The operators' calls that every process answers: status, counters, events
   and stop.  They need the operators' token, which no caller has.  */
#ifndef CONTROLLER_OPERATOR_API_H
#define CONTROLLER_OPERATOR_API_H

#include <stdbool.h>
#include <jansson.h>
#include "base/settings.h"
#include "net/http_server.h"

struct operator_source
{
  const struct settings *settings;
  json_t *(*status) (void *arg);
  void (*stop) (void *arg);
  void *arg;
};

/* Whether C carries the operators' token.  Answers it with a refusal
   otherwise.  */
bool operator_api_allows (const struct settings *s, struct http_call *c);

/* Answers C if it is one of these calls.  Returns false if it is not.  */
bool operator_api_handle (const struct operator_source *o,
                          struct http_call *c);

#endif
