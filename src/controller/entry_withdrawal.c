#include "controller/entry_withdrawal.h"

#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/entry_withdrawn.h"

enum
{
  /* Longer than the keeper's search.  */
  CALL_TIMEOUT_MS = 700,

  /* The most calls to keepers, and the time after which no further one is
     asked, as long as none is certain.  */
  KEEPER_TRIES = 8,
  TOTAL_MS = 1500,

  STATUS_OK = 200,
  STATUS_REDIRECT = 307,
  STATUS_GONE = 410,
  STATUS_UNAVAILABLE = 503
};

struct entry_withdrawal
{
  struct job_entry *entry;
  char key[JOB_KEY_BYTES];
  uint32_t tries;
  uint32_t next;           /* index of the keeper to be asked next */
  char leader[NAME_BYTES]; /* to be asked before it; "": none is known */
  int64_t started_ms;
  withdrawal_done done;
  void *arg;
};

static void
finish (struct entry_withdrawal *w, enum withdrawal_result result)
{
  event_ring_add (EVENT_JOB_SOUGHT, w->key, "result=%d keepers_asked=%u",
                  (int)result, w->tries);
  if (result != WITHDRAWAL_UNSURE)
    entry_withdrawn_add (w->entry, now_ms (), w->key);
  w->done (w->arg, result);
  free (w);
}

static void ask_keeper (struct entry_withdrawal *w);

static void
on_reply (void *arg, enum call_outcome outcome, const struct peer_reply *reply)
{
  struct entry_withdrawal *w = arg;

  if (outcome != CALL_REPLIED)
    ask_keeper (w);
  else if (reply->status == STATUS_OK)
    finish (w, WITHDRAWAL_DONE);
  /* A keeper of an earlier program says this without a proof, and without a
     body.  */
  else if (reply->status == STATUS_GONE && reply->body.length != 0)
    finish (w, WITHDRAWAL_NO_JOB);
  else if (reply->status == STATUS_UNAVAILABLE && reply->body.length != 0)
    finish (w, WITHDRAWAL_UNSURE);
  else
    {
      if (reply->status != STATUS_REDIRECT
          || !slice_copy (reply->body, w->leader, sizeof w->leader))
        w->leader[0] = '\0';
      ask_keeper (w);
    }
}

/* Stores the keeper to be asked next in VM, of NAME_BYTES bytes: the leader if
   one is known, otherwise the keepers in turn.  Returns false if there is
   none.  */
static bool
choose_keeper (struct entry_withdrawal *w, char *vm)
{
  const struct job_entry *n = w->entry;

  if (w->leader[0] != '\0')
    {
      memcpy (vm, w->leader, NAME_BYTES);
      w->leader[0] = '\0';
      return true;
    }
  if (w->next >= n->keeper_count)
    return false;
  memcpy (vm, n->keepers[w->next++], NAME_BYTES);
  return true;
}

static void
ask_keeper (struct entry_withdrawal *w)
{
  struct job_entry *n = w->entry;
  struct peer_message m = { .type = PEER_CALL };
  char keeper[NAME_BYTES];

  if (w->tries == KEEPER_TRIES || n->stopped
      || now_ms () - w->started_ms >= TOTAL_MS || !choose_keeper (w, keeper))
    {
      finish (w, WITHDRAWAL_UNSURE);
      return;
    }
  w->tries++;
  m.u.call = (struct peer_call){ .method = METHOD_WITHDRAW,
                                 .team = slice_of (""),
                                 .key = slice_of (w->key),
                                 .timeout_ms = CALL_TIMEOUT_MS,
                                 .body = slice_of ("") };
  peer_network_call (n->network, keeper, &m, CALL_TIMEOUT_MS, on_reply, w);
}

void
entry_withdrawal_start (struct job_entry *n, const char *key,
                        withdrawal_done done, void *arg)
{
  struct entry_withdrawal *w = calloc (1, sizeof *w);

  w->entry = n;
  memcpy (w->key, key, strnlen (key, sizeof w->key - 1));
  memcpy (w->leader, n->leader, sizeof w->leader);
  w->started_ms = now_ms ();
  w->done = done;
  w->arg = arg;
  ask_keeper (w);
}

void
entry_withdrawal_handle_call (struct job_entry *n, int64_t now,
                              struct peer_conn *from,
                              const struct peer_call *c)
{
  char key[JOB_KEY_BYTES];
  struct routed_job *j
      = slice_copy (c->key, key, sizeof key) ? job_entry_find (n, key) : NULL;

  if (j != NULL)
    job_entry_withdraw (n, now, j);
  peer_conn_reply (from, c->id, j != NULL ? STATUS_OK : STATUS_GONE, "");
}
