#include "controller/job_withdrawal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/keeper_withdrawn.h"
#include "coord/job_search.h"

enum
{
  SEARCH_MS = 400,

  /* An entry that no keeper has heard for less than this may be cut off and
     still have its callers.  A keeper that has received messages, or led, for
     less than this does not know all such entries.  */
  ENTRY_LOST_MS = 3000,

  WITHDRAWAL_LIMIT = 1000,
  TERM_TEXT_BYTES = 24,

  STATUS_OK = 200,
  STATUS_REDIRECT = 307,
  STATUS_GONE = 410,
  STATUS_UNAVAILABLE = 503
};

struct withdrawal
{
  uint64_t id; /* of the calls to the entries */
  struct job_search search;
  bool leads; /* this keeper led when the call arrived */
  uint64_t term;
  uint64_t round;                            /* of replicated_log_confirm */
  struct peer_conn *asked[PLAN_ENTRY_LIMIT]; /* NULL once it has answered */
  uint32_t asked_count;
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
  for (uint32_t i = 0; i < w->asked_count; i++)
    if (w->asked[i] != NULL)
      peer_conn_release (w->asked[i]);
  peer_conn_release (w->from);
  free (w);
}

/* Whether this keeper leads in the term in which W began.  */
static bool
still_leads (const struct quorum_keeper *k, const struct withdrawal *w)
{
  return w->leads && quorum_keeper_leads (k) && k->log.term == w->term;
}

/* What is known of W's search at NOW.  */
static enum job_search_result
search_result (const struct quorum_keeper *k, struct withdrawal *w,
               int64_t now)
{
  w->search.complete = w->search.complete && still_leads (k, w);
  w->search.confirmed
      = still_leads (k, w) && replicated_log_is_confirmed (&k->log, w->round);
  return job_search_result (&w->search, now);
}

/* Answers W if its search has ended.  */
static void
finish (struct quorum_keeper *k, int64_t now, struct withdrawal *w)
{
  enum job_search_result result = search_result (k, w, now);
  char term[TERM_TEXT_BYTES] = "";

  if (result == JOB_SEARCH_PENDING)
    return;
  if (result != JOB_SEARCH_UNSURE)
    keeper_withdrawn_add (k, now, w->key);
  if (still_leads (k, w))
    snprintf (term, sizeof term, "%" PRIu64, w->term);
  event_ring_add (EVENT_JOB_SOUGHT, w->key,
                  "from=%s status=%d asked=%u answered=%u complete=%d "
                  "leads=%d confirmed=%d term=%" PRIu64,
                  w->from->vm, result_status (result), w->search.expected,
                  w->search.answered, w->search.complete, w->leads,
                  w->search.confirmed, w->term);
  peer_conn_reply (w->from, w->call_id, result_status (result), term);
  withdrawal_free (k, w);
}

/* Whether the entry of L may hold jobs of callers.  */
static bool
may_hold_jobs (const struct keeper_entry_link *l, int64_t now)
{
  return l->conn != NULL || now - l->heard_ms < ENTRY_LOST_MS
         || now - l->reported_ms < ENTRY_LOST_MS;
}

/* Whether this keeper, if it leads, knows all entries that may hold jobs.  */
static bool
knows_all_entries (const struct quorum_keeper *k, int64_t now)
{
  return now - k->receiving_since_ms >= ENTRY_LOST_MS
         && now - k->plan.leading_since_ms >= ENTRY_LOST_MS
         && now - k->unlisted_ms >= ENTRY_LOST_MS;
}

/* Asks the connected entries.  One that is not connected here but may hold
   jobs is expected to answer as well, which it cannot.  */
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

      if (!may_hold_jobs (l, now))
        continue;
      w->search.expected++;
      if (l->conn != NULL && peer_conn_send (l->conn, &m))
        w->asked[w->asked_count++] = peer_conn_hold (l->conn);
    }
}

static void
begin_search (struct quorum_keeper *k, int64_t now, struct peer_conn *from,
              const struct peer_call *c)
{
  struct withdrawal *w = calloc (1, sizeof *w);

  w->id = ++k->withdrawal_number;
  slice_copy (c->key, w->key, sizeof w->key);
  w->from = peer_conn_hold (from);
  w->call_id = c->id;
  w->term = k->log.term;
  w->leads = quorum_keeper_leads (k);
  w->search.deadline_ms = now + SEARCH_MS;
  w->search.complete = w->leads && knows_all_entries (k, now);
  if (w->leads)
    w->round = replicated_log_confirm (&k->log, now);
  DL_APPEND (k->withdrawals, w);
  k->withdrawal_count++;
  ask_entries (k, now, w);
  finish (k, now, w);
}

void
job_withdrawal_handle_call (struct quorum_keeper *k, int64_t now,
                            struct peer_conn *from, const struct peer_call *c)
{
  const struct keeper_peer *leader = quorum_keeper_leading_peer (k);

  if (k->stopping || k->withdrawal_count >= WITHDRAWAL_LIMIT
      || c->key.length >= JOB_KEY_BYTES)
    peer_conn_reply (from, c->id, STATUS_UNAVAILABLE, "");
  else if (!quorum_keeper_leads (k) && leader != NULL)
    peer_conn_reply (from, c->id, STATUS_REDIRECT, leader->member.address);
  else
    begin_search (k, now, from, c);
}

/* Whether FROM was asked by W and has not answered before.  */
static bool
take_answer (struct withdrawal *w, struct peer_conn *from)
{
  for (uint32_t i = 0; i < w->asked_count; i++)
    if (w->asked[i] == from)
      {
        peer_conn_release (from);
        w->asked[i] = NULL;
        return true;
      }
  return false;
}

void
job_withdrawal_handle_reply (struct quorum_keeper *k, int64_t now,
                             struct peer_conn *from,
                             const struct peer_reply *r)
{
  struct withdrawal *w;

  DL_FOREACH (k->withdrawals, w)
  if (w->id == r->id)
    {
      if (take_answer (w, from))
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
