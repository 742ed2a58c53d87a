#include "controller/quorum_members.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "base/event_ring.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"

enum
{
  /* A keeper's report that it is the leader expires after this time.  */
  LEADER_TIMEOUT_MS = 1000,

  /* Intervals between heartbeats: voters exchange them with each other, other
     keepers poll the voters less often.  */
  VOTER_HEARTBEAT_MS = 250,
  NON_VOTER_HEARTBEAT_MS = 500,

  RECIPIENT_LIMIT = 64
};

uint64_t
quorum_members_id (const char *address, uint64_t disk_id)
{
  return XXH3_64bits_withSeed (address, strlen (address), disk_id) >> 1;
}

int
quorum_members_find_or_add (struct quorum_keeper *k, uint64_t id,
                            const char *address, uint64_t disk_id)
{
  int i;

  for (i = 0; i < k->log.member_count; i++)
    if (k->peers[i].id == id)
      break;
  if (i == k->log.member_count)
    {
      i = replicated_log_add_member (&k->log);
      if (i == LOG_NO_MEMBER)
        return i;
      memset (&k->peers[i], 0, sizeof k->peers[i]);
      k->peers[i].id = id;
    }
  if (address != NULL)
    {
      snprintf (k->peers[i].member.address, NAME_BYTES, "%s", address);
      k->peers[i].member.disk_id = disk_id;
    }
  return i;
}

int64_t
quorum_members_id_of (void *arg, int member)
{
  struct quorum_keeper *k = arg;

  return (int64_t)k->peers[member].id;
}

int
quorum_members_member_of (void *arg, int64_t id)
{
  return quorum_members_find_or_add (arg, (uint64_t)id, NULL, 0);
}

/* Makes exactly the members in the array VOTERS vote, and connects to them. */
static void
set_voters (struct quorum_keeper *k, const json_t *voters)
{
  bool votes[LOG_MEMBER_LIMIT] = { false };
  size_t i;
  json_t *o;

  json_array_foreach (voters, i, o)
  {
    const char *address = json_get_text (o, "address", "");
    uint64_t disk_id = (uint64_t)json_get_integer (o, "disk", 0);
    int n = quorum_members_find_or_add (
        k, quorum_members_id (address, disk_id), address, disk_id);

    if (n != LOG_NO_MEMBER)
      votes[n] = true;
  }
  for (int n = 0; n < k->log.member_count; n++)
    {
      replicated_log_set_voter (&k->log, n, votes[n]);
      k->peers[n].member.voter = votes[n];
      if (votes[n] && n != k->log.self)
        peer_network_connect_address (k->network, k->peers[n].member.address,
                                      k->settings->peer.peer_port);
    }
}

static json_t *
voters_json (const struct quorum_keeper *k)
{
  json_t *array = json_array ();

  for (int n = 0; n < k->log.member_count; n++)
    if (k->peers[n].member.voter)
      json_array_append_new (
          array,
          json_build ("{s:s s:I}", "address", k->peers[n].member.address,
                      "disk", (json_int_t)k->peers[n].member.disk_id));
  return array;
}

/* The voters of the command E, or NULL if it is another command.  */
static json_t *
entry_voters (const struct log_entry *e)
{
  json_t *o;
  json_t *voters = NULL;

  if (e->length == 0 || memmem (e->data, e->length, "\"voters\"", 8) == NULL)
    return NULL;
  o = json_loadb (e->data, e->length, 0, NULL);
  if (strcmp (json_get_text (o, "type", ""), "voters") == 0)
    voters = json_incref (json_object_get (o, "list"));
  json_decref (o);
  return voters;
}

void
quorum_members_stored_changed (void *arg, struct replicated_log *l)
{
  struct quorum_keeper *k = arg;
  json_t *voters = NULL;

  for (uint64_t i = l->stored.count; i > 0 && voters == NULL; i--)
    voters = entry_voters (&l->stored.entries[i - 1]);
  if (voters == NULL)
    voters = json_incref (k->applied_voters);
  set_voters (k, voters);
  json_decref (voters);
}

/* Adds ADDRESS to the COUNT others unless it is there or the limit is
   reached.  Returns their number.  */
static uint32_t
add_address (const char **addresses, uint32_t count, uint32_t limit,
             const char *address)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (addresses[i], address) == 0)
      return count;
  if (count < limit)
    addresses[count++] = address;
  return count;
}

static bool
is_voter (const struct quorum_keeper *k)
{
  /* A keeper whose log could not be opened is no member yet.  */
  return k->log.self != LOG_NO_MEMBER && k->peers[k->log.self].member.voter;
}

uint32_t
quorum_members_voters (const struct quorum_keeper *k, const char **addresses,
                       uint32_t limit)
{
  uint32_t count = 0;

  for (int i = 0; i < k->log.member_count; i++)
    if (k->peers[i].member.voter
        && strcmp (k->peers[i].member.address, k->settings->peer.vm) != 0)
      count
          = add_address (addresses, count, limit, k->peers[i].member.address);
  if (!is_voter (k))
    for (uint32_t i = 0; i < k->reported_voter_count; i++)
      if (strcmp (k->reported_voters[i], k->settings->peer.vm) != 0)
        count = add_address (addresses, count, limit, k->reported_voters[i]);
  return count;
}

/* The keepers to which this one sends heartbeats: the seeds and the voters.
   All others only get replies to theirs.  */
static uint32_t
recipients (const struct quorum_keeper *k, const char **addresses,
            uint32_t limit)
{
  uint32_t count = quorum_members_voters (k, addresses, limit);

  for (uint32_t i = 0; i < k->settings->seed_count; i++)
    if (strcmp (k->settings->seeds[i].address, k->settings->peer.vm) != 0)
      count = add_address (addresses, count, limit,
                           k->settings->seeds[i].address);
  return count;
}

/* The voters as reported to other keepers: from the log if this keeper votes,
   otherwise as reported to it.  A JSON list; the caller frees it.  */
static char *
voters_text (const struct quorum_keeper *k)
{
  json_t *array = json_array ();

  if (is_voter (k))
    {
      for (int i = 0; i < k->log.member_count; i++)
        if (k->peers[i].member.voter)
          json_array_append_new (array,
                                 json_from_text (k->peers[i].member.address));
    }
  else
    for (uint32_t i = 0; i < k->reported_voter_count; i++)
      json_array_append_new (array, json_from_text (k->reported_voters[i]));
  return json_encode_new (array);
}

/* Sends a heartbeat to the COUNT addresses TO, or as a reply on CONN.  A
   keeper without an open journal sends none: its disk ID is not known or not
   durable, and others would take it for another member.  */
static void
send_heartbeat (struct quorum_keeper *k, const char **to, uint32_t count,
                struct peer_conn *conn)
{
  char control[ADDRESS_BYTES + 8];
  struct peer_message m = { .type = PEER_KEEPER_HEARTBEAT };
  char *voters;

  if (k->failed)
    return;
  voters = voters_text (k);
  snprintf (control, sizeof control, "%s:%u", k->settings->control.address,
            k->settings->control.port);
  m.u.keeper_heartbeat = (struct peer_keeper_heartbeat){
    .disk_id = k->journal.disk_id,
    .term = k->log.term,
    .is_leader = quorum_keeper_leads (k),
    .is_reply = conn != NULL,
    .domain = slice_of (k->settings->peer.domain),
    .control_address = slice_of (control),
    .voters_term = is_voter (k) ? k->log.term : k->reported_voters_term,
    .voters = slice_of (voters),
  };
  if (conn != NULL)
    peer_conn_send (conn, &m);
  for (uint32_t i = 0; i < count; i++)
    {
      peer_network_connect_address (k->network, to[i],
                                    k->settings->peer.peer_port);
      peer_network_send (k->network, to[i], &m);
    }
  free (voters);
}

void
quorum_members_send_heartbeats (struct quorum_keeper *k, int64_t now)
{
  const char *to[RECIPIENT_LIMIT];

  send_heartbeat (k, to, recipients (k, to, RECIPIENT_LIMIT), NULL);
  k->last_heartbeat_ms = now;
}

int64_t
quorum_members_heartbeat_ms (const struct quorum_keeper *k)
{
  return is_voter (k) ? VOTER_HEARTBEAT_MS : NON_VOTER_HEARTBEAT_MS;
}

/* Stores the voters that another keeper reports, unless it reports those of an
   older term.  A keeper that does not vote needs them, since it may not
   receive the log entries that change the voters.  */
static void
apply_reported_voters (struct quorum_keeper *k,
                       const struct peer_keeper_heartbeat *h)
{
  json_t *array = json_loadb (h->voters.data, h->voters.length, 0, NULL);
  size_t i;
  json_t *o;

  if (json_array_size (array) != 0
      && h->voters_term >= k->reported_voters_term)
    {
      k->reported_voters_term = h->voters_term;
      k->reported_voter_count = 0;
      json_array_foreach (array, i, o) if (json_is_string (o)
                                           && k->reported_voter_count
                                                  < REPORTED_VOTER_LIMIT)
          snprintf (k->reported_voters[k->reported_voter_count++], NAME_BYTES,
                    "%s", json_string_value (o));
    }
  json_decref (array);
}

static bool
is_recipient (const struct quorum_keeper *k, const char *address)
{
  const char *to[RECIPIENT_LIMIT];
  uint32_t count = recipients (k, to, RECIPIENT_LIMIT);

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (to[i], address) == 0)
      return true;
  return false;
}

void
quorum_members_receive_heartbeat (struct quorum_keeper *k,
                                  struct peer_conn *from,
                                  const struct peer_keeper_heartbeat *h)
{
  int n = quorum_members_find_or_add (
      k, quorum_members_id (from->vm, h->disk_id), from->vm, h->disk_id);
  struct keeper_peer *p;

  if (n == LOG_NO_MEMBER || n == k->log.self)
    return;
  p = &k->peers[n];
  p->member.last_seen_ms = now_ms ();
  p->is_leader = h->is_leader != 0;
  p->term = h->term;
  slice_copy (h->domain, p->member.domain, sizeof p->member.domain);
  slice_copy (h->control_address, p->control_address,
              sizeof p->control_address);
  apply_reported_voters (k, h);
  if (!h->is_reply && !is_recipient (k, from->vm))
    send_heartbeat (k, NULL, 0, from);
}

int
quorum_members_by_address (const struct quorum_keeper *k, const char *address)
{
  int newest = LOG_NO_MEMBER;

  for (int i = 0; i < k->log.member_count; i++)
    if (strcmp (k->peers[i].member.address, address) == 0
        && k->peers[i].member.last_seen_ms != 0
        && (newest == LOG_NO_MEMBER
            || k->peers[i].member.last_seen_ms
                   > k->peers[newest].member.last_seen_ms))
      newest = i;
  return newest;
}

/* Whether the change C may be proposed.  The log could not commit while a
   majority needs an added voter that stores nothing: it catches up before.  */
static bool
is_ready (struct quorum_keeper *k, const struct quorum_change *c)
{
  bool adds = c->kind == QUORUM_ADD;

  replicated_log_set_learner (&k->log, adds ? (int)c->in : LOG_NO_MEMBER);
  if (adds)
    peer_network_connect_address (k->network, k->peers[c->in].member.address,
                                  k->settings->peer.peer_port);
  return !adds || replicated_log_is_caught_up (&k->log);
}

void
quorum_members_propose_change (struct quorum_keeper *k, int64_t now)
{
  struct quorum_goal goal
      = quorum_plan_goal (k->settings->lost_keepers, k->settings->catch_up_ms);
  struct quorum_member members[QUORUM_MEMBER_LIMIT];
  struct quorum_change c;

  if (k->change_index > k->log.commit_index
      || !replicated_log_has_current_state (&k->log))
    return;
  k->peers[k->log.self].member.last_seen_ms = now;
  for (int i = 0; i < k->log.member_count; i++)
    members[i] = k->peers[i].member;
  c = quorum_plan_decide (members, (uint32_t)k->log.member_count,
                          (uint32_t)k->log.self, &goal, k->receiving_since_ms,
                          now);
  if (!is_ready (k, &c) || c.kind == QUORUM_UNCHANGED)
    return;
  if (c.kind != QUORUM_REMOVE)
    k->peers[c.in].member.voter = true;
  if (c.kind != QUORUM_ADD)
    k->peers[c.out].member.voter = false;
  event_ring_add (EVENT_QUORUM_CHANGED, k->settings->name,
                  "kind=%d in=%s out=%s out_silent_ms=%" PRId64, (int)c.kind,
                  c.kind == QUORUM_REMOVE ? "-" : members[c.in].address,
                  c.kind == QUORUM_ADD ? "-" : members[c.out].address,
                  c.kind == QUORUM_ADD ? 0
                                       : now - members[c.out].last_seen_ms);
  quorum_keeper_propose (
      k, json_build ("{s:s s:o}", "type", "voters", "list", voters_json (k)),
      now, &k->change_index);
}

const struct keeper_peer *
quorum_keeper_leading_peer (const struct quorum_keeper *k)
{
  const struct keeper_peer *leader = NULL;

  for (int i = 0; i < k->log.member_count; i++)
    {
      const struct keeper_peer *p = &k->peers[i];

      if (i != k->log.self && p->is_leader
          && k->last_tick_ms - p->member.last_seen_ms < LEADER_TIMEOUT_MS
          && (leader == NULL || p->term > leader->term))
        leader = p;
    }
  return leader;
}

const char *
quorum_keeper_leader_address (const struct quorum_keeper *k)
{
  const struct keeper_peer *p = quorum_keeper_leading_peer (k);

  return p == NULL ? NULL : p->control_address;
}
