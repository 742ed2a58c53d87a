/* Tests of keepers whose disks are full or fail to sync, and have room
   again.  */
#include <dirent.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/now.h"
#include "controller/log_journal.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/fake_disk.h"
#include "tests/unit/suites.h"

enum
{
  FULL_TURNS = 40,
  EMPTY_BYTES = 18, /* size of a journal without records */

  CHANGE_MS = 60,      /* between changes of the configuration */
  COMPACT_ENTRIES = 8, /* so that compactions meet full disks */
  TURNS = 9,           /* disks that are full, one after another */
  FULL_MS = 500,
  ROOM_MS = 200, /* from one disk to the next */
  ACK_LIMIT_MS = 4000,
  RELAY_MS = 2000,
  SPARE = SEEDS,
  SPARE_KNOWN_MS = 1500,
  SPARE_FULL_MS = 7000,
  HEARTBEAT_AGE_MS = 800, /* of a target, at the leader */
  TEXT_BYTES = 4096
};

/* The changes of the configuration of a deployment.  */
struct changes
{
  struct deployment d;
  uint64_t version;
  uint32_t acked;
  int64_t sent_ms;
  int64_t acked_ms;
};

static uint32_t
count_files (const char *folder)
{
  DIR *d = opendir (folder);
  uint32_t count = 0;

  while (readdir (d) != NULL)
    count++;
  closedir (d);
  return count;
}

static void
on_failed (void *arg, const struct error *e)
{
  uint32_t *failures = arg;

  CU_ASSERT_PTR_NOT_NULL (strstr (e->message, "No space left"));
  ++*failures;
}

static const struct log_journal_events journal_events
    = { .failed = on_failed };

static void
load_nothing (void *arg, uint64_t index, const char *data, uint32_t length)
{
  (void)arg;
  (void)index;
  (void)data;
  (void)length;
}

static const struct replicated_log_output no_output
    = { .load_snapshot = load_nothing };

/* A compaction that fails for lack of space releases what it has used: the
   descriptor, and with it the space of the file.  */
static void
test_failed_compaction (void)
{
  struct replicated_log log;
  struct log_journal j;
  char folder[64];
  struct error e;
  uint32_t failures = 0;
  uint32_t open_files;
  uint32_t files;

  test_folder_make (folder);
  CU_ASSERT_EQUAL (journal_create (folder, &e), STORE_OK);
  replicated_log_init (&log, 0, 1, 80, 300, 1, &no_output, NULL);
  replicated_log_restore_snapshot (&log, 1, 1, "snapshot", 8);
  CU_ASSERT_FATAL (log_journal_open (&j, &log, "vm", folder, 0,
                                     &journal_events, &failures, &e));
  open_files = count_files ("/proc/self/fd");
  files = count_files (folder);
  for (uint64_t bytes = 0; bytes < FULL_TURNS; bytes++)
    {
      fake_disk_fill (folder, bytes);
      CU_ASSERT_FALSE (log_journal_save_snapshot (&j, &log));
    }
  CU_ASSERT_EQUAL (failures, FULL_TURNS);
  CU_ASSERT_EQUAL (count_files ("/proc/self/fd"), open_files);
  CU_ASSERT_EQUAL (count_files (folder), files);
  fake_disk_fail_syncs (folder);
  CU_ASSERT_FALSE (log_journal_save_snapshot (&j, &log));
  CU_ASSERT_EQUAL (count_files ("/proc/self/fd"), open_files);
  CU_ASSERT_EQUAL (count_files (folder), files);
  fake_disk_mend (folder);
  log_journal_close (&j);
  replicated_log_done (&log);
  test_folder_remove (folder);
}

static bool
refuse_state (void *arg, uint64_t term, int voted_for)
{
  (void)arg;
  (void)term;
  (void)voted_for;
  return false;
}

static bool
count_entry (void *arg, uint64_t index, const struct log_entry *e)
{
  uint32_t *stored = arg;

  (void)index;
  (void)e;
  ++*stored;
  return true;
}

static bool
count_snapshot (void *arg, const struct replicated_log *l)
{
  uint32_t *stored = arg;

  (void)l;
  ++*stored;
  return true;
}

static bool
sync_well (void *arg)
{
  (void)arg;
  return true;
}

static void
send_nothing (void *arg, int to, struct peer_message *m)
{
  (void)arg;
  (void)to;
  (void)m;
  CU_FAIL ("a reply after a failed write");
}

/* A follower that could not save a new term stores nothing of that term and
   does not reply.  */
static void
test_stored_after_failed_term (void)
{
  static const struct replicated_log_output output
      = { .save_state = refuse_state,
          .save_entry = count_entry,
          .sync = sync_well,
          .save_snapshot = count_snapshot,
          .send = send_nothing,
          .load_snapshot = load_nothing };
  const char entry[] = { 1, '\xc4', 1, 'x' }; /* packed: term 1, 1 byte */
  struct peer_message append = { .type = PEER_APPEND };
  struct peer_message snapshot = { .type = PEER_SNAPSHOT };
  const struct peer_message *const messages[] = { &append, &snapshot };

  append.u.append
      = (struct peer_append){ .term = 1, .entries = { entry, sizeof entry } };
  snapshot.u.snapshot = (struct peer_snapshot){
    .term = 1, .last_index = 1, .last_term = 1, .data = slice_of ("state")
  };
  for (int i = 0; i < 2; i++)
    {
      struct replicated_log log;
      uint32_t stored = 0;

      replicated_log_init (&log, 0, 3, 80, 300, 1, &output, &stored);
      replicated_log_start (&log, 0);
      replicated_log_receive (&log, 1, 1, messages[i]);
      CU_ASSERT (log.failed);
      CU_ASSERT_EQUAL (stored, 0);
      replicated_log_done (&log);
    }
}

static void
on_change_done (void *arg, enum config_result result, const char *text)
{
  struct changes *c = arg;

  (void)text;
  if (result != CONFIG_COMMITTED)
    return;
  c->acked++;
  c->acked_ms = now_ms ();
}

/* Sends the leader a change if one is due, a large one in some cases.  */
static void
send_change (struct changes *c, int64_t now)
{
  struct quorum_keeper *k = deployment_leader (&c->d);
  char text[TEXT_BYTES];
  uint32_t length;

  if (k == NULL || now - c->sent_ms < CHANGE_MS)
    return;
  c->sent_ms = now;
  c->version++;
  length = c->version % 5 == 0 ? TEXT_BYTES - 1 : 40;
  memset (text, ' ', length);
  text[length] = '\0';
  quorum_keeper_put_config (k, now, c->version, text, on_change_done, c);
}

static void
begin_step (struct changes *c)
{
  for (int i = 0; i < KEEPERS; i++)
    if (c->d.keepers[i] != NULL)
      c->d.keepers[i]->log.compact_entries = COMPACT_ENTRIES;
  send_change (c, now_ms ());
}

static void
run_step (struct changes *c)
{
  begin_step (c);
  deployment_run_step (&c->d);
}

static void
run_for (struct changes *c, int64_t ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    run_step (c);
}

/* Whether the change that was sent last is committed at keeper I.  */
static bool
is_current (const struct changes *c, int i)
{
  const struct quorum_keeper *k = c->d.keepers[i];

  return !k->failed && k->config_version == c->version
         && k->journal.disk_id != 0;
}

/* Runs without further changes until the first COUNT keepers have the last
   one.  The test fails if one of them has not after WAIT_MS.  */
static void
run_until_current (struct changes *c, int count)
{
  int64_t end = now_ms () + WAIT_MS;
  int current = 0;

  c->sent_ms = 0;
  send_change (c, now_ms ());
  while (current < count && now_ms () < end)
    {
      deployment_run_step (&c->d);
      if (is_current (c, current))
        current++;
    }
  CU_ASSERT_EQUAL (current, count);
}

static int
leader_number (const struct deployment *d)
{
  for (int i = 0; i < KEEPERS; i++)
    if (d->keepers[i] != NULL && d->keepers[i] == deployment_leader (d))
      return i;
  return 0;
}

static void
changes_init (struct changes *c)
{
  memset (c, 0, sizeof *c);
  deployment_init (&c->d);
  c->d.heartbeats_paused = true;
}

static void
changes_done (struct changes *c)
{
  fake_disk_mend (NULL);
  deployment_done (&c->d);
}

/* Runs until a change is acknowledged after SINCE_MS.  The test fails if none
   is within ACK_LIMIT_MS.  */
static void
run_until_acked (struct changes *c, int64_t since_ms)
{
  while (c->acked_ms < since_ms && now_ms () < since_ms + ACK_LIMIT_MS)
    run_step (c);
  CU_ASSERT (c->acked_ms >= since_ms);
}

/* Fails the disk of keeper I at its next write or sync: at once, after part of
   a record, or after some records.  */
static void
fail_disk (struct changes *c, int i, int turn)
{
  static const uint64_t bytes_left[] = { 0, 25, 300 };
  const char *folder = c->d.folders[i];

  if (turn % 4 == 3)
    fake_disk_fail_syncs (folder);
  else
    fake_disk_fill (folder, bytes_left[turn % 4]);
}

/* The disks of KEEPER_COUNT keepers are full in turn, every second time that
   of the leader.  Changes are acknowledged throughout, and in the end all that
   vote have the last one.  */
static void
fill_in_turn (int keeper_count)
{
  struct changes c;

  changes_init (&c);
  for (int i = 0; i < keeper_count; i++)
    deployment_start_keeper (&c.d, i);
  deployment_run_until_leader (&c.d);
  for (int turn = 0; turn < TURNS; turn++)
    {
      int i = turn % 2 == 0 ? leader_number (&c.d) : turn % keeper_count;
      int64_t full_ms = now_ms ();

      fail_disk (&c, i, turn);
      run_for (&c, FULL_MS);
      fake_disk_mend (NULL);
      run_for (&c, ROOM_MS);
      run_until_acked (&c, full_ms + FULL_MS);
    }
  run_until_current (&c, SEEDS);
  CU_ASSERT (c.acked > TURNS);
  changes_done (&c);
}

static void
test_full_in_turn (void)
{
  fill_in_turn (SEEDS);
}

static void
test_full_in_turn_with_spare (void)
{
  fill_in_turn (KEEPERS);
}

/* A keeper whose disk was full when it started for the first time votes once
   there is room: changes are acknowledged while the disk of another is
   full.  */
static void
test_full_at_first_start (void)
{
  for (uint64_t bytes = 0; bytes <= EMPTY_BYTES; bytes += EMPTY_BYTES)
    {
      struct changes c;

      changes_init (&c);
      fake_disk_fill (c.d.folders[0], bytes);
      for (int i = 0; i < SEEDS; i++)
        deployment_start_keeper (&c.d, i);
      deployment_run_until_leader (&c.d);
      run_for (&c, FULL_MS);
      fake_disk_mend (NULL);
      run_until_current (&c, SEEDS);
      fake_disk_fill (c.d.folders[1], 0);
      run_until_acked (&c, now_ms () + FULL_MS);
      changes_done (&c);
    }
}

/* A keeper that could not open its journal yet leaves the descriptors of
   others alone.  */
static void
test_descriptor_of_others (void)
{
  struct changes c;
  int fd = open ("/dev/null", O_RDONLY);

  if (fd != STDIN_FILENO)
    close (fd);
  changes_init (&c);
  fake_disk_fill (c.d.folders[0], 0);
  deployment_start_keeper (&c.d, 0);
  run_for (&c, FULL_MS);
  CU_ASSERT (fcntl (STDIN_FILENO, F_GETFD) >= 0);
  changes_done (&c);
}

/* The disk of a keeper is full at its first start, and then that of the
   leader: the vote of the first one counts.  */
static void
test_vote_after_first_start (void)
{
  struct changes c;
  int64_t full_ms;

  changes_init (&c);
  fake_disk_fill (c.d.folders[0], 0);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&c.d, i);
  deployment_run_until_leader (&c.d);
  run_for (&c, FULL_MS);
  fake_disk_mend (NULL);
  full_ms = now_ms ();
  fake_disk_fill (c.d.folders[leader_number (&c.d)], 0);
  run_until_acked (&c, full_ms + FULL_MS);
  changes_done (&c);
}

/* A follower whose disk is full still relays the targets' heartbeats.  */
static void
test_relay_with_full_disk (void)
{
  struct changes c;
  struct quorum_keeper *leader;
  int64_t end;
  int follower = 0;

  changes_init (&c);
  c.d.heartbeats_paused = false;
  c.d.heartbeats_to_follower = true;
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&c.d, i);
  deployment_run_until_leader (&c.d);
  run_for (&c, RELAY_MS);
  leader = deployment_leader (&c.d);
  CU_ASSERT_EQUAL (leader->plan.target_count, TARGETS);
  while (c.d.keepers[follower] != deployment_follower (&c.d))
    follower++;
  fake_disk_fill (c.d.folders[follower], 0);
  fake_clock_stop ();
  end = now_ms () + RELAY_MS;
  while (now_ms () < end)
    {
      begin_step (&c);
      deployment_run_simulated_step (&c.d);
      for (uint32_t i = 0; i < leader->plan.target_count; i++)
        CU_ASSERT (now_ms () - leader->plan.targets[i]->last_seen_ms
                   < HEARTBEAT_AGE_MS);
    }
  fake_clock_resume ();
  CU_ASSERT_PTR_EQUAL (deployment_leader (&c.d), leader);
  changes_done (&c);
}

/* A keeper is gone, and the disk of the one that is to replace it is full:
   changes are acknowledged throughout, and the keeper is replaced once there
   is room.  */
static void
test_full_spare (void)
{
  struct changes c;
  int64_t end;
  int gone = 0;

  changes_init (&c);
  for (int i = 0; i < KEEPERS; i++)
    deployment_start_keeper (&c.d, i);
  deployment_run_until_leader (&c.d);
  run_for (&c, SPARE_KNOWN_MS);
  while (c.d.keepers[gone] != deployment_follower (&c.d))
    gone++;
  fake_disk_fill (c.d.folders[SPARE], 0);
  deployment_stop_keeper (&c.d, gone);
  end = now_ms () + SPARE_FULL_MS;
  while (now_ms () < end)
    {
      run_step (&c);
      CU_ASSERT (now_ms () - c.acked_ms < ACK_LIMIT_MS);
    }
  fake_disk_mend (NULL);
  end = now_ms () + ACK_LIMIT_MS;
  while (!c.d.keepers[SPARE]->peers[c.d.keepers[SPARE]->log.self].member.voter
         && now_ms () < end)
    run_step (&c);
  CU_ASSERT (now_ms () < end);
  changes_done (&c);
}

/* The disks of all founders are full in turn, each when its keeper has just
   created its journal: they still form a quorum.  */
static void
test_founders_full_in_turn (void)
{
  struct changes c;

  changes_init (&c);
  for (int i = 0; i < SEEDS; i++)
    {
      fake_disk_fill (c.d.folders[i], EMPTY_BYTES + 10);
      deployment_start_keeper (&c.d, i);
      CU_ASSERT (c.d.keepers[i]->failed);
      fake_disk_mend (NULL);
      run_for (&c, FULL_MS);
      CU_ASSERT_FALSE (c.d.keepers[i]->failed);
    }
  deployment_run_until_leader (&c.d);
  run_until_current (&c, SEEDS);
  changes_done (&c);
}

void
suite_disks (void)
{
  CU_pSuite s = CU_add_suite ("disks", NULL, NULL);

  CU_add_test (s, "a failed compaction keeps its file open",
               test_failed_compaction);
  CU_add_test (s, "entries are stored after a failed save of their term",
               test_stored_after_failed_term);
  CU_add_test (s, "changes are refused after disks were full in turn",
               test_full_in_turn);
  CU_add_test (s, "changes are refused after disks were full, with a spare",
               test_full_in_turn_with_spare);
  CU_add_test (s,
               "a keeper whose disk was full at its first start never votes",
               test_full_at_first_start);
  CU_add_test (s, "a keeper without a journal closes standard input",
               test_descriptor_of_others);
  CU_add_test (s,
               "the vote of a keeper whose disk was full at first is ignored",
               test_vote_after_first_start);
  CU_add_test (s, "heartbeats relayed by a follower whose disk is full",
               test_relay_with_full_disk);
  CU_add_test (s, "changes wait for the full disk of a keeper to be added",
               test_full_spare);
  CU_add_test (s, "founders whose disks were full in turn form no quorum",
               test_founders_full_in_turn);
}
