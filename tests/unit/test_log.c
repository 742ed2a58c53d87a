/* The replicated log under random loss, delay, cuts, crashes and compaction.
   Invariants after every step: one leader a term, one vote a term and member,
   and applied commands are a prefix of one sequence everywhere.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/replicated_log.h"
#include "tests/unit/suites.h"

enum
{
  MEMBERS = 5,
  COMMANDS = 4000,
  MAILS = 4000,
  STEPS = 6000,
  ELECTION_MS = 100,
  HEARTBEAT_MS = 30,
  STEP_DOWN_MS = 2 * ELECTION_MS,
  SETTLE_MS = 10 * ELECTION_MS,
  APART_MS = 7 * ELECTION_MS
};

/* What a member has on its disk, and its state machine.  */
struct member
{
  struct cluster *cluster;
  int self;
  bool up;
  struct replicated_log log;

  uint64_t term;
  int voted_for;
  struct log_entry disk[COMMANDS];
  uint64_t disk_base;
  uint64_t disk_base_term;
  uint64_t disk_last;

  uint64_t applied[COMMANDS]; /* command numbers, in order */
  uint64_t applied_count;
  uint64_t snapshot_applied; /* those that the snapshot on disk covers */
};

struct mail
{
  int from;
  int to;
  int64_t at_ms;
  struct peer_message m;
  char *bytes;
};

struct cluster
{
  struct member members[MEMBERS];
  int count;
  struct mail mails[MAILS];
  uint32_t mail_count;
  struct sequence q;
  int64_t now;
  uint64_t sequence[COMMANDS]; /* the one true order */
  uint64_t sequence_count;
  int leader_of[COMMANDS]; /* by term */
  bool cut[MEMBERS][MEMBERS];
  bool lossless; /* and quick, as links are as a rule */
  const char *broken;
};

static struct cluster *world;

static bool
save_state (void *arg, uint64_t term, int voted_for)
{
  struct member *m = arg;

  if (term == m->term && m->voted_for != LOG_NO_MEMBER
      && voted_for != m->voted_for)
    m->cluster->broken = "a member voted twice in a term";
  m->term = term;
  m->voted_for = voted_for;
  return true;
}

static bool
save_entry (void *arg, uint64_t index, const struct log_entry *e)
{
  struct member *m = arg;
  struct log_entry *d = &m->disk[index];

  free (d->data);
  d->term = e->term;
  d->length = e->length;
  d->data = malloc (e->length + 1);
  memcpy (d->data, e->data, e->length);
  m->disk_last = index;
  return true;
}

static bool
save_truncate (void *arg, uint64_t from)
{
  struct member *m = arg;

  m->disk_last = from - 1;
  return true;
}

static bool
sync_disk (void *arg)
{
  (void)arg;
  return true;
}

static bool
save_snapshot (void *arg, const struct replicated_log *l)
{
  struct member *m = arg;

  m->disk_base = l->stored.base_index;
  m->disk_base_term = l->stored.base_term;
  memcpy (&m->snapshot_applied, l->stored.snapshot,
          sizeof m->snapshot_applied);
  if (m->disk_last < l->stored.base_index)
    m->disk_last = l->stored.base_index;
  if (log_entries_last_index (&l->stored) < m->disk_last)
    m->disk_last = log_entries_last_index (&l->stored);
  return true;
}

static void
own_slice (struct slice *s, char **bytes)
{
  *bytes = malloc (s->length + 1);
  memcpy (*bytes, s->data, s->length);
  s->data = *bytes;
}

static void
send_mail (void *arg, int to, struct peer_message *m)
{
  struct member *from = arg;
  struct cluster *c = from->cluster;
  struct mail *mail;

  if (c->cut[from->self][to] || c->mail_count == MAILS
      || (!c->lossless && sequence_next (&c->q, 20) == 0))
    return;
  mail = &c->mails[c->mail_count++];
  *mail
      = (struct mail){ .from = from->self,
                       .to = to,
                       .at_ms = c->now + 1
                                + sequence_next (&c->q, c->lossless ? 3 : 15),
                       .m = *m };
  if (m->type == PEER_APPEND)
    own_slice (&mail->m.u.append.entries, &mail->bytes);
  if (m->type == PEER_SNAPSHOT)
    own_slice (&mail->m.u.snapshot.data, &mail->bytes);
}

static void
check_sequence (struct cluster *c, uint64_t position, uint64_t command)
{
  if (position < c->sequence_count && c->sequence[position] != command)
    c->broken = "two members applied other commands at one place";
  if (position == c->sequence_count)
    c->sequence[c->sequence_count++] = command;
}

static void
apply (void *arg, uint64_t index, const struct log_entry *e)
{
  struct member *m = arg;
  uint64_t command;

  (void)index;
  if (e->length == 0)
    return;
  memcpy (&command, e->data, sizeof command);
  check_sequence (m->cluster, m->applied_count, command);
  m->applied[m->applied_count++] = command;
}

static char *
take_snapshot (void *arg, uint32_t *length)
{
  struct member *m = arg;
  const size_t size = sizeof m->applied_count;
  char *data = malloc (size);

  memcpy (data, &m->applied_count, size);
  *length = (uint32_t)size;
  return data;
}

/* The snapshot stands for the first commands of the one sequence.  */
static void
load_snapshot (void *arg, uint64_t index, const char *data, uint32_t length)
{
  struct member *m = arg;

  (void)index;
  (void)length;
  memcpy (&m->applied_count, data, sizeof m->applied_count);
  memcpy (m->applied, m->cluster->sequence,
          m->applied_count * sizeof m->applied[0]);
}

static void
role_changed (void *arg, enum log_role role)
{
  struct member *m = arg;
  struct cluster *c = m->cluster;
  uint64_t term = m->log.term;

  if (role != LOG_LEADER || term >= COMMANDS)
    return;
  if (c->leader_of[term] != 0 && c->leader_of[term] != m->self + 1)
    c->broken = "two leaders in one term";
  c->leader_of[term] = m->self + 1;
}

static const struct replicated_log_output output
    = { save_state,    save_entry,   save_truncate, sync_disk,
        save_snapshot, send_mail,    apply,         take_snapshot,
        load_snapshot, role_changed, NULL };

static void
boot (struct member *m)
{
  struct cluster *c = m->cluster;

  m->up = true;
  m->applied_count = 0;
  replicated_log_init (&m->log, m->self, c->count, HEARTBEAT_MS, ELECTION_MS,
                       sequence_next (&c->q, 1000000) + 1U, &output, m);
  m->log.compact_entries = 20;
  if (m->disk_base != 0)
    replicated_log_restore_snapshot (&m->log, m->disk_base, m->disk_base_term,
                                     (char *)&m->snapshot_applied,
                                     sizeof m->snapshot_applied);
  replicated_log_restore_state (&m->log, m->term, m->voted_for);
  for (uint64_t i = m->disk_base + 1; i <= m->disk_last; i++)
    replicated_log_restore_entry (&m->log, i, m->disk[i].term, m->disk[i].data,
                                  m->disk[i].length);
  replicated_log_start (&m->log, c->now);
}

static void
crash (struct member *m)
{
  m->up = false;
  replicated_log_done (&m->log);
}

static void
deliver (struct cluster *c)
{
  for (uint32_t i = 0; i < c->mail_count; i++)
    {
      struct mail mail = c->mails[i];

      if (mail.at_ms > c->now)
        continue;
      c->mails[i--] = c->mails[--c->mail_count];
      if (c->members[mail.to].up && !c->cut[mail.from][mail.to])
        replicated_log_receive (&c->members[mail.to].log, c->now, mail.from,
                                &mail.m);
      free (mail.bytes);
    }
}

static void
disturb (struct cluster *c)
{
  int a = (int)sequence_next (&c->q, (uint32_t)c->count);
  int b = (int)sequence_next (&c->q, (uint32_t)c->count);

  switch (sequence_next (&c->q, 120))
    {
    case 0:
      if (c->members[a].up)
        crash (&c->members[a]);
      break;
    case 1:
    case 2:
      if (!c->members[a].up)
        boot (&c->members[a]);
      break;
    case 3:
      c->cut[a][b] = true;
      break;
    case 4:
      memset (c->cut, 0, sizeof c->cut);
      break;
    default:
      break;
    }
}

static void
step (struct cluster *c, uint64_t *command)
{
  c->now += 1 + sequence_next (&c->q, 5);
  deliver (c);
  for (int i = 0; i < c->count; i++)
    {
      struct member *m = &c->members[i];

      if (!m->up)
        continue;
      replicated_log_tick (&m->log, c->now);
      if (*command < COMMANDS / 4 && sequence_next (&c->q, 30) == 0
          && replicated_log_propose (&m->log, c->now, (char *)command,
                                     sizeof *command)
                 != 0)
        ++*command;
    }
}

/* Everything healed and up: all must come to the same sequence.  */
static bool
settle (struct cluster *c)
{
  uint64_t none = COMMANDS;

  memset (c->cut, 0, sizeof c->cut);
  for (int i = 0; i < c->count; i++)
    if (!c->members[i].up)
      boot (&c->members[i]);
  for (int i = 0; i < 3000; i++)
    {
      bool same = true;

      step (c, &none);
      for (int j = 0; j < c->count; j++)
        same = same
               && c->members[j].applied_count == c->members[0].applied_count
               && c->members[j].log.applied_index
                      == log_entries_last_index (&c->members[j].log.stored);
      if (same && i > 500)
        return c->members[0].applied_count == c->sequence_count;
    }
  return false;
}

static void
free_world (void)
{
  for (int i = 0; i < world->count; i++)
    {
      if (world->members[i].up)
        replicated_log_done (&world->members[i].log);
      for (int j = 0; j < COMMANDS; j++)
        free (world->members[i].disk[j].data);
    }
  for (uint32_t i = 0; i < world->mail_count; i++)
    free (world->mails[i].bytes);
  free (world);
}

static void
start_world (uint64_t seed, int members)
{
  world = calloc (1, sizeof *world);
  world->count = members;
  sequence_init (&world->q, seed);
  for (int i = 0; i < members; i++)
    {
      world->members[i].cluster = world;
      world->members[i].self = i;
      world->members[i].voted_for = LOG_NO_MEMBER;
      boot (&world->members[i]);
    }
}

static void
run_seed (uint64_t seed, int members)
{
  uint64_t command = 1;
  bool settled;

  start_world (seed, members);
  for (int i = 0; i < STEPS && world->broken == NULL; i++)
    {
      disturb (world);
      step (world, &command);
    }
  settled = world->broken == NULL && settle (world);
  if (world->broken != NULL || !settled || world->sequence_count < 20)
    printf ("seed %llu, %d members: %s; %llu of %llu commands applied\n",
            (unsigned long long)seed, members,
            world->broken != NULL ? world->broken : "did not settle",
            (unsigned long long)world->sequence_count,
            (unsigned long long)command);
  CU_ASSERT_PTR_NULL (world->broken);
  CU_ASSERT_TRUE (settled);
  CU_ASSERT_TRUE (world->sequence_count >= 20);
  free_world ();
}

static void
test_random (void)
{
  for (uint64_t seed = first_seed (); seed <= last_seed (); seed++)
    run_seed (seed, seed % 2 == 0 ? 3 : 5);
}

static int
find_leader (void)
{
  for (int i = 0; i < world->count; i++)
    if (world->members[i].log.role == LOG_LEADER)
      return i;
  return LOG_NO_MEMBER;
}

/* How long it takes from the moment when two of three members that started
   apart reach each other until one leads.  */
static int64_t
first_leader_ms (uint64_t seed)
{
  uint64_t none = COMMANDS;
  int64_t reached_ms;
  int64_t took_ms;

  start_world (seed, 3);
  world->lossless = true;
  crash (&world->members[2]);
  memset (world->cut, true, sizeof world->cut);
  while (world->now < APART_MS)
    step (world, &none);
  memset (world->cut, false, sizeof world->cut);
  reached_ms = world->now;
  for (int i = 0; i < 2; i++)
    replicated_log_member_reachable (&world->members[i].log, world->now);
  while (find_leader () == LOG_NO_MEMBER
         && world->now - reached_ms < SETTLE_MS)
    step (world, &none);
  took_ms = world->now - reached_ms;
  free_world ();
  return took_ms;
}

/* After all lost power they start one after the other: nobody waits out an
   election timeout once a majority is there.  */
static void
test_first_leader_soon (void)
{
  int64_t sum_ms = 0;

  for (uint64_t seed = 1; seed <= RANDOM_SEEDS; seed++)
    sum_ms += first_leader_ms (seed);
  CU_ASSERT (sum_ms / RANDOM_SEEDS < ELECTION_MS * 6 / 10);
}

static void
set_voter_everywhere (int member, bool voter)
{
  for (int i = 0; i < world->count; i++)
    if (world->members[i].up)
      replicated_log_set_voter (&world->members[i].log, member, voter);
}

static void
run_for (int64_t ms)
{
  uint64_t none = COMMANDS;
  int64_t end = world->now + ms;

  while (world->now < end)
    step (world, &none);
}

/* A voter is dead and another one is added in its stead: the leader waits for
   the new one's first answer instead of counting it as silent.  */
static void
test_added_voter (void)
{
  int leader;
  uint64_t term;

  start_world (7, 4);
  world->lossless = true;
  set_voter_everywhere (3, false);
  run_for (SETTLE_MS);
  leader = find_leader ();
  CU_ASSERT_FATAL (leader != LOG_NO_MEMBER);
  term = world->members[leader].log.term;
  crash (&world->members[(leader + 1) % 3]);
  run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (find_leader (), leader);
  set_voter_everywhere (3, true);
  run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (find_leader (), leader);
  CU_ASSERT_EQUAL (world->members[leader].log.term, term);
  free_world ();
}

/* A leader that hears nobody steps down within its election time.  */
static void
test_isolated_leader (void)
{
  uint64_t none = COMMANDS;
  int leader = LOG_NO_MEMBER;
  int64_t cut_at;

  start_world (5, 3);
  for (int i = 0; i < 1000 && leader == LOG_NO_MEMBER; i++)
    {
      step (world, &none);
      leader = find_leader ();
    }
  CU_ASSERT_FATAL (leader >= 0);
  for (int j = 0; j < 3; j++)
    world->cut[leader][j] = world->cut[j][leader] = true;
  cut_at = world->now;
  while (world->members[leader].log.role == LOG_LEADER
         && world->now - cut_at < SETTLE_MS)
    step (world, &none);
  CU_ASSERT_TRUE (world->now - cut_at < STEP_DOWN_MS);
  free_world ();
}

void
suite_log (void)
{
  CU_pSuite s = CU_add_suite ("replicated log", NULL, NULL);

  CU_add_test (s, "random loss, cuts and crashes", test_random);
  CU_add_test (s, "a first leader soon", test_first_leader_soon);
  CU_add_test (s, "an added voter is waited for", test_added_voter);
  CU_add_test (s, "an isolated leader steps down", test_isolated_leader);
}
