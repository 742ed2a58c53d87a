#include "coord/dispatch_stop.h"

enum
{
  /* Run times are up to this many times the declared ones.  */
  PATH_FACTOR = 2
};

void
dispatch_stop_begin (struct dispatch_stop *d, int64_t end_ms)
{
  d->stopping = true;
  d->end_ms = end_ms;
}

/* Whether S has a target whose release the leader has not requested.  */
static bool
has_target (const struct run_scheduler *s)
{
  for (uint32_t i = 0; i < s->target_count; i++)
    if (!s->targets[i]->releasing && !s->targets[i]->spec.draining
        && !s->targets[i]->evacuated && s->targets[i]->phase == TARGET_READY)
      return true;
  return false;
}

bool
dispatch_stop_accepts (const struct dispatch_stop *d,
                       const struct run_scheduler *s, int64_t path,
                       int64_t now)
{
  if (!d->stopping)
    return true;
  return now + PATH_FACTOR * path <= d->end_ms && has_target (s);
}
