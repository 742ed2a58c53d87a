#include "coord/replicated_log.h"

#include <stdlib.h>
#include <string.h>

enum
{
  APPEND_BYTES_MAXIMUM = 1 << 20,
  COMPACT_ENTRIES_DEFAULT = 256
};

static void broadcast_append (struct replicated_log *l, int64_t now);
static void advance_commit (struct replicated_log *l);

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
  l->self = self;
  l->member_count = member_count;
  l->heartbeat_ms = heartbeat_ms;
  l->election_ms = election_ms;
  l->random = seed * 0x9E3779B97F4A7C15U + 1;
  l->output = output;
  l->arg = arg;
  l->voted_for = LOG_NO_MEMBER;
  l->leader = LOG_NO_MEMBER;
  l->compact_entries = COMPACT_ENTRIES_DEFAULT;
}

static void
drop_entries_from (struct replicated_log *l, uint64_t position)
{
  for (uint64_t i = position; i < l->entry_count; i++)
    free (l->entries[i].data);
  if (position < l->entry_count)
    l->entry_count = position;
}

void
replicated_log_done (struct replicated_log *l)
{
  drop_entries_from (l, 0);
  free (l->entries);
  free (l->snapshot);
}

uint64_t
replicated_log_last_index (const struct replicated_log *l)
{
  return l->base_index + l->entry_count;
}

uint64_t
replicated_log_term_at (const struct replicated_log *l, uint64_t index)
{
  if (index == l->base_index)
    return l->base_term;
  if (index < l->base_index || index > replicated_log_last_index (l))
    return 0;
  return l->entries[index - l->base_index - 1].term;
}

static void
add_entry (struct replicated_log *l, uint64_t term, const char *data,
           uint32_t length)
{
  struct log_entry *e;

  if (l->entry_count == l->entry_room)
    {
      l->entry_room = l->entry_room == 0 ? 64 : l->entry_room * 2;
      l->entries = realloc (l->entries, l->entry_room * sizeof *l->entries);
    }
  e = &l->entries[l->entry_count++];
  e->term = term;
  e->length = length;
  e->data = malloc (length + 1);
  if (length != 0)
    memcpy (e->data, data, length);
  e->data[length] = '\0';
}

void
replicated_log_restore_state (struct replicated_log *l, uint64_t term,
                              int voted_for)
{
  l->term = term;
  l->voted_for = voted_for;
}

static void
set_snapshot (struct replicated_log *l, uint64_t index, uint64_t term,
              char *data, uint32_t length)
{
  uint64_t covered = index - l->base_index;

  if (covered >= l->entry_count)
    drop_entries_from (l, 0);
  else
    {
      for (uint64_t i = 0; i < covered; i++)
        free (l->entries[i].data);
      l->entry_count -= covered;
      memmove (l->entries, l->entries + covered,
               l->entry_count * sizeof *l->entries);
    }
  free (l->snapshot);
  l->snapshot = data;
  l->snapshot_length = length;
  l->base_index = index;
  l->base_term = term;
}

static char *
copy_bytes (const char *data, uint32_t length)
{
  char *copy = malloc (length + 1);

  if (length != 0)
    memcpy (copy, data, length);
  copy[length] = '\0';
  return copy;
}

void
replicated_log_restore_snapshot (struct replicated_log *l, uint64_t index,
                                 uint64_t term, const char *data,
                                 uint32_t length)
{
  set_snapshot (l, index, term, copy_bytes (data, length), length);
  l->commit_index = index;
  l->applied_index = index;
  l->output->load_snapshot (l->arg, index, l->snapshot, length);
}

bool
replicated_log_restore_entry (struct replicated_log *l, uint64_t index,
                              uint64_t term, const char *data, uint32_t length)
{
  if (index != replicated_log_last_index (l) + 1)
    return false;
  add_entry (l, term, data, length);
  return true;
}

void
replicated_log_restore_truncate (struct replicated_log *l, uint64_t from_index)
{
  if (from_index > l->base_index)
    drop_entries_from (l, from_index - l->base_index - 1);
}

void
replicated_log_start (struct replicated_log *l, int64_t now)
{
  reset_election (l, now);
}

static void
change_role (struct replicated_log *l, enum log_role role)
{
  bool tell = (role == LOG_LEADER) != (l->role == LOG_LEADER);

  l->role = role;
  if (tell)
    l->output->role_changed (l->arg, role);
}

/* Goes over to TERM.  The vote of the old term ends with it.  */
static void
become_follower (struct replicated_log *l, uint64_t term, int64_t now)
{
  if (term > l->term)
    {
      l->term = term;
      l->voted_for = LOG_NO_MEMBER;
      l->leader = LOG_NO_MEMBER;
      if (!l->output->save_state (l->arg, l->term, l->voted_for))
        l->failed = true;
    }
  if (l->role == LOG_LEADER)
    l->leader = LOG_NO_MEMBER;
  change_role (l, LOG_FOLLOWER);
  reset_election (l, now);
}

static int
majority (const struct replicated_log *l)
{
  return l->member_count / 2 + 1;
}

static int
count_granted (const struct replicated_log *l)
{
  int n = 0;

  for (int i = 0; i < l->member_count; i++)
    n += l->members[i].granted;
  return n;
}

static void
ask_for_votes (struct replicated_log *l, bool pre_vote)
{
  uint64_t last = replicated_log_last_index (l);
  struct peer_message m = { .type = PEER_VOTE };

  for (int i = 0; i < l->member_count; i++)
    {
      l->members[i].granted = i == l->self;
      if (i == l->self)
        continue;
      m.u.vote
          = (struct peer_vote){ l->term + (pre_vote ? 1 : 0), last,
                                replicated_log_term_at (l, last), pre_vote };
      l->output->send (l->arg, i, &m);
    }
}

static bool
append_own (struct replicated_log *l, const char *data, uint32_t length)
{
  uint64_t index = replicated_log_last_index (l) + 1;

  add_entry (l, l->term, data, length);
  if (!l->output->save_entry (l->arg, index, &l->entries[l->entry_count - 1])
      || !l->output->sync (l->arg))
    {
      l->failed = true;
      return false;
    }
  l->members[l->self].match_index = index;
  return true;
}

/* An empty entry lets the entries of earlier terms commit.  */
static void
become_leader (struct replicated_log *l, int64_t now)
{
  l->leader = l->self;
  for (int i = 0; i < l->member_count; i++)
    {
      l->members[i].next_index = replicated_log_last_index (l) + 1;
      l->members[i].match_index = 0;
      l->members[i].heard_ms = now;
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
  if (!l->output->save_state (l->arg, l->term, l->voted_for))
    {
      l->failed = true;
      return;
    }
  ask_for_votes (l, false);
  if (count_granted (l) >= majority (l))
    become_leader (l, now);
}

static void
become_pre_candidate (struct replicated_log *l, int64_t now)
{
  change_role (l, LOG_PRE_CANDIDATE);
  l->leader = LOG_NO_MEMBER;
  reset_election (l, now);
  ask_for_votes (l, true);
  if (count_granted (l) >= majority (l))
    become_candidate (l, now);
}

static bool
is_up_to_date (const struct replicated_log *l, const struct peer_vote *v)
{
  uint64_t last = replicated_log_last_index (l);
  uint64_t last_term = replicated_log_term_at (l, last);

  return v->last_term > last_term
         || (v->last_term == last_term && v->last_index >= last);
}

/* Whether a leader was heard so lately that no election is due; a leader
   hears itself.  */
static bool
hears_leader (const struct replicated_log *l, int64_t now)
{
  return l->role == LOG_LEADER
         || (l->leader != LOG_NO_MEMBER
             && now - l->leader_heard_ms < l->election_ms);
}

static void
receive_vote (struct replicated_log *l, int64_t now, int from,
              const struct peer_vote *v)
{
  struct peer_message reply = { .type = PEER_VOTE_REPLY };
  bool granted;

  if (v->pre_vote)
    granted
        = v->term > l->term && is_up_to_date (l, v) && !hears_leader (l, now);
  else
    {
      if (v->term > l->term)
        become_follower (l, v->term, now);
      granted = v->term == l->term && is_up_to_date (l, v)
                && (l->voted_for == LOG_NO_MEMBER || l->voted_for == from);
      if (granted && l->voted_for == LOG_NO_MEMBER)
        {
          l->voted_for = from;
          if (!l->output->save_state (l->arg, l->term, l->voted_for))
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
                                         l->base_index,
                                         l->base_term,
                                         l->round,
                                         { l->snapshot, l->snapshot_length } };
  l->output->send (l->arg, to, &m);
}

static void
pack_entries (const struct replicated_log *l, uint64_t from,
              msgpack_sbuffer *buffer)
{
  msgpack_packer p;

  msgpack_packer_init (&p, buffer, msgpack_sbuffer_write);
  for (uint64_t i = from - l->base_index - 1;
       i < l->entry_count && buffer->size < APPEND_BYTES_MAXIMUM; i++)
    {
      const struct log_entry *e = &l->entries[i];

      msgpack_pack_uint64 (&p, e->term);
      msgpack_pack_bin (&p, e->length);
      msgpack_pack_bin_body (&p, e->data, e->length);
    }
}

static void
send_append (struct replicated_log *l, int to, int64_t now)
{
  struct log_member *member = &l->members[to];
  struct peer_message m = { .type = PEER_APPEND };
  msgpack_sbuffer packed;

  member->sent_ms = now;
  if (member->next_index <= l->base_index)
    {
      send_snapshot (l, to);
      return;
    }
  msgpack_sbuffer_init (&packed);
  pack_entries (l, member->next_index, &packed);
  m.u.append = (struct peer_append){
    l->term,
    member->next_index - 1,
    replicated_log_term_at (l, member->next_index - 1),
    l->commit_index,
    l->round,
    { packed.data == NULL ? "" : packed.data, (uint32_t)packed.size }
  };
  l->output->send (l->arg, to, &m);
  msgpack_sbuffer_destroy (&packed);
}

static void
broadcast_append (struct replicated_log *l, int64_t now)
{
  l->round++;
  for (int i = 0; i < l->member_count; i++)
    if (i != l->self)
      send_append (l, i, now);
}

static void
compact (struct replicated_log *l)
{
  uint32_t length;
  char *data;

  if (l->applied_index - l->base_index < l->compact_entries)
    return;
  data = l->output->take_snapshot (l->arg, &length);
  set_snapshot (l, l->applied_index,
                replicated_log_term_at (l, l->applied_index), data, length);
  if (!l->output->save_snapshot (l->arg, l))
    l->failed = true;
}

static void
apply_committed (struct replicated_log *l)
{
  while (l->applied_index < l->commit_index)
    {
      uint64_t index = ++l->applied_index;

      l->output->apply (l->arg, index, &l->entries[index - l->base_index - 1]);
    }
  compact (l);
}

static int
compare_indexes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* Commits what a majority has, but only through an entry of this term.  */
static void
advance_commit (struct replicated_log *l)
{
  uint64_t match[LOG_MEMBER_LIMIT];
  uint64_t index;

  for (int i = 0; i < l->member_count; i++)
    match[i] = l->members[i].match_index;
  qsort (match, (size_t)l->member_count, sizeof match[0], compare_indexes);
  index = match[majority (l) - 1];
  if (index <= l->commit_index || replicated_log_term_at (l, index) != l->term)
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

/* Takes entry INDEX of the leader: known already, or in conflict with ours
   and those after it, or new.  Returns false if storage failed.  */
static bool
take_entry (struct replicated_log *l, uint64_t index, uint64_t term,
            const char *data, uint32_t length)
{
  uint64_t known = replicated_log_term_at (l, index);

  if (index <= l->base_index || known == term)
    return true;
  if (known != 0)
    {
      if (!l->output->save_truncate (l->arg, index))
        return false;
      drop_entries_from (l, index - l->base_index - 1);
    }
  add_entry (l, term, data, length);
  return l->output->save_entry (l->arg, index,
                                &l->entries[l->entry_count - 1]);
}

/* Takes the packed ENTRIES after PREVIOUS.  Returns the last index taken, or
   0 if they are malformed or storage failed.  */
static uint64_t
take_entries (struct replicated_log *l, uint64_t previous,
              struct slice entries)
{
  uint64_t before = replicated_log_last_index (l);
  uint64_t index = previous;
  msgpack_unpacked term;
  msgpack_unpacked data;
  size_t offset = 0;
  bool good = peer_message_is_flat (entries.data, entries.length, 0);

  msgpack_unpacked_init (&term);
  msgpack_unpacked_init (&data);
  while (good && offset < entries.length)
    {
      good = msgpack_unpack_next (&term, entries.data, entries.length, &offset)
                 == MSGPACK_UNPACK_SUCCESS
             && term.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
             && msgpack_unpack_next (&data, entries.data, entries.length,
                                     &offset)
                    == MSGPACK_UNPACK_SUCCESS
             && data.data.type == MSGPACK_OBJECT_BIN;
      if (!good)
        break;
      index++;
      if (!take_entry (l, index, term.data.via.u64, data.data.via.bin.ptr,
                       data.data.via.bin.size))
        l->failed = true;
      good = !l->failed;
    }
  msgpack_unpacked_destroy (&term);
  msgpack_unpacked_destroy (&data);
  if (good && replicated_log_last_index (l) != before
      && !l->output->sync (l->arg))
    l->failed = true;
  return good && !l->failed ? index : 0;
}

static void
follow (struct replicated_log *l, int64_t now, int from, uint64_t term)
{
  become_follower (l, term, now);
  l->leader = from;
  l->leader_heard_ms = now;
}

static void
receive_append (struct replicated_log *l, int64_t now, int from,
                const struct peer_append *a)
{
  uint64_t last = replicated_log_last_index (l);
  uint64_t match;

  if (a->term < l->term)
    {
      reply_append (l, from, false, last, a->round);
      return;
    }
  follow (l, now, from, a->term);
  if (a->previous_index > last
      || (a->previous_index >= l->base_index
          && replicated_log_term_at (l, a->previous_index)
                 != a->previous_term))
    {
      uint64_t hint = a->previous_index > last ? last : a->previous_index - 1;

      reply_append (l, from, false,
                    hint < l->commit_index ? l->commit_index : hint, a->round);
      return;
    }
  match = a->entries.length == 0
              ? a->previous_index
              : take_entries (l, a->previous_index, a->entries);
  if (match == 0 && a->entries.length != 0)
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
  member->heard_ms = now;
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
  if (member->next_index <= replicated_log_last_index (l))
    send_append (l, from, now);
}

static void
receive_snapshot (struct replicated_log *l, int64_t now, int from,
                  const struct peer_snapshot *s)
{
  if (s->term < l->term)
    {
      reply_append (l, from, false, replicated_log_last_index (l), s->round);
      return;
    }
  follow (l, now, from, s->term);
  if (s->last_index > l->commit_index)
    {
      bool holds = replicated_log_term_at (l, s->last_index) == s->last_term;

      if (!holds)
        drop_entries_from (l, 0);
      set_snapshot (l, s->last_index, s->last_term,
                    copy_bytes (s->data.data, s->data.length), s->data.length);
      l->commit_index = s->last_index;
      l->applied_index = s->last_index;
      l->output->load_snapshot (l->arg, s->last_index, l->snapshot,
                                l->snapshot_length);
      if (!l->output->save_snapshot (l->arg, l))
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
  index = replicated_log_last_index (l);
  broadcast_append (l, now);
  advance_commit (l);
  return index;
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

/* Whether a majority, this leader included, was heard within the election
   time; a leader that is cut off must not go on as one.  */
static bool
hears_majority (const struct replicated_log *l, int64_t now)
{
  int n = 0;

  for (int i = 0; i < l->member_count; i++)
    n += i == l->self || now - l->members[i].heard_ms < l->election_ms;
  return n >= majority (l);
}

static void
tick_leader (struct replicated_log *l, int64_t now)
{
  if (!hears_majority (l, now))
    {
      replicated_log_step_down (l, now);
      return;
    }
  for (int i = 0; i < l->member_count; i++)
    if (i != l->self && now - l->members[i].sent_ms >= l->heartbeat_ms)
      {
        l->round++;
        send_append (l, i, now);
      }
}

void
replicated_log_tick (struct replicated_log *l, int64_t now)
{
  if (l->failed)
    return;
  if (l->role == LOG_LEADER)
    tick_leader (l, now);
  else if (now >= l->election_at_ms)
    become_pre_candidate (l, now);
}
