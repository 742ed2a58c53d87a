/* Completes the submission's record from the request and starts it.  */
#include "base/now.h"
#include "controller/job_controller.h"
#include "filter/request.h"

enum filter_result
filter_accept (struct request *r)
{
  struct submission *s = r->submission;

  submission_set_tasks (s, r->tasks, r->canonical_text);
  r->canonical_text = NULL;
  s->deadline_ms = r->deadline_ms;
  s->deadline_wall_ms = now_wall_ms () + r->deadline_ms - now_ms ();
  request_await (r);
  job_begin (r->entry, s);
  request_answer_accepted (r);
  return FILTER_PENDING;
}
