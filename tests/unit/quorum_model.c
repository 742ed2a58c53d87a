#include "tests/unit/quorum_model.h"

#include <stdlib.h>
#include <string.h>
#include "coord/quorum_plan.h"
#include "coord/replicated_log.h"
#include "tests/unit/suites.h"

enum
{
  NODES = 40, /* in all: a wiped or replaced keeper is a new node */
  SEED_NODES = 3,
  ENTRIES = 2000,
  PACKET_LIMIT = 4096,

  STEP_MS = 5,
  RUN_MS = 60000,
  RECOVER_MS = 15000,
  CATCH_UP_MS = 4000,
  SLOW_DEAD_MS = 10000,
  KEEPER_HEARTBEAT_MS = 250,
  LOG_HEARTBEAT_MS = 80,
  ELECTION_MS = 300,
  WRITE_MS = 150, /* mean time between writes; reads likewise */
  FAULT_MS = 900, /* mean time between attempted faults */
  FULL_MIN_MS = 500,
  FULL_MAX_MS = 5000,
  ROOM_MAX_MS = 2000, /* from one full disk to the next */
  REOPEN_MS = 400,    /* from a failed write to the next attempt */
  ACK_MS = 4000,      /* in which a write must be acknowledged */
  FIRST_ACK_MS = 8000,
  DELAY_MAX_MS = 6
};

enum command_kind
{
  COMMAND_NONE,
  COMMAND_VOTERS,
  COMMAND_WRITE
};

struct command
{
  enum command_kind kind;
  uint64_t value; /* the voters' bits, or the write's number */
};

struct stored
{
  uint64_t term;
  uint32_t length;
  struct command command;
};

struct model;

/* A keeper with one disk, at an address.  A keeper whose disk was wiped is
   another node at the same address.  */
struct node
{
  struct model *model;
  int self;
  uint32_t address;
  bool used;
  bool up;
  bool removed;          /* never starts again */
  int64_t start_ms;      /* when a node that is down starts */
  int64_t thaw_ms;       /* frozen until then */
  int64_t lost_until_ms; /* counts as lost until then */
  bool disk_full;
  int64_t failed_ms; /* when a write to the disk failed; 0: none did */

  struct replicated_log log;
  uint64_t term;
  int voted_for;
  struct stored disk[ENTRIES];
  uint64_t written;
  uint64_t synced;

  uint64_t voters;       /* bits, as of the newest stored change */
  uint64_t applied;      /* the highest write that was applied */
  uint64_t change_index; /* of the change of voters proposed last */
  int64_t last_seen_ms[NODES];
  int64_t receiving_since_ms;
  int64_t heartbeat_sent_ms;

  uint64_t read_round; /* 0: no read under way */
  uint64_t read_floor; /* the highest write acknowledged before it */
};

/* A message in flight.  */
struct packet
{
  int from;
  int to;
  int64_t at_ms;
  bool is_heartbeat;
  struct peer_message m;
  char *bytes;
};

struct model
{
  struct node nodes[NODES];
  int count;
  uint32_t addresses;
  uint32_t lost; /* how many may be lost at once */
  enum quorum_defect defect;
  struct quorum_goal goal;
  struct prng prng;
  int64_t now;
  struct packet packets[PACKET_LIMIT];
  uint32_t packet_count;
  bool cut[NODES][NODES]; /* by addresses, from and to */
  int64_t cut_until_ms;
  uint64_t next_write;
  uint64_t acknowledged;
  int64_t acknowledged_ms;
  bool fills_disks;  /* the only faults are disks that are full in turn */
  bool refuses_open; /* no log can be opened on a full disk */
  int64_t disk_ms;   /* when the next disk is full or has room again */
  uint64_t applied_terms[ENTRIES];
  uint64_t applied_values[ENTRIES];
  int leaders[ENTRIES]; /* by term: the node plus 1, 0 if unknown */
  struct quorum_run run;
};

static void
report_violation (struct model *m, const char *what)
{
  if (m->run.violation == NULL)
    m->run.violation = what;
}

/* Whether the disk of N can be written.  A failed write loses what was not
   synced, and is the last one until the log is opened again.  */
static bool
can_write (struct node *n)
{
  if (n->disk_full && n->failed_ms == 0)
    {
      n->failed_ms = n->model->now;
      n->written = n->synced;
    }
  return n->failed_ms == 0;
}

static bool
save_state (void *arg, uint64_t term, int voted_for)
{
  struct node *n = arg;

  if (!can_write (n))
    return false;
  if (n->model->defect == QUORUM_VOTE_NOT_SAVED)
    return true;
  n->term = term;
  n->voted_for = voted_for;
  return true;
}

static bool
save_entry (void *arg, uint64_t index, const struct log_entry *e)
{
  struct node *n = arg;
  struct stored *s = &n->disk[index];

  if (!can_write (n))
    return false;
  s->term = e->term;
  s->length = e->length;
  if (e->length != 0)
    memcpy (&s->command, e->data, sizeof s->command);
  n->written = index;
  return index + 1 < ENTRIES;
}

static bool
save_truncate (void *arg, uint64_t from)
{
  struct node *n = arg;

  if (!can_write (n))
    return false;
  n->written = from - 1;
  if (n->synced > n->written)
    n->synced = n->written;
  return true;
}

static bool
sync_disk (void *arg)
{
  struct node *n = arg;

  if (!can_write (n))
    return false;
  if (n->model->defect != QUORUM_NO_SYNC)
    n->synced = n->written;
  return true;
}

static bool
save_snapshot (void *arg, const struct replicated_log *l)
{
  (void)arg;
  (void)l;
  return true;
}

static bool
is_cut (const struct model *m, int from, int to)
{
  return m->cut[m->nodes[from].address][m->nodes[to].address];
}

static struct packet *
queue_packet (struct model *m, int from, int to)
{
  struct packet *packet;

  if (m->packet_count == PACKET_LIMIT || is_cut (m, from, to))
    return NULL;
  packet = &m->packets[m->packet_count++];
  *packet = (struct packet){ .from = from,
                             .to = to,
                             .at_ms = m->now + 1
                                      + prng_next (&m->prng, DELAY_MAX_MS) };
  return packet;
}

static void
send_message (void *arg, int to, struct peer_message *m)
{
  struct node *n = arg;
  struct packet *packet = queue_packet (n->model, n->self, to);
  struct slice *s;

  if (packet == NULL)
    return;
  packet->m = *m;
  if (m->type != PEER_APPEND)
    return;
  s = &packet->m.u.append.entries;
  packet->bytes = malloc (s->length + 1);
  memcpy (packet->bytes, s->data, s->length);
  s->data = packet->bytes;
}

/* A leader acknowledges a write to its client when it applies it.  */
static void
apply (void *arg, uint64_t index, const struct log_entry *e)
{
  struct node *n = arg;
  struct model *m = n->model;
  struct command c = { COMMAND_NONE, 0 };

  if (e->length != 0)
    memcpy (&c, e->data, sizeof c);
  if (m->applied_terms[index] == 0)
    {
      m->applied_terms[index] = e->term;
      m->applied_values[index] = c.value;
    }
  if (m->applied_terms[index] != e->term
      || m->applied_values[index] != c.value)
    report_violation (m, "two keepers applied different entries at one index");
  if (c.kind != COMMAND_WRITE)
    return;
  if (c.value > n->applied)
    n->applied = c.value;
  if (n->log.role == LOG_LEADER && c.value > m->acknowledged)
    {
      m->acknowledged = c.value;
      m->acknowledged_ms = m->now;
      m->run.writes++;
    }
}

static char *
take_snapshot (void *arg, uint32_t *length)
{
  (void)arg;
  *length = 0;
  return calloc (1, 1);
}

static void
load_snapshot (void *arg, uint64_t index, const char *data, uint32_t length)
{
  (void)arg;
  (void)index;
  (void)data;
  (void)length;
}

static void
role_changed (void *arg, enum log_role role)
{
  struct node *n = arg;
  struct model *m = n->model;

  n->change_index = 0;
  n->read_round = 0;
  if (role != LOG_LEADER || n->log.term >= ENTRIES)
    return;
  if (m->leaders[n->log.term] != 0 && m->leaders[n->log.term] != n->self + 1)
    report_violation (m, "two leaders in one term");
  m->leaders[n->log.term] = n->self + 1;
}

static uint64_t
bit (int node)
{
  return (uint64_t)1 << node;
}

static void
set_voters (struct node *n, uint64_t voters)
{
  n->voters = voters;
  for (int i = 0; i < NODES; i++)
    replicated_log_set_voter (&n->log, i, (voters & bit (i)) != 0);
}

/* The newest stored change of voters is in force, committed or not.  */
static void
stored_changed (void *arg, struct replicated_log *l)
{
  struct node *n = arg;

  for (uint64_t i = log_entries_last_index (&l->stored); i > 0; i--)
    {
      const struct log_entry *e = log_entries_at (&l->stored, i);
      struct command c = { COMMAND_NONE, 0 };

      if (e->length != 0)
        memcpy (&c, e->data, sizeof c);
      if (c.kind != COMMAND_VOTERS)
        continue;
      set_voters (n, c.value);
      return;
    }
  set_voters (n, 0);
}

static const struct replicated_log_output output
    = { save_state,    save_entry,   save_truncate, sync_disk,
        save_snapshot, send_message, apply,         take_snapshot,
        load_snapshot, role_changed, stored_changed };

static void
open_log (struct node *n)
{
  struct model *m = n->model;

  n->failed_ms = 0;
  n->applied = 0;
  n->change_index = 0;
  n->read_round = 0;
  replicated_log_init (&n->log, n->self, NODES, LOG_HEARTBEAT_MS, ELECTION_MS,
                       prng_next (&m->prng, 1000000) + 1U, &output, n);
  n->log.compact_entries = ENTRIES;
  replicated_log_restore_state (&n->log, n->term, n->voted_for);
  for (uint64_t i = 1; i <= n->written; i++)
    replicated_log_restore_entry (&n->log, i, n->disk[i].term,
                                  (const char *)&n->disk[i].command,
                                  n->disk[i].length);
  stored_changed (n, &n->log);
  replicated_log_start (&n->log, m->now);
}

static void
boot (struct node *n)
{
  n->up = true;
  n->heartbeat_sent_ms = 0;
  n->receiving_since_ms = n->model->now;
  memset (n->last_seen_ms, 0, sizeof n->last_seen_ms);
  open_log (n);
  if (n->disk_full && n->model->refuses_open)
    n->failed_ms = n->model->now;
}

/* A keeper whose write failed opens its log again after a while.  */
static void
reopen (struct node *n)
{
  if (n->failed_ms == 0 || n->model->now - n->failed_ms < REOPEN_MS
      || n->model->defect == QUORUM_NOT_REOPENED
      || (n->disk_full && n->model->refuses_open))
    return;
  replicated_log_done (&n->log);
  open_log (n);
}

static void
stop (struct node *n)
{
  if (n->up)
    replicated_log_done (&n->log);
  n->up = false;
}

static struct node *
add_node (struct model *m, uint32_t address, int64_t start_ms)
{
  struct node *n = &m->nodes[m->count];

  n->model = m;
  n->self = m->count++;
  n->address = address;
  n->used = true;
  n->voted_for = LOG_NO_MEMBER;
  n->start_ms = start_ms;
  return n;
}

static bool
is_running (const struct model *m, const struct node *n)
{
  return n->up && m->now >= n->thaw_ms;
}

/* A node counts as lost until CATCH_UP_MS after BACK_MS, when it is back.  */
static void
mark_lost_until (struct node *n, int64_t back_ms)
{
  if (back_ms + CATCH_UP_MS > n->lost_until_ms)
    n->lost_until_ms = back_ms + CATCH_UP_MS;
}

static uint32_t
count_lost (const struct model *m)
{
  uint32_t lost = 0;

  for (int i = 0; i < m->count; i++)
    lost += m->nodes[i].lost_until_ms > m->now;
  return lost;
}

/* A power loss retains a random prefix of the entries that were not synced. */
static void
lose_power (struct node *n)
{
  uint64_t unsynced = n->written - n->synced;

  stop (n);
  n->written = n->synced + prng_next (&n->model->prng, (uint32_t)unsynced + 1);
}

static void
wipe_disk (struct model *m, struct node *n)
{
  int64_t back = m->now + 300 + prng_next (&m->prng, 3000);

  stop (n);
  mark_lost_until (n, back);
  if (m->defect == QUORUM_WIPED_KEEPS_ID)
    {
      n->written = 0;
      n->synced = 0;
      n->term = 0;
      n->voted_for = LOG_NO_MEMBER;
      n->start_ms = back;
      return;
    }
  n->removed = true;
  add_node (m, n->address, back);
}

/* Stops N for good; a successor with an empty disk starts at another
   address.  */
static void
replace_node (struct model *m, struct node *n)
{
  int64_t start = m->now + 500 + prng_next (&m->prng, 1500);

  stop (n);
  n->removed = true;
  mark_lost_until (n, start);
  add_node (m, m->addresses++, start);
}

static void
isolate (struct model *m, uint32_t address, bool one_way)
{
  for (uint32_t other = 0; other < m->addresses; other++)
    {
      m->cut[address][other] = other != address;
      m->cut[other][address] |= !one_way && other != address;
    }
}

static void
partition (struct model *m)
{
  bool side[NODES];

  for (uint32_t i = 0; i < m->addresses; i++)
    side[i] = prng_next (&m->prng, 2) != 0;
  for (uint32_t a = 0; a < m->addresses; a++)
    for (uint32_t b = 0; b < m->addresses; b++)
      m->cut[a][b] = side[a] != side[b];
  m->cut_until_ms = m->now + 1000 + prng_next (&m->prng, 4000);
}

static void
kill_all (struct model *m, bool power)
{
  for (int i = 0; i < m->count; i++)
    if (m->nodes[i].up)
      {
        if (power)
          lose_power (&m->nodes[i]);
        else
          stop (&m->nodes[i]);
        m->nodes[i].start_ms = m->now + prng_next (&m->prng, 900);
        mark_lost_until (&m->nodes[i], m->nodes[i].start_ms);
      }
}

/* Selects a running node that does not count as lost, in a third of the cases
   preferably the leader.  Returns NULL if there is none.  */
static struct node *
choose_victim (struct model *m)
{
  int first = (int)prng_next (&m->prng, (uint32_t)m->count);

  if (prng_next (&m->prng, 3) == 0)
    for (int i = 0; i < m->count; i++)
      if (m->nodes[i].up && m->nodes[i].log.role == LOG_LEADER)
        first = i;
  for (int i = 0; i < m->count; i++)
    {
      struct node *n = &m->nodes[(first + i) % m->count];

      if (n->up && n->lost_until_ms <= m->now)
        return n;
    }
  return NULL;
}

static void
fail_node (struct model *m, struct node *n)
{
  int64_t back = m->now + 200 + prng_next (&m->prng, 6000);
  bool has_free_node = m->count + 1 < NODES;

  m->run.faults++;
  switch (prng_next (&m->prng, 6))
    {
    case 0:
      stop (n);
      n->start_ms = back;
      break;
    case 1:
      lose_power (n);
      n->start_ms = back;
      break;
    case 2:
      if (has_free_node)
        wipe_disk (m, n);
      return;
    case 3:
      if (has_free_node && m->addresses < NODES)
        replace_node (m, n);
      return;
    case 4:
      n->thaw_ms = back;
      break;
    default:
      if (m->cut_until_ms > m->now)
        return;
      isolate (m, n->address, prng_next (&m->prng, 3) == 0);
      m->cut_until_ms = back;
      break;
    }
  mark_lost_until (n, back);
}

static void
inject_faults (struct model *m)
{
  struct node *n;

  if (prng_next (&m->prng, FAULT_MS / STEP_MS) != 0)
    return;
  if (count_lost (m) == 0 && m->cut_until_ms <= m->now
      && prng_next (&m->prng, 6) == 0)
    {
      m->run.faults++;
      if (prng_next (&m->prng, 2) == 0)
        partition (m);
      else
        kill_all (m, prng_next (&m->prng, 2) == 0);
      return;
    }
  n = choose_victim (m);
  if (n != NULL && count_lost (m) < m->lost)
    fail_node (m, n);
}

/* Fills the disk of a running node, in half of the cases that of the leader,
   or ends that.  In some cases the node is killed while its disk is full.  */
static void
fill_disks (struct model *m)
{
  struct node *n;
  uint32_t first = prng_next (&m->prng, (uint32_t)m->count);
  bool leader = prng_next (&m->prng, 2) == 0;

  if (m->now < m->disk_ms)
    return;
  for (int i = 0; i < m->count; i++)
    if (m->nodes[i].disk_full)
      {
        m->nodes[i].disk_full = false;
        m->disk_ms = m->now + prng_next (&m->prng, ROOM_MAX_MS);
        return;
      }
  n = &m->nodes[first];
  for (int i = 0; i < m->count && leader; i++)
    if (m->nodes[i].up && m->nodes[i].log.role == LOG_LEADER)
      n = &m->nodes[i];
  n->disk_full = true;
  m->run.faults++;
  m->disk_ms
      = m->now + FULL_MIN_MS + prng_next (&m->prng, FULL_MAX_MS - FULL_MIN_MS);
  if (prng_next (&m->prng, 4) != 0)
    return;
  stop (n);
  n->start_ms = m->now + prng_next (&m->prng, FULL_MIN_MS);
}

static void
heal (struct model *m)
{
  if (m->cut_until_ms != 0 && m->cut_until_ms <= m->now)
    {
      memset (m->cut, 0, sizeof m->cut);
      m->cut_until_ms = 0;
    }
  for (int i = 0; i < m->count; i++)
    {
      struct node *n = &m->nodes[i];

      if (!n->up && !n->removed && n->start_ms <= m->now)
        boot (n);
      if (n->up && n->thaw_ms != 0 && n->thaw_ms <= m->now)
        {
          n->thaw_ms = 0;
          n->receiving_since_ms = m->now;
        }
    }
}

static void
deliver (struct model *m)
{
  for (uint32_t i = 0; i < m->packet_count; i++)
    {
      struct packet packet = m->packets[i];
      struct node *to = &m->nodes[packet.to];

      /* A frozen node reads what was sent to it once it runs again.  */
      if (packet.at_ms > m->now || (to->up && !is_running (m, to)))
        continue;
      m->packets[i--] = m->packets[--m->packet_count];
      if (to->up && !is_cut (m, packet.from, packet.to))
        {
          if (packet.is_heartbeat)
            to->last_seen_ms[packet.from] = m->now;
          else if (to->failed_ms == 0)
            replicated_log_receive (&to->log, m->now, packet.from, &packet.m);
        }
      free (packet.bytes);
    }
}

static void
send_heartbeats (struct model *m, struct node *n)
{
  if (m->now - n->heartbeat_sent_ms < KEEPER_HEARTBEAT_MS)
    return;
  n->heartbeat_sent_ms = m->now;
  n->last_seen_ms[n->self] = m->now;
  for (int i = 0; i < m->count; i++)
    if (i != n->self && m->nodes[i].up)
      {
        struct packet *packet = queue_packet (m, n->self, i);

        if (packet != NULL)
          packet->is_heartbeat = true;
      }
}

static uint64_t
propose (struct model *m, struct node *n, enum command_kind kind,
         uint64_t value)
{
  struct command c;

  memset (&c, 0, sizeof c);
  c.kind = kind;
  c.value = value;
  return replicated_log_propose (&n->log, m->now, (char *)&c, sizeof c);
}

static bool
has_committed_in_term (const struct node *n)
{
  return log_entries_term_at (&n->log.stored, n->log.commit_index)
         == n->log.term;
}

static void
fill_members (const struct model *m, const struct node *n,
              struct quorum_member *members)
{
  memset (members, 0, (size_t)m->count * sizeof *members);
  for (int i = 0; i < m->count; i++)
    {
      members[i].address[0] = (char)('A' + m->nodes[i].address);
      members[i].domain[0] = (char)('a' + m->nodes[i].address % 4);
      members[i].disk_id = (uint64_t)i + 1;
      members[i].voter = (n->voters & bit (i)) != 0;
      members[i].last_seen_ms = n->last_seen_ms[i];
    }
}

static void
change_quorum (struct model *m, struct node *n)
{
  struct quorum_member members[NODES];
  struct quorum_change c;
  uint64_t voters = n->voters;

  if (n->change_index > n->log.commit_index || !has_committed_in_term (n))
    return;
  n->last_seen_ms[n->self] = m->now;
  fill_members (m, n, members);
  c = quorum_plan_decide (members, (uint32_t)m->count, (uint32_t)n->self,
                          &m->goal, n->receiving_since_ms, m->now);
  replicated_log_set_learner (&n->log, c.kind == QUORUM_ADD ? (int)c.in
                                                            : LOG_NO_MEMBER);
  if (c.kind == QUORUM_UNCHANGED
      || (c.kind == QUORUM_ADD && !replicated_log_is_caught_up (&n->log)))
    return;
  if (c.kind != QUORUM_REMOVE)
    voters |= bit ((int)c.in);
  if (c.kind != QUORUM_ADD)
    voters &= ~bit ((int)c.out);
  m->run.changes++;
  n->change_index = propose (m, n, COMMAND_VOTERS, voters);
}

static void
read_and_write (struct model *m, struct node *n)
{
  if (n->read_round != 0
      && (m->defect == QUORUM_UNCONFIRMED_READ
          || replicated_log_is_confirmed (&n->log, n->read_round)))
    {
      if (n->applied < n->read_floor)
        report_violation (m, "a read misses an acknowledged write");
      n->read_round = 0;
      m->run.reads++;
    }
  if (prng_next (&m->prng, WRITE_MS / STEP_MS) == 0)
    propose (m, n, COMMAND_WRITE, ++m->next_write);
  else if (n->read_round == 0 && prng_next (&m->prng, WRITE_MS / STEP_MS) == 0)
    {
      n->read_floor = m->acknowledged;
      n->read_round = replicated_log_confirm (&n->log, m->now);
    }
}

static void
step (struct model *m, bool faults)
{
  m->now += STEP_MS;
  m->run.steps++;
  if (faults && m->fills_disks)
    fill_disks (m);
  else if (faults)
    inject_faults (m);
  heal (m);
  deliver (m);
  for (int i = 0; i < m->count; i++)
    {
      struct node *n = &m->nodes[i];

      if (!is_running (m, n))
        continue;
      reopen (n);
      if (n->failed_ms != 0)
        continue;
      replicated_log_tick (&n->log, m->now);
      send_heartbeats (m, n);
      if (n->log.role != LOG_LEADER)
        continue;
      change_quorum (m, n);
      read_and_write (m, n);
    }
  if (m->fills_disks && m->now - m->acknowledged_ms > ACK_MS
      && m->now > FIRST_ACK_MS)
    report_violation (m, "writes are refused although one disk is full");
}

static void
bootstrap (struct model *m, uint32_t keepers)
{
  struct command c;

  memset (&c, 0, sizeof c);
  c.kind = COMMAND_VOTERS;
  c.value = bit (SEED_NODES) - 1;
  m->addresses = keepers;
  for (uint32_t i = 0; i < keepers; i++)
    {
      struct node *n = add_node (m, i, 0);

      if (i >= SEED_NODES)
        continue;
      n->term = 1;
      n->disk[1] = (struct stored){ 1, sizeof c, c };
      n->written = 1;
      n->synced = 1;
    }
}

/* Ends all faults.  After that a write must be acknowledged, and a leader must
   have all writes that were acknowledged before.  */
static void
check_recovery (struct model *m)
{
  int64_t end = m->now + RECOVER_MS;
  uint64_t before = m->acknowledged;
  bool retained = false;

  for (int i = 0; i < m->count; i++)
    {
      if (!m->nodes[i].up && m->nodes[i].start_ms > m->now)
        m->nodes[i].start_ms = m->now;
      if (m->nodes[i].thaw_ms > m->now)
        m->nodes[i].thaw_ms = m->now;
    }
  if (m->cut_until_ms != 0)
    m->cut_until_ms = m->now;
  for (int i = 0; i < m->count; i++)
    m->nodes[i].disk_full = false;
  while (m->now < end && m->run.violation == NULL)
    step (m, false);
  if (m->acknowledged == before)
    report_violation (m,
                      "no write was acknowledged after all faults had ended");
  for (int i = 0; i < m->count; i++)
    retained |= m->nodes[i].up && m->nodes[i].log.role == LOG_LEADER
                && m->nodes[i].applied >= before;
  if (!retained)
    report_violation (m, "an acknowledged write is lost");
}

static struct quorum_run
run_model (uint64_t seed, uint32_t keepers, uint32_t lost,
           enum quorum_defect defect, bool fills_disks)
{
  struct model *m = calloc (1, sizeof *m);
  struct quorum_run run;

  m->lost = lost;
  m->defect = defect;
  m->fills_disks = fills_disks;
  m->refuses_open = seed % 2 == 0;
  m->goal = quorum_plan_goal (lost, CATCH_UP_MS);
  if (defect == QUORUM_SLOW_REPLACE)
    m->goal.dead_ms = SLOW_DEAD_MS;
  prng_init (&m->prng, seed);
  bootstrap (m, keepers);
  while (m->now < RUN_MS && m->run.violation == NULL)
    step (m, m->now > CATCH_UP_MS);
  if (m->run.violation == NULL)
    check_recovery (m);
  run = m->run;
  for (int i = 0; i < m->count; i++)
    stop (&m->nodes[i]);
  for (uint32_t i = 0; i < m->packet_count; i++)
    free (m->packets[i].bytes);
  free (m);
  return run;
}

struct quorum_run
quorum_model_run (uint64_t seed, uint32_t keepers, uint32_t lost,
                  enum quorum_defect defect)
{
  return run_model (seed, keepers, lost, defect, false);
}

struct quorum_run
quorum_model_run_full_disks (uint64_t seed, uint32_t keepers, uint32_t lost,
                             enum quorum_defect defect)
{
  return run_model (seed, keepers, lost, defect, true);
}
