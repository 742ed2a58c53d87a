/* Makes the submission's record from the request and begins it.  */
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/now.h"
#include "controller/job_controller.h"
#include "filter/request.h"

/* The tasks alone, as the record and its copies hold them.  */
static char *
body_text (const struct request *r)
{
  json_t *o;
  char *text;

  if (r->single)
    {
      json_t *payload = json_object_get (r->root, "payload");

      o = json_pack ("{s:b s:[{s:s s:O}]}", "idempotent",
                     json_get_boolean (r->root, "idempotent", false), "tasks",
                     "kind", json_get_text (r->root, "kind", ""), "payload",
                     payload == NULL ? json_null () : payload);
    }
  else
    o = json_pack ("{s:O}", "tasks", json_object_get (r->root, "tasks"));
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

enum filter_result
filter_accept (struct request *r)
{
  struct submission *s = r->submission;
  char *text = body_text (r);

  submission_set_body (s, text, strlen (text));
  free (text);
  s->deadline_ms = r->deadline_ms;
  s->deadline_wall_ms = now_wall_ms () + r->deadline_ms - now_ms ();
  request_await (r);
  job_begin (r->entry, s);
  request_answer_accepted (r);
  return FILTER_PARKED;
}
