#include "controller/delegation_controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/entry_dispatchers.h"
#include "controller/job_entry.h"
#include "coord/task_delegation.h"

/* COUNT tasks of JOB from FIRST on, which the dispatcher on VM DELEGATE runs
   as REMOTE_JOB.  */
struct delegated_part
{
  struct delegation_controller *controller;
  struct run_job *job;
  char delegate[NAME_BYTES];
  uint32_t first;
  uint32_t count;
  struct routed_job *remote_job;
  struct delegated_part *prev;
  struct delegated_part *next;
};

static void
record_refusal (struct job_entry *n, const char *delegate)
{
  struct route_dispatcher *d = entry_dispatchers_find (n, delegate);

  if (d != NULL)
    task_delegation_refused (d, now_ms ());
}

static void
on_answered (void *arg, const struct job_answer *a)
{
  struct delegated_part *p = arg;
  struct dispatcher *d = &p->controller->entry->dispatcher;

  counters_add (a->result == JOB_REFUSED ? COUNTER_TASKS_SENT_BACK
                                         : COUNTER_TASKS_RETURNED,
                p->count);
  if (a->result != JOB_DONE)
    event_ring_add (EVENT_TASKS_RETURNED, p->job->spec.key,
                    "from=%s first=%u count=%u result=%s reason=%s",
                    p->delegate, p->first, p->count,
                    job_result_name (a->result),
                    refusal_reason_name (a->reason));
  if (a->result == JOB_REFUSED)
    record_refusal (p->controller->entry, p->delegate);
  DL_DELETE (p->controller->parts, p);
  run_scheduler_delegation_ended (&d->scheduler, now_ms (), p->job, p->first,
                                  p->count, a->result, a->reason);
  dispatcher_request_pass (d);
  free (p);
}

static void
delegate_tasks (struct delegation_controller *c, int64_t now,
                const struct delegation_offer *o)
{
  struct job_entry *n = c->entry;
  struct delegated_part *p = calloc (1, sizeof *p);
  struct job_spec spec;

  task_delegation_spec (o, now, &spec);
  *p = (struct delegated_part){
    .controller = c, .job = o->job, .first = o->first, .count = o->count
  };
  snprintf (p->delegate, sizeof p->delegate, "%s", o->to->vm);
  DL_APPEND (c->parts, p);
  run_scheduler_delegate (&n->dispatcher.scheduler, now, o->job, o->first,
                          o->count);
  counters_add (COUNTER_TASKS_DELEGATED, o->count);
  p->remote_job
      = job_entry_submit_part (n, now, &spec, o->job, o->to, on_answered, p);
  event_ring_add (EVENT_TASKS_DELEGATED, o->job->spec.key,
                  "to=%s id=%" PRIu64
                  " first=%u count=%u capacity_age_ms=%" PRId64,
                  o->to->vm, job_entry_job_id (p->remote_job), o->first,
                  o->count, now - o->to->reported_ms);
}

static void
on_delegate (void *arg, int64_t now)
{
  struct delegation_controller *c = arg;
  struct job_entry *n = c->entry;
  const char *self = n->settings->peer.vm;
  const char *domain = n->settings->peer.domain;
  struct delegation_offer offers[DELEGATION_OFFER_LIMIT];
  struct route_dispatcher *queried[DELEGATION_QUERY_LIMIT];
  uint32_t count;

  if (!task_delegation_is_needed (&n->dispatcher.scheduler))
    return;
  count = task_delegation_choose (&n->dispatcher.scheduler, n->dispatchers,
                                  n->dispatcher_count, self, domain, now,
                                  offers);
  for (uint32_t i = 0; i < count; i++)
    delegate_tasks (c, now, &offers[i]);
  if (!task_delegation_is_needed (&n->dispatcher.scheduler))
    return;
  count = task_delegation_query (n->dispatchers, n->dispatcher_count, self,
                                 domain, now, queried);
  for (uint32_t i = 0; i < count; i++)
    entry_dispatchers_request_capacity (n, now, queried[i]);
}

static void
revoke_part (struct delegation_controller *c, struct delegated_part *p,
             int64_t now)
{
  uint64_t id = job_entry_job_id (p->remote_job);
  bool sent = job_entry_cancel (c->entry, now, p->remote_job);

  event_ring_add (EVENT_TASKS_REVOKED, p->job->spec.key,
                  "to=%s id=%" PRIu64 " first=%u count=%u sent=%d",
                  p->delegate, id, p->first, p->count, sent);
  DL_DELETE (c->parts, p);
  free (p);
}

static void
on_revoke (void *arg, struct run_job *j)
{
  struct delegation_controller *c = arg;
  struct delegated_part *p;
  struct delegated_part *next;
  int64_t now = now_ms ();

  DL_FOREACH_SAFE (c->parts, p, next)
  if (p->job == j)
    {
      revoke_part (c, p, now);
    }
}

void
delegation_controller_init (struct delegation_controller *c,
                            struct job_entry *n)
{
  c->entry = n;
  c->parts = NULL;
  n->dispatcher.delegation
      = (struct dispatch_delegation){ on_delegate, on_revoke, c };
}

void
delegation_controller_done (struct delegation_controller *c)
{
  struct delegated_part *p;
  struct delegated_part *next;

  DL_FOREACH_SAFE (c->parts, p, next)
  {
    DL_DELETE (c->parts, p);
    free (p);
  }
}

void
delegation_controller_receive_capacity (struct delegation_controller *c)
{
  if (task_delegation_is_needed (&c->entry->dispatcher.scheduler))
    dispatcher_request_pass (&c->entry->dispatcher);
}
