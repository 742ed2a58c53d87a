#include "controller/evacuation_sender.h"

#include <inttypes.h>
#include <stdlib.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"

enum
{
  /* The set is sent again to an entry that has not returned its version by
     then.  */
  RESEND_MS = 500,

  STATUS_OK = 200
};

/* The id of all calls with the set.  The calls of job_withdrawal to the same
   entries are numbered from 1.  */
static const uint64_t call_id = UINT64_MAX;

static bool
send_set (struct quorum_keeper *k, struct keeper_entry_link *l, int64_t now)
{
  struct peer_message m = { .type = PEER_CALL };
  char *text = json_encode_new (evacuation_set_to_json (&k->evacuations));
  bool sent;

  m.u.call = (struct peer_call){ .id = call_id,
                                 .method = METHOD_EVACUATIONS,
                                 .team = slice_of (""),
                                 .key = slice_of (""),
                                 .timeout_ms = RESEND_MS,
                                 .body = slice_of (text) };
  sent = peer_conn_send (l->conn, &m);
  free (text);
  if (!sent)
    return false;
  l->evacuations_sent = k->evacuations.version;
  l->evacuations_sent_ms = now;
  counters_add (COUNTER_EVACUATION_SENDS, 1);
  event_ring_add (EVENT_EVACUATION_SENT, l->vm,
                  "version=%" PRIu64 " held=%" PRIu64 " domains=%u",
                  k->evacuations.version, l->evacuations_version,
                  k->evacuations.count);
  return true;
}

bool
evacuation_sender_update (struct quorum_keeper *k, struct keeper_entry_link *l,
                          int64_t now)
{
  uint64_t version = k->evacuations.version;

  if (l->conn == NULL || !replicated_log_has_current_state (&k->log))
    return false;
  if (l->evacuations_version >= version
      || (l->evacuations_sent == version
          && now - l->evacuations_sent_ms < RESEND_MS))
    return true;
  return send_set (k, l, now);
}

static struct keeper_entry_link *
find_link (struct quorum_keeper *k, const struct peer_conn *conn)
{
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn == conn)
      return &k->links[i];
  return NULL;
}

bool
evacuation_sender_handle_reply (struct quorum_keeper *k,
                                const struct peer_conn *from,
                                const struct peer_reply *r)
{
  struct keeper_entry_link *l = find_link (k, from);
  json_t *o;

  if (r->id != call_id)
    return false;
  if (l == NULL || r->status != STATUS_OK)
    return true;
  o = json_loadb (r->body.data, r->body.length, 0, NULL);
  l->evacuations_version = (uint64_t)json_get_integer (o, "version", 0);
  json_decref (o);
  return true;
}
