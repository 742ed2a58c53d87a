#include "controller/remote_controller.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/dispatch_controller.h"
#include "controller/target_controller.h"
#include "net/target_client.h"

enum
{
  QUEUE_PER_SLOT = 1 /* places of the queue per slot */
};

/* A task of another entry; queued while TARGET is NULL.  */
struct remote_run
{
  struct entry *entry;
  struct peer_conn *from;
  uint64_t call_id;
  int64_t deadline_ms;
  struct target *target;
  char kind[NAME_BYTES];
  char task[TASK_ID_BYTES];
  char *payload;
  struct remote_run *next;
  struct remote_run *prev;
  UT_hash_handle hh;
};

static int64_t
free_queue_places (const struct entry *n, uint32_t total_slots)
{
  return (int64_t)total_slots * QUEUE_PER_SLOT - n->remote_queued
         - (int64_t)n->teams.queued_tasks;
}

uint32_t
remote_free_capacity (const struct entry *n, int64_t now)
{
  int64_t capacity;

  if (n->leaving != LEAVING_NOT)
    return 0;
  capacity
      = target_table_free_slots (&n->targets, now)
        + free_queue_places (n, target_table_total_slots (&n->targets, now));
  return capacity > 0 ? (uint32_t)capacity : 0;
}

double
remote_free_queue_share (const struct entry *n, int64_t now)
{
  uint32_t total = target_table_total_slots (&n->targets, now);

  return total == 0 ? 0 : (double)free_queue_places (n, total) / total;
}

static void
reply (struct remote_run *r, enum task_status status, const char *result)
{
  struct peer_message m = { .type = PEER_REPLY };

  m.u.reply = (struct peer_reply){ r->call_id, status,
                                   remote_free_capacity (r->entry, now_ms ()),
                                   slice_of (result == NULL ? "" : result) };
  peer_conn_send (r->from, &m);
}

static void
run_free (struct remote_run *r)
{
  HASH_DEL (r->entry->remote_runs, r);
  peer_conn_release (r->from);
  free (r->payload);
  free (r);
}

static void
dequeue (struct remote_run *r)
{
  DL_DELETE (r->entry->remote_queue, r);
  r->entry->remote_queued--;
}

static void
return_not_run (struct remote_run *r)
{
  dequeue (r);
  reply (r, TASK_STATUS_NOT_RUN, NULL);
  run_free (r);
}

static enum task_status
status_of (struct outcome o)
{
  switch (o.kind)
    {
    case OUTCOME_DONE:
      return TASK_STATUS_DONE;
    case OUTCOME_FAILED:
      return TASK_STATUS_FAILED;
    case OUTCOME_NOT_RUN:
      return TASK_STATUS_NOT_RUN;
    case OUTCOME_UNKNOWN:
      break;
    }
  return TASK_STATUS_UNKNOWN;
}

static void
on_done (void *arg, struct outcome outcome, char *result, int64_t elapsed_us)
{
  struct remote_run *r = arg;
  struct entry *n = r->entry;
  struct target *t = r->target;

  dispatch_release_slot (n, t, r->kind, outcome, elapsed_us);
  target_remove_if_unused (n, t);
  dispatch_run (n);
  reply (r, status_of (outcome), result);
  run_free (r);
  free (result);
}

static void
start (struct remote_run *r, struct target *t, int64_t now)
{
  struct entry *n = r->entry;
  struct target_start s = { .task = r->task,
                            .kind = r->kind,
                            .owner = n->settings->vm,
                            .incarnation = n->submissions.group.incarnation,
                            .payload = r->payload,
                            .timeout_ms = r->deadline_ms - now };

  r->target = t;
  counters_add (COUNTER_TASK_STARTS, 1);
  event_ring_add (EVENT_TASK_STARTED, r->task, "for %s at %s", r->from->vm,
                  t->id);
  target_client_start (t->client, &s, on_done, r);
}

bool
remote_start_queued (struct entry *n)
{
  struct remote_run *r = n->remote_queue;
  int64_t now = now_ms ();
  struct target *t;

  if (r == NULL)
    return false;
  if (r->deadline_ms <= now || !r->from->open)
    {
      return_not_run (r);
      return true;
    }
  t = target_table_acquire_slot (&n->targets, now, false);
  if (t == NULL)
    return false;
  dequeue (r);
  start (r, t, now);
  return true;
}

static struct remote_run *
run_new (struct entry *n, struct peer_conn *from,
         const struct peer_task_run *m)
{
  struct remote_run *r = calloc (1, sizeof *r);

  r->entry = n;
  r->from = peer_conn_hold (from);
  r->call_id = m->id;
  r->deadline_ms = now_ms () + m->timeout_ms;
  slice_copy (m->kind, r->kind, sizeof r->kind);
  slice_copy (m->task, r->task, sizeof r->task);
  r->payload = strndup (m->payload.data, m->payload.length);
  HASH_ADD_STR (n->remote_runs, task, r);
  DL_APPEND (n->remote_queue, r);
  n->remote_queued++;
  return r;
}

void
remote_receive_task (struct entry *n, struct peer_conn *from,
                     const struct peer_task_run *m)
{
  bool accepted
      = remote_free_capacity (n, now_ms ()) != 0 && m->timeout_ms > 0;
  struct remote_run *r = run_new (n, from, m);

  if (accepted)
    dispatch_run (n);
  else
    return_not_run (r);
}

void
remote_receive_stop (struct entry *n, const struct peer_task_stop *m)
{
  char id[TASK_ID_BYTES] = "";
  struct remote_run *r;

  slice_copy (m->task, id, sizeof id);
  HASH_FIND_STR (n->remote_runs, id, r);
  if (r == NULL)
    return;
  if (r->target == NULL)
    return_not_run (r);
  else
    target_client_stop (r->target->client, id);
}

void
remote_tick (struct entry *n, int64_t now)
{
  struct remote_run *r;
  struct remote_run *next;

  DL_FOREACH_SAFE (n->remote_queue, r, next)
  if (r->deadline_ms <= now)
    return_not_run (r);
}

bool
remote_is_idle (const struct entry *n)
{
  return n->remote_runs == NULL;
}
