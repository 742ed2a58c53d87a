/* The state machine that the keepers replicate: the control view, the active
   configuration, and the answers to operators' requests.  Commands are JSON
   texts that every keeper applies in log order, so nothing here may read a
   clock.  */
#ifndef COORD_CONTROL_STATE_H
#define COORD_CONTROL_STATE_H

#include <stdint.h>
#include <jansson.h>
#include "coord/control_view.h"

enum
{
  CONTROL_REQUEST_LIMIT = 2000,
  CONTROL_HISTORY_LIMIT = 50
};

struct control_state
{
  char environment[NAME_BYTES];
  struct control_view view;
  json_t *config;   /* the active configuration, or NULL */
  json_t *requests; /* array of {request_id, sha256, status, answer}, oldest
                       first */
  json_t *history;  /* array of {number, sha256, operator, promoted_from,
                       wall_ms}, oldest first */
};

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

/* Returns the state as JSON text, which the caller frees, or NULL if it can't
   be written.  */
char *control_state_save (const struct control_state *c, uint32_t *length);

/* Restores the state from such a text.  What the text lacks is empty.  */
void control_state_load (struct control_state *c, const char *text,
                         uint32_t length);

/* The text of a command that makes NEXT its domain's group.  The caller frees
   it.  */
char *control_command_group (const struct group *next, int64_t wall_ms);

#endif
