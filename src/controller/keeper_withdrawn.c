#include "controller/keeper_withdrawn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "controller/quorum_members.h"

enum
{
  /* Between calls to an entry by a keeper that knows a leader.  */
  FOLLOWER_MS = 1000,

  /* A keeper that was heard longer ago gets no calls.  */
  KEEPER_LOST_MS = 3000,

  STATUS_OK = 200
};

/* A call to another keeper.  */
struct keeper_withdrawn_call
{
  struct quorum_keeper *keeper;
  char vm[NAME_BYTES];
  uint32_t generation; /* of the feed */
};

void
keeper_withdrawn_add (struct quorum_keeper *k, int64_t now, const char *key)
{
  withdrawn_record_add (&k->withdrawn, now, key, now, WITHDRAWN_HERE);
}

static void
on_keeper_called (void *arg, enum call_outcome outcome,
                  const struct peer_reply *reply)
{
  struct keeper_withdrawn_call *c = arg;
  struct quorum_keeper *k = c->keeper;
  int member = quorum_members_by_address (k, c->vm);

  if (member != LOG_NO_MEMBER
      && k->peers[member].withdrawn.generation == c->generation)
    withdrawn_record_sent (&k->peers[member].withdrawn, k->last_tick_ms,
                           outcome == CALL_REPLIED
                               && reply->status == STATUS_OK);
  free (c);
}

static void
feed_keeper (struct quorum_keeper *k, int64_t now, struct keeper_peer *p,
             bool all)
{
  char *body = withdrawn_record_next (&k->withdrawn, now, &p->withdrawn, all);
  struct keeper_withdrawn_call *c;
  struct peer_message m;

  if (body == NULL)
    return;
  c = calloc (1, sizeof *c);
  c->keeper = k;
  snprintf (c->vm, sizeof c->vm, "%s", p->member.address);
  c->generation = p->withdrawn.generation;
  m = withdrawn_record_message (body, withdrawn_from_keeper);
  peer_network_connect_address (k->network, c->vm,
                                k->settings->peer.peer_port);
  peer_network_call (k->network, c->vm, &m, WITHDRAWN_CALL_MS,
                     on_keeper_called, c);
  free (body);
}

static void
feed_keepers (struct quorum_keeper *k, int64_t now)
{
  const struct keeper_peer *leader = quorum_keeper_leading_peer (k);
  bool leads = quorum_keeper_leads (k);

  for (int i = 0; i < k->log.member_count; i++)
    {
      struct keeper_peer *p = &k->peers[i];

      if (i != k->log.self && (leads || p == leader)
          && p->member.last_seen_ms != 0
          && now - p->member.last_seen_ms < KEEPER_LOST_MS
          && quorum_members_by_address (k, p->member.address) == i)
        feed_keeper (k, now, p, leads);
    }
}

static void
feed_entry (struct quorum_keeper *k, int64_t now, struct keeper_entry_link *l,
            int64_t interval_ms)
{
  struct withdrawn_feed *f = &l->withdrawn;
  struct peer_message m;
  char *body;

  if (f->pending && now - l->withdrawn_sent_ms >= WITHDRAWN_CALL_MS)
    withdrawn_record_sent (f, now, false);
  if (now - l->withdrawn_sent_ms < interval_ms)
    return;
  body = withdrawn_record_next (&k->withdrawn, now, f, true);
  if (body == NULL)
    return;
  m = withdrawn_record_message (body, withdrawn_from_keeper);
  m.u.call.id = ++k->withdrawal_number;
  l->withdrawn_call = m.u.call.id;
  l->withdrawn_sent_ms = now;
  if (!peer_conn_send (l->conn, &m))
    withdrawn_record_sent (f, now, false);
  free (body);
}

void
keeper_withdrawn_tick (struct quorum_keeper *k, int64_t now)
{
  bool follows
      = !quorum_keeper_leads (k) && quorum_keeper_leading_peer (k) != NULL;

  withdrawn_record_expire (&k->withdrawn, now);
  if (k->log.self != LOG_NO_MEMBER)
    feed_keepers (k, now);
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn != NULL)
      feed_entry (k, now, &k->links[i], follows ? FOLLOWER_MS : 0);
}

void
keeper_withdrawn_handle_call (struct quorum_keeper *k, int64_t now,
                              struct peer_conn *from,
                              const struct peer_call *c)
{
  withdrawn_record_receive (&k->withdrawn, now, c, NULL, NULL);
  peer_conn_reply (from, c->id, STATUS_OK, "");
}

bool
keeper_withdrawn_handle_reply (struct quorum_keeper *k, int64_t now,
                               const struct peer_conn *from,
                               const struct peer_reply *r)
{
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn == from && k->links[i].withdrawn.pending
        && k->links[i].withdrawn_call == r->id)
      {
        withdrawn_record_sent (&k->links[i].withdrawn, now,
                               r->status == STATUS_OK);
        return true;
      }
  return false;
}

void
keeper_withdrawn_link_up (struct quorum_keeper *k, const char *vm)
{
  int member = quorum_members_by_address (k, vm);

  if (member != LOG_NO_MEMBER)
    withdrawn_feed_reset (&k->peers[member].withdrawn);
}

void
keeper_withdrawn_lead (struct quorum_keeper *k)
{
  for (int i = 0; i < k->log.member_count; i++)
    withdrawn_feed_reset (&k->peers[i].withdrawn);
}
