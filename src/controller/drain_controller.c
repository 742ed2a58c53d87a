#include "controller/drain_controller.h"

#include <string.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/remote_controller.h"
#include "controller/membership_controller.h"

enum
{
  GRACE_MS = 1000,
  LEAVE_RETRY_MS = 200
};

void
drain_begin (struct entry *n)
{
  if (n->leaving != LEAVING_NOT)
    return;
  n->leaving = LEAVING_DRAINING;
  n->drain_begun_ms = now_ms ();
  n->last_heartbeat_ms = 0;
  event_ring_add (EVENT_PROCESS_STOPPING, n->settings->vm, "%s", "draining");
}

/* Whether this entry no longer owns keys and targets, or cannot hand them
   over: without a quorum no group changes.  */
static bool
is_handed_over (const struct entry *n)
{
  const struct group *g = &n->submissions.group;
  const struct group_member *own = group_member_find (g, n->settings->vm);

  return n->quorum_lost || own == NULL || own->boot_id != n->boot_id
         || own->draining;
}

static bool
is_idle (const struct entry *n)
{
  return n->open == NULL && remote_is_idle (n)
         && http_server_open_calls (n->http) == 0;
}

static bool
is_member (const struct entry *n)
{
  return group_has_member (&n->submissions.group, n->settings->vm, n->boot_id);
}

static void
leave (struct entry *n, int64_t now)
{
  if (n->leaving != LEAVING_DRAINED)
    {
      n->leaving = LEAVING_DRAINED;
      http_server_stop_accepting (n->http);
    }
  if (now - n->last_heartbeat_ms > LEAVE_RETRY_MS)
    n->last_heartbeat_ms = 0;
}

void
drain_tick (struct entry *n, int64_t now)
{
  int64_t elapsed_ms = now - n->drain_begun_ms;
  bool timed_out = elapsed_ms > n->settings->stop_timeout_ms;

  if (n->leaving == LEAVING_NOT)
    return;
  if (elapsed_ms > GRACE_MS)
    n->refusing_submissions = true;
  if (n->leaving == LEAVING_DRAINED
      && (!is_member (n) || n->quorum_lost || timed_out))
    {
      event_base_loopbreak (n->base);
      return;
    }
  if (n->refusing_submissions
      && ((is_handed_over (n) && is_idle (n)) || timed_out))
    leave (n, now);
}
