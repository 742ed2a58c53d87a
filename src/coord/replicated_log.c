#include "coord/replicated_log.h"

#include <stdlib.h>
#include <string.h>

enum
{
  APPEND_BYTES_MAXIMUM = 1 << 20,
  COMPACT_ENTRIES_DEFAULT = 256,
  COMPACT_BYTES = 2 << 20,

  /* After a connection is restored, the next election is scheduled at random
     within the election time-out divided by this, so that members which
     reconnect at the same moment do not split the vote.  */
  RECONNECT_SPREAD_DIVISOR = 4,

  /* A pre-vote does not disturb a leader, so a failed one is repeated early:
     after the election time-out divided by this, plus up to as much again at
     random.  */
  PRE_VOTE_RETRY_DIVISOR = 3
};

static void broadcast_append (struct replicated_log *l, int64_t now);
static void advance_commit (struct replicated_log *l);

static void
notify_stored_changed (struct replicated_log *l)
{
  if (l->output->stored_changed != NULL)
    l->output->stored_changed (l->arg, l);
}

int
replicated_log_add_member (struct replicated_log *l)
{
  if (l->member_count == LOG_MEMBER_LIMIT)
    return LOG_NO_MEMBER;
  memset (&l->members[l->member_count], 0, sizeof l->members[0]);
  l->members[l->member_count].next_index
      = log_entries_last_index (&l->stored) + 1;
  return l->member_count++;
}

void
replicated_log_set_voter (struct replicated_log *l, int member, bool voter)
{
  struct log_member *m = &l->members[member];

  /* A new voter may never have been contacted, so its time-out starts now. */
  if (voter && !m->voter && m->last_seen_ms < l->last_tick_ms)
    m->last_seen_ms = l->last_tick_ms;
  m->voter = voter;
}

void
replicated_log_set_learner (struct replicated_log *l, int learner)
{
  if (learner != l->learner)
    l->learner_index = l->commit_index;
  l->learner = learner;
}

bool
replicated_log_is_caught_up (const struct replicated_log *l)
{
  return l->learner != LOG_NO_MEMBER
         && l->members[l->learner].match_index >= l->learner_index;
}

static uint64_t
next_random (struct replicated_log *l)
{
  l->random ^= l->random << 13;
  l->random ^= l->random >> 7;
  l->random ^= l->random << 17;
  return l->random;
}

static void
reset_election (struct replicated_log *l, int64_t now)
{
  l->election_at_ms = now + l->election_ms
                      + (int64_t)(next_random (l) % (uint64_t)l->election_ms);
}

void
replicated_log_init (struct replicated_log *l, int self, int member_count,
                     int64_t heartbeat_ms, int64_t election_ms, uint64_t seed,
                     const struct replicated_log_output *output, void *arg)
{
  memset (l, 0, sizeof *l);
  log_entries_init (&l->stored);
  l->self = self;
  l->member_count = member_count;
  l->heartbeat_ms = heartbeat_ms;
  l->election_ms = election_ms;
  l->random = seed * 0x9E3779B97F4A7C15U + 1;
  l->output = output;
  l->arg = arg;
  l->store_arg = arg;
  for (int i = 0; i < member_count; i++)
    l->members[i].voter = true;
  l->voted_for = LOG_NO_MEMBER;
  l->leader = LOG_NO_MEMBER;
  l->learner = LOG_NO_MEMBER;
  l->compact_entries = COMPACT_ENTRIES_DEFAULT;
}

void
replicated_log_done (struct replicated_log *l)
{
  log_entries_done (&l->stored);
}

void
replicated_log_restore_state (struct replicated_log *l, uint64_t term,
                              int voted_for)
{
  l->term = term;
  l->voted_for = voted_for;
}

void
replicated_log_restore_snapshot (struct replicated_log *l, uint64_t index,
                                 uint64_t term, const char *data,
                                 uint32_t length)
{
  log_entries_set_snapshot (&l->stored, index, term, data, length);
  l->commit_index = index;
  l->applied_index = index;
  l->output->load_snapshot (l->arg, index, l->stored.snapshot, length);
}

bool
replicated_log_restore_entry (struct replicated_log *l, uint64_t index,
                              uint64_t term, const char *data, uint32_t length)
{
  if (index != log_entries_last_index (&l->stored) + 1)
    return false;
  log_entries_add (&l->stored, term, data, length);
  return true;
}

void
replicated_log_restore_truncate (struct replicated_log *l, uint64_t from_index)
{
  if (from_index > l->stored.base_index)
    log_entries_truncate (&l->stored, from_index);
}

/* Schedules the first election after half the usual time.  No leader is known
   yet, and if there is one the pre-vote fails without disturbing it.  */
void
replicated_log_start (struct replicated_log *l, int64_t now)
{
  reset_election (l, now);
  l->election_at_ms = now + (l->election_at_ms - now) / 2;
  /* What was read may have been written by a process that ended before its
     sync.  */
  l->unsynced = log_entries_last_index (&l->stored) != 0;
}

void
replicated_log_member_reachable (struct replicated_log *l, int64_t now)
{
  int64_t soon
      = now + 1
        + (int64_t)(next_random (l)
                    % (uint64_t)(l->election_ms / RECONNECT_SPREAD_DIVISOR));

  if (l->leader == LOG_NO_MEMBER && soon < l->election_at_ms)
    l->election_at_ms = soon;
}

static void
change_role (struct replicated_log *l, enum log_role role)
{
  bool leadership_changed = (role == LOG_LEADER) != (l->role == LOG_LEADER);

  l->role = role;
  if (leadership_changed)
    l->output->role_changed (l->arg, role);
}

/* Becomes a follower.  A higher TERM is adopted, which clears the vote.  */
static void
become_follower (struct replicated_log *l, uint64_t term, int64_t now)
{
  if (term > l->term)
    {
      l->term = term;
      l->voted_for = LOG_NO_MEMBER;
      l->leader = LOG_NO_MEMBER;
      if (!l->output->save_state (l->store_arg, l->term, l->voted_for))
        l->failed = true;
    }
  if (l->role == LOG_LEADER)
    l->leader = LOG_NO_MEMBER;
  change_role (l, LOG_FOLLOWER);
  reset_election (l, now);
}

static bool
is_voter (const struct replicated_log *l, int member)
{
  return member != LOG_NO_MEMBER && l->members[member].voter;
}

static int
majority (const struct replicated_log *l)
{
  int voters = 0;

  for (int i = 0; i < l->member_count; i++)
    voters += l->members[i].voter;
  return voters / 2 + 1;
}

static int
count_granted (const struct replicated_log *l)
{
  int n = 0;

  for (int i = 0; i < l->member_count; i++)
    n += l->members[i].voter && l->members[i].granted;
  return n;
}

static void
request_votes (struct replicated_log *l, bool pre_vote)
{
  uint64_t last = log_entries_last_index (&l->stored);
  struct peer_message m = { .type = PEER_VOTE };

  for (int i = 0; i < l->member_count; i++)
    {
      l->members[i].granted = i == l->self;
      if (i == l->self || !l->members[i].voter)
        continue;
      m.u.vote = (struct peer_vote){ l->term + (pre_vote ? 1 : 0), last,
                                     log_entries_term_at (&l->stored, last),
                                     pre_vote };
      l->output->send (l->arg, i, &m);
    }
}

/* Makes the stored entries durable.  Must precede every reply, and every count
   towards a majority, that rests on them.  Returns false if storage failed. */
static bool
sync_stored (struct replicated_log *l)
{
  if (l->failed)
    return false;
  if (l->unsynced && !l->output->sync (l->store_arg))
    l->failed = true;
  else
    l->unsynced = false;
  return !l->failed;
}

static bool
append_own (struct replicated_log *l, const char *data, uint32_t length)
{
  uint64_t index = log_entries_last_index (&l->stored) + 1;

  log_entries_add (&l->stored, l->term, data, length);
  notify_stored_changed (l);
  l->unsynced = true;
  if (!l->output->save_entry (l->store_arg, index,
                              log_entries_at (&l->stored, index)))
    l->failed = true;
  if (!sync_stored (l))
    return false;
  l->members[l->self].match_index = index;
  return true;
}

/* Appends an empty entry, since entries of earlier terms commit only through
   one of the current term.  */
static void
become_leader (struct replicated_log *l, int64_t now)
{
  l->leader = l->self;
  l->learner = LOG_NO_MEMBER;
  for (int i = 0; i < l->member_count; i++)
    {
      l->members[i].next_index = log_entries_last_index (&l->stored) + 1;
      l->members[i].match_index = 0;
      l->members[i].last_seen_ms = now;
      l->members[i].acked_round = 0;
    }
  change_role (l, LOG_LEADER);
  if (!append_own (l, "", 0))
    return;
  broadcast_append (l, now);
  advance_commit (l);
}

static void
become_candidate (struct replicated_log *l, int64_t now)
{
  l->term++;
  l->voted_for = l->self;
  l->leader = LOG_NO_MEMBER;
  change_role (l, LOG_CANDIDATE);
  reset_election (l, now);
  if (!l->output->save_state (l->store_arg, l->term, l->voted_for))
    {
      l->failed = true;
      return;
    }
  request_votes (l, false);
  if (count_granted (l) >= majority (l))
    become_leader (l, now);
}

static void
become_pre_candidate (struct replicated_log *l, int64_t now)
{
  int64_t retry_ms = l->election_ms / PRE_VOTE_RETRY_DIVISOR;

  change_role (l, LOG_PRE_CANDIDATE);
  l->leader = LOG_NO_MEMBER;
  l->election_at_ms
      = now + retry_ms + (int64_t)(next_random (l) % (uint64_t)retry_ms);
  request_votes (l, true);
  if (count_granted (l) >= majority (l))
    become_candidate (l, now);
}

static bool
is_up_to_date (const struct replicated_log *l, const struct peer_vote *v)
{
  uint64_t last = log_entries_last_index (&l->stored);
  uint64_t last_term = log_entries_term_at (&l->stored, last);

  return v->last_term > last_term
         || (v->last_term == last_term && v->last_index >= last);
}

/* Whether this member leads or has had contact with a leader within the
   election time-out, so that it must not grant a pre-vote.  */
static bool
has_live_leader (const struct replicated_log *l, int64_t now)
{
  return l->role == LOG_LEADER
         || (l->leader != LOG_NO_MEMBER
             && now - l->leader_last_seen_ms < l->election_ms);
}

static void
receive_vote (struct replicated_log *l, int64_t now, int from,
              const struct peer_vote *v)
{
  struct peer_message reply = { .type = PEER_VOTE_REPLY };
  bool granted;

  if (v->pre_vote)
    granted = v->term > l->term && is_up_to_date (l, v)
              && !has_live_leader (l, now);
  else
    {
      if (v->term > l->term)
        become_follower (l, v->term, now);
      granted = v->term == l->term && is_up_to_date (l, v)
                && (l->voted_for == LOG_NO_MEMBER || l->voted_for == from);
      if (granted && l->voted_for == LOG_NO_MEMBER)
        {
          l->voted_for = from;
          if (!l->output->save_state (l->store_arg, l->term, l->voted_for))
            l->failed = true;
          reset_election (l, now);
        }
    }
  if (l->failed)
    return;
  reply.u.vote_reply
      = (struct peer_vote_reply){ v->pre_vote && granted ? v->term : l->term,
                                  granted, v->pre_vote };
  l->output->send (l->arg, from, &reply);
}

static void
receive_vote_reply (struct replicated_log *l, int64_t now, int from,
                    const struct peer_vote_reply *v)
{
  enum log_role expected = v->pre_vote ? LOG_PRE_CANDIDATE : LOG_CANDIDATE;

  if (!v->granted && v->term > l->term)
    {
      become_follower (l, v->term, now);
      return;
    }
  if (l->role != expected || !v->granted
      || v->term != l->term + (v->pre_vote ? 1 : 0))
    return;
  l->members[from].granted = true;
  if (count_granted (l) < majority (l))
    return;
  if (v->pre_vote)
    become_candidate (l, now);
  else
    become_leader (l, now);
}

static void
send_snapshot (struct replicated_log *l, int to)
{
  struct peer_message m = { .type = PEER_SNAPSHOT };

  m.u.snapshot = (struct peer_snapshot){ l->term,
                                         l->stored.base_index,
                                         l->stored.base_term,
                                         l->round,
                                         { l->stored.snapshot,
                                           l->stored.snapshot_length } };
  l->output->send (l->arg, to, &m);
}

static void
send_append (struct replicated_log *l, int to, int64_t now)
{
  struct log_member *member = &l->members[to];
  struct peer_message m = { .type = PEER_APPEND };
  msgpack_sbuffer packed;

  member->sent_ms = now;
  if (member->next_index <= l->stored.base_index)
    {
      send_snapshot (l, to);
      return;
    }
  msgpack_sbuffer_init (&packed);
  log_entries_pack (&l->stored, member->next_index, APPEND_BYTES_MAXIMUM,
                    &packed);
  m.u.append = (struct peer_append){
    l->term,
    member->next_index - 1,
    log_entries_term_at (&l->stored, member->next_index - 1),
    l->commit_index,
    l->round,
    { packed.data == NULL ? "" : packed.data, (uint32_t)packed.size }
  };
  l->output->send (l->arg, to, &m);
  msgpack_sbuffer_destroy (&packed);
}

/* Whether this leader sends MEMBER its entries.  */
static bool
replicates_to (const struct replicated_log *l, int member)
{
  return member != l->self
         && (l->members[member].voter || member == l->learner);
}

static void
broadcast_append (struct replicated_log *l, int64_t now)
{
  l->round++;
  for (int i = 0; i < l->member_count; i++)
    if (replicates_to (l, i))
      send_append (l, i, now);
}

static uint64_t
stored_bytes (const struct replicated_log *l)
{
  uint64_t bytes = 0;

  for (uint64_t i = l->stored.base_index + 1; i <= l->applied_index; i++)
    bytes += log_entries_at (&l->stored, i)->length;
  return bytes;
}

static void
compact (struct replicated_log *l)
{
  uint32_t length;
  char *data;

  if (l->applied_index - l->stored.base_index < l->compact_entries
      && stored_bytes (l) < COMPACT_BYTES)
    return;
  data = l->output->take_snapshot (l->arg, &length);
  if (data == NULL)
    return;
  log_entries_set_snapshot (&l->stored, l->applied_index,
                            log_entries_term_at (&l->stored, l->applied_index),
                            data, length);
  free (data);
  if (!l->output->save_snapshot (l->store_arg, l))
    l->failed = true;
}

static void
apply_committed (struct replicated_log *l)
{
  while (l->applied_index < l->commit_index)
    {
      uint64_t index = ++l->applied_index;

      l->output->apply (l->arg, index, log_entries_at (&l->stored, index));
    }
  compact (l);
}

/* For qsort in descending order.  */
static int
compare_indexes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* Commits the entries that a majority holds, provided that the last of them
   is of the current term.  */
static void
advance_commit (struct replicated_log *l)
{
  uint64_t match[LOG_MEMBER_LIMIT];
  uint64_t index;
  size_t voters = 0;

  for (int i = 0; i < l->member_count; i++)
    if (l->members[i].voter)
      match[voters++] = l->members[i].match_index;
  if (voters == 0)
    return;
  qsort (match, voters, sizeof match[0], compare_indexes);
  index = match[majority (l) - 1];
  if (index <= l->commit_index
      || log_entries_term_at (&l->stored, index) != l->term)
    return;
  l->commit_index = index;
  apply_committed (l);
}

static void
reply_append (struct replicated_log *l, int to, bool accepted, uint64_t match,
              uint64_t round)
{
  struct peer_message m = { .type = PEER_APPEND_REPLY };

  if (l->failed)
    return;
  m.u.append_reply
      = (struct peer_append_reply){ l->term, accepted, match, round };
  l->output->send (l->arg, to, &m);
}

/* Stores the leader's entry INDEX unless it is present already.  A conflicting
   local entry is truncated first, with all that follow it.  Returns false
   if storage failed.  */
static bool
store_entry (struct replicated_log *l, uint64_t index, uint64_t term,
             const char *data, uint32_t length)
{
  uint64_t known = log_entries_term_at (&l->stored, index);

  if (index <= l->stored.base_index || known == term)
    return true;
  l->unsynced = true;
  if (known != 0)
    {
      if (!l->output->save_truncate (l->store_arg, index))
        return false;
      log_entries_truncate (&l->stored, index);
    }
  log_entries_add (&l->stored, term, data, length);
  return l->output->save_entry (l->store_arg, index,
                                log_entries_at (&l->stored, index));
}

/* Stores the packed ENTRIES that follow index PREVIOUS.  Returns the index of
   the last one, or 0 if they are malformed or storage failed.  */
static uint64_t
store_entries (struct replicated_log *l, uint64_t previous,
               struct slice entries)
{
  uint64_t index = previous;
  msgpack_unpacked term;
  msgpack_unpacked data;
  size_t offset = 0;
  bool valid = peer_message_is_flat (entries.data, entries.length, 0);

  msgpack_unpacked_init (&term);
  msgpack_unpacked_init (&data);
  while (valid && offset < entries.length)
    {
      valid
          = msgpack_unpack_next (&term, entries.data, entries.length, &offset)
                == MSGPACK_UNPACK_SUCCESS
            && term.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
            && msgpack_unpack_next (&data, entries.data, entries.length,
                                    &offset)
                   == MSGPACK_UNPACK_SUCCESS
            && data.data.type == MSGPACK_OBJECT_BIN;
      if (!valid)
        break;
      index++;
      if (!store_entry (l, index, term.data.via.u64, data.data.via.bin.ptr,
                        data.data.via.bin.size))
        l->failed = true;
      valid = !l->failed;
    }
  msgpack_unpacked_destroy (&term);
  msgpack_unpacked_destroy (&data);
  if (valid)
    notify_stored_changed (l);
  return valid ? index : 0;
}

static void
accept_leader (struct replicated_log *l, int64_t now, int from, uint64_t term)
{
  become_follower (l, term, now);
  l->leader = from;
  l->leader_last_seen_ms = now;
}

static void
receive_append (struct replicated_log *l, int64_t now, int from,
                const struct peer_append *a)
{
  uint64_t last = log_entries_last_index (&l->stored);
  uint64_t match;

  if (a->term < l->term)
    {
      reply_append (l, from, false, last, a->round);
      return;
    }
  accept_leader (l, now, from, a->term);
  if (l->failed)
    return;
  if (a->previous_index > last
      || (a->previous_index >= l->stored.base_index
          && log_entries_term_at (&l->stored, a->previous_index)
                 != a->previous_term))
    {
      /* The leader goes on after this index.  Entries up to the commit index
         are known to match.  */
      uint64_t hint = a->previous_index > last ? last : a->previous_index - 1;

      reply_append (l, from, false,
                    hint < l->commit_index ? l->commit_index : hint, a->round);
      return;
    }
  match = a->entries.length == 0
              ? a->previous_index
              : store_entries (l, a->previous_index, a->entries);
  if ((match == 0 && a->entries.length != 0) || !sync_stored (l))
    return;
  if (a->commit_index > l->commit_index)
    {
      l->commit_index = a->commit_index < match ? a->commit_index : match;
      if (l->commit_index < l->applied_index)
        l->commit_index = l->applied_index;
      apply_committed (l);
    }
  reply_append (l, from, true, match, a->round);
}

static void
receive_append_reply (struct replicated_log *l, int64_t now, int from,
                      const struct peer_append_reply *a)
{
  struct log_member *member = &l->members[from];

  if (a->term > l->term)
    {
      become_follower (l, a->term, now);
      return;
    }
  if (l->role != LOG_LEADER || a->term != l->term)
    return;
  member->last_seen_ms = now;
  if (a->round > member->acked_round)
    member->acked_round = a->round;
  if (!a->accepted)
    {
      member->next_index = a->match_index + 1;
      send_append (l, from, now);
      return;
    }
  if (a->match_index > member->match_index)
    member->match_index = a->match_index;
  member->next_index = member->match_index + 1;
  advance_commit (l);
  if (member->next_index <= log_entries_last_index (&l->stored))
    send_append (l, from, now);
}

static void
receive_snapshot (struct replicated_log *l, int64_t now, int from,
                  const struct peer_snapshot *s)
{
  if (s->term < l->term)
    {
      reply_append (l, from, false, log_entries_last_index (&l->stored),
                    s->round);
      return;
    }
  accept_leader (l, now, from, s->term);
  if (l->failed)
    return;
  if (s->last_index > l->commit_index)
    {
      bool matches
          = log_entries_term_at (&l->stored, s->last_index) == s->last_term;

      if (!matches)
        log_entries_truncate (&l->stored, l->stored.base_index + 1);
      log_entries_set_snapshot (&l->stored, s->last_index, s->last_term,
                                s->data.data, s->data.length);
      l->commit_index = s->last_index;
      l->applied_index = s->last_index;
      l->output->load_snapshot (l->arg, s->last_index, l->stored.snapshot,
                                l->stored.snapshot_length);
      notify_stored_changed (l);
      if (!l->output->save_snapshot (l->store_arg, l))
        l->failed = true;
    }
  reply_append (l, from, true, s->last_index, s->round);
}

void
replicated_log_receive (struct replicated_log *l, int64_t now, int from,
                        const struct peer_message *m)
{
  if (l->failed)
    return;
  switch (m->type)
    {
    case PEER_VOTE:
      receive_vote (l, now, from, &m->u.vote);
      break;
    case PEER_VOTE_REPLY:
      receive_vote_reply (l, now, from, &m->u.vote_reply);
      break;
    case PEER_APPEND:
      receive_append (l, now, from, &m->u.append);
      break;
    case PEER_APPEND_REPLY:
      receive_append_reply (l, now, from, &m->u.append_reply);
      break;
    case PEER_SNAPSHOT:
      receive_snapshot (l, now, from, &m->u.snapshot);
      break;
    default:
      break;
    }
}

uint64_t
replicated_log_propose (struct replicated_log *l, int64_t now,
                        const char *data, uint32_t length)
{
  uint64_t index;

  if (l->failed || l->role != LOG_LEADER)
    return 0;
  if (!append_own (l, data, length))
    return 0;
  index = log_entries_last_index (&l->stored);
  broadcast_append (l, now);
  advance_commit (l);
  return index;
}

uint64_t
replicated_log_confirm (struct replicated_log *l, int64_t now)
{
  broadcast_append (l, now);
  return l->round;
}

bool
replicated_log_has_current_state (const struct replicated_log *l)
{
  return l->applied_index == l->commit_index
         && log_entries_term_at (&l->stored, l->commit_index) == l->term;
}

bool
replicated_log_is_confirmed (const struct replicated_log *l, uint64_t round)
{
  int n = 0;

  if (l->role != LOG_LEADER || !replicated_log_has_current_state (l))
    return false;
  for (int i = 0; i < l->member_count; i++)
    n += l->members[i].voter
         && (i == l->self || l->members[i].acked_round >= round);
  return n >= majority (l);
}

void
replicated_log_step_down (struct replicated_log *l, int64_t now)
{
  if (l->role != LOG_LEADER)
    return;
  l->leader = LOG_NO_MEMBER;
  change_role (l, LOG_FOLLOWER);
  reset_election (l, now + l->election_ms);
}

/* Whether a majority of the voters, this leader included, has answered within
   the election time-out.  A partitioned leader must step down.  */
static bool
is_quorum_active (const struct replicated_log *l, int64_t now)
{
  int n = 0;

  for (int i = 0; i < l->member_count; i++)
    n += l->members[i].voter
         && (i == l->self
             || now - l->members[i].last_seen_ms < l->election_ms);
  return n >= majority (l);
}

static void
tick_leader (struct replicated_log *l, int64_t now)
{
  if (!is_quorum_active (l, now))
    {
      replicated_log_step_down (l, now);
      return;
    }
  for (int i = 0; i < l->member_count; i++)
    if (replicates_to (l, i) && now - l->members[i].sent_ms >= l->heartbeat_ms)
      {
        l->round++;
        send_append (l, i, now);
      }
}

void
replicated_log_tick (struct replicated_log *l, int64_t now)
{
  l->last_tick_ms = now;
  if (l->failed)
    return;
  if (l->role == LOG_LEADER)
    tick_leader (l, now);
  else if (now >= l->election_at_ms && is_voter (l, l->self))
    become_pre_candidate (l, now);
}
