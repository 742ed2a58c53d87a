/* How much of the targets' cores each queue may use while there is less room
   than work.

   Load pattern: all queues together ask for more than the targets can do, or
   one queue bursts to a multiple of its load.  Without shares the queue with
   the smallest jobs takes whatever room appears, and jobs of many tasks are
   turned away whatever they are worth.  The cores are shared max-min fairly: a
   queue that asks for less than an even share gets all it asks for, and the
   rest is divided evenly among those that ask for more.  */
#ifndef COORD_QUEUE_SHARE_H
#define COORD_QUEUE_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/service_document.h"

enum
{
  SHARE_QUEUE_LIMIT = 64
};

/* What a queue asked for and was granted lately, in thousandths of a core
   times ms, fading with time.  */
struct share_queue
{
  char name[DOCUMENT_NAME_BYTES];
  char service[DOCUMENT_NAME_BYTES];
  double asked;
  double granted;
  int64_t at_ms; /* of the two figures */
};

struct queue_share
{
  struct share_queue queues[SHARE_QUEUE_LIMIT];
  uint32_t count;
};

void queue_share_init (struct queue_share *s);

/* QUEUE of SERVICE asks for WORK.  */
void queue_share_ask (struct queue_share *s, int64_t now_ms, const char *queue,
                      const char *service, uint64_t work);

/* QUEUE has been granted WORK.  */
void queue_share_grant (struct queue_share *s, int64_t now_ms,
                        const char *queue, uint64_t work);

/* Whether QUEUE has had its share of CPU_MILLI while others of SERVICE ask for
   theirs.  Always false while all that is asked for can be granted.  */
bool queue_share_is_spent (struct queue_share *s, int64_t now_ms,
                           const char *queue, const char *service,
                           uint64_t cpu_milli);

#endif
