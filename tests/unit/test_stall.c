/* Processes that stall: a peer that no longer reads its connection, and this
   process after a freeze, with messages that arrived meanwhile.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "base/now.h"
#include "controller/dispatcher.h"
#include "net/peer_network.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  PORT = 17730,
  IDLE_MS = 3200, /* longer than the time-out of an unresponsive peer */
  WAIT_MS = 6000,
  STEP_MS = 20,
  UNRESPONSIVE_MS = 1000,
  LEASE_MS = 1200,  /* of a job, as an entry grants it */
  ECHO_AGE_MS = 900 /* from the echoed stamp to the receipt of a stale job */
};

struct side
{
  struct settings settings;
  struct peer_network *network;
  struct peer_conn *from; /* sender of the last message */
  uint32_t connects;
  uint32_t disconnects;
};

static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct side *s = arg;

  (void)m;
  s->from = from;
}

static void
on_link (void *arg, const char *vm, bool up)
{
  struct side *s = arg;

  (void)vm;
  if (up)
    s->connects++;
  else
    s->disconnects++;
}

static const struct peer_network_events events = { on_message, on_link, NULL };

static void
start_side (struct side *s, struct event_base *base, int host)
{
  struct error e;

  memset (s, 0, sizeof *s);
  snprintf (s->settings.vm, sizeof s->settings.vm, "127.%d.41.%d",
            1 + (int)(getpid () % 250), host);
  memcpy (s->settings.address, s->settings.vm, ADDRESS_BYTES);
  snprintf (s->settings.environment, sizeof s->settings.environment, "test");
  snprintf (s->settings.peer_secret, sizeof s->settings.peer_secret,
            "0123456789abcdef");
  s->settings.peer_port = PORT;
  s->settings.open_membership = true;
  s->network
      = peer_network_new (base, &s->settings, (uint64_t)host, &events, s, &e);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s->network);
}

static void
run_for (struct event_base *base, int64_t ms)
{
  struct timeval t = now_timeval (ms);

  event_base_loopexit (base, &t);
  event_base_dispatch (base);
}

/* One side stops reading.  The other must close the connection, although all
   bytes that it sent are acknowledged by TCP, and a new connection must work.
   A connection that is only idle stays open.  */
static void
test_unresponsive_peer (void)
{
  struct event_base *base = event_base_new ();
  const struct peer_message m = { .type = PEER_KEEPALIVE };
  struct side a;
  struct side b;
  int64_t end;

  start_side (&a, base, 1);
  start_side (&b, base, 2);
  peer_network_connect_address (a.network, b.settings.vm, PORT);
  run_for (base, IDLE_MS);
  CU_ASSERT_EQUAL (a.connects, 1);
  CU_ASSERT_EQUAL (a.disconnects, 0);
  peer_network_send (a.network, b.settings.vm, &m);
  run_for (base, STEP_MS);
  CU_ASSERT_PTR_NOT_NULL (b.from);
  if (b.from != NULL)
    bufferevent_disable (b.from->bev, EV_READ);
  end = now_ms () + WAIT_MS;
  while (a.connects < 2 && now_ms () < end)
    run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (a.disconnects, 1);
  CU_ASSERT_EQUAL (a.connects, 2);
  peer_network_free (a.network);
  peer_network_free (b.network);
  event_base_free (base);
}

static struct peer_message
make_job (uint64_t id, int64_t echo_ms, const msgpack_sbuffer *steps)
{
  struct peer_message m = { .type = PEER_JOB };

  m.u.job = (struct peer_job){ .id = id,
                               .echo_ms = echo_ms,
                               .lease_ms = LEASE_MS,
                               .key = slice_of ("0123456789abcdef"),
                               .queue = slice_of ("q"),
                               .service = slice_of ("svc"),
                               .attempts = 3,
                               .deadline_ms = WAIT_MS,
                               .floor_ms = WAIT_MS,
                               .stretch_milli = 1600,
                               .steps = { steps->data, (uint32_t)steps->size },
                               .payload = slice_of ("") };
  return m;
}

/* After a freeze a dispatcher reads a job that was sent before, by a
   coordinator (the entry that accepted it) that has timed out by now.  The
   coordinator may have given up on the job, and its caller may have retried
   elsewhere, so the job must not start a task.  */
static void
test_stale_job_after_freeze (void)
{
  struct event_base *base = event_base_new ();
  struct dispatcher d;
  struct peer_conn conn = { .references = 1 };
  struct owned_target target = { .fencing_token = 1 };
  struct job_spec spec = { .step_count = 1 };
  struct peer_message keepalive = { .type = PEER_KEEPALIVE };
  struct peer_message job;
  msgpack_sbuffer steps;
  int64_t begin;

  fake_port_reset ();
  snprintf (target.spec.id, sizeof target.spec.id, "t0");
  snprintf (target.spec.address, sizeof target.spec.address, "127.0.0.1:1");
  snprintf (target.spec.service, sizeof target.spec.service, "svc");
  target.spec.cpu_milli = 4000;
  target.spec.memory_mb = 1000;
  target.spec.slots = 8;
  target.spec.started_ms = 1;
  spec.steps[0]
      = (struct job_step){ .count = 1, .cpu_milli = 1000, .estimate_ms = 100 };
  msgpack_sbuffer_init (&steps);
  job_spec_pack_steps (&spec, &steps);
  dispatcher_init (&d, base, &fake_port_ops, UNRESPONSIVE_MS);
  dispatcher_set_targets (&d, now_ms (), &target, 1);
  begin = now_ms ();
  keepalive.u.keepalive.leases = slice_of ("");
  dispatcher_receive (&d, begin, &conn, &keepalive);
  run_for (base, UNRESPONSIVE_MS);
  job = make_job (1, now_ms () - ECHO_AGE_MS, &steps);
  dispatcher_receive (&d, now_ms (), &conn, &job);
  run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 0);
  job = make_job (2, now_ms (), &steps);
  dispatcher_receive (&d, now_ms (), &conn, &job);
  run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  dispatcher_done (&d);
  msgpack_sbuffer_destroy (&steps);
  event_base_free (base);
}

void
suite_stall (void)
{
  CU_pSuite s = CU_add_suite ("stall", NULL, NULL);

  CU_add_test (s, "the connection to an unresponsive peer is replaced",
               test_unresponsive_peer);
  CU_add_test (s, "a job sent before a freeze is refused",
               test_stale_job_after_freeze);
}
