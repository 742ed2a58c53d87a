/* Tasks that run here for other entries, on targets that this entry owns.

   A passed task that finds no free slot waits here, in a short queue, rather
   than going back: what an entry knows of another's slots is older than most
   tasks run, so that sending it back would only cost messages.  */
#ifndef CONTROLLER_REMOTE_CONTROLLER_H
#define CONTROLLER_REMOTE_CONTROLLER_H

#include "controller/entry.h"

enum
{
  TASK_ID_BYTES = RECORD_ID_BYTES + 8
};

/* How a passed task ended; the status of its reply.  */
enum task_status
{
  TASK_STATUS_DONE = 200,
  TASK_STATUS_NOT_RUN = 409,
  TASK_STATUS_FAILED = 500,
  TASK_STATUS_UNKNOWN = 520
};

/* The tasks that this entry would take from others now.  */
uint32_t remote_room (const struct entry *n, int64_t now_ms);

/* The room for a further task of its own, as a share of its slots; below 0
   where its own queue is longer than the queue for others may be.  */
double remote_room_share (const struct entry *n, int64_t now_ms);

/* Takes a task that another entry passed here.  */
void remote_receive_task (struct entry *n, struct peer_conn *from,
                          const struct peer_task_run *m);

/* Takes a stop that another entry passed here.  */
void remote_receive_stop (struct entry *n, const struct peer_task_stop *m);

/* Starts the first queued task where a slot is free.  */
bool remote_start_queued (struct entry *n);

/* Gives back the queued tasks whose time is over.  */
void remote_tick (struct entry *n, int64_t now_ms);

/* Whether no task is here for another entry.  */
bool remote_is_idle (const struct entry *n);

#endif
