#include "coord/job_search.h"

void
job_search_add (struct job_search *s, bool found)
{
  s->answered++;
  s->found = s->found || found;
}

enum job_search_result
job_search_result (const struct job_search *s, int64_t now)
{
  if (s->found)
    return JOB_SEARCH_FOUND;
  if (s->answered >= s->expected && !s->complete)
    return JOB_SEARCH_UNSURE;
  if (s->answered >= s->expected && s->confirmed)
    return JOB_SEARCH_NONE;
  return now < s->deadline_ms ? JOB_SEARCH_PENDING : JOB_SEARCH_UNSURE;
}
