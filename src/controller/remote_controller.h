/* Tasks that this entry runs for other entries, on targets that it owns.

   A forwarded task that finds no free slot waits here in a short queue instead
   of being sent back: an entry's data about the slots of another is older than
   the run time of most tasks, so sending the task back would only cost
   messages.  */
#ifndef CONTROLLER_REMOTE_CONTROLLER_H
#define CONTROLLER_REMOTE_CONTROLLER_H

#include "controller/entry.h"

enum
{
  TASK_ID_BYTES = RECORD_ID_BYTES + 8
};

/* How a forwarded task ended; the status of its reply.  */
enum task_status
{
  TASK_STATUS_DONE = 200,
  TASK_STATUS_NOT_RUN = 409,
  TASK_STATUS_FAILED = 500,
  TASK_STATUS_UNKNOWN = 520
};

/* The number of tasks that this entry would accept from others now: free slots
   and free places of the queue.  0 while the entry stops.  */
uint32_t remote_free_capacity (const struct entry *n, int64_t now_ms);

/* The free places of the queue, in which this entry's own queued tasks count
   too, as a share of its slots.  Negative if more tasks are queued than the
   queue has places.  */
double remote_free_queue_share (const struct entry *n, int64_t now_ms);

/* Handles a task that another entry forwarded here.  */
void remote_receive_task (struct entry *n, struct peer_conn *from,
                          const struct peer_task_run *m);

/* Handles a stop that another entry forwarded here: returns the task as not
   run if it is queued, and sends the stop to its target if it runs.  */
void remote_receive_stop (struct entry *n, const struct peer_task_stop *m);

/* Starts the first queued task if a slot is free, or returns it as not run if
   it is no longer needed.  Returns false if it did neither.  */
bool remote_start_queued (struct entry *n);

/* Returns the queued tasks whose deadline has passed as not run.  */
void remote_tick (struct entry *n, int64_t now_ms);

/* Whether no task of another entry is queued or runs here.  */
bool remote_is_idle (const struct entry *n);

#endif
