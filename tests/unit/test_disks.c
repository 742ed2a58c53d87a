/* Tests of keepers whose disks are full or fail to sync, and have room
   again.  */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "controller/log_journal.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_disk.h"
#include "tests/unit/suites.h"

enum
{
  FULL_TURNS = 40
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

void
suite_disks (void)
{
  CU_pSuite s = CU_add_suite ("disks", NULL, NULL);

  CU_add_test (s, "a failed compaction keeps its file open",
               test_failed_compaction);
}
