/* Fake workers for the soak test, which implement the worker side of the
   platform's protocol: leases, fencing tokens, status polls and the list of
   ended runs.  They run in the process of the test, each on its own loopback
   address, and report each start and end of a task to it.

   A task's spec has the form "ATTEMPT LENGTH": the number of the caller's
   attempt that the run belongs to, and how long it runs in ms.  */
#ifndef SOAK_FAKE_WORKER_H
#define SOAK_FAKE_WORKER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  WORKER_RUN_LIMIT = 64,
  WORKER_SLOTS = 4, /* tasks that run at the same time */
  WORKER_TASK_CPU_MILLI = 4000,
  WORKER_NAME_BYTES = 64,
  WORKER_ADDRESS_BYTES = 32
};

/* How a worker handles requests.  */
enum worker_behaviour
{
  WORKER_NORMAL,
  WORKER_NO_REPLY, /* executes requests, sends no reply */
  WORKER_IGNORES,  /* neither executes nor replies */
  WORKER_RESETS,   /* closes the connection without executing */
  WORKER_LATE,     /* executes requests later, sends no reply */
  WORKER_LOSSY,    /* ignores some of the requests */
  WORKER_FAILS,    /* every run fails */
  WORKER_STANDS    /* no run ends unless it is stopped or its lease expires */
};

struct worker_run
{
  char task[WORKER_NAME_BYTES];
  uint64_t run;
  char starter[WORKER_ADDRESS_BYTES]; /* the entry that sent the start */
  uint32_t attempt;
  int64_t begin_ms;
  int64_t end_ms;
  int64_t stop_ms; /* when an accepted stop takes effect, or 0 */
};

struct worker_end;
struct worker_memory;
struct held_request;

struct fake_worker
{
  struct event_base *base;
  struct evhttp *http;
  char id[WORKER_NAME_BYTES];
  char address[WORKER_ADDRESS_BYTES];
  uint16_t port; /* the port that its heartbeats name */
  char zone[WORKER_NAME_BYTES];
  int64_t started_ms;
  int64_t clock_percent; /* speed of its clock, in percent of real time */
  uint64_t sequence;
  enum worker_behaviour behaviour;
  int64_t drain_until_ms;   /* 0 unless it drains; the soak then restarts it */
  int64_t unheard_until_ms; /* its heartbeats reach no keeper before */
  uint64_t random;

  uint64_t fencing_token;
  int64_t lease_end_ms; /* on its own clock */
  struct worker_run runs[WORKER_RUN_LIMIT];
  uint32_t run_count;
  struct worker_end *ends; /* not acknowledged yet, oldest first */
  uint64_t end_number;     /* of the last end */
  struct worker_memory *memory;
  struct held_request *held;

  /* the long poll that waits for a run to end */
  struct evhttp_request *waiting_poll;
  struct event *poll_timer;
};

struct worker_events
{
  /* Called at each start and end of a run, independently of the replies that
     the worker sends.  */
  void (*started) (const struct fake_worker *w, const struct worker_run *r);
  void (*ended) (const struct fake_worker *w, const struct worker_run *r,
                 const char *outcome);

  /* Returns how W handles a request of the entry at address FROM.  */
  enum worker_behaviour (*behaviour) (const struct fake_worker *w,
                                      const char *from);
};

struct worker_setup
{
  const char *id;
  const char *address;
  uint16_t port; /* that its heartbeats name */
  uint16_t listen_port;
  const char *zone;
  uint64_t seed;
  const struct worker_events *events;
};

/* Starts a worker.  Returns false if it cannot listen.  */
bool fake_worker_start (struct fake_worker *w, struct event_base *base,
                        const struct worker_setup *setup);
void fake_worker_done (struct fake_worker *w);

/* Ends the runs that are finished, stopped or whose lease has expired, and
   executes the held requests that are due; to be called every few ms.  */
void fake_worker_tick (struct fake_worker *w, int64_t now_ms);

/* Returns the worker's monotonic clock, whose speed may differ from real
   time.  */
int64_t fake_worker_clock_ms (const struct fake_worker *w, int64_t now_ms);

/* Returns the time at which the present lease expires.  */
int64_t fake_worker_lease_end_ms (const struct fake_worker *w);

/* Simulates a crash and restart: ends all runs and clears the state.  The
   caller resets its connections.  */
void fake_worker_restart (struct fake_worker *w, int64_t now_ms);

/* Returns the body of the next heartbeat; the caller frees it.  */
char *fake_worker_heartbeat (struct fake_worker *w);

#endif
