/* An entry of an open deployment: holds callers, sends each job to a
   dispatcher, itself or another entry, and answers when the job has ended.  It
   learns targets and dispatchers from the leading keeper, and the document
   from any keeper.  */
#ifndef CONTROLLER_JOB_ENTRY_H
#define CONTROLLER_JOB_ENTRY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/node_settings.h"
#include "controller/dispatcher.h"
#include "controller/lending_controller.h"
#include "coord/job_router.h"
#include "coord/service_document.h"
#include "net/peer_network.h"

/* Decodes the text of a document.  Returns false with E set if it cannot.  */
typedef bool (*document_decode) (const char *text, size_t length,
                                 struct service_document *d, struct error *e);

/* What a caller is told.  */
struct job_answer
{
  enum job_result result;
  enum refusal_reason reason;
  int64_t retry_ms;
};

typedef void (*job_answered) (void *arg, const struct job_answer *a);

struct entry_job;

enum
{
  ENTRY_DISPATCHER_LIMIT = 128,
  ENTRY_KEEPER_LIMIT = 32
};

struct job_entry
{
  struct event_base *base;
  const struct node_settings *settings;
  uint64_t boot_id;
  document_decode decode;
  struct peer_network *network;
  struct dispatcher dispatcher;
  struct lending_controller lending;
  struct event *tick;

  /* what the keepers told */
  struct service_document document;
  uint64_t view_term;
  uint64_t view_number;
  int64_t view_heard_ms;
  struct owned_target *targets;
  uint32_t target_count;
  bool had_view; /* since the process started */
  struct route_dispatcher dispatchers[ENTRY_DISPATCHER_LIMIT];
  uint32_t dispatcher_count;
  char keepers[ENTRY_KEEPER_LIMIT][NAME_BYTES];
  uint32_t keeper_count;

  /* callers */
  struct entry_job *jobs;
  uint32_t job_count;
  uint64_t next_id;

  /* timing */
  int64_t tick_ms;
  int64_t beat_ms;
  int64_t poll_ms;
  uint32_t released_told;
  uint64_t rows_told_term;
  bool rows_changed;

  /* stopping */
  bool leaving;
  int64_t leaving_since_ms;
};

/* Starts.  Returns false with E set on failure.  */
bool job_entry_start (struct job_entry *n, struct event_base *base,
                      const struct node_settings *s, uint64_t boot_id,
                      const struct target_port_ops *ops,
                      document_decode decode, struct error *e);
void job_entry_done (struct job_entry *n);

/* The document in force here; version 0 before the first.  */
const struct service_document *job_entry_document (const struct job_entry *n);

/* Whether callers should be sent here.  */
bool job_entry_is_ready (const struct job_entry *n);

/* Takes a job.  ANSWERED is called exactly once, never before returning,
   unless the job is cancelled.  */
struct entry_job *job_entry_submit (struct job_entry *n, int64_t now_ms,
                                    const struct job_spec *spec,
                                    job_answered answered, void *arg);

/* Has VM run SPEC, a part of a job of this entry's dispatcher, and nobody
   else: ANSWERED tells of a refusal too.  */
struct entry_job *job_entry_submit_part (struct job_entry *n, int64_t now_ms,
                                         const struct job_spec *spec,
                                         const char *vm, job_answered answered,
                                         void *arg);

/* The caller has gone.  */
void job_entry_cancel (struct job_entry *n, int64_t now_ms,
                       struct entry_job *j);

/* Ends J at its caller's wish; ANSWERED tells that it may have run.  */
void job_entry_withdraw (struct job_entry *n, int64_t now_ms,
                         struct entry_job *j);

/* Takes the seeds of the settings, which have changed.  */
void job_entry_reach_seeds (struct job_entry *n);

/* The open job with KEY, or NULL.  */
struct entry_job *job_entry_find (const struct job_entry *n, const char *key);

/* Jobs of QUEUE that callers of this entry wait for and that have not
   begun, as far as this entry knows.  */
uint32_t job_entry_waiting (const struct job_entry *n, const char *queue);

/* Whether VM has jobs of this entry.  */
bool job_entry_has_jobs_at (const struct job_entry *n, const char *vm);

/* Begins a graceful stop: others take over targets and new callers.  */
void job_entry_leave (struct job_entry *n, int64_t now_ms);

/* Answers all callers, as the process ends: their jobs may have run.  */
void job_entry_abandon (struct job_entry *n, int64_t now_ms);

/* Whether nothing holds the process any more.  */
bool job_entry_may_end (const struct job_entry *n, int64_t now_ms);

#endif
