#include "controller/job_withdrawal.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "coord/job_search.h"

enum
{
  SEARCH_MS = 400,

  /* An entry without a connection for less than this may be cut off and still
     have its callers.  */
  ENTRY_LOST_MS = 3000,

  /* After its start, or a long stall, a keeper knows all entries only once
     they have had time to connect.  */
  SETTLE_MS = 2000,

  WITHDRAWAL_LIMIT = 1000,

  STATUS_OK = 200,
  STATUS_GONE = 410,
  STATUS_UNAVAILABLE = 503
};

struct withdrawal
{
  uint64_t id; /* of the calls to the entries */
  struct job_search search;
  char key[JOB_KEY_BYTES];
  struct peer_conn *from;
  uint64_t call_id;
  struct withdrawal *prev;
  struct withdrawal *next;
};

static int
result_status (enum job_search_result result)
{
  switch (result)
    {
    case JOB_SEARCH_FOUND:
      return STATUS_OK;
    case JOB_SEARCH_NONE:
      return STATUS_GONE;
    case JOB_SEARCH_PENDING:
    case JOB_SEARCH_UNSURE:
      break;
    }
  return STATUS_UNAVAILABLE;
}

static void
withdrawal_free (struct quorum_keeper *k, struct withdrawal *w)
{
  DL_DELETE (k->withdrawals, w);
  k->withdrawal_count--;
  peer_conn_release (w->from);
  free (w);
}

/* Answers W if its search has ended.  */
static void
finish (struct quorum_keeper *k, int64_t now, struct withdrawal *w)
{
  enum job_search_result result = job_search_result (&w->search, now);

  if (result == JOB_SEARCH_PENDING)
    return;
  event_ring_add (EVENT_JOB_SOUGHT, w->key,
                  "from=%s status=%d asked=%u answered=%u complete=%d",
                  w->from->vm, result_status (result), w->search.expected,
                  w->search.answered, w->search.complete);
  peer_conn_reply (w->from, w->call_id, result_status (result), "");
  withdrawal_free (k, w);
}

/* Asks the connected entries.  One that has been silent for a short time only
   is expected to answer as well, which it cannot.  */
static void
ask_entries (struct quorum_keeper *k, int64_t now, struct withdrawal *w)
{
  struct peer_message m = { .type = PEER_CALL };

  m.u.call = (struct peer_call){ .id = w->id,
                                 .method = METHOD_WITHDRAW,
                                 .team = slice_of (""),
                                 .key = slice_of (w->key),
                                 .timeout_ms = SEARCH_MS,
                                 .body = slice_of ("") };
  for (uint32_t i = 0; i < k->link_count; i++)
    {
      const struct keeper_entry_link *l = &k->links[i];

      if (l->conn != NULL)
        peer_conn_send (l->conn, &m);
      if (l->conn != NULL || now - l->heard_ms < ENTRY_LOST_MS)
        w->search.expected++;
    }
}

void
job_withdrawal_handle_call (struct quorum_keeper *k, int64_t now,
                            struct peer_conn *from, const struct peer_call *c)
{
  struct withdrawal *w;

  if (k->stopping || k->withdrawal_count >= WITHDRAWAL_LIMIT
      || c->key.length >= sizeof w->key)
    {
      peer_conn_reply (from, c->id, STATUS_UNAVAILABLE, "");
      return;
    }
  w = calloc (1, sizeof *w);
  w->id = ++k->withdrawal_number;
  slice_copy (c->key, w->key, sizeof w->key);
  w->from = peer_conn_hold (from);
  w->call_id = c->id;
  w->search.deadline_ms = now + SEARCH_MS;
  w->search.complete = now - k->receiving_since_ms >= SETTLE_MS;
  DL_APPEND (k->withdrawals, w);
  k->withdrawal_count++;
  ask_entries (k, now, w);
  finish (k, now, w);
}

void
job_withdrawal_handle_reply (struct quorum_keeper *k, int64_t now,
                             const struct peer_reply *r)
{
  struct withdrawal *w;

  DL_FOREACH (k->withdrawals, w)
  if (w->id == r->id)
    {
      job_search_add (&w->search, r->status == STATUS_OK);
      finish (k, now, w);
      return;
    }
}

void
job_withdrawal_tick (struct quorum_keeper *k, int64_t now)
{
  struct withdrawal *w;
  struct withdrawal *next;

  DL_FOREACH_SAFE (k->withdrawals, w, next)
  finish (k, now, w);
}

void
job_withdrawal_done (struct quorum_keeper *k)
{
  while (k->withdrawals != NULL)
    withdrawal_free (k, k->withdrawals);
}
