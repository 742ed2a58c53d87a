#include "controller/entry_withdrawn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"

enum
{
  STATUS_OK = 200
};

struct entry_withdrawn_call
{
  struct job_entry *entry;
  uint32_t generation; /* of the feed */
};

void
entry_withdrawn_add (struct job_entry *n, int64_t now, const char *key)
{
  withdrawn_record_add (&n->withdrawn, now, key, now, WITHDRAWN_HERE);
}

bool
entry_withdrawn_has (const struct job_entry *n, int64_t now, const char *key)
{
  return withdrawn_jobs_has (&n->withdrawn, now, key);
}

static void
on_called (void *arg, enum call_outcome outcome,
           const struct peer_reply *reply)
{
  struct entry_withdrawn_call *c = arg;
  struct job_entry *n = c->entry;
  bool answered = outcome == CALL_REPLIED && reply->status == STATUS_OK;

  if (c->generation == n->withdrawn_feed.generation)
    {
      withdrawn_record_sent (&n->withdrawn_feed, now_ms (), answered);
      if (!answered)
        n->withdrawn_tries++;
    }
  free (c);
}

/* The keeper to be sent the ids: the leader, or after a failure the others in
   turn.  NULL if none is connected.  */
static const char *
choose_keeper (const struct job_entry *n)
{
  if (n->withdrawn_tries == 0 && n->leader[0] != '\0'
      && peer_network_is_up (n->network, n->leader))
    return n->leader;
  for (uint32_t i = 0; i < n->keeper_count; i++)
    {
      const char *vm = n->keepers[(n->withdrawn_tries + i) % n->keeper_count];

      if (peer_network_is_up (n->network, vm))
        return vm;
    }
  return NULL;
}

void
entry_withdrawn_tick (struct job_entry *n, int64_t now)
{
  const char *keeper = choose_keeper (n);
  struct entry_withdrawn_call *c;
  struct peer_message m;
  char *body;

  withdrawn_record_expire (&n->withdrawn, now);
  body = keeper == NULL ? NULL
                        : withdrawn_record_next (&n->withdrawn, now,
                                                 &n->withdrawn_feed, false);
  if (body == NULL)
    return;
  c = calloc (1, sizeof *c);
  c->entry = n;
  c->generation = n->withdrawn_feed.generation;
  m = withdrawn_record_message (body, withdrawn_from_entry);
  peer_network_call (n->network, keeper, &m, WITHDRAWN_CALL_MS, on_called, c);
  free (body);
}

static void
on_learnt (void *arg, int64_t now, const char *key)
{
  struct job_entry *n = arg;
  struct routed_job *j = job_entry_find (n, key);

  if (j == NULL)
    return;
  counters_add (COUNTER_WITHDRAWN_STOPPED, 1);
  event_ring_add (EVENT_WITHDRAWN_STOPPED, key, "why=cancelled_elsewhere");
  job_entry_withdraw (n, now, j);
}

void
entry_withdrawn_handle_call (struct job_entry *n, int64_t now,
                             struct peer_conn *from, const struct peer_call *c)
{
  withdrawn_record_receive (&n->withdrawn, now, c, on_learnt, n);
  peer_conn_reply (from, c->id, STATUS_OK, "");
}
