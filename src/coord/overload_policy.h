/* Load shedding by priority, in services whose queues have different
   priorities (service_priorities).

   Load pattern: 2.2 times the usual load while a seventh of the targets is
   lost; tasks of 60 ms, 200 ms and 900 ms that need about half of a target
   each.  The work ahead divided by the cores says little there: a task waits
   for runs to end that leave enough cores on one target, and half of the tasks
   are larger than half a target.  So a job waits only if the runs that are
   expected to end in time leave capacity for all of its first tasks and for
   those that go before; otherwise it is refused at once, while there is time
   to try another dispatcher.  A waiting job that no longer starts on time
   because of jobs of higher priority is displaced, unless any of its tasks was
   started or delegated.  A queue that gets less than a floor, half of what
   equal shares would give it (queue_share), ranks with the highest priority.
 */
#ifndef COORD_OVERLOAD_POLICY_H
#define COORD_OVERLOAD_POLICY_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/run_scheduler.h"

/* Sets the rank of J, which has been requested of its queue's share.  It is
   the priority of its queue where the service sheds load by priority; the
   highest of the service if the queue was recently granted less than its
   floor.  */
void overload_policy_rank (struct run_scheduler *s, int64_t now_ms,
                           struct run_job *j);

struct overload_ahead overload_policy_ahead (const struct run_scheduler *s,
                                             const struct run_job *j);

/* Whether all tasks of J that depend on no other step are expected to start
   early enough for J to be on time.  */
bool overload_policy_starts_on_time (const struct run_scheduler *s,
                                     const struct run_job *j);

/* Whether this dispatcher has enough targets for the capacity on them to
   decide about J alone.  Otherwise shares and the work ahead may admit it as
   well. */
bool overload_policy_sees_enough (const struct run_scheduler *s,
                                  const struct run_job *j);

/* Whether J, which waits, is to be refused in favour of others.  */
bool overload_policy_is_displaced (const struct run_scheduler *s,
                                   const struct run_job *j);

#endif
