/* One submission in the filter chain, received from a caller over HTTP or
   forwarded by another entry.  */
#ifndef FILTER_REQUEST_H
#define FILTER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "controller/entry.h"
#include "coord/submission_key.h"

struct request
{
  uint32_t references;
  struct entry *entry;

  /* origin: an HTTP call, or a call of another entry */
  struct http_call *call;
  struct peer_conn *from;
  uint64_t call_id;

  /* what was received */
  const char *body;
  size_t body_length;
  bool single; /* one task (/v1/requests) instead of a job (/v1/jobs) */

  /* set by the filters */
  char team[NAME_BYTES];
  json_t *root;         /* the parsed body */
  json_t *tasks;        /* the part that the record stores */
  char *canonical_text; /* of the tasks */
  bool keyless;         /* the caller set no key; KEY was generated */
  struct submission_key key;
  int64_t begun_ms;
  int64_t deadline_ms;
  bool wait; /* answer at the submission's end, not with 202 */
  struct submission *submission; /* held */

  /* forwarding */
  char forward_to[NAME_BYTES]; /* the executor, where it is not the owner */
  bool may_have_run;           /* an attempt may have reached the owner */
  uint32_t attempts;
  char *allocated_body; /* as received from another entry, or to forward; freed
                       with the request */
};

enum filter_result
{
  FILTER_PASS, /* continue with the next filter */
  FILTER_ANSWERED,
  FILTER_PENDING /* to be answered later */
};

typedef enum filter_result (*request_filter) (struct request *r);

/* BODY must stay valid until the request is freed.  The caller sets the
   origin, SINGLE and, for a forwarded submission, the team.  */
struct request *request_new (struct entry *n, const char *body, size_t length);
struct request *request_hold (struct request *r);
void request_release (struct request *r);

/* Answers the caller or the forwarding entry; to be called once.  */
void request_answer (struct request *r, int status, const char *json);

/* Answers with error CODE.  OUTCOME is "not_run" or "unknown".  Returns
   FILTER_ANSWERED.  */
enum filter_result request_refuse (struct request *r, int status,
                                   const char *code, const char *outcome,
                                   const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* The outcome of a refusal without a look-up in the submission register:
   "unknown" if the caller set the key, since the submission may have run
   before, and "not_run" if it did not.  */
const char *request_refusal_outcome (const struct request *r);

/* Runs the chain for a caller's submission, or for a forwarded one.  */
void request_run_caller (struct request *r);
void request_run_forwarded (struct request *r);

/* Forwards the request to VM and answers it with the reply.  Takes over one
   reference from the caller.  */
void request_forward_to (struct request *r, const char *vm);

/* Forwards the request after a delay to the entry that owns its key by then,
   or runs it here if that is this entry.  */
void request_retry (struct request *r);

/* Answers a request that waits when its submission ends.  No effect on one
   that does not wait.  */
void request_await (struct request *r);

/* Answers a request that does not wait with 202.  No effect on one that
   waits.  */
void request_answer_accepted (struct request *r);

/* The filters, in the order of the chain.  */
enum filter_result filter_authenticate (struct request *r);
enum filter_result filter_parse (struct request *r);
enum filter_result filter_home (struct request *r);
enum filter_result filter_idempotency (struct request *r);
enum filter_result filter_kinds (struct request *r);
enum filter_result filter_quota (struct request *r);
enum filter_result filter_admission (struct request *r);
enum filter_result filter_accept (struct request *r);

#endif
