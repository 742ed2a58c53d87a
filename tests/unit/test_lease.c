/* Leases of the targets' runs against the caller's retry: a caller sends its
   job again RETRY_MS after its channel has broken, and what began for the
   first attempt must have ended by then, whoever has failed meanwhile.  The
   caller's channel breaks at the earliest when its entry sends its last
   message.  Time is simulated (fake_clock).  Then the simulation of many VMs
   (lease_model).  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"
#include "controller/dispatcher.h"
#include "controller/job_renewal.h"
#include "coord/job_lease.h"
#include "coord/task_delegation.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/lease_model.h"
#include "tests/unit/suites.h"

enum
{
  RETRY_MS = 1300,
  LEASE_LIMIT_MS = 1000,
  CLOCK_SLOW_PERCENT = 2,
  JOB_LEASE_MS = 1200,  /* as an entry grants it */
  OWNER_LEASE_MS = 850, /* the longest that an owner requests */
  JOB_ID = 1,
  KEEPALIVE_MS = 100,
  ESTIMATE_MS = 20000,
  DEADLINE_MS = 60000,
  BEFORE_LOSS_MS = 200,
  SETTLE_MS = 100,
  LATE_MS = 390,
  VERY_LATE_MS = 700,
  CI_SEEDS = 12,
  DEFECT_SEEDS = 400, /* each defect must be found within these */
  LOST = 1000000      /* so many calls are lost: all */
};

/* Another VM that sends jobs or parts of jobs to a dispatcher, and its
   connection there.  */
struct sender
{
  struct dispatcher *to;
  struct peer_conn conn;
  bool silent;
  int64_t sent_ms;              /* time of its last message */
  const struct run_job *parent; /* of the part that it sent; else NULL */
};

/* A dispatcher, whose jobs come from FIRST and SECOND, and the target t1 that
   it owns; and its delegate, with the target t2.  */
struct fixture
{
  struct event_base *base;
  struct dispatcher dispatcher;
  struct dispatcher delegate;
  struct sender first;
  struct sender second;
  struct sender delegating;
  bool delegated;
};

static void
sender_init (struct sender *s, struct dispatcher *to, const char *vm)
{
  memset (s, 0, sizeof *s);
  s->to = to;
  s->conn.references = 1;
  snprintf (s->conn.vm, sizeof s->conn.vm, "%s", vm);
}

/* The lease that S grants now for its job: all that is allowed.  */
static int64_t
granted_ms (const struct sender *s)
{
  return s->parent == NULL
             ? JOB_LEASE_MS
             : job_lease_left_ms (s->parent->lease_end_ms, now_ms ());
}

/* Delivers a keepalive that S sends now, in the moment in which it received a
   time stamp of the dispatcher.  */
static void
send_keepalive (struct sender *s)
{
  struct peer_message m = { .type = PEER_KEEPALIVE };
  struct job_renewal renewal = { JOB_ID, granted_ms (s) };
  msgpack_sbuffer leases;

  s->sent_ms = now_ms ();
  msgpack_sbuffer_init (&leases);
  job_renewal_pack (&renewal, &leases);
  m.u.keepalive.echo_ms = s->sent_ms;
  m.u.keepalive.leases = (struct slice){ leases.data, (uint32_t)leases.size };
  dispatcher_receive (s->to, now_ms (), &s->conn, &m);
  msgpack_sbuffer_destroy (&leases);
}

/* Delivers SPEC, which S sent at SENT_MS.  */
static void
send_job (struct sender *s, const struct job_spec *spec, int64_t sent_ms)
{
  struct peer_message m = { .type = PEER_JOB };
  msgpack_sbuffer steps;

  s->sent_ms = sent_ms;
  msgpack_sbuffer_init (&steps);
  job_spec_pack_steps (spec, &steps);
  m.u.job = (struct peer_job){ .id = JOB_ID,
                               .echo_ms = sent_ms,
                               .lease_ms = granted_ms (s),
                               .key = slice_of (spec->key),
                               .queue = slice_of (spec->queue),
                               .service = slice_of (spec->service),
                               .attempts = spec->attempts,
                               .deadline_ms = spec->deadline_ms,
                               .floor_ms = spec->floor_ms,
                               .stretch_milli = spec->stretch_milli,
                               .is_part = spec->part.is_part,
                               .part_step = spec->part.step,
                               .part_first = spec->part.first,
                               .part_run = spec->part.run,
                               .steps = { steps.data, (uint32_t)steps.size },
                               .payload = spec->payload };
  dispatcher_receive (s->to, now_ms (), &s->conn, &m);
  msgpack_sbuffer_destroy (&steps);
}

/* Lets MS milliseconds pass.  The senders that are not silent send keepalives
   in the meantime.  */
static void
run_for (struct fixture *f, int64_t ms)
{
  struct sender *senders[] = { &f->first, &f->second, &f->delegating };

  for (int64_t i = 0; i < ms; i++)
    {
      fake_clock_advance (1);
      fake_port_check_lease (fake_port_target ("t1"));
      fake_port_check_lease (fake_port_target ("t2"));
      for (int s = 0; s < 3; s++)
        if (!senders[s]->silent
            && now_ms () - senders[s]->sent_ms >= KEEPALIVE_MS)
          send_keepalive (senders[s]);
      event_base_loop (f->base, EVLOOP_NONBLOCK);
    }
}

static void
own_target (struct dispatcher *d, const char *id, uint64_t fencing_token)
{
  struct owned_target t;

  memset (&t, 0, sizeof t);
  snprintf (t.spec.id, sizeof t.spec.id, "%s", id);
  snprintf (t.spec.address, sizeof t.spec.address, "127.0.0.1:1");
  snprintf (t.spec.service, sizeof t.spec.service, "svc");
  snprintf (t.spec.domain, sizeof t.spec.domain, "shop");
  t.spec.started_ms = 1;
  t.spec.cpu_milli = 4000;
  t.spec.memory_mb = 1000;
  t.spec.slots = 8;
  t.fencing_token = fencing_token;
  dispatcher_set_targets (d, now_ms (), &t, 1);
}

static void
fixture_init (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  fake_clock_stop ();
  fake_port_reset ();
  f->base = event_base_new ();
  dispatcher_init (&f->dispatcher, f->base, &fake_port_ops, LEASE_LIMIT_MS);
  dispatcher_init (&f->delegate, f->base, &fake_port_ops, LEASE_LIMIT_MS);
  own_target (&f->dispatcher, "t1", 1);
  own_target (&f->delegate, "t2", 1);
  fake_port_target ("t1")->slow_since_ms = now_ms ();
  fake_port_target ("t1")->slow_percent = CLOCK_SLOW_PERCENT;
  fake_port_target ("t2")->slow_since_ms = now_ms ();
  fake_port_target ("t2")->slow_percent = CLOCK_SLOW_PERCENT;
  sender_init (&f->first, &f->dispatcher, "entry1");
  sender_init (&f->second, &f->dispatcher, "entry2");
  sender_init (&f->delegating, &f->delegate, "dispatcher1");
  run_for (f, SETTLE_MS);
}

static void
fixture_done (struct fixture *f)
{
  dispatcher_done (&f->dispatcher);
  dispatcher_done (&f->delegate);
  event_base_free (f->base);
  fake_clock_resume ();
}

static struct job_spec
make_job (const char *key)
{
  struct job_spec s;

  memset (&s, 0, sizeof s);
  snprintf (s.key, sizeof s.key, "%s", key);
  snprintf (s.queue, sizeof s.queue, "queue");
  snprintf (s.service, sizeof s.service, "svc");
  s.attempts = 3;
  s.stretch_milli = 2000;
  s.floor_ms = 1000;
  s.deadline_ms = DEADLINE_MS;
  s.step_count = 1;
  s.steps[0].count = 1;
  s.steps[0].cpu_milli = 1000;
  s.steps[0].memory_mb = 1;
  s.steps[0].estimate_ms = ESTIMATE_MS;
  s.payload = slice_of ("");
  return s;
}

/* Checks that the lease of target ID ends before a caller of S is back.  */
static void
check_lease (const struct sender *s, const char *id)
{
  int64_t after = fake_port_lease_end_ms (fake_port_target (id)) - s->sent_ms;

  if (after > RETRY_MS)
    printf ("\n  %s: the lease ends %lld ms after the last message of %s", id,
            (long long)after, s->conn.vm);
  CU_ASSERT (after <= RETRY_MS);
}

/* An entry loses power: nothing more comes from it, and no end of its
   connection.  What the dispatcher does 700 ms later no longer reaches the
   target.  */
static void
test_lost_entry (void)
{
  struct job_spec job = make_job ("a");
  struct fixture f;

  fixture_init (&f);
  send_job (&f.first, &job, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  f.first.silent = true;
  run_for (&f, 700);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  check_lease (&f.first, "t1");
  fixture_done (&f);
}

/* The only waiting task of the dispatcher is delegated.  */
static void
on_delegate (void *arg, int64_t now)
{
  struct fixture *f = arg;
  struct run_job *j = f->dispatcher.scheduler.waiting;
  struct job_spec part;

  if (j == NULL || f->delegated)
    return;
  f->delegated = true;
  task_delegation_spec (&(struct delegation_offer){ j, 0, 1, NULL }, now,
                        &part);
  run_scheduler_delegate (&f->dispatcher.scheduler, now, j, 0, 1);
  f->delegating.parent = j;
  send_job (&f->delegating, &part, now);
}

/* The cancellation is lost.  */
static void
on_revoke (void *arg, struct run_job *j)
{
  struct fixture *f = arg;

  (void)j;
  f->delegating.silent = true;
  f->delegating.parent = NULL;
}

/* The entry loses power.  The delegating dispatcher is alive, sends keepalives
   until it has noticed, and its cancellation is lost.  */
static void
test_lost_entry_of_delegated_task (void)
{
  struct job_spec job = make_job ("a");
  struct fixture f;

  fixture_init (&f);
  f.dispatcher.delegation
      = (struct dispatch_delegation){ on_delegate, on_revoke, &f };
  f.dispatcher.scheduler.targets[0]->full_until_ms = INT64_MAX;
  send_job (&f.first, &job, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  f.first.silent = true;
  run_for (&f, RETRY_MS * INT64_C (2));
  CU_ASSERT_EQUAL (fake_port_target ("t2")->starts, 1);
  check_lease (&f.first, "t2");
  fixture_done (&f);
}

/* The target gets no stop, while the job of another entry runs there.  A
   target has one lease for all its runs.  */
static void
test_unanswered_stop (void)
{
  struct job_spec lost = make_job ("a");
  struct job_spec other = make_job ("b");
  struct fixture f;

  fixture_init (&f);
  fake_port_target ("t1")->lose_stops = LOST;
  send_job (&f.first, &lost, now_ms ());
  send_job (&f.second, &other, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 2);
  f.first.silent = true;
  run_for (&f, f.first.sent_ms + RETRY_MS - now_ms () + 1);
  CU_ASSERT_EQUAL (fake_port_running ("a.0.0.0"), 0);
  fixture_done (&f);
}

/* A job arrives late, and nothing more from its entry; the lease of
   the target reaches further already, for the job of another entry.  */
static void
check_late_start (int64_t late_ms)
{
  struct job_spec other = make_job ("a");
  struct job_spec late = make_job ("b");
  struct fixture f;

  fixture_init (&f);
  send_job (&f.first, &other, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  f.second.silent = true;
  send_job (&f.second, &late, now_ms () - late_ms);
  run_for (&f, 10);
  if (fake_port_running ("b.0.0.0") != 0)
    check_lease (&f.second, "t1");
  fixture_done (&f);
}

static void
test_start_under_longer_lease (void)
{
  check_late_start (LATE_MS);
  check_late_start (VERY_LATE_MS);
}

/* A target gets another owner while its lease lasts.  A job that arrives late
   at the new owner, with less left than that, is not started there.  */
static void
test_start_under_earlier_lease (void)
{
  struct job_spec other = make_job ("a");
  struct job_spec late = make_job ("b");
  struct fixture f;

  fixture_init (&f);
  send_job (&f.first, &other, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  own_target (&f.delegate, "t1", 2);
  run_for (&f, SETTLE_MS);
  CU_ASSERT_EQUAL (fake_port_running ("a.0.0.0"), 0);
  f.delegating.silent = true;
  send_job (&f.delegating, &late, now_ms () - VERY_LATE_MS);
  run_for (&f, SETTLE_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  fixture_done (&f);
}

/* The number of seeds to run: that of CI, unless MODEL_SEEDS is set in the
   environment.  */
static uint64_t
model_seeds (void)
{
  const char *text = getenv ("MODEL_SEEDS");

  return text == NULL ? CI_SEEDS : strtoull (text, NULL, 10);
}

static void
print_run (uint64_t seed, const struct lease_run *r)
{
  printf ("\n  seed %llu: %u faults, %u attempts, %u starts, %u delegated, "
          "%u done, %u failed, %u lapsed, latest %lld ms, %s",
          (unsigned long long)seed, r->faults, r->attempts, r->starts,
          r->delegated, r->done, r->failed, r->lapsed, (long long)r->latest_ms,
          r->violation == NULL ? "ok" : r->violation);
}

/* No fault of VMs, connections, callers or targets makes a task run twice.  */
static void
test_model (void)
{
  for (uint64_t seed = 1; seed <= model_seeds (); seed++)
    {
      struct lease_run r = lease_model_run (seed, true, LEASE_NO_DEFECT);

      if (r.violation != NULL || getenv ("MODEL_SEEDS") != NULL)
        print_run (seed, &r);
      CU_ASSERT_PTR_NULL (r.violation);
      CU_ASSERT (r.faults > 10);
      CU_ASSERT (r.done > 5);
      CU_ASSERT (r.delegated > 10);
    }
}

/* Without faults each task runs to its end, which takes longer than a
   lease.  */
static void
test_model_without_faults (void)
{
  for (uint64_t seed = 1; seed <= CI_SEEDS; seed++)
    {
      struct lease_run r = lease_model_run (seed, false, LEASE_NO_DEFECT);

      if (r.violation != NULL || r.failed != 0 || r.lapsed != 0)
        print_run (seed, &r);
      CU_ASSERT_PTR_NULL (r.violation);
      CU_ASSERT_EQUAL (r.failed, 0);
      CU_ASSERT_EQUAL (r.lapsed, 0);
      CU_ASSERT (r.done > 20);
    }
}

/* For each mechanism that is switched off, a check of the simulation fails. */
static void
test_model_finds_defects (void)
{
  for (int defect = LEASE_NO_DEFECT + 1; defect < LEASE_DEFECTS; defect++)
    {
      struct lease_run r = { .violation = NULL };
      uint64_t seed;

      for (seed = 1; seed <= DEFECT_SEEDS && r.violation == NULL; seed++)
        r = lease_model_run (seed, true, (enum lease_defect)defect);
      if (r.violation == NULL)
        printf ("\n  defect %d is not found", defect);
      else if (getenv ("MODEL_SEEDS") != NULL)
        print_run (seed - 1, &r);
      CU_ASSERT_PTR_NOT_NULL (r.violation);
    }
}

/* A target lists a run that this dispatcher does not know, and gets no stop.
   Nobody knows until when that run may go on: the lease is not renewed.  */
static void
test_unknown_run (void)
{
  struct job_spec job = make_job ("a");
  struct fake_target *t = NULL;
  struct fixture f;
  int64_t lease_end;

  fixture_init (&f);
  send_job (&f.first, &job, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  t = fake_port_target ("t1");
  t->lose_stops = LOST;
  t->runs[t->run_count]
      = (struct fake_run){ .task = "b.0.0.0", .run = 1, .running = true };
  t->run_count++;
  run_for (&f, LEASE_LIMIT_MS / 2);
  lease_end = t->lease_end_ms;
  for (int i = 0; i < LEASE_LIMIT_MS && fake_port_running ("b.0.0.0") != 0;
       i++)
    {
      CU_ASSERT_EQUAL (t->lease_end_ms, lease_end);
      run_for (&f, 1);
    }
  CU_ASSERT_EQUAL (fake_port_running ("b.0.0.0"), 0);
  fixture_done (&f);
}

/* An idle target restarts under its id; the dispatcher has not polled it since
   and goes by the clock that it had before.  A task starts there whose entry
   is lost.  */
static void
test_restarted_target (void)
{
  struct job_spec job = make_job ("a");
  struct fake_target *t = NULL;
  struct fixture f;

  fixture_init (&f);
  t = fake_port_target ("t1");
  t->lease_limit_ms = LEASE_LIMIT_MS;
  run_for (&f, LEASE_LIMIT_MS);
  fake_port_restart (t);
  f.first.silent = true;
  send_job (&f.first, &job, now_ms () - VERY_LATE_MS);
  run_for (&f, f.first.sent_ms + RETRY_MS - now_ms () + 1);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  CU_ASSERT_EQUAL (fake_port_running ("a.0.0.0"), 0);
  fixture_done (&f);
}

/* A target restarts under its id while a task runs there.  Its owner, which
   goes by the earlier clock, renews the lease once before it finds out; then a
   task of a job with little more left than the longest lease of owners starts
   there under a new owner, and its entry is lost.  */
static void
test_renewal_of_restarted_target (void)
{
  struct job_spec other = make_job ("a");
  struct job_spec late = make_job ("b");
  struct fake_target *t = NULL;
  struct fixture f;

  fixture_init (&f);
  f.dispatcher.setup.lease_ms = OWNER_LEASE_MS;
  f.delegate.setup.lease_ms = OWNER_LEASE_MS;
  t = fake_port_target ("t1");
  t->lease_limit_ms = LEASE_LIMIT_MS;
  send_job (&f.first, &other, now_ms ());
  run_for (&f, BEFORE_LOSS_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  fake_port_restart (t);
  run_for (&f, 10);
  own_target (&f.delegate, "t1", 2);
  run_for (&f, 5);
  f.delegating.silent = true;
  t->lose_stops = LOST;
  send_job (&f.delegating, &late,
            now_ms () - (JOB_LEASE_MS - OWNER_LEASE_MS - 5));
  run_for (&f, 10);
  CU_ASSERT_EQUAL (fake_port_starts (), 2);
  check_lease (&f.delegating, "t1");
  fixture_done (&f);
}

void
suite_lease (void)
{
  CU_pSuite s = CU_add_suite ("lease", NULL, NULL);

  CU_add_test (s, "a lease outlives the caller's retry", test_lost_entry);
  CU_add_test (s, "a delegate's lease outlives the caller's retry",
               test_lost_entry_of_delegated_task);
  CU_add_test (s, "a lease is renewed while a stop is unanswered",
               test_unanswered_stop);
  CU_add_test (s, "a task starts under a lease of another job that is longer",
               test_start_under_longer_lease);
  CU_add_test (s, "a task starts under a lease of an earlier owner",
               test_start_under_earlier_lease);
  CU_add_test (s, "simulated tasks never run twice", test_model);
  CU_add_test (s, "simulated tasks are done where nothing fails",
               test_model_without_faults);
  CU_add_test (s, "the simulation finds each defect",
               test_model_finds_defects);
  CU_add_test (s, "a lease is renewed for a run that nobody knows",
               test_unknown_run);
  CU_add_test (s, "a task runs on under the clock of an earlier incarnation",
               test_restarted_target);
  CU_add_test (s, "a lease is renewed by the clock of an earlier incarnation",
               test_renewal_of_restarted_target);
}
