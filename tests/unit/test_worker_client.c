/* The client of the platform's workers against a worker in this process that
   restarts under its id: which incarnation carries out what is sent; and the
   decision behind it (coord/target_channel).  */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <jansson.h>
#include "base/now.h"
#include "coord/target_channel.h"
#include "platform/worker_client.h"
#include "tests/unit/suites.h"

enum
{
  NOW = 100000,
  BORN_MS = 1700000,
  CLOCK_MS = 50000, /* of the first incarnation */
  WAIT_MS = 3000,
  SETTLE_MS = 30, /* until a closed connection is noticed */
  STATUS_OK = 200
};

/* A worker that counts what it carries out.  */
struct worker
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  int64_t born_ms; /* 0: not told */
  int64_t clock_zero_ms;
  bool closes; /* each connection with its answer */
  bool mute;   /* carries out calls but does not answer */
  uint32_t starts;
  uint32_t stops;
  uint32_t polls;
  uint32_t renewals; /* polls that requested a lease */
};

struct fixture
{
  struct event_base *base;
  struct worker worker;
  struct target_port *port;
  struct run_job job;
  uint32_t answers;
  struct port_reply reply; /* the last answer */
};

static void
send_answer (struct worker *w, struct evhttp_request *req)
{
  struct evbuffer *out = evhttp_request_get_output_buffer (req);

  evbuffer_add_printf (out, "{\"clock-ms\":%lld",
                       (long long)(now_ms () - w->clock_zero_ms));
  if (w->born_ms != 0)
    evbuffer_add_printf (out, ",\"born\":%lld", (long long)w->born_ms);
  evbuffer_add_printf (out, ",\"running-tasks\":[],\"ended\":[]}");
  if (w->closes)
    evhttp_add_header (evhttp_request_get_output_headers (req), "Connection",
                       "close");
  evhttp_send_reply (req, STATUS_OK, "OK", NULL);
}

static void
on_request (struct evhttp_request *req, void *arg)
{
  struct worker *w = arg;
  const char *path = evhttp_request_get_uri (req);
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  json_t *body = json_loadb ((char *)evbuffer_pullup (in, -1),
                             evbuffer_get_length (in), 0, NULL);

  w->starts += strcmp (path, "/v1/run-start") == 0;
  w->stops += strcmp (path, "/v1/run-stop") == 0;
  w->polls += strcmp (path, "/v1/hold") == 0;
  w->renewals += strcmp (path, "/v1/hold") == 0
                 && json_object_get (body, "until-ms") != NULL;
  json_decref (body);
  if (!w->mute)
    send_answer (w, req);
}

static void
worker_listen (struct worker *w)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;

  w->http = evhttp_new (w->base);
  evhttp_set_gencb (w->http, on_request, w);
  bound = evhttp_bind_socket_with_handle (w->http, "127.0.0.1", w->port);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bound);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&a,
               &size);
  w->port = ntohs (a.sin_port);
}

static void
run_for (struct fixture *f, int64_t ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    event_base_loop (f->base, EVLOOP_NONBLOCK);
}

/* The worker ends, with its connections, and starts again under its id.  */
static void
worker_restart (struct fixture *f)
{
  struct worker *w = &f->worker;

  evhttp_free (w->http);
  if (w->born_ms != 0)
    w->born_ms += CLOCK_MS;
  w->clock_zero_ms = now_ms ();
  worker_listen (w);
  run_for (f, SETTLE_MS);
}

static void
await_answers (struct fixture *f, uint32_t count)
{
  int64_t end = now_ms () + WAIT_MS;

  while (f->answers < count && now_ms () < end)
    event_base_loop (f->base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (f->answers, count);
}

static void
on_answer (void *arg, const struct port_reply *reply)
{
  struct fixture *f = arg;

  f->answers++;
  f->reply = *reply;
}

static void
on_polled (void *arg, const struct port_poll_reply *poll)
{
  on_answer (arg, &poll->reply);
}

static void
poll_worker (struct fixture *f, int64_t lease_end_ms)
{
  struct port_poll_request request
      = { .fencing_token = 7, .lease_end_ms = lease_end_ms };

  worker_client_ops.poll (f->port, &request, on_polled, f);
}

static void
start_task (struct fixture *f, int64_t lease_end_ms)
{
  struct port_start s = { .task = "k.0.0.0",
                          .run = 1,
                          .fencing_token = 7,
                          .lease_end_ms = lease_end_ms,
                          .job = &f->job };

  worker_client_ops.start (f->port, &s, on_answer, f);
}

/* A client that has polled a worker, which tells when it was started if
   BORN_MS is not 0.  */
static void
fixture_init (struct fixture *f, int64_t born_ms)
{
  struct run_target_spec spec;

  memset (f, 0, sizeof *f);
  memset (&spec, 0, sizeof spec);
  f->base = event_base_new ();
  f->worker.base = f->base;
  f->worker.born_ms = born_ms;
  f->worker.clock_zero_ms = now_ms () - CLOCK_MS;
  worker_listen (&f->worker);
  f->job.wire_payload = "\"text\"";
  snprintf (spec.id, sizeof spec.id, "w");
  snprintf (spec.address, sizeof spec.address, "127.0.0.1:%u", f->worker.port);
  spec.started_ms = born_ms;
  f->port = worker_client_ops.open (f->base, &spec);
  poll_worker (f, 0);
  await_answers (f, 1);
  CU_ASSERT_EQUAL (f->reply.outcome, PORT_DONE);
}

static void
fixture_done (struct fixture *f)
{
  worker_client_ops.close (f->port);
  evhttp_free (f->worker.http);
  event_base_free (f->base);
}

/* Guards against a task that runs twice: a start by the clock of an earlier
   incarnation lasts at the later one for its longest lease.  */
static void
test_start_after_restart (void)
{
  static const int64_t born[] = { BORN_MS, 0 };

  for (int i = 0; i < 2; i++)
    {
      struct fixture f;

      fixture_init (&f, born[i]);
      worker_restart (&f);
      start_task (&f, CLOCK_MS + WAIT_MS);
      await_answers (&f, 2);
      CU_ASSERT_EQUAL (f.worker.starts, 0);
      CU_ASSERT_EQUAL (f.reply.outcome, PORT_OTHER_INCARNATION);
      CU_ASSERT_TRUE (f.reply.never_sent);
      fixture_done (&f);
    }
}

/* Guards against a run of a later incarnation that is prolonged by the clock
   of the earlier one.  */
static void
test_renewal_after_restart (void)
{
  struct fixture f;

  fixture_init (&f, BORN_MS);
  worker_restart (&f);
  poll_worker (&f, CLOCK_MS + WAIT_MS);
  await_answers (&f, 2);
  CU_ASSERT_EQUAL (f.worker.renewals, 0);
  CU_ASSERT_EQUAL (f.reply.outcome, PORT_OTHER_INCARNATION);
  fixture_done (&f);
}

/* A start that nobody answered is known not to have been sent: its task may
   start elsewhere at once.  */
static void
test_start_to_silent_worker (void)
{
  struct fixture f;

  fixture_init (&f, BORN_MS);
  worker_restart (&f);
  f.worker.mute = true;
  start_task (&f, CLOCK_MS + WAIT_MS);
  await_answers (&f, 2);
  CU_ASSERT_EQUAL (f.worker.starts, 0);
  CU_ASSERT_EQUAL (f.reply.outcome, PORT_NOT_SENT);
  CU_ASSERT_TRUE (f.reply.never_sent);
  fixture_done (&f);
}

/* An answer says nothing of the next connection.  */
static void
test_closed_with_answer (void)
{
  struct fixture f;

  fixture_init (&f, BORN_MS);
  f.worker.closes = true;
  poll_worker (&f, 0);
  await_answers (&f, 2);
  start_task (&f, CLOCK_MS + WAIT_MS);
  await_answers (&f, 3);
  CU_ASSERT_EQUAL (f.worker.starts, 0);
  CU_ASSERT_EQUAL (f.reply.outcome, PORT_NOT_SENT);
  fixture_done (&f);
}

/* Where nothing fails a start is one call, on a connection that was used
   before; a further connection costs one poll.  */
static void
test_calls_in_calm (void)
{
  struct fixture f;

  fixture_init (&f, BORN_MS);
  start_task (&f, CLOCK_MS + WAIT_MS);
  await_answers (&f, 2);
  CU_ASSERT_EQUAL (f.worker.polls, 1);
  CU_ASSERT_EQUAL (f.reply.connection.answers, 1);
  CU_ASSERT_FALSE (f.reply.never_sent);
  start_task (&f, CLOCK_MS + WAIT_MS);
  start_task (&f, CLOCK_MS + WAIT_MS);
  await_answers (&f, 4);
  CU_ASSERT_EQUAL (f.worker.polls, 2);
  CU_ASSERT_EQUAL (f.worker.starts, 3);
  fixture_done (&f);
}

/* A run that is stopped while the start waits for a probe never begins.  */
static void
test_stop_before_start (void)
{
  struct fixture f;

  fixture_init (&f, BORN_MS);
  poll_worker (&f, 0);
  start_task (&f, CLOCK_MS + WAIT_MS);
  worker_client_ops.stop (f.port, "k.0.0.0", 1, 7, on_answer, &f);
  await_answers (&f, 4);
  CU_ASSERT_EQUAL (f.worker.starts, 0);
  CU_ASSERT_EQUAL (f.worker.stops, 1);
  fixture_done (&f);
}

static struct channel_answer
answer_of (int64_t clock_ms, int64_t sent_ms)
{
  return (struct channel_answer){ .clock_ms = clock_ms,
                                  .sent_ms = sent_ms,
                                  .received_ms = sent_ms + 2 };
}

/* A lease is requested only where the known incarnation has answered, and only
   before its end.  */
static void
test_channel (void)
{
  struct target_clock clock = { false, 0, 0 };
  struct target_channel first = { false };
  struct target_channel second = { false };
  struct channel_answer a = answer_of (CLOCK_MS, NOW);

  CU_ASSERT_EQUAL (
      target_channel_step (&first, &clock, CLOCK_MS + 320, NOW + 2),
      CHANNEL_PROBE);
  CU_ASSERT_TRUE (target_channel_answered (&first, &clock, &a));
  CU_ASSERT_EQUAL (
      target_channel_step (&first, &clock, CLOCK_MS + 320, NOW + 2),
      CHANNEL_SEND);
  CU_ASSERT_EQUAL (
      target_channel_step (&second, &clock, CLOCK_MS + 320, NOW + 2),
      CHANNEL_PROBE);
  CU_ASSERT_EQUAL (
      target_channel_step (&first, &clock, CLOCK_MS + 320, NOW + 2 + 400),
      CHANNEL_DROP);
  a = answer_of (200, NOW + 300);
  CU_ASSERT_FALSE (target_channel_answered (&second, &clock, &a));
  CU_ASSERT_FALSE (second.confirmed);
  CU_ASSERT_EQUAL (clock.clock_ms, CLOCK_MS);
  a.is_named = true;
  CU_ASSERT_TRUE (target_channel_answered (&second, &clock, &a));
  CU_ASSERT_EQUAL (clock.clock_ms, CLOCK_MS);
}

void
suite_worker_client (void)
{
  CU_pSuite s = CU_add_suite ("worker client", NULL, NULL);

  CU_add_test (s, "a start by the clock of an earlier incarnation",
               test_start_after_restart);
  CU_add_test (s, "a renewal by the clock of an earlier incarnation",
               test_renewal_after_restart);
  CU_add_test (s, "a start that was never sent", test_start_to_silent_worker);
  CU_add_test (s, "a connection that ends with its answer",
               test_closed_with_answer);
  CU_add_test (s, "calls where nothing fails", test_calls_in_calm);
  CU_add_test (s, "a stop before its start was sent", test_stop_before_start);
  CU_add_test (s, "a lease only where the known incarnation has answered",
               test_channel);
}
