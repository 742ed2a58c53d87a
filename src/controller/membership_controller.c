#include "controller/membership_controller.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/config_controller.h"
#include "controller/dispatch_controller.h"
#include "controller/job_controller.h"
#include "controller/remote_controller.h"
#include "controller/replica_controller.h"
#include "controller/target_controller.h"

enum
{
  REMOTE_HEARTBEAT_FACTOR = 2 /* multiple of the interval, for other domains */
};

static struct peer_heartbeat
own_heartbeat (const struct entry *n)
{
  int64_t now = now_ms ();

  return (struct peer_heartbeat){
    .incarnation = n->submissions.group.incarnation,
    .config_number = n->environment.number,
    .free_capacity = remote_free_capacity (n, now),
    .total_slots = target_table_total_slots (&n->targets, now),
    .queued_tasks = n->teams.queued_tasks,
    .draining = n->leaving != LEAVING_NOT,
  };
}

static void
send_peer_heartbeats (struct entry *n, int64_t now)
{
  struct peer_message m = { .type = PEER_HEARTBEAT };

  for (uint32_t i = 0; i < n->peers.count; i++)
    {
      struct peer *p = &n->peers.peers[i];
      int64_t interval = n->settings->heartbeat_ms
                         * (p->same_domain ? 1 : REMOTE_HEARTBEAT_FACTOR);

      if (now - p->sent_ms < interval)
        continue;
      /* No answer for a full lease: reconnect.  */
      if (p->last_seen_ms != 0 && p->sent_ms > p->last_seen_ms
          && now - p->last_seen_ms > n->settings->lease_ms)
        {
          p->last_seen_ms = 0;
          peer_network_reset (n->network, p->vm->name);
        }
      p->sent_ms = now;
      m.u.heartbeat = own_heartbeat (n);
      peer_network_send (n->network, p->vm->name, &m);
    }
}

static void
fill_keeper_heartbeat (const struct entry *n, struct peer_message *m)
{
  memset (m, 0, sizeof *m);
  m->type = PEER_GROUP_HEARTBEAT;
  m->u.group_heartbeat = (struct peer_group_heartbeat){
    .boot_id = n->boot_id,
    .state_version = n->view.version,
    .config_number = n->environment.number,
    .synced_incarnation
    = n->submissions.synced ? n->submissions.group.incarnation : 0,
    .leaving = n->leaving,
  };
}

/* Sends a heartbeat to the keepers' leader if it is known and responds,
   otherwise to all keepers.  */
static void
send_keeper_heartbeat (struct entry *n, int64_t now)
{
  struct peer_message m;
  bool leader_up = n->leader[0] != '\0'
                   && now - n->leader_last_seen_ms < n->settings->lease_ms;

  if (now - n->last_heartbeat_ms < n->settings->heartbeat_ms)
    return;
  n->last_heartbeat_ms = now;
  fill_keeper_heartbeat (n, &m);
  if (leader_up && peer_network_send (n->network, n->leader, &m))
    return;
  for (uint32_t i = 0; i < n->settings->vm_count; i++)
    if (n->settings->vms[i].role == ROLE_KEEPER)
      peer_network_send (n->network, n->settings->vms[i].name, &m);
}

static void
watch_quorum (struct entry *n, int64_t now)
{
  bool lost = now - n->leader_last_seen_ms > n->settings->lease_ms;

  if (lost == n->quorum_lost)
    return;
  n->quorum_lost = lost;
  config_apply_quotas (n);
  event_ring_add (lost ? EVENT_QUORUM_LOST : EVENT_QUORUM_BACK,
                  n->settings->vm, "leader=%s", n->leader);
}

void
membership_tick (struct entry *n, int64_t now)
{
  send_peer_heartbeats (n, now);
  send_keeper_heartbeat (n, now);
  watch_quorum (n, now);
  config_fetch_newer (n);
}

static void
handle_heartbeat (struct entry *n, const char *vm,
                  const struct peer_message *m)
{
  const struct peer_heartbeat *h = &m->u.heartbeat;
  struct peer *p = peer_table_find (&n->peers, vm);

  if (p == NULL)
    return;
  p->last_seen_ms = now_ms ();
  p->free_capacity = (uint32_t)h->free_capacity;
  p->total_slots = (uint32_t)h->total_slots;
  p->queued_tasks = (uint32_t)h->queued_tasks;
  p->config_number = h->config_number;
  p->draining = h->draining != 0;
  if (p->free_capacity != 0)
    dispatch_run (n);
}

/* This VM has been removed from its group: it abandons the submissions
   that it executes, and joins again under a new boot ID as a member without
   records.  */
static void
leave_group (struct entry *n)
{
  RAND_bytes ((unsigned char *)&n->boot_id, sizeof n->boot_id);
  n->boot_id >>= 1;
  job_abandon_all (n);
}

static void
apply_group (struct entry *n, const struct group *g)
{
  bool was_member
      = group_has_member (&n->submissions.group, n->settings->vm, n->boot_id);
  bool is_member = group_has_member (g, n->settings->vm, n->boot_id);

  if (was_member && !is_member
      && g->incarnation > n->submissions.group.incarnation)
    leave_group (n);
  if (!submission_register_set_group (&n->submissions, g))
    return;
  event_ring_add (EVENT_GROUP_CHANGED, g->domain,
                  "incarnation=%" PRIu64 " members=%u%s", g->incarnation,
                  g->member_count, is_member ? "" : " without this VM");
  if (!is_member)
    return;
  replica_sync_others (n);
  job_take_over (n);
  target_tick (n, now_ms ());
}

static void
apply_view (struct entry *n, const struct peer_group_heartbeat_reply *r)
{
  json_t *o = json_loadb (r->state.data, r->state.length, 0, NULL);
  struct control_view v;
  const struct group *g;

  if (o != NULL && control_view_from_json (&v, o)
      && v.version > n->view.version)
    {
      n->view = v;
      g = control_view_group (&n->view, n->settings->domain);
      if (g != NULL)
        apply_group (n, g);
      config_fetch_newer (n);
    }
  json_decref (o);
}

static void
handle_keeper_reply (struct entry *n, const char *vm,
                     const struct peer_group_heartbeat_reply *r)
{
  if (r->term < n->leader_term)
    return;
  if (!r->is_leader)
    {
      if (r->term > n->leader_term)
        slice_copy (r->leader, n->leader, sizeof n->leader);
      return;
    }
  n->leader_term = r->term;
  n->leader_last_seen_ms = now_ms ();
  snprintf (n->leader, sizeof n->leader, "%s", vm);
  if (r->state.length != 0)
    apply_view (n, r);
}

void
membership_receive (struct entry *n, struct peer_conn *from,
                    const struct peer_message *m)
{
  struct peer_message reply = { .type = PEER_HEARTBEAT_REPLY };

  switch (m->type)
    {
    case PEER_HEARTBEAT:
      handle_heartbeat (n, from->vm, m);
      reply.u.heartbeat = own_heartbeat (n);
      peer_conn_send (from, &reply);
      break;
    case PEER_HEARTBEAT_REPLY:
      handle_heartbeat (n, from->vm, m);
      break;
    case PEER_GROUP_HEARTBEAT_REPLY:
      handle_keeper_reply (n, from->vm, &m->u.group_heartbeat_reply);
      break;
    default:
      break;
    }
}
