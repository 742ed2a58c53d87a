/* What an entry answers to callers about jobs that are cancelled, remembered
   or absent, through its HTTP API.  */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/counters.h"
#include "base/now.h"
#include "platform/front_api.h"
#include "platform/service_config_json.h"
#include "tests/unit/deployment.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  PORT = 17733,
  IDLE_TIMEOUT_MS = 20000,
  TEXT_BYTES = 1024,
  ANSWER_MS = 2500,

  /* Within this time all entries have a cancellation.  */
  SPREAD_MS = 400,

  /* Keepers are certain of the entries from 3 s after their start.  */
  KEEPERS_SETTLE_MS = 3400
};

static const char job_id[] = "0123456789abcdef";
static const char job_path[] = "/q/0123456789abcdef";

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
      "\"path-prefix\":\"/q/\",\"timeout-ms\":20000,"
      "\"target-duration-ms\":60,\"service\":\"svc\"}],"
      "\"services\":[{\"name\":\"svc\"}]}";

/* The next configuration, without the queue of the jobs above.  */
static const char dropped_text[]
    = "{\"version\":8,\"routes\":[{\"name\":\"other\",\"host\":\"h\","
      "\"path-prefix\":\"/other/\",\"timeout-ms\":20000,"
      "\"target-duration-ms\":60,\"service\":\"svc\"}],"
      "\"services\":[{\"name\":\"svc\"}]}";

static const char body_text[]
    = "{\"best-effort\":true,\"steps\":[{\"count\":2,\"cpu\":1000,"
      "\"estimate-ms\":100}]}";

struct fixture
{
  struct deployment deployment;
  struct front_api fronts[ENTRIES];
};

/* A connection and what was received on it so far.  */
struct exchange
{
  int fd;
  char text[TEXT_BYTES];
  size_t length;
};

static void
run_for (struct fixture *f, int64_t ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    deployment_run_step (&f->deployment);
}

static void
use_config (struct fixture *f, const char *text)
{
  struct error e;

  for (int i = 0; i < ENTRIES; i++)
    {
      struct service_config *c = &f->deployment.entries[i]->config;

      service_config_done (c);
      CU_ASSERT_FATAL (
          service_config_json_decode (text, strlen (text), c, &e));
    }
}

static void
fixture_init (struct fixture *f)
{
  struct error e;

  memset (f, 0, sizeof *f);
  deployment_init (&f->deployment);
  for (int i = 0; i < SEEDS; i++)
    deployment_start_keeper (&f->deployment, i);
  for (int i = 0; i < ENTRIES; i++)
    {
      struct node_settings *s = &f->deployment.entry_settings[i];

      s->peer.connections = 100;
      s->peer.body_bytes = TEXT_BYTES;
      s->peer.idle_timeout_ms = IDLE_TIMEOUT_MS;
      memcpy (s->callers.address, s->peer.address, sizeof s->callers.address);
      s->callers.port = PORT;
      deployment_start_entry (&f->deployment, i);
    }
  deployment_run_until_owned (&f->deployment);
  use_config (f, config_text);
  for (int i = 0; i < ENTRIES; i++)
    CU_ASSERT_FATAL (front_api_start (&f->fronts[i], f->deployment.base,
                                      &f->deployment.entry_settings[i],
                                      f->deployment.entries[i], &e));
  run_for (f, KEEPERS_SETTLE_MS);
}

static void
fixture_done (struct fixture *f)
{
  for (int i = 0; i < ENTRIES; i++)
    front_api_done (&f->fronts[i]);
  deployment_done (&f->deployment);
}

/* Sends a request to ENTRY.  */
static void
send_call (struct fixture *f, struct exchange *x, int entry,
           const char *method, const char *path, const char *body)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  char text[TEXT_BYTES];
  int length = snprintf (text, sizeof text,
                         "%s %s HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         method, path, strlen (body), body);

  memset (x, 0, sizeof *x);
  x->fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, f->deployment.entry_settings[entry].callers.address,
             &to.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (x->fd, (const struct sockaddr *)&to, sizeof to), 0);
  CU_ASSERT_EQUAL (send (x->fd, text, (size_t)length, 0), length);
}

/* Waits for the answer on X and returns its status, or 0 if none comes.  */
static int
receive_status (struct fixture *f, struct exchange *x)
{
  int64_t end = now_ms () + ANSWER_MS;
  ssize_t n;

  while (strstr (x->text, "\r\n\r\n") == NULL && now_ms () < end)
    {
      deployment_run_step (&f->deployment);
      n = recv (x->fd, x->text + x->length, sizeof x->text - 1 - x->length,
                MSG_DONTWAIT);
      x->length += n > 0 ? (size_t)n : 0;
    }
  close (x->fd);
  return x->length > sizeof "HTTP/1.1" ? atoi (x->text + sizeof "HTTP/1.1")
                                       : 0;
}

static int
call (struct fixture *f, int entry, const char *method, const char *path,
      const char *body)
{
  struct exchange x;

  send_call (f, &x, entry, method, path, body);
  return receive_status (f, &x);
}

/* The status of a DELETE, repeated by its caller for WAIT_MS if the answer is
   that it is not certain.  */
static int
cancel (struct fixture *f, int entry, const char *path)
{
  int64_t end = now_ms () + WAIT_MS;
  int status;

  do
    status = call (f, entry, "DELETE", path, "");
  while (status == 503 && now_ms () < end);
  return status;
}

static uint32_t
count_running (void)
{
  return fake_port_running ("0123456789abcdef.0.0.0")
         + fake_port_running ("0123456789abcdef.0.0.1");
}

/* Posts the job at ENTRY and waits until its tasks run.  */
static void
post_job (struct fixture *f, struct exchange *x, int entry)
{
  int64_t end = now_ms () + WAIT_MS;

  send_call (f, x, entry, "POST", job_path, body_text);
  while (count_running () < 2 && now_ms () < end)
    deployment_run_step (&f->deployment);
  CU_ASSERT_EQUAL (count_running (), 2);
}

/* A running job is found by its id after its queue was dropped by a new
   configuration, at its entry and at another one; that no job has an id is
   said there too.  Guards against 404 while the job goes on (review case
   10).  */
static void
test_dropped_queue (void)
{
  struct fixture f;
  struct exchange x;
  uint64_t refused;

  fixture_init (&f);
  post_job (&f, &x, 0);
  use_config (&f, dropped_text);
  CU_ASSERT_EQUAL (call (&f, 0, "GET", job_path, ""), 200);
  CU_ASSERT_EQUAL (cancel (&f, 1, job_path), 200);
  run_for (&f, 300);
  CU_ASSERT_EQUAL (count_running (), 0);
  close (x.fd);
  CU_ASSERT_EQUAL (cancel (&f, 0, "/q/00000000000000aa"), 410);
  refused = counters.value[COUNTER_CALLERS_REFUSED];
  CU_ASSERT_EQUAL (call (&f, 0, "DELETE", "/q/none", ""), 404);
  CU_ASSERT_EQUAL (call (&f, 0, "GET", "/q/", ""), 404);
  CU_ASSERT_EQUAL (call (&f, 0, "PUT", "/v1/instances/w1", "{}"), 404);
  /* Each of them can be traced.  */
  CU_ASSERT_EQUAL (counters.value[COUNTER_CALLERS_REFUSED] - refused, 3);
  fixture_done (&f);
}

/* The same where the path now belongs to another queue with a shorter
   prefix, so that what follows the prefix is not an id.  */
static void
test_replaced_queue (void)
{
  struct fixture f;
  struct exchange x;

  fixture_init (&f);
  post_job (&f, &x, 0);
  snprintf (f.deployment.entries[0]->config.queues[0].prefix,
            sizeof f.deployment.entries[0]->config.queues[0].prefix, "/");
  CU_ASSERT_EQUAL (call (&f, 0, "GET", job_path, ""), 200);
  CU_ASSERT_EQUAL (cancel (&f, 0, job_path), 200);
  run_for (&f, 300);
  CU_ASSERT_EQUAL (count_running (), 0);
  close (x.fd);
  CU_ASSERT_PTR_NULL (job_entry_find (f.deployment.entries[0], job_id));
  fixture_done (&f);
}

/* A job that was cancelled is not run when a copy of its request arrives, at
   any entry, and its own request is answered as cancelled.  Guards against a
   run after the cancellation was acknowledged, and against 502, which callers
   repeat (review case 7).  */
static void
test_copy_of_cancelled (void)
{
  struct fixture f;
  struct exchange x;
  uint32_t starts;

  fixture_init (&f);
  post_job (&f, &x, 0);
  CU_ASSERT_EQUAL (cancel (&f, 0, job_path), 200);
  CU_ASSERT_EQUAL (receive_status (&f, &x), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (x.text, "{\"state\":\"cancelled\"}"));
  run_for (&f, SPREAD_MS);
  CU_ASSERT_EQUAL (count_running (), 0);
  starts = fake_port_starts ();
  for (int i = 0; i < ENTRIES; i++)
    {
      send_call (&f, &x, i, "POST", job_path, body_text);
      CU_ASSERT_EQUAL (receive_status (&f, &x), 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (x.text, "{\"state\":\"cancelled\"}"));
    }
  CU_ASSERT_EQUAL (fake_port_starts (), starts);
  fixture_done (&f);
}

/* The same for a job that no entry held when its DELETE was answered 410: its
   request may have been on its way.  */
static void
test_copy_of_absent (void)
{
  struct fixture f;
  struct exchange x;

  fixture_init (&f);
  CU_ASSERT_EQUAL (cancel (&f, 1, job_path), 410);
  run_for (&f, SPREAD_MS);
  for (int i = 0; i < ENTRIES; i++)
    {
      send_call (&f, &x, i, "POST", job_path, body_text);
      CU_ASSERT_EQUAL (receive_status (&f, &x), 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (x.text, "{\"state\":\"cancelled\"}"));
    }
  CU_ASSERT_EQUAL (fake_port_starts (), 0);
  fixture_done (&f);
}

void
suite_absence (void)
{
  CU_pSuite s = CU_add_suite ("absence", NULL, NULL);

  CU_add_test (s, "a job whose queue was dropped is cancelled by its id",
               test_dropped_queue);
  CU_add_test (s, "a job whose path belongs to another queue now",
               test_replaced_queue);
  CU_add_test (s, "a copy of the request of a cancelled job",
               test_copy_of_cancelled);
  CU_add_test (s, "a copy of the request of a job said to be absent",
               test_copy_of_absent);
}
