/* Tests of the decoders in platform/: valid, missing, mistyped, truncated and
   oversized input, and randomly corrupted valid input.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_size.h"
#include "platform/service_config_json.h"
#include "platform/heartbeat.h"
#include "platform/job_request.h"
#include "platform/worker_reply.h"
#include "tests/unit/suites.h"

static const char valid_job[]
    = "{\"spec\":\"text\",\"best-effort\":true,\"steps\":[{\"count\":4,"
      "\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":900},{\"count\":2,"
      "\"cpu\":2000,\"after\":[0],\"required-label\":\"a\"}]}";

static const char valid_heartbeat[]
    = "{\"service\":\"huvo\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":17,"
      "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-3\"],\"clock-ms\":482113,\"seq\":4,"
      "\"cold-remaining-ms\":1500}";

static const char valid_config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\","
      "\"path-prefix\":\"/a/\",\"type\":\"unsafe\",\"timeout-ms\":1500,"
      "\"target-duration-ms\":60,\"priority\":2,\"service\":\"huvo\","
      "\"max-attempts\":4,\"stretch\":1.6},{\"name\":\"r2\",\"host\":"
      "\"h.example\",\"path-prefix\":\"/a/b/\",\"timeout-ms\":900,"
      "\"service\":\"huvo\"}],\"services\":[{\"name\":\"huvo\","
      "\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}";

static const char valid_poll_reply[]
    = "{\"clock-ms\":482113,\"born\":17,\"running-tasks\":[[\"k.0.1.17\",2,"
      "\"\",41]],\"ended\":[[58,\"k.0.1.9\",1,\"done\",\"\"]]}";

static const struct queue_rule queue
    = { .name = "r1", .service = "huvo", .attempts = 4, .floor_ms = 60 };

/* Decodes TEXT as a job into SPEC.  Errors are described in E.  */
static enum decode_error
decode_job (const char *text, struct job_spec *spec, struct error *e)
{
  json_t *body;
  enum decode_error status = job_request_decode (
      spec, &body, text, strlen (text), "5c0e7a21d94b36f8", &queue, e);

  json_decref (body);
  return status;
}

static void
test_job (void)
{
  struct job_spec spec;
  struct error e;

  CU_ASSERT_EQUAL (decode_job (valid_job, &spec, &e), DECODE_OK);
  CU_ASSERT_EQUAL (spec.step_count, 2);
  CU_ASSERT_EQUAL (spec.steps[0].cpu_milli, 500);
  CU_ASSERT_EQUAL (spec.steps[1].after, 1);
  CU_ASSERT_STRING_EQUAL (spec.steps[1].label, "a");
  CU_ASSERT_EQUAL (spec.attempts, 4);
  CU_ASSERT (job_request_is_id ("5c0e7a21d94b36f8"));
  CU_ASSERT_FALSE (job_request_is_id ("5c0e7a21d94b36f"));
  CU_ASSERT_FALSE (job_request_is_id ("5c0e7a21d94b36fg"));
  CU_ASSERT_FALSE (job_request_is_id (""));
}

/* An invalid body, and a text that its error message must contain.  */
struct invalid_input
{
  const char *text;
  enum decode_error status;
  const char *message_part;
};

static void
test_invalid_jobs (void)
{
  static const struct invalid_input invalid[] = {
    { "", DECODE_UNREADABLE, "body" },
    { "[]", DECODE_UNREADABLE, "not an object" },
    { "{\"spec\":\"x\"", DECODE_UNREADABLE, "body" },
    { "{\"best-effort\":true}", DECODE_FIELD, "steps: is missing" },
    { "{\"best-effort\":true,\"steps\":{}}", DECODE_FIELD, "steps" },
    { "{\"best-effort\":true,\"steps\":[]}", DECODE_FIELD, "steps" },
    { "{\"best-effort\":true,\"steps\":[7]}", DECODE_FIELD, "steps[0]" },
    { "{\"best-effort\":true,\"steps\":[{\"cpu\":\"x\"}]}", DECODE_FIELD,
      "steps[0].cpu" },
    { "{\"best-effort\":true,\"steps\":[{\"count\":0}]}", DECODE_FIELD,
      "steps[0].count" },
    { "{\"best-effort\":true,\"steps\":[{\"count\":400},{\"count\":400}]}",
      DECODE_FIELD, "more than" },
    { "{\"best-effort\":true,\"steps\":[{\"after\":[0]}]}", DECODE_FIELD,
      "steps[0].after" },
    { "{\"best-effort\":1,\"steps\":[{}]}", DECODE_FIELD, "best-effort" },
    { "{\"spec\":7,\"best-effort\":true,\"steps\":[{}]}", DECODE_FIELD,
      "spec" },
    { "{\"steps\":[{}]}", DECODE_UNSUPPORTED, "best-effort" },
    { "{\"best-effort\":true,\"steps\":[{\"gang\":true}]}", DECODE_UNSUPPORTED,
      "steps[0].gang" },
    { "{\"best-effort\":true,\"repeat-count\":3,\"steps\":[{}]}",
      DECODE_UNSUPPORTED, "repeat-count" },
  };

  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    {
      struct job_spec spec;
      struct error e;

      CU_ASSERT_EQUAL (decode_job (invalid[i].text, &spec, &e),
                       invalid[i].status);
      CU_ASSERT_PTR_NOT_NULL (strstr (e.message, invalid[i].message_part));
    }
}

static enum decode_error
decode_heartbeat (const char *text, struct run_target_spec *t, struct error *e)
{
  return heartbeat_decode (t, "i-1", text, strlen (text), e);
}

/* Guards against bodies of small values, which are decoded into many times
   their bytes.  */
static void
test_json_size (void)
{
  static char text[1 << 20];
  struct run_target_spec t;
  struct error e;
  size_t n = 0;

  CU_ASSERT (json_size_is_within ("{\"a\":[1,2]}", 11, 4));
  CU_ASSERT (!json_size_is_within ("{\"a\":[1,2]}", 11, 3));
  CU_ASSERT (json_size_is_within ("\",,\\\",,[{:\"", 12, 0));
  CU_ASSERT (json_size_is_within ("\",,\\", 5, 0));
  CU_ASSERT (json_size_is_within ("", 0, 0));
  n += (size_t)snprintf (text, sizeof text, "{\"x\":[{}");
  while (n < sizeof text - 8)
    n += (size_t)snprintf (text + n, sizeof text - n, ",{}");
  snprintf (text + n, sizeof text - n, "]}");
  CU_ASSERT_EQUAL (decode_heartbeat (text, &t, &e), DECODE_UNREADABLE);
}

static void
test_heartbeat (void)
{
  struct run_target_spec t;
  struct error e;

  CU_ASSERT_EQUAL (decode_heartbeat (valid_heartbeat, &t, &e), DECODE_OK);
  CU_ASSERT_STRING_EQUAL (t.domain, "a");
  CU_ASSERT_EQUAL (t.cpu_milli, 16000);
  CU_ASSERT_EQUAL (t.started_ms, 17);
  CU_ASSERT_EQUAL (t.sequence, 4);
  CU_ASSERT_EQUAL (t.label_count, 2);
  CU_ASSERT_FALSE (t.draining);
  CU_ASSERT_EQUAL (t.cold_until_ms, 1500);
  CU_ASSERT_EQUAL (
      decode_heartbeat ("{\"service\":\"s\",\"address\":\"10.0.0.1:1\","
                        "\"zone\":\"a\",\"slots\":8,\"state\":\"ready\","
                        "\"cold-remaining-ms\":-1,\"capacity\":{\"cpu\":1,"
                        "\"mem-mb\":1}}",
                        &t, &e),
      DECODE_OK);
  CU_ASSERT_EQUAL (t.cold_until_ms, 0);
  CU_ASSERT_EQUAL (decode_heartbeat ("{}", &t, &e), DECODE_FIELD);
  CU_ASSERT_PTR_NOT_NULL (strstr (e.message, "service"));
  CU_ASSERT_EQUAL (
      decode_heartbeat ("{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":"
                        "\"a\",\"slots\":8,\"state\":\"ready\",\"capacity\":"
                        "{\"cpu\":1,\"mem-mb\":1}}",
                        &t, &e),
      DECODE_FIELD);
  CU_ASSERT_PTR_NOT_NULL (strstr (e.message, "address"));
  CU_ASSERT_EQUAL (
      decode_heartbeat (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":"
          "\"a\",\"slots\":8,\"state\":\"odd\",\"capacity\":"
          "{\"cpu\":1,\"mem-mb\":1}}",
          &t, &e),
      DECODE_FIELD);
  CU_ASSERT_PTR_NOT_NULL (strstr (e.message, "state"));
}

static void
test_service_config (void)
{
  static const struct invalid_input invalid[] = {
    { "{\"version\":7,\"routes\":[", DECODE_UNREADABLE, "body" },
    { "{\"version\":0,\"routes\":[],\"services\":[]}", DECODE_FIELD,
      "version" },
    { "{\"version\":\"7\",\"routes\":[],\"services\":[]}", DECODE_FIELD,
      "version" },
    { "{\"version\":7,\"services\":[]}", DECODE_FIELD, "routes" },
    { "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path-prefix\":\"/\",\"timeout-ms\":0,\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\"}]}",
      DECODE_FIELD, "timeout-ms" },
    { "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path-prefix\":\"/\",\"timeout-ms\":1,\"service\":\"x\"}],"
      "\"services\":[{\"name\":\"s\"}]}",
      DECODE_FIELD, "unknown service" },
    { "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path-prefix\":\"/\",\"timeout-ms\":1,\"service\":\"s\"},"
      "{\"name\":\"q\",\"host\":\"H\",\"path-prefix\":\"/\",\"timeout-ms\":1,"
      "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}",
      DECODE_FIELD, "share" },
  };
  struct service_config config;
  const struct queue_rule *q;
  struct error e;

  CU_ASSERT (service_config_json_decode (valid_config, strlen (valid_config),
                                         &config, &e));
  CU_ASSERT_EQUAL (config.version, 7);
  CU_ASSERT_EQUAL (config.queues[0].stretch_milli, 1600);
  q = service_config_queue (&config, "h.example:80", "/a/b/c");
  CU_ASSERT_PTR_NOT_NULL_FATAL (q);
  CU_ASSERT_STRING_EQUAL (q->name, "r2");
  CU_ASSERT_PTR_NULL (service_config_queue (&config, "other", "/a/b/c"));
  service_config_done (&config);
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    {
      CU_ASSERT_FALSE (service_config_json_decode (
          invalid[i].text, strlen (invalid[i].text), &config, &e));
      CU_ASSERT_PTR_NOT_NULL (strstr (e.message, invalid[i].message_part));
    }
}

static struct port_poll_reply
decode_poll_reply (const char *text, int status, int64_t started_ms)
{
  struct port_poll_reply r;
  struct port_running *running;
  struct port_end *ends;

  memset (&r, 0, sizeof r);
  worker_reply_decode_poll (&r, status, text, strlen (text), started_ms,
                            &running, &ends);
  free (running);
  free (ends);
  return r;
}

static void
test_worker_replies (void)
{
  static const char conflict[] = "{\"clock-ms\":5,\"reason\":\"fence\"}";
  struct port_reply r;

  CU_ASSERT_EQUAL (decode_poll_reply (valid_poll_reply, 200, 17).reply.outcome,
                   PORT_DONE);
  CU_ASSERT_EQUAL (decode_poll_reply (valid_poll_reply, 200, 17).end_count, 1);
  CU_ASSERT_EQUAL (decode_poll_reply (valid_poll_reply, 200, 18).reply.outcome,
                   PORT_OTHER_INCARNATION);
  CU_ASSERT_EQUAL (decode_poll_reply ("", 0, 17).reply.outcome,
                   PORT_NO_ANSWER);
  CU_ASSERT_EQUAL (
      decode_poll_reply ("{\"clock-ms\":1", 200, 17).reply.outcome,
      PORT_NO_ANSWER);
  CU_ASSERT_EQUAL (
      decode_poll_reply ("{\"running-tasks\":[[\"x\"]],\"ended\":[]}", 200, 17)
          .reply.outcome,
      PORT_NO_ANSWER);
  memset (&r, 0, sizeof r);
  worker_reply_decode (&r, 409, conflict, strlen (conflict), 17);
  CU_ASSERT_EQUAL (r.outcome, PORT_FENCED);
  CU_ASSERT_EQUAL (r.clock_ms, 5);
  worker_reply_decode (&r, 421, "", 0, 17);
  CU_ASSERT_EQUAL (r.outcome, PORT_OTHER_INCARNATION);
  worker_reply_decode (&r, 503, "", 0, 17);
  CU_ASSERT_EQUAL (r.outcome, PORT_UNHEALTHY);
}

/* Returns a copy of TEXT after one to four random faults: a byte changed, a
   byte removed, or the rest cut off.  The caller frees it.  */
static char *
corrupt (struct prng *prng, const char *text)
{
  size_t n = strlen (text);
  char *copy = malloc (n + 1);

  memcpy (copy, text, n + 1);
  for (uint32_t i = prng_next (prng, 4) + 1; i != 0 && n != 0; i--)
    {
      size_t at = prng_next (prng, (uint32_t)n);

      switch (prng_next (prng, 3))
        {
        case 0:
          copy[at] = (char)prng_next (prng, 256);
          break;
        case 1:
          copy[at] = '\0';
          n = at;
          break;
        default:
          memmove (copy + at, copy + at + 1, n - at);
          n--;
        }
    }
  return copy;
}

/* Corrupted input neither crashes a decoder nor makes it read beyond the end
   of the input.  Only a build with sanitizers (SANITIZE=...) detects the
   latter.  */
static void
test_corrupted_input (void)
{
  for (uint64_t seed = first_seed (); seed <= last_seed () * 20; seed++)
    {
      struct prng prng;
      struct run_target_spec t;
      struct service_config config;
      struct job_spec spec;
      struct error e;
      char *text;

      prng_init (&prng, seed);
      text = corrupt (&prng, valid_job);
      decode_job (text, &spec, &e);
      free (text);
      text = corrupt (&prng, valid_heartbeat);
      decode_heartbeat (text, &t, &e);
      free (text);
      text = corrupt (&prng, valid_config);
      if (service_config_json_decode (text, strlen (text), &config, &e))
        service_config_done (&config);
      free (text);
      text = corrupt (&prng, valid_poll_reply);
      decode_poll_reply (text, 200, 17);
      free (text);
    }
  CU_PASS ("no decoder crashed");
}

void
suite_platform (void)
{
  CU_pSuite s = CU_add_suite ("platform", NULL, NULL);

  CU_add_test (s, "valid jobs are decoded", test_job);
  CU_add_test (s, "errors of invalid jobs name the field", test_invalid_jobs);
  CU_add_test (s, "heartbeats are decoded", test_heartbeat);
  CU_add_test (s, "bodies of many small values", test_json_size);
  CU_add_test (s, "service configurations are decoded", test_service_config);
  CU_add_test (s, "replies of workers are decoded", test_worker_replies);
  CU_add_test (s, "corrupted input crashes no decoder", test_corrupted_input);
}
