/* Fake workers for the soak test, which implement the worker side of the
   platform's protocol: leases, fencing tokens, status polls and the list of
   ended runs.  They run in the process of the test, each on its own loopback
   address, and report each start and end of a task to it.  */
#ifndef SOAK_FAKE_WORKER_H
#define SOAK_FAKE_WORKER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  WORKER_RUN_LIMIT = 64,
  WORKER_END_LIMIT = 4096,
  WORKER_NAME_BYTES = 64
};

/* How a worker handles requests.  */
enum worker_behaviour
{
  WORKER_NORMAL,
  WORKER_NO_REPLY, /* executes requests, sends no reply */
  WORKER_IGNORES,  /* neither executes nor replies */
  WORKER_RESETS,   /* closes the connection without executing */
  WORKER_FAILS     /* every run fails */
};

struct worker_run
{
  char task[WORKER_NAME_BYTES];
  uint64_t run;
  int64_t begin_ms;
  int64_t end_ms;
};

struct worker_end
{
  uint64_t number;
  char task[WORKER_NAME_BYTES];
  uint64_t run;
  const char *outcome;
};

struct fake_worker
{
  struct event_base *base;
  struct evhttp *http;
  char id[WORKER_NAME_BYTES];
  char address[WORKER_NAME_BYTES];
  uint16_t port;
  const char *zone;
  int64_t started_ms;
  int64_t clock_percent; /* speed of its clock, in percent of real time */
  uint64_t sequence;
  enum worker_behaviour behaviour;
  uint64_t random;

  uint64_t fencing_token;
  int64_t lease_end_ms;
  struct worker_run runs[WORKER_RUN_LIMIT];
  uint32_t run_count;
  struct worker_end ends[WORKER_END_LIMIT];
  uint32_t end_count;
  uint64_t end_number; /* of the last end */

  /* the long poll that waits for a run to end */
  struct evhttp_request *waiting_poll;
  uint64_t waiting_last_seen; /* the last end that its sender knows */
  struct event *poll_timer;
};

/* Called at each start and end of a run, independently of the replies that
   the worker sends.  */
struct worker_events
{
  void (*started) (const struct fake_worker *w, const char *task);
  void (*ended) (const struct fake_worker *w, const char *task,
                 const char *outcome);
};

/* Starts worker ID, listening on ADDRESS and PORT.  Returns false if it cannot
   listen.  */
bool fake_worker_start (struct fake_worker *w, struct event_base *base,
                        const char *id, const char *address, uint16_t port,
                        const char *zone, uint64_t seed,
                        const struct worker_events *events);
void fake_worker_done (struct fake_worker *w);

/* Ends the runs that are finished or whose lease has expired; to be called
   every few ms.  */
void fake_worker_tick (struct fake_worker *w, int64_t now_ms);

/* Simulates a crash and restart: ends all runs and clears the state.  */
void fake_worker_restart (struct fake_worker *w, int64_t now_ms);

/* Returns the body of the next heartbeat; the caller frees it.  */
char *fake_worker_heartbeat (struct fake_worker *w);

#endif
