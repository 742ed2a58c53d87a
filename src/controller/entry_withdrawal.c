#include "controller/entry_withdrawal.h"

#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"

enum
{
  /* Longer than the keeper's search.  */
  CALL_TIMEOUT_MS = 700,

  /* The most keepers that are asked in turn, as long as none is certain.  */
  KEEPER_TRIES = 3,

  STATUS_OK = 200,
  STATUS_GONE = 410
};

struct entry_withdrawal
{
  struct job_entry *entry;
  char key[JOB_KEY_BYTES];
  uint32_t tries;
  withdrawal_done done;
  void *arg;
};

static void
finish (struct entry_withdrawal *w, enum withdrawal_result result)
{
  event_ring_add (EVENT_JOB_SOUGHT, w->key, "result=%d keepers_asked=%u",
                  (int)result, w->tries);
  w->done (w->arg, result);
  free (w);
}

static void ask_keeper (struct entry_withdrawal *w);

static void
on_reply (void *arg, enum call_outcome outcome, const struct peer_reply *reply)
{
  struct entry_withdrawal *w = arg;

  if (outcome == CALL_REPLIED && reply->status == STATUS_OK)
    finish (w, WITHDRAWAL_DONE);
  else if (outcome == CALL_REPLIED && reply->status == STATUS_GONE)
    finish (w, WITHDRAWAL_NO_JOB);
  else
    ask_keeper (w);
}

static void
ask_keeper (struct entry_withdrawal *w)
{
  struct job_entry *n = w->entry;
  struct peer_message m = { .type = PEER_CALL };
  const char *keeper;

  if (n->keeper_count == 0 || w->tries == KEEPER_TRIES
      || w->tries == n->keeper_count || n->stopped)
    {
      finish (w, WITHDRAWAL_UNSURE);
      return;
    }
  keeper = n->keepers[w->tries++];
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
