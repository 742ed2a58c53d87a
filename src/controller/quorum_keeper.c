#include "controller/quorum_keeper.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/histogram.h"
#include "base/json_check.h"
#include "base/json_text.h"
#include "base/now.h"
#include "controller/entry_links.h"
#include "controller/evacuation_sender.h"
#include "controller/job_withdrawal.h"
#include "controller/keeper_state.h"
#include "controller/keeper_withdrawn.h"
#include "controller/quorum_members.h"
#include "coord/run_target_json.h"

enum
{
  TICK_MS = 20,

  /* Raft timing: a follower starts an election when it has received nothing
     from the leader for one to two election timeouts.  */
  LOG_HEARTBEAT_MS = 80,
  LOG_ELECTION_MS = 300,

  /* A longer time between ticks is logged as a stall of the event loop.  */
  STALL_MS = 250,

  /* After a longer time between two ticks, the time-outs of the other keepers
     start again.  */
  RECEIVE_GAP_MS = 1000,

  /* Delay between attempts to reopen the journal after a failed write.  */
  REOPEN_MS = 400,

  /* An operator's call that is not confirmed within this time ends with
     CONFIG_UNCONFIRMED; operators' clients try another keeper after 1 s.  */
  CALL_TIMEOUT_MS = 900,

  /* The disk ID of the keepers that bootstrap the quorum.  Other disks get a
     random one.  */
  FOUNDER_DISK_ID = 1,
  FOUNDING_TERM = 1,

  /* Longer ago than any entry is waited for.  */
  UNLISTED_NEVER_MS = 3600000
};

/* An operator's call that waits for the log.  */
struct keeper_call
{
  uint64_t index; /* log index to be applied; 0 for a read */
  uint64_t round; /* of replicated_log_confirm, for a read */
  int64_t created_ms;
  config_done done;
  void *arg;
  struct keeper_call *prev;
  struct keeper_call *next;
};

static void
on_journal_failed (void *arg, const struct error *e)
{
  struct quorum_keeper *k = arg;

  (void)e;
  k->failed = true;
  k->failed_ms = now_ms ();
}

static const struct log_journal_events journal_events
    = { on_journal_failed, quorum_members_id_of, quorum_members_member_of };

static void
send_to_member (void *arg, int to, struct peer_message *m)
{
  struct quorum_keeper *k = arg;

  peer_network_send (k->network, k->peers[to].member.address, m);
}

static void
call_end (struct quorum_keeper *k, struct keeper_call *c,
          enum config_result result)
{
  DL_DELETE (k->calls, c);
  c->done (c->arg, result, k->config_text);
  free (c);
}

static void
end_calls (struct quorum_keeper *k, enum config_result result)
{
  while (k->calls != NULL)
    call_end (k, k->calls, result);
}

static void
answer_applied (struct quorum_keeper *k, uint64_t index)
{
  struct keeper_call *c;
  struct keeper_call *next;

  DL_FOREACH_SAFE (k->calls, c, next)
  if (c->index == index)
    call_end (k, c, CONFIG_COMMITTED);
}

static void
apply (void *arg, uint64_t index, const struct log_entry *e)
{
  struct quorum_keeper *k = arg;
  json_t *o;

  if (e->length == 0)
    return;
  o = json_loadb (e->data, e->length, 0, NULL);
  keeper_state_apply (k, index, o);
  json_decref (o);
  answer_applied (k, index);
}

static void
on_role_changed (void *arg, enum log_role role)
{
  struct quorum_keeper *k = arg;

  k->change_index = 0;
  k->last_heartbeat_ms = 0;
  if (role != LOG_LEADER)
    {
      event_ring_add (EVENT_LEADER_STEPPED_DOWN, k->settings->name,
                      "term=%" PRIu64, k->log.term);
      end_calls (k, CONFIG_UNCONFIRMED);
      owner_plan_done (&k->plan);
      return;
    }
  counters_add (COUNTER_ELECTIONS, 1);
  event_ring_add (EVENT_LEADER_ELECTED, k->settings->name, "term=%" PRIu64,
                  k->log.term);
  owner_plan_start_term (&k->plan, k->log.term, now_ms ());
  keeper_withdrawn_lead (k);
  k->targets_restored = false;
  k->targets_logged_digest = 0;
  k->targets_index = 0;
  for (uint32_t i = 0; i < k->link_count; i++)
    {
      k->links[i].assignment_number = 0;
      k->links[i].dispatchers_digest = 0;
    }
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn != NULL)
      entry_links_request_report (k, &k->links[i]);
}

static const struct replicated_log_output log_output
    = { .save_state = log_journal_save_state,
        .save_entry = log_journal_save_entry,
        .save_truncate = log_journal_save_truncate,
        .sync = log_journal_sync,
        .save_snapshot = log_journal_save_snapshot,
        .send = send_to_member,
        .apply = apply,
        .take_snapshot = keeper_state_snapshot,
        .load_snapshot = keeper_state_load,
        .role_changed = on_role_changed,
        .stored_changed = quorum_members_stored_changed };

bool
quorum_keeper_leads (const struct quorum_keeper *k)
{
  return k->log.role == LOG_LEADER && !k->stopping && !k->failed;
}

static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct quorum_keeper *k = arg;
  int member;

  switch (m->type)
    {
    case PEER_ENTRY_HEARTBEAT:
      entry_links_receive_heartbeat (k, from, &m->u.entry_heartbeat);
      return;
    case PEER_CALL:
      if (m->u.call.method == METHOD_TARGET_REPORTS)
        target_relay_handle_call (&k->relay, now_ms (), from, &m->u.call);
      else if (m->u.call.method == METHOD_WITHDRAW)
        job_withdrawal_handle_call (k, now_ms (), from, &m->u.call);
      else if (m->u.call.method == METHOD_WITHDRAWN)
        keeper_withdrawn_handle_call (k, now_ms (), from, &m->u.call);
      return;
    case PEER_REPLY:
      if (evacuation_sender_handle_reply (k, from, &m->u.reply)
          || keeper_withdrawn_handle_reply (k, now_ms (), from, &m->u.reply))
        return;
      job_withdrawal_handle_reply (k, now_ms (), from, &m->u.reply);
      return;
    case PEER_KEEPER_HEARTBEAT:
      quorum_members_receive_heartbeat (k, from, &m->u.keeper_heartbeat);
      return;
    default:
      break;
    }
  member = quorum_members_by_address (k, from->vm);
  if (member == LOG_NO_MEMBER || k->failed)
    return;
  replicated_log_receive (&k->log, now_ms (), member, m);
  if (m->type == PEER_APPEND_REPLY)
    job_withdrawal_tick (k, now_ms ());
}

/* The heartbeat is the first message on a new link: it carries the disk ID,
   which the peer needs to identify the member.  */
static void
on_link (void *arg, const char *vm, bool up)
{
  struct quorum_keeper *k = arg;

  if (!up)
    return;
  keeper_withdrawn_link_up (k, vm);
  quorum_members_send_heartbeats (k, now_ms ());
  replicated_log_member_reachable (&k->log, now_ms ());
}

static void
on_disconnected (void *arg, struct peer_conn *from)
{
  struct quorum_keeper *k = arg;

  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn == from)
      {
        peer_conn_release (from);
        k->links[i].conn = NULL;
      }
}

static const struct peer_network_events network_events
    = { on_message, on_link, on_disconnected };

/* Answers the reads that a majority has confirmed, and ends the calls that
   have timed out.  */
static void
finish_calls (struct quorum_keeper *k, int64_t now)
{
  struct keeper_call *c;
  struct keeper_call *next;

  DL_FOREACH_SAFE (k->calls, c, next)
  {
    if (c->index == 0 && replicated_log_is_confirmed (&k->log, c->round))
      call_end (k, c, k->config_version == 0 ? CONFIG_NONE : CONFIG_READ);
    else if (now - c->created_ms > CALL_TIMEOUT_MS)
      call_end (k, c, CONFIG_UNCONFIRMED);
  }
}

void
quorum_keeper_propose (struct quorum_keeper *k, json_t *command, int64_t now,
                       uint64_t *index)
{
  char *text;

  if (command == NULL)
    return;
  text = json_encode (command);
  *index
      = replicated_log_propose (&k->log, now, text, (uint32_t)strlen (text));
  free (text);
  json_decref (command);
}

static struct keeper_call *
call_new (struct quorum_keeper *k, int64_t now, config_done done, void *arg)
{
  struct keeper_call *c = calloc (1, sizeof *c);

  c->created_ms = now;
  c->done = done;
  c->arg = arg;
  DL_APPEND (k->calls, c);
  return c;
}

void
quorum_keeper_commit (struct quorum_keeper *k, int64_t now, json_t *command,
                      config_done done, void *arg)
{
  struct keeper_call *c;

  if (command == NULL || !quorum_keeper_leads (k))
    {
      json_decref (command);
      done (arg, CONFIG_UNCONFIRMED, NULL);
      return;
    }
  c = call_new (k, now, done, arg);
  /* The index is set before the proposal: a quorum of one applies the entry
     within the call.  */
  c->index = log_entries_last_index (&k->log.stored) + 1;
  quorum_keeper_propose (k, command, now, &(uint64_t){ 0 });
}

void
quorum_keeper_put_config (struct quorum_keeper *k, int64_t now,
                          uint64_t version, const char *text, config_done done,
                          void *arg)
{
  quorum_keeper_commit (k, now,
                        json_build ("{s:s s:I s:s}", "type", "document",
                                    "version", (json_int_t)version, "text",
                                    version <= k->config_version ? "" : text),
                        done, arg);
}

void
quorum_keeper_get_config (struct quorum_keeper *k, int64_t now,
                          config_done done, void *arg)
{
  struct keeper_call *c;

  if (!quorum_keeper_leads (k))
    {
      done (arg, CONFIG_UNCONFIRMED, NULL);
      return;
    }
  c = call_new (k, now, done, arg);
  c->round = replicated_log_confirm (&k->log, now);
}

static void
on_pass (evutil_socket_t fd, short what, void *arg)
{
  struct quorum_keeper *k = arg;

  (void)fd;
  (void)what;
  if (quorum_keeper_leads (k))
    entry_links_update (k, now_ms ());
}

/* Runs the owner plan once for all messages of this loop iteration.  */
static void
schedule_pass (struct quorum_keeper *k)
{
  event_active (k->pass, EV_TIMEOUT, 0);
}

/* Has the owner of the target told, with its next assignment, that it is cold.
   A target that is new in the plan is described there in full.  */
static void
note_cold (struct quorum_keeper *k, const struct run_target_spec *spec)
{
  struct plan_target *t = owner_plan_target (&k->plan, spec->id);
  int64_t now = now_ms ();
  struct plan_entry *owner;

  if (t == NULL || !run_target_spec_same_incarnation (&t->spec, spec)
      || !run_target_spec_became_cold (&t->spec, spec, now))
    return;
  t->spec.cold_until_ms = spec->cold_until_ms;
  event_ring_add (EVENT_TARGET_COLD, spec->id,
                  "domain=%s remaining_ms=%" PRId64 " owner=%s", spec->domain,
                  spec->cold_until_ms - now, t->owner);
  owner = owner_plan_entry (&k->plan, t->owner);
  if (owner != NULL)
    owner->dirty = true;
  schedule_pass (k);
}

void
quorum_keeper_update_target (struct quorum_keeper *k, int64_t received_ms,
                             const struct run_target_spec *spec)
{
  note_cold (k, spec);
  if (!owner_plan_update_target (&k->plan, received_ms, spec))
    return;
  event_ring_add (
      spec->draining ? EVENT_TARGET_LEAVING : EVENT_TARGET_JOINED, spec->id,
      "address=%s service=%s domain=%s born=%" PRId64 " cpu=%" PRIu64,
      spec->address, spec->service, spec->domain, spec->started_ms,
      spec->cpu_milli);
  schedule_pass (k);
}

/* A new leader that has not read the targets of the log yet must not add one
   later that deregisters now.  */
static void
remember_logged_target (struct quorum_keeper *k, int64_t now, const char *id)
{
  struct run_target_spec spec;

  if (owner_plan_target (&k->plan, id) == NULL
      && run_target_spec_from_json (&spec,
                                    json_object_get (k->applied_targets, id)))
    owner_plan_restore_departed (&k->plan, now, &spec, true);
}

void
quorum_keeper_remove_target (struct quorum_keeper *k, const char *id)
{
  int64_t now = now_ms ();

  event_ring_add (EVENT_TARGET_LEAVING, id, "why=deregistered");
  remember_logged_target (k, now, id);
  owner_plan_remove_target (&k->plan, now, id);
  /* Logged with the next check: a new leader must know it too.  */
  k->targets_logged_ms = 0;
  schedule_pass (k);
}

static bool open_log (struct quorum_keeper *k, struct error *e);

/* A full or failing disk may recover: the journal is read again, and what was
   not durable is lost as in a crash.  */
static void
reopen_log (struct quorum_keeper *k, int64_t now)
{
  struct error e;

  if (k->log.role == LOG_LEADER)
    on_role_changed (k, LOG_FOLLOWER);
  end_calls (k, CONFIG_UNCONFIRMED);
  log_journal_close (&k->journal);
  replicated_log_done (&k->log);
  k->failed = false;
  k->last_heartbeat_ms = 0;
  if (!open_log (k, &e))
    {
      event_ring_add (EVENT_STORE_FAILED, k->settings->name, "%s", e.message);
      k->failed = true;
    }
  k->failed_ms = now;
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct quorum_keeper *k = arg;
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  histogram_add (HISTOGRAM_LOOP_STALL, now - k->last_tick_ms - TICK_MS);
  if (now - k->last_tick_ms > STALL_MS)
    event_ring_add (EVENT_LOOP_STALLED, k->settings->name, "ms=%" PRId64,
                    now - k->last_tick_ms);
  /* Messages received during the stall were not handled: the other keepers
     must not count as unresponsive.  */
  if (now - k->last_tick_ms > RECEIVE_GAP_MS)
    k->receiving_since_ms = now;
  k->last_tick_ms = now;
  job_withdrawal_tick (k, now);
  keeper_withdrawn_tick (k, now);
  if (k->failed)
    {
      if (now - k->failed_ms >= REOPEN_MS)
        reopen_log (k, now);
      target_relay_tick (&k->relay, now);
      return;
    }
  replicated_log_tick (&k->log, now);
  if (quorum_keeper_leads (k))
    {
      entry_links_update (k, now);
      entry_links_log_targets (k, now);
      quorum_members_propose_change (k, now);
    }
  else
    target_relay_tick (&k->relay, now);
  finish_calls (k, now);
  counters.value[COUNTER_TARGETS_DEPARTED]
      = HASH_COUNT (k->plan.departed.by_id)
        + HASH_COUNT (k->relay.reports.departed.by_id);
  if (now - k->last_heartbeat_ms >= quorum_members_heartbeat_ms (k))
    quorum_members_send_heartbeats (k, now);
}

static bool
is_founder (const struct node_settings *s)
{
  for (uint32_t i = 0; s->first_start && i < s->seed_count; i++)
    if (strcmp (s->seeds[i].address, s->peer.address) == 0)
      return true;
  return false;
}

/* Stores the first entry of the log of all founders, with the seeds as
   voters.  */
static bool
save_founding_entry (struct quorum_keeper *k)
{
  const struct node_settings *s = k->settings;
  json_t *voters = json_array ();
  json_t *command;
  char *text;

  for (uint32_t i = 0; i < s->seed_count; i++)
    json_array_append_new (voters, json_build ("{s:s s:i}", "address",
                                               s->seeds[i].address, "disk",
                                               FOUNDER_DISK_ID));
  command = json_build ("{s:s s:o}", "type", "voters", "list", voters);
  text = json_encode_new (command);
  replicated_log_restore_entry (&k->log, 1, FOUNDING_TERM, text,
                                (uint32_t)strlen (text));
  free (text);
  return log_journal_save_entry (&k->journal, 1,
                                 log_entries_at (&k->log.stored, 1));
}

/* Writes the log that all founders start with: one entry of term
   FOUNDING_TERM, which an interrupted start may have written already.  It is
   durable once the caller has stored the disk ID.  */
static bool
bootstrap_quorum (struct quorum_keeper *k)
{
  if (log_entries_last_index (&k->log.stored) == 0 && !save_founding_entry (k))
    return false;
  if (k->log.term >= FOUNDING_TERM)
    return true;
  replicated_log_restore_state (&k->log, FOUNDING_TERM, LOG_NO_MEMBER);
  return log_journal_save_state (&k->journal, FOUNDING_TERM, LOG_NO_MEMBER);
}

static uint64_t
new_disk_id (const struct node_settings *s)
{
  uint64_t id;

  if (is_founder (s))
    return FOUNDER_DISK_ID;
  RAND_bytes ((unsigned char *)&id, sizeof id);
  return (id >> 2) + FOUNDER_DISK_ID + 1;
}

/* Initialises the log, keeping the known peers if it is reopened; none of them
   votes until the log has been read.  */
static void
init_log (struct quorum_keeper *k)
{
  struct keeper_peer old[QUORUM_MEMBER_LIMIT];
  int count = k->log.member_count;

  memcpy (old, k->peers, sizeof old);
  replicated_log_init (&k->log, LOG_NO_MEMBER, 0, LOG_HEARTBEAT_MS,
                       LOG_ELECTION_MS, k->boot_id, &log_output, k);
  k->log.store_arg = &k->journal;
  for (int i = 0; i < count; i++)
    {
      int n = quorum_members_find_or_add (k, old[i].id, old[i].member.address,
                                          old[i].member.disk_id);

      k->peers[n] = old[i];
      k->peers[n].member.voter = false;
    }
}

static bool
open_log (struct quorum_keeper *k, struct error *e)
{
  const struct node_settings *s = k->settings;
  int status;

  init_log (k);
  keeper_state_reset (k);
  status = journal_create (s->peer.data_folder, e);
  if (status != STORE_OK && status != STORE_ALREADY_INITIALISED)
    return false;
  if (!log_journal_open (&k->journal, &k->log, s->name, s->peer.data_folder, 0,
                         &journal_events, k, e))
    return false;
  if (k->journal.disk_id == 0
      && ((is_founder (s) && !bootstrap_quorum (k))
          || !log_journal_set_disk_id (&k->journal, new_disk_id (s))))
    {
      error_wrap (e, STORE_IO, "disk id", &k->journal.journal.error);
      return false;
    }
  k->log.self = quorum_members_find_or_add (
      k, quorum_members_id (s->peer.vm, k->journal.disk_id), s->peer.vm,
      k->journal.disk_id);
  snprintf (k->peers[k->log.self].member.domain, NAME_BYTES, "%s",
            s->peer.domain);
  quorum_members_stored_changed (k, &k->log);
  replicated_log_start (&k->log, now_ms ());
  return true;
}

void
quorum_keeper_connect_seeds (struct quorum_keeper *k)
{
  const struct node_settings *s = k->settings;

  for (uint32_t i = 0; i < s->seed_count; i++)
    if (strcmp (s->seeds[i].address, s->peer.vm) != 0)
      peer_network_connect_address (k->network, s->seeds[i].address,
                                    s->peer.peer_port);
}

bool
quorum_keeper_start (struct quorum_keeper *k, struct event_base *base,
                     const struct node_settings *s, uint64_t boot_id,
                     struct error *e)
{
  struct timeval tick = now_timeval (TICK_MS);

  memset (k, 0, sizeof *k);
  k->base = base;
  k->settings = s;
  k->boot_id = boot_id;
  k->last_tick_ms = now_ms ();
  k->receiving_since_ms = k->last_tick_ms;
  k->unlisted_ms = k->last_tick_ms - UNLISTED_NEVER_MS;
  log_journal_init (&k->journal);
  owner_plan_init (&k->plan);
  withdrawn_jobs_init (&k->withdrawn, WITHDRAWN_LIMIT);
  target_relay_init (&k->relay, k);
  k->network
      = peer_network_new (base, &s->peer, boot_id, &network_events, k, e);
  if (k->network == NULL)
    return false;
  if (!open_log (k, e))
    {
      event_ring_add (EVENT_STORE_FAILED, s->name, "%s", e->message);
      k->failed = true;
      k->failed_ms = k->last_tick_ms;
    }
  quorum_keeper_connect_seeds (k);
  k->pass = event_new (base, -1, 0, on_pass, k);
  k->tick = event_new (base, -1, EV_PERSIST, on_tick, k);
  event_add (k->tick, &tick);
  return true;
}

void
quorum_keeper_stop (struct quorum_keeper *k)
{
  if (k->stopping)
    return;
  event_ring_add (EVENT_PROCESS_STOPPING, k->settings->name, "leads=%d",
                  quorum_keeper_leads (k));
  end_calls (k, CONFIG_UNCONFIRMED);
  k->stopping = true;
  replicated_log_step_down (&k->log, now_ms ());
  quorum_members_send_heartbeats (k, now_ms ());
}

void
quorum_keeper_done (struct quorum_keeper *k)
{
  if (k->network == NULL)
    return;
  event_free (k->tick);
  event_free (k->pass);
  end_calls (k, CONFIG_UNCONFIRMED);
  job_withdrawal_done (k);
  for (uint32_t i = 0; i < k->link_count; i++)
    if (k->links[i].conn != NULL)
      peer_conn_release (k->links[i].conn);
  peer_network_free (k->network);
  log_journal_close (&k->journal);
  replicated_log_done (&k->log);
  owner_plan_done (&k->plan);
  target_relay_done (&k->relay);
  withdrawn_jobs_done (&k->withdrawn);
  json_decref (k->applied_voters);
  json_decref (k->applied_targets);
  json_decref (k->applied_departed);
  free (k->config_text);
}
