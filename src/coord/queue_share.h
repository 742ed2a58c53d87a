/* Max-min fair sharing of the targets' cores among queues under overload.

   Load pattern: all queues together request more work than the targets can do,
   or one queue bursts to a multiple of its usual load.  Without shares the
   queue with the smallest jobs takes all capacity that becomes free, and jobs
   of many tasks are refused whatever their value.  A queue that requests less
   than an equal share gets all of it, and the rest is divided equally among
   the queues that request more.  */
#ifndef COORD_QUEUE_SHARE_H
#define COORD_QUEUE_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/service_config.h"

enum
{
  SHARE_QUEUE_LIMIT = 64
};

/* The work that a queue recently requested and was granted, in thousandths of
   a core times ms, with exponential decay.  */
struct share_queue
{
  char name[CONFIG_NAME_BYTES];
  char service[CONFIG_NAME_BYTES];
  double requested;
  double granted;
  int64_t updated_ms; /* when both were last decayed */
};

struct queue_share
{
  struct share_queue queues[SHARE_QUEUE_LIMIT];
  uint32_t count;
};

void queue_share_init (struct queue_share *s);

/* Records that QUEUE of SERVICE requests WORK.  */
void queue_share_request (struct queue_share *s, int64_t now_ms,
                          const char *queue, const char *service,
                          uint64_t work);

/* Records that QUEUE was granted WORK.  */
void queue_share_grant (struct queue_share *s, int64_t now_ms,
                        const char *queue, uint64_t work);

/* Whether QUEUE has used up its fair share of CPU_MILLI among the queues of
   SERVICE.  Always false while all requests can be granted.  */
bool queue_share_is_exhausted (struct queue_share *s, int64_t now_ms,
                               const char *queue, const char *service,
                               uint64_t cpu_milli);

/* Takes back WORK that was granted to QUEUE and will not be done.  */
void queue_share_revoke (struct queue_share *s, int64_t now_ms,
                         const char *queue, uint64_t work);

/* Whether QUEUE was recently granted less than PERCENT of what it requested,
   and less than PERCENT of its fair share as above.  */
bool queue_share_is_below (struct queue_share *s, int64_t now_ms,
                           const char *queue, const char *service,
                           uint64_t cpu_milli, uint32_t percent);

#endif
