/* The state machine that the keepers replicate: the control view, the
   document in force, and the answers to operators' requests.  Commands are
   JSON texts, applied in the same order everywhere; nothing here reads a
   clock.  */
#ifndef COORD_CONTROL_STATE_H
#define COORD_CONTROL_STATE_H

#include <stdint.h>
#include <jansson.h>
#include "coord/control_view.h"

enum
{
  CONTROL_REQUESTS_KEPT = 2000,
  CONTROL_HISTORY_KEPT = 50
};

struct control_state
{
  char environment[NAME_BYTES];
  struct control_view view;
  json_t *document; /* in force, or NULL */
  json_t *requests; /* array of {request_id, status, answer}, oldest first */
  json_t *history;  /* array of {number, sha256, operator, wall_ms} */
};

/* What a command came to.  */
struct control_result
{
  int status;   /* an HTTP status */
  char *answer; /* a JSON text that the caller frees */
};

void control_state_init (struct control_state *c, const char *environment);
void control_state_done (struct control_state *c);

/* Applies the command TEXT of log entry INDEX.  */
struct control_result control_state_apply (struct control_state *c,
                                           uint64_t index, const char *text,
                                           uint32_t length);

/* The state as a text, and back.  */
char *control_state_save (const struct control_state *c, uint32_t *length);
void control_state_load (struct control_state *c, const char *text,
                         uint32_t length);

/* Commands.  The caller frees the text.  */
char *control_command_group (const struct group *next, int64_t wall_ms);

#endif
