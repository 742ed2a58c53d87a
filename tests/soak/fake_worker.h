/* Workers of the platform's protocol for the soak: they run tasks under
   leases, keep fences, list ends, and know at every moment what runs where.
   All of them live in the soak's own process, on loopback addresses of their
   own.  */
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

/* How a worker treats its callers.  */
enum worker_mood
{
  WORKER_GOOD,
  WORKER_MUTE,   /* does what it is told and does not answer */
  WORKER_DEAF,   /* neither does nor answers */
  WORKER_RESETS, /* closes the connection instead of answering */
  WORKER_FAILS   /* all that it starts fails */
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
  const char *how;
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
  int64_t clock_percent; /* of true time, that its clock shows */
  uint64_t sequence;
  enum worker_mood mood;
  uint64_t random;

  uint64_t fencing_token;
  int64_t lease_end_ms;
  struct worker_run runs[WORKER_RUN_LIMIT];
  uint32_t run_count;
  struct worker_end ends[WORKER_END_LIMIT];
  uint32_t end_count;
  uint64_t end_number;

  /* the look that waits for an end */
  struct evhttp_request *waiting;
  uint64_t waiting_noted;
  struct event *waiting_timer;
};

/* What the soak is told of each start and end, the ground truth.  */
struct worker_events
{
  void (*began) (const struct fake_worker *w, const char *task);
  void (*ended) (const struct fake_worker *w, const char *task,
                 const char *how);
};

/* Listens on ADDRESS and PORT.  Returns false if it cannot.  */
bool fake_worker_start (struct fake_worker *w, struct event_base *base,
                        const char *id, const char *address, uint16_t port,
                        const char *zone, uint64_t seed,
                        const struct worker_events *events);
void fake_worker_done (struct fake_worker *w);

/* Ends what is due; to be called every few ms.  */
void fake_worker_tick (struct fake_worker *w, int64_t now_ms);

/* Starts anew: nothing runs, nothing is known.  */
void fake_worker_reborn (struct fake_worker *w, int64_t now_ms);

/* The body of the next heartbeat; the caller frees it.  */
char *fake_worker_heartbeat (struct fake_worker *w);

#endif
