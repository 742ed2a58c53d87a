/* Tests of the event-log lines about jobs at a dispatcher and the runs of
   their tasks: they carry what tells the causes of a second run apart.  Time
   is simulated (fake_clock).  */
#include <stdio.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/now.h"
#include "controller/dispatcher.h"
#include "tests/unit/event_lines.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  LEASE_MS = 400,
  START_LEASE_MS = 320, /* as in target_runner */
  WAIT_MS = 3000,
  STEP_MS = 10,
  JOB_LEASE_MS = 1200, /* as an entry grants it */
  SILENT_MS = 900,     /* until a lease of that length is ending */
  JOB_ID = 7,
  LATE_MS = 150,
  STALE_MS = 850
};

static const char key[] = "0123456789abcdef";
static const char first_task[] = "0123456789abcdef.0.1.4";
static const char entry_vm[] = "10.0.0.9";

struct fixture
{
  struct event_base *base;
  struct dispatcher dispatcher;
  struct peer_conn conn;
  msgpack_sbuffer steps;
};

static void
run_for (struct fixture *f, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    {
      fake_clock_advance (1);
      event_base_loop (f->base, EVLOOP_NONBLOCK);
    }
}

/* Runs the event loop until there is an event called NAME about EVENT_KEY; the
   test fails if there is none within WAIT_MS.  */
static void
run_until_event (struct fixture *f, const char *name, const char *event_key)
{
  int64_t end = now_ms () + WAIT_MS;

  while (event_lines_count (name, event_key) == 0 && now_ms () < end)
    run_for (f, STEP_MS);
  CU_ASSERT_NOT_EQUAL (event_lines_count (name, event_key), 0);
}

static void
send_keepalive (struct fixture *f)
{
  struct peer_message m = { .type = PEER_KEEPALIVE };

  m.u.keepalive.leases = slice_of ("");
  dispatcher_receive (&f->dispatcher, now_ms (), &f->conn, &m);
}

/* Starts a dispatcher with target "t1", ready, and a coordinator.  */
static void
fixture_init (struct fixture *f)
{
  struct owned_target target = { .fencing_token = 5 };
  struct job_spec spec = { .step_count = 1 };

  memset (f, 0, sizeof *f);
  fake_clock_stop ();
  event_ring_init ("10.0.0.1", EVENT_ERROR);
  fake_port_reset ();
  f->base = event_base_new ();
  f->conn.references = 1;
  snprintf (f->conn.vm, sizeof f->conn.vm, "%s", entry_vm);
  snprintf (target.spec.id, sizeof target.spec.id, "t1");
  snprintf (target.spec.address, sizeof target.spec.address, "127.0.0.1:1");
  snprintf (target.spec.service, sizeof target.spec.service, "svc");
  target.spec.cpu_milli = 4000;
  target.spec.memory_mb = 1000;
  target.spec.slots = 8;
  target.spec.started_ms = 1;
  spec.steps[0]
      = (struct job_step){ .count = 2, .cpu_milli = 1000, .estimate_ms = 900 };
  msgpack_sbuffer_init (&f->steps);
  job_spec_pack_steps (&spec, &f->steps);
  dispatcher_init (&f->dispatcher, f->base, &fake_port_ops, LEASE_MS);
  dispatcher_set_targets (&f->dispatcher, now_ms (), &target, 1);
  run_until_event (f, "TARGET_READY", "t1");
  send_keepalive (f);
}

static void
fixture_done (struct fixture *f)
{
  dispatcher_done (&f->dispatcher);
  msgpack_sbuffer_destroy (&f->steps);
  event_base_free (f->base);
  event_ring_done ();
  fake_clock_resume ();
}

/* Hands over tasks 4 and 5 of the second step of a job under a lease that
   counts from AGE_MS ago.  */
static void
send_part (struct fixture *f, int64_t age_ms)
{
  struct peer_message m = { .type = PEER_JOB };

  m.u.job
      = (struct peer_job){ .id = JOB_ID,
                           .echo_ms = now_ms () - age_ms,
                           .lease_ms = JOB_LEASE_MS,
                           .key = slice_of (key),
                           .queue = slice_of ("q"),
                           .service = slice_of ("svc"),
                           .attempts = 3,
                           .deadline_ms = WAIT_MS,
                           .floor_ms = WAIT_MS,
                           .stretch_milli = 1600,
                           .is_part = 1,
                           .part_step = 1,
                           .part_first = 4,
                           .steps = { f->steps.data, (uint32_t)f->steps.size },
                           .payload = slice_of ("") };
  dispatcher_receive (&f->dispatcher, now_ms (), &f->conn, &m);
}

static bool
is_between (int64_t value, int64_t low, int64_t high)
{
  return value >= low && value <= high;
}

/* The fields of line NAME that identify the sender of the job.  */
static void
check_sender (const char *name)
{
  CU_ASSERT (event_lines_is (name, key, "from", entry_vm));
  CU_ASSERT_EQUAL (event_lines_number (name, key, "id"), JOB_ID);
  CU_ASSERT (event_lines_is (name, key, "part", "1.4+2"));
}

/* The fields of line NAME that identify run 1 on the target.  */
static void
check_run (const char *name)
{
  CU_ASSERT_EQUAL (event_lines_number (name, first_task, "run"), 1);
  CU_ASSERT (event_lines_is (name, first_task, "target", "t1"));
  CU_ASSERT_EQUAL (event_lines_number (name, first_task, "fence"), 5);
}

/* A part that comes late, but not too late, is run and then cancelled.  */
static void
test_cancelled (void)
{
  struct peer_message cancel = { .type = PEER_JOB_CANCEL };
  struct fixture f;

  fixture_init (&f);
  run_for (&f, LATE_MS);
  send_part (&f, LATE_MS);
  check_sender ("DISPATCH_ACCEPTED");
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_ACCEPTED", key, "heard_ms"),
                  LATE_MS, SILENT_MS));
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_ACCEPTED", key, "echo_age_ms"),
                  LATE_MS, STALE_MS));
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_ACCEPTED", key, "lease_ms"),
                  JOB_LEASE_MS - STALE_MS, JOB_LEASE_MS - LATE_MS));
  run_until_event (&f, "RUN_STARTED", first_task);
  check_run ("TASK_STARTED");
  CU_ASSERT_EQUAL (event_lines_number ("TASK_STARTED", first_task, "lease_ms"),
                   START_LEASE_MS);
  check_run ("RUN_STARTED");
  cancel.u.job_cancel.id = JOB_ID;
  dispatcher_receive (&f.dispatcher, now_ms (), &f.conn, &cancel);
  check_sender ("DISPATCH_STOPPED");
  CU_ASSERT (event_lines_is ("DISPATCH_STOPPED", key, "why", "cancelled"));
  CU_ASSERT_EQUAL (event_lines_number ("DISPATCH_STOPPED", key, "running"), 2);
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_STOPPED", key, "lease_ms"), 1,
                  LEASE_MS + STEP_MS));
  check_run ("RUN_STOPPED");
  CU_ASSERT (event_lines_is ("RUN_STOPPED", first_task, "why", "job_closed"));
  run_until_event (&f, "RUN_STOP_ANSWERED", first_task);
  check_run ("RUN_STOP_ANSWERED");
  run_until_event (&f, "RUN_ENDED", first_task);
  check_run ("RUN_ENDED");
  fixture_done (&f);
}

/* A part is stopped because its lease is not renewed, and the same one again
   because the connection closes; one that comes too late is refused.  */
static void
test_silent (void)
{
  struct fixture f;

  fixture_init (&f);
  send_part (&f, 0);
  run_until_event (&f, "DISPATCH_STOPPED", key);
  check_sender ("DISPATCH_STOPPED");
  CU_ASSERT (event_lines_is ("DISPATCH_STOPPED", key, "why", "lease"));
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_STOPPED", key, "heard_ms"),
                  SILENT_MS + 1, WAIT_MS));
  send_part (&f, STALE_MS);
  CU_ASSERT_EQUAL (event_lines_number ("DISPATCH_STALE", key, "id"), JOB_ID);
  CU_ASSERT (
      is_between (event_lines_number ("DISPATCH_STALE", key, "echo_age_ms"),
                  STALE_MS, WAIT_MS));
  CU_ASSERT_EQUAL (event_lines_count ("DISPATCH_ACCEPTED", key), 1);
  run_until_event (&f, "RUN_ENDED", first_task);
  send_keepalive (&f);
  send_part (&f, 0);
  dispatcher_peer_disconnected (&f.dispatcher, now_ms (), &f.conn);
  CU_ASSERT_EQUAL (event_lines_count ("DISPATCH_STOPPED", key), 2);
  CU_ASSERT (event_lines_is ("DISPATCH_STOPPED", key, "why", "closed"));
  fixture_done (&f);
}

/* A part ends, with the age of its coordinator's last message.  */
static void
test_ended (void)
{
  struct fixture f;

  fixture_init (&f);
  send_part (&f, 0);
  run_until_event (&f, "RUN_STARTED", first_task);
  fake_port_end_run (fake_port_target ("t1"), first_task, RUN_END_DONE);
  fake_port_end_run (fake_port_target ("t1"), "0123456789abcdef.0.1.5",
                     RUN_END_DONE);
  run_until_event (&f, "DISPATCH_ENDED", key);
  check_sender ("DISPATCH_ENDED");
  CU_ASSERT (is_between (
      event_lines_number ("DISPATCH_ENDED", key, "heard_ms"), 0, SILENT_MS));
  check_run ("RUN_ENDED");
  CU_ASSERT (
      is_between (event_lines_number ("RUN_ENDED", first_task, "lease_ms"), 1,
                  LEASE_MS + STEP_MS));
  CU_ASSERT_EQUAL (event_lines_count ("DISPATCH_STOPPED", key), 0);
  fixture_done (&f);
}

/* A target stops answering: its leases are not renewed and run out.  */
static void
test_lease_runs_out (void)
{
  struct fixture f;
  int64_t end = now_ms () + WAIT_MS;

  fixture_init (&f);
  send_part (&f, 0);
  run_until_event (&f, "RUN_STARTED", first_task);
  fake_port_target ("t1")->unresponsive = true;
  while (event_lines_count ("RUN_LOST", first_task) == 0 && now_ms () < end)
    {
      send_keepalive (&f);
      run_for (&f, STEP_MS);
    }
  CU_ASSERT_EQUAL (event_lines_number ("TARGET_NOT_RENEWED", "t1", "runs"), 2);
  CU_ASSERT_EQUAL (event_lines_number ("TARGET_NOT_RENEWED", "t1", "fence"),
                   5);
  CU_ASSERT (
      is_between (event_lines_number ("TARGET_NOT_RENEWED", "t1", "lease_ms"),
                  1, LEASE_MS + STEP_MS));
  check_run ("RUN_LOST");
  CU_ASSERT (event_lines_is ("RUN_LOST", first_task, "why", "lease_expired"));
  CU_ASSERT_EQUAL (event_lines_number ("RUN_LOST", first_task, "lease_ms"), 0);
  fixture_done (&f);
}

void
suite_job_events (void)
{
  CU_pSuite s = CU_add_suite ("job events", NULL, NULL);

  CU_add_test (s, "lines of a late and cancelled part", test_cancelled);
  CU_add_test (s, "lines of a silent and a closed coordinator", test_silent);
  CU_add_test (s, "lines of a part that ends", test_ended);
  CU_add_test (s, "lines of leases that run out", test_lease_runs_out);
}
