/* Estimates the run time of a task from the time that its job declares and the
   past runs of its queue.

   Load pattern: declared run times are wrong by about 40 % in either
   direction, with another bias in each queue.  The queue's mean run time
   predicts about as well as a single job's declaration; their geometric mean
   predicts better than either.  */
#ifndef COORD_WORK_ESTIMATE_H
#define COORD_WORK_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/service_config.h"

enum
{
  ESTIMATE_QUEUE_LIMIT = 512
};

struct estimate_queue
{
  char name[CONFIG_NAME_BYTES];
  uint32_t runs;
  double mean_log_run;   /* natural logarithm of the run time in ms */
  double mean_log_ratio; /* natural logarithm of run time to declared time */
};

struct work_estimate
{
  struct estimate_queue *queues;
  uint32_t count;
};

void work_estimate_init (struct work_estimate *e);
void work_estimate_done (struct work_estimate *e);

/* Records a run of QUEUE that was declared with DECLARED_MS and took
   ELAPSED_MS on the rack of its data.  It is ignored if QUEUE is new and
   ESTIMATE_QUEUE_LIMIT queues are known.  */
void work_estimate_add (struct work_estimate *e, const char *queue,
                        int64_t declared_ms, int64_t elapsed_ms);

/* Whether enough runs of QUEUE are known for the estimate to depend on
   them.  */
bool work_estimate_is_learnt (const struct work_estimate *e,
                              const char *queue);

/* The expected run time in ms, at least 1, of a task of QUEUE that was
   declared with DECLARED_MS.  */
int64_t work_estimate_ms (const struct work_estimate *e, const char *queue,
                          int64_t declared_ms);

#endif
