/* Connections that fall silent, and what was under way while this process
   stood still.  */
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
  QUIET_MS = 3200, /* longer than a silent connection lives */
  WAIT_MS = 6000,
  STEP_MS = 20,
  SILENT_MS = 1000, /* longer than a coordinator's jobs live unheard */
  UNDER_WAY_MS = 900
};

struct side
{
  struct settings settings;
  struct peer_network *network;
  struct peer_conn *from; /* of the last message */
  uint32_t ups;
  uint32_t downs;
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
    s->ups++;
  else
    s->downs++;
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

/* One side stops reading: the other finds out without any bytes of its own
   unacknowledged, and a new connection works.  A quiet one is left alone.  */
static void
test_silent_connection (void)
{
  struct event_base *base = event_base_new ();
  const struct peer_message m = { .type = PEER_KEEPALIVE };
  struct side a;
  struct side b;
  int64_t end;

  start_side (&a, base, 1);
  start_side (&b, base, 2);
  peer_network_connect_address (a.network, b.settings.vm, PORT);
  run_for (base, QUIET_MS);
  CU_ASSERT_EQUAL (a.ups, 1);
  CU_ASSERT_EQUAL (a.downs, 0);
  peer_network_send (a.network, b.settings.vm, &m);
  run_for (base, STEP_MS);
  CU_ASSERT_PTR_NOT_NULL (b.from);
  if (b.from != NULL)
    bufferevent_disable (b.from->bev, EV_READ);
  end = now_ms () + WAIT_MS;
  while (a.ups < 2 && now_ms () < end)
    run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (a.downs, 1);
  CU_ASSERT_EQUAL (a.ups, 2);
  peer_network_free (a.network);
  peer_network_free (b.network);
  event_base_free (base);
}

static struct peer_message
make_order (uint64_t id, int64_t sent_ms, const msgpack_sbuffer *steps)
{
  struct peer_message m = { .type = PEER_JOB };

  m.u.job = (struct peer_job){ .id = id,
                               .sent_ms = sent_ms,
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

/* A VM that stood still finds an order on a connection whose sender it counts
   as silent by then: the sender has given the order up, and its caller may
   have come back elsewhere.  */
static void
test_order_from_before_a_freeze (void)
{
  struct event_base *base = event_base_new ();
  struct dispatcher d;
  struct peer_conn conn = { .references = 1 };
  struct owned_target target = { .fencing_token = 1 };
  struct job_spec spec = { .step_count = 1 };
  struct peer_message keep = { .type = PEER_KEEPALIVE };
  struct peer_message order;
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
  dispatcher_init (&d, base, &fake_port_ops, SILENT_MS);
  dispatcher_set_targets (&d, now_ms (), &target, 1);
  begin = now_ms ();
  keep.u.keepalive.sent_ms = begin;
  dispatcher_receive (&d, begin, &conn, &keep);
  run_for (base, SILENT_MS);
  order = make_order (1, now_ms () - UNDER_WAY_MS, &steps);
  dispatcher_receive (&d, now_ms (), &conn, &order);
  run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 0);
  order = make_order (2, now_ms (), &steps);
  dispatcher_receive (&d, now_ms (), &conn, &order);
  run_for (base, STEP_MS);
  CU_ASSERT_EQUAL (fake_port_starts (), 1);
  dispatcher_done (&d);
  msgpack_sbuffer_destroy (&steps);
  event_base_free (base);
}

void
suite_silence (void)
{
  CU_pSuite s = CU_add_suite ("silence", NULL, NULL);

  CU_add_test (s, "a silent connection is made anew", test_silent_connection);
  CU_add_test (s, "an order from before a freeze is refused",
               test_order_from_before_a_freeze);
}
