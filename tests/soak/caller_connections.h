/* Open connections of the soak test's callers, which use them again as long as
   the entry lets them.  */
#ifndef SOAK_CALLER_CONNECTIONS_H
#define SOAK_CALLER_CONNECTIONS_H

#include <event2/http.h>
#include "tests/soak/soak.h"

/* Returns an idle connection to ENTRY, or a new one.  */
struct evhttp_connection *caller_connection_take (struct node *entry);

/* Takes back a connection to ENTRY whose request has ended.  It need not be
   open any more: libevent opens it again for its next request.  */
void caller_connection_release (struct node *entry,
                                struct evhttp_connection *conn);

/* Ends a connection with a request: with a reset if RESET.  */
void caller_connection_break (struct evhttp_connection *conn, bool reset);

/* Frees the idle connections.  */
void caller_connections_free (void);

#endif
