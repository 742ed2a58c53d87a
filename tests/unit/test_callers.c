/* Leases of jobs whose callers leave while the event loop is slow: several of
   its passes are needed to read all connections, and the entry's tick runs in
   each.  The clock stands still, but for what each pass takes.  */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include "base/now.h"
#include "controller/entry_leases.h"
#include "controller/routed_job.h"
#include "platform/front_api.h"
#include "platform/service_config_json.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/suites.h"

enum
{
  PORT = 17732,
  IDLE_TIMEOUT_MS = 10000,

  /* Connections without a request that end at once with those of callers: more
     than libevent reads in two passes.  */
  CROWD = 200,
  CALLERS = 4,

  PASS_MS = 30, /* more than the interval of the entry's ticks */
  PASSES = 12,
  SETTLE_STEPS = 20,

  LONG_DEADLINE_MS = 20000,
  SHORT_DEADLINE_MS = 500,
  REQUEST_BYTES = 512
};

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
      "\"path-prefix\":\"/q/\",\"timeout-ms\":20000,"
      "\"target-duration-ms\":60,\"service\":\"svc\"}],"
      "\"services\":[{\"name\":\"svc\"}]}";

static const char body_text[]
    = "{\"best-effort\":true,\"steps\":[{\"count\":1,\"cpu\":100,"
      "\"estimate-ms\":100}]}";

/* An entry that owns all targets, with its callers.  */
struct fixture
{
  struct deployment deployment;
  struct job_entry *entry;
  struct front_api front;
  struct event *slow;  /* takes PASS_MS in each pass */
  struct event *check; /* runs last in each pass */
  uint32_t passes;
  int64_t latest_end_ms; /* no lease may end later */
  int64_t latest_excess_ms;
  uint32_t jobs_seen;
  int crowd[CROWD];
  int callers[CALLERS];
};

static void
on_slow (evutil_socket_t fd, short what, void *arg)
{
  struct fixture *f = arg;

  (void)fd;
  (void)what;
  fake_clock_advance (PASS_MS);
  event_active (f->check, EV_TIMEOUT, 0);
}

static void
on_check (evutil_socket_t fd, short what, void *arg)
{
  struct fixture *f = arg;
  const struct routed_job *j;

  (void)fd;
  (void)what;
  DL_FOREACH (f->entry->jobs, j)
  {
    int64_t excess = entry_leases_own_end_ms (f->entry, j) - f->latest_end_ms;

    f->jobs_seen++;
    if (excess > f->latest_excess_ms)
      f->latest_excess_ms = excess;
  }
  if (++f->passes == PASSES)
    event_base_loopbreak (f->deployment.base);
}

static void
run_steps (struct fixture *f, int steps)
{
  for (int i = 0; i < steps; i++)
    deployment_run_step (&f->deployment);
}

static void
fixture_init (struct fixture *f)
{
  struct node_settings *s = &f->deployment.entry_settings[0];
  struct error e;

  memset (f, 0, sizeof *f);
  deployment_init (&f->deployment);
  s->peer.connections = 2 * CROWD;
  s->peer.body_bytes = 1000;
  s->peer.idle_timeout_ms = IDLE_TIMEOUT_MS;
  snprintf (s->callers.address, sizeof s->callers.address, "%s",
            s->peer.address);
  s->callers.port = PORT;
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&f->deployment, i);
  deployment_start_entry (&f->deployment, 0);
  deployment_run_until_owned (&f->deployment);
  f->entry = f->deployment.entries[0];
  run_steps (f, SETTLE_STEPS);
  service_config_done (&f->entry->config);
  CU_ASSERT_FATAL (service_config_json_decode (
      config_text, strlen (config_text), &f->entry->config, &e));
  CU_ASSERT_FATAL (
      front_api_start (&f->front, f->deployment.base, s, f->entry, &e));
  f->check = event_new (f->deployment.base, -1, 0, on_check, f);
  f->slow = event_new (f->deployment.base, -1, EV_PERSIST, on_slow, f);
}

static void
fixture_done (struct fixture *f)
{
  event_free (f->slow);
  event_free (f->check);
  front_api_done (&f->front);
  deployment_done (&f->deployment);
  fake_clock_resume ();
}

static int
connect_caller (const struct fixture *f)
{
  const struct node_settings *s = &f->deployment.entry_settings[0];
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, s->callers.address, &to.sin_addr);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (const struct sockaddr *)&to, sizeof to),
                         0);
  return fd;
}

static void
send_request (int fd, int number, int64_t deadline_ms)
{
  char text[REQUEST_BYTES];
  int length = snprintf (text, sizeof text,
                         "POST /q/%016x HTTP/1.1\r\nHost: h\r\n"
                         "X-Ragwortline-Deadline-Ms: %lld\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         (unsigned)number, (long long)deadline_ms,
                         sizeof body_text - 1, body_text);

  CU_ASSERT_EQUAL (send (fd, text, (size_t)length, 0), length);
}

/* The crowd connects, few at a time: the number of events that libevent reads
   in a pass grows with the most that were ready.  */
static void
connect_crowd (struct fixture *f)
{
  for (int i = 0; i < CROWD; i++)
    {
      f->crowd[i] = connect_caller (f);
      if (i % 8 == 0)
        run_steps (f, 1);
    }
  run_steps (f, SETTLE_STEPS);
}

static void
close_crowd (struct fixture *f)
{
  for (int i = 0; i < CROWD; i++)
    close (f->crowd[i]);
}

/* Runs the loop with slow passes.  */
static void
run_slowly (struct fixture *f)
{
  const struct timeval soon = { 0, 1 };

  event_add (f->slow, &soon);
  fake_clock_advance (1);
  event_base_dispatch (f->deployment.base);
  event_del (f->slow);
}

/* All connections end at once, those of the callers last.  */
static void
test_many_ends (void)
{
  struct fixture f;

  fixture_init (&f);
  connect_crowd (&f);
  for (int i = 0; i < CALLERS; i++)
    {
      f.callers[i] = connect_caller (&f);
      send_request (f.callers[i], i, LONG_DEADLINE_MS);
    }
  run_steps (&f, SETTLE_STEPS);
  CU_ASSERT_EQUAL (f.entry->job_count, CALLERS);
  fake_clock_stop ();
  close_crowd (&f);
  for (int i = 0; i < CALLERS; i++)
    close (f.callers[i]);
  f.latest_end_ms = now_ms () + f.entry->lease_limit_ms;
  run_slowly (&f);
  CU_ASSERT_EQUAL (f.latest_excess_ms, 0);
  CU_ASSERT_EQUAL (f.entry->job_count, 0);
  fixture_done (&f);
}

/* A caller connects, sends its request and leaves before the loop turns.  */
static void
test_caller_left_before_read (void)
{
  struct fixture f;
  int fd;

  fixture_init (&f);
  fake_clock_stop ();
  fd = connect_caller (&f);
  send_request (fd, 1, LONG_DEADLINE_MS);
  close (fd);
  f.latest_end_ms = now_ms () + f.entry->lease_limit_ms;
  run_slowly (&f);
  CU_ASSERT_EQUAL (f.latest_excess_ms, 0);
  CU_ASSERT_EQUAL (f.entry->job_count, 0);
  fixture_done (&f);
}

/* A request is read some passes after it was sent, on a connection that was
   open before or on a new one.  */
static void
check_late_read (bool is_new)
{
  struct fixture f;
  int fd = -1;

  fixture_init (&f);
  connect_crowd (&f);
  if (!is_new)
    fd = connect_caller (&f);
  run_steps (&f, 1);
  fake_clock_stop ();
  close_crowd (&f);
  if (is_new)
    fd = connect_caller (&f);
  send_request (fd, 1, SHORT_DEADLINE_MS);
  f.latest_end_ms = now_ms () + SHORT_DEADLINE_MS + JOB_LEASE_STOP_MS;
  run_slowly (&f);
  CU_ASSERT (f.jobs_seen > 0);
  CU_ASSERT_EQUAL (f.latest_excess_ms, 0);
  close (fd);
  fixture_done (&f);
}

static void
test_late_read (void)
{
  check_late_read (false);
}

static void
test_late_accept (void)
{
  check_late_read (true);
}

void
suite_callers (void)
{
  CU_pSuite s = CU_add_suite ("callers", NULL, NULL);

  CU_add_test (s, "a lease is renewed after the unread end of a connection",
               test_many_ends);
  CU_add_test (s, "a job is accepted after its caller has left",
               test_caller_left_before_read);
  CU_add_test (s, "a lease outlives the caller of a request that lay unread",
               test_late_read);
  CU_add_test (s, "a lease outlives the caller of a connection not accepted",
               test_late_accept);
}
