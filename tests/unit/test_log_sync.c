/* A follower accepts nothing before all that it stored is durable.  */
#include <string.h>
#include "coord/replicated_log.h"
#include "tests/unit/suites.h"

enum
{
  LEADER = 1,
  MEMBERS = 3,
  HEARTBEAT_MS = 80,
  ELECTION_MS = 300
};

/* A store that counts its writes, and the replies that were sent.  */
struct store
{
  uint32_t writes;
  uint32_t synced; /* of these */
  uint32_t syncs;
  uint32_t accepted;
  uint32_t accepted_unsynced;
};

static bool
save_state (void *arg, uint64_t term, int voted_for)
{
  (void)arg;
  (void)term;
  (void)voted_for;
  return true;
}

static bool
save_entry (void *arg, uint64_t index, const struct log_entry *e)
{
  struct store *s = arg;

  (void)index;
  (void)e;
  s->writes++;
  return true;
}

static bool
save_truncate (void *arg, uint64_t from)
{
  struct store *s = arg;

  (void)from;
  s->writes++;
  return true;
}

static bool
sync_store (void *arg)
{
  struct store *s = arg;

  s->synced = s->writes;
  s->syncs++;
  return true;
}

static void
send_reply (void *arg, int to, struct peer_message *m)
{
  struct store *s = arg;

  (void)to;
  if (m->type != PEER_APPEND_REPLY || m->u.append_reply.accepted == 0)
    return;
  s->accepted++;
  s->accepted_unsynced += s->synced != s->writes;
}

static const struct replicated_log_output output
    = { .save_state = save_state,
        .save_entry = save_entry,
        .save_truncate = save_truncate,
        .sync = sync_store,
        .send = send_reply };

/* Packed entries of one byte of data each.  */
static const char entry_of_term_1[] = { 1, '\xc4', 1, 'x' };
static const char two_of_term_1[] = { 1, '\xc4', 1, 'x', 1, '\xc4', 1, 'y' };
static const char entry_of_term_2[] = { 2, '\xc4', 1, 'z' };

static void
receive_append (struct replicated_log *l, uint64_t term, uint64_t previous,
                const char *entries, uint32_t length)
{
  struct peer_message m = { .type = PEER_APPEND };

  m.u.append = (struct peer_append){ .term = term,
                                     .previous_index = previous,
                                     .previous_term = previous == 0 ? 0 : 1,
                                     .entries = { entries, length } };
  replicated_log_receive (l, 1, LEADER, &m);
}

static void
start_log (struct replicated_log *l, struct store *s)
{
  memset (s, 0, sizeof *s);
  replicated_log_init (l, 0, MEMBERS, HEARTBEAT_MS, ELECTION_MS, 1, &output,
                       s);
}

static void
expect_synced (const struct store *s, uint32_t accepted)
{
  CU_ASSERT_EQUAL (s->accepted, accepted);
  CU_ASSERT_EQUAL (s->accepted_unsynced, 0);
}

/* Entries that were never committed are replaced by as many of a new leader,
   so that the last index stays the same (review, found by reading).  */
static void
test_replaced_by_as_many (void)
{
  struct replicated_log l;
  struct store s;

  start_log (&l, &s);
  replicated_log_start (&l, 0);
  receive_append (&l, 1, 0, two_of_term_1, sizeof two_of_term_1);
  expect_synced (&s, 1);
  receive_append (&l, 2, 1, entry_of_term_2, sizeof entry_of_term_2);
  expect_synced (&s, 2);
  replicated_log_done (&l);
}

/* The process ended between a write and its sync, and reads after its restart
   what is not durable yet.  */
static void
test_restarted_before_sync (void)
{
  struct replicated_log l;
  struct store s;

  start_log (&l, &s);
  s.writes = 1;
  CU_ASSERT (replicated_log_restore_entry (&l, 1, 1, "x", 1));
  replicated_log_start (&l, 0);
  receive_append (&l, 1, 1, "", 0);
  expect_synced (&s, 1);
  receive_append (&l, 1, 0, entry_of_term_1, sizeof entry_of_term_1);
  expect_synced (&s, 2);
  CU_ASSERT_EQUAL (s.syncs, 1);
  replicated_log_done (&l);
}

void
suite_log_sync (void)
{
  CU_pSuite s = CU_add_suite ("log sync", NULL, NULL);

  CU_add_test (s, "entries replaced by as many", test_replaced_by_as_many);
  CU_add_test (s, "entries read after an end before their sync",
               test_restarted_before_sync);
}
