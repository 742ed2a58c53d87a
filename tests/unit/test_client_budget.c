/* Tests of the budget of clients: which request is refused first, and the time
   limits.  */
#include <stdio.h>
#include "base/node_settings.h"
#include "net/client_budget.h"
#include "tests/unit/suites.h"

enum
{
  /* what the kernel of the users' platform holds of a connection unread */
  UNREAD_BYTES = 81920
};

static const struct client_limits limits = { .head_ms = 3000,
                                             .body_ms = 5000,
                                             .answer_ms = 2000,
                                             .idle_ms = 15000,
                                             .budget_bytes = 1 << 20 };

static struct client_request
request (enum client_phase phase, int64_t began_ms, uint64_t bytes)
{
  return (struct client_request){ .phase = phase,
                                  .began_ms = began_ms,
                                  .head_ended_ms = began_ms,
                                  .charged_bytes = bytes };
}

/* Guards against a budget that a client which stops short of its end keeps
   while ordinary clients are refused.  */
static void
test_refused_first (void)
{
  struct client_request stalled = request (CLIENT_BODY, 0, 250000);
  struct client_request quick = request (CLIENT_BODY, 9990, 262144);
  struct client_request slow_head = request (CLIENT_HEAD, 0, 1000);
  struct client_request quick_head = request (CLIENT_HEAD, 9990, 1000);
  struct client_request pending = request (CLIENT_PENDING, 0, 1 << 20);
  struct client_request idle = request (CLIENT_IDLE, 0, 0);

  CU_ASSERT (client_budget_is_worse (&stalled, &quick, 10000));
  CU_ASSERT (!client_budget_is_worse (&quick, &stalled, 10000));
  CU_ASSERT (client_budget_is_worse (&stalled, &slow_head, 10000));
  CU_ASSERT (client_budget_is_worse (&slow_head, &quick_head, 10000));
  CU_ASSERT (!client_budget_is_worse (&quick, &quick, 10000));
  CU_ASSERT (client_budget_is_worse (&quick_head, &pending, 10000));
  CU_ASSERT (!client_budget_is_worse (&pending, &quick_head, 10000));
  CU_ASSERT (!client_budget_may_refuse (&pending));
  CU_ASSERT (!client_budget_may_refuse (&idle));
}

/* Guards against memory that is held by what no ordinary client does: requests
   sent ahead, and answers that are not read.  */
static void
test_excess_yields (void)
{
  struct client_request ahead = request (CLIENT_PENDING, 0, 20000);
  struct client_request waiting = request (CLIENT_PENDING, 0, 20000);
  struct client_request unread = request (CLIENT_ANSWERED, 0, 300);
  struct client_request answered = request (CLIENT_ANSWERED, 9999, 10000);
  struct client_request quick = request (CLIENT_HEAD, 9999, 10000);
  struct client_request body = request (CLIENT_BODY, 0, 1000);

  ahead.excess_bytes = 16000;
  unread.excess_bytes = 300;
  answered.excess_bytes = 300;
  CU_ASSERT (client_budget_may_yield (&ahead));
  CU_ASSERT (client_budget_may_yield (&unread));
  CU_ASSERT (!client_budget_may_yield (&waiting));
  CU_ASSERT (!client_budget_may_refuse (&ahead));
  CU_ASSERT (client_budget_is_worse (&ahead, &body, 10000));
  CU_ASSERT (client_budget_is_worse (&body, &unread, 10000));
  CU_ASSERT (client_budget_is_worse (&unread, &waiting, 10000));
  CU_ASSERT (client_budget_is_worse (&unread, &answered, 10000));
  CU_ASSERT (client_budget_is_worse (&quick, &answered, 10000));
}

/* Guards against a connection that is closed while its job runs.  */
static void
test_closed_first (void)
{
  struct client_request pending = request (CLIENT_PENDING, 0, 1000);
  struct client_request idle = request (CLIENT_IDLE, 500, 0);
  struct client_request old_idle = request (CLIENT_IDLE, 100, 0);
  struct client_request body = request (CLIENT_BODY, 0, 1000);

  CU_ASSERT (client_budget_close_first (&idle, &pending, 1000));
  CU_ASSERT (!client_budget_close_first (&pending, &idle, 1000));
  CU_ASSERT (client_budget_close_first (&old_idle, &idle, 1000));
  CU_ASSERT (client_budget_close_first (&idle, &body, 1000));
  CU_ASSERT (client_budget_close_first (&body, &pending, 1000));
  CU_ASSERT (!client_budget_may_close (&pending, 1000));
}

/* Guards against places that are held by answers which are not read.  */
static void
test_unread_closed_first (void)
{
  struct client_request unread = request (CLIENT_ANSWERED, 500, 300);
  struct client_request older = request (CLIENT_ANSWERED, 400, 300);
  struct client_request answered = request (CLIENT_ANSWERED, 999, 300);
  struct client_request idle = request (CLIENT_IDLE, 0, 0);
  struct client_request ahead = request (CLIENT_PENDING, 0, 20000);

  ahead.excess_bytes = 16000;
  CU_ASSERT (client_budget_close_first (&unread, &idle, 1000));
  CU_ASSERT (client_budget_close_first (&older, &unread, 1000));
  CU_ASSERT (client_budget_close_first (&idle, &answered, 1000));
  CU_ASSERT (client_budget_close_first (&idle, &ahead, 1000));
  CU_ASSERT (client_budget_close_first (&ahead, &answered, 1000));
  CU_ASSERT (client_budget_may_close (&ahead, 1000));
}

static void
test_time_limits (void)
{
  struct client_request r = request (CLIENT_HEAD, 1000, 10);

  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 3999),
                   CLIENT_GOES_ON);
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 4000),
                   CLIENT_HEAD_TOO_SLOW);
  r.phase = CLIENT_BODY;
  r.head_ended_ms = 3500;
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 8499),
                   CLIENT_GOES_ON);
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 8500),
                   CLIENT_BODY_TOO_SLOW);
  r.phase = CLIENT_IDLE;
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 16000),
                   CLIENT_IDLE_TOO_LONG);
  r.phase = CLIENT_PENDING;
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 1 << 30),
                   CLIENT_GOES_ON);
  r.phase = CLIENT_ANSWERED;
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 2999),
                   CLIENT_GOES_ON);
  CU_ASSERT_EQUAL (client_budget_check_time (&limits, &r, 3000),
                   CLIENT_ANSWER_NOT_READ);
}

/* Guards against a cost that counts only the bytes sent: the library keeps
   many times those of short fields.  */
static void
test_cost (void)
{
  struct client_request r = request (CLIENT_HEAD, 0, 0);

  CU_ASSERT_EQUAL (client_budget_cost (&r, 600, 100, 0, 50), 650);
  r.phase = CLIENT_PENDING;
  CU_ASSERT (client_budget_cost (&r, 600, 100, 1000, 50) > 16000);
}

/* Reads settings with the members MORE.  */
static enum settings_error
load_settings (struct node_settings *s, const char *more)
{
  char folder[64];
  char path[96];
  struct error e;
  enum settings_error result;
  FILE *f;

  test_folder_make (folder);
  snprintf (path, sizeof path, "%s/settings.json", folder);
  f = fopen (path, "w");
  fprintf (f,
           "{\"vm\":\"v\",\"role\":\"entry\",\"environment\":\"e\","
           "\"address\":\"127.0.0.1\",\"domain\":\"d\",\"peer_port\":1,"
           "\"peer_secret\":\"0123456789abcdef\",\"callers\":"
           "\"127.0.0.1:2\",\"seeds\":[\"127.0.0.1:3\"],\"first_start\":"
           "true,\"lost_keepers\":1,\"descriptors\":3075,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":2%s}",
           more);
  fclose (f);
  result = node_settings_load (s, path, &e);
  test_folder_remove (folder);
  return result;
}

/* Guards against ports that together take more descriptors or memory than the
   VM has: connections with all that the kernel may hold of each unread, and
   what is read, leave a quarter of it for the process's own state.  */
static void
test_ports (void)
{
  static struct node_settings s;
  static struct settings main_port;
  static struct settings small_port;
  uint32_t all;

  CU_ASSERT_EQUAL (load_settings (&s, ",\"memory_mb\":120,\"clients\":{"
                                      "\"header_bytes\":4096,\"later\":[],"
                                      "\"body_timeout_ms\":5000}"),
                   SETTINGS_OK);
  node_settings_port (&s, &s.callers, NODE_PORT_MAIN, &main_port);
  node_settings_port (&s, &s.readiness, NODE_PORT_SMALL, &small_port);
  all = main_port.connections + 2 * small_port.connections;
  CU_ASSERT (all <= 3075 - 800);
  CU_ASSERT (main_port.connections >= 400);
  CU_ASSERT (small_port.connections >= 30);
  all += main_port.backlog + 2 * small_port.backlog;
  CU_ASSERT ((uint64_t)all * UNREAD_BYTES + main_port.client_bytes
                 + 2 * small_port.client_bytes
             <= 90 << 20);
  CU_ASSERT_EQUAL (main_port.client_bytes, 30 << 20);
  CU_ASSERT_EQUAL (small_port.client_bytes, (120 << 20) / 32);
  CU_ASSERT_EQUAL (main_port.head_bytes, 4096);
  CU_ASSERT_EQUAL (main_port.body_timeout_ms, 5000);
  CU_ASSERT_EQUAL (main_port.body_bytes, 1 << 20);
  CU_ASSERT_EQUAL (load_settings (&s, ""), SETTINGS_OK);
  node_settings_port (&s, &s.callers, NODE_PORT_MAIN, &main_port);
  CU_ASSERT_EQUAL (main_port.client_bytes, 0);
  CU_ASSERT (main_port.connections >= 2000);
  CU_ASSERT_EQUAL (load_settings (&s, ",\"clients\":[]"), SETTINGS_INVALID);
  CU_ASSERT_EQUAL (load_settings (&s, ",\"clients\":{\"body_bytes\":0}"),
                   SETTINGS_INVALID);
}

void
suite_client_budget (void)
{
  CU_pSuite s = CU_add_suite ("client budget", NULL, NULL);

  CU_add_test (s, "which request is refused first", test_refused_first);
  CU_add_test (s, "what is sent ahead and not read", test_excess_yields);
  CU_add_test (s, "which connection is closed first", test_closed_first);
  CU_add_test (s, "answers that are not read", test_unread_closed_first);
  CU_add_test (s, "time limits", test_time_limits);
  CU_add_test (s, "what a request costs", test_cost);
  CU_add_test (s, "the ports' shares of a VM", test_ports);
}
