/* One submission on its way through the filter chain.  It came from a caller
   by HTTP, or from another entry that forwarded it.  */
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

  /* where it came from: one of the two */
  struct http_call *call;
  struct peer_conn *from;
  uint64_t call_id;

  /* what was sent */
  const char *body;
  size_t body_length;
  bool single;

  /* from the filters */
  char team[NAME_BYTES];
  json_t *root;
  json_t *tasks;        /* what the record keeps of it */
  char *canonical_text; /* of the tasks */
  bool keyless;
  struct submission_key key;
  int64_t begun_ms;
  int64_t deadline_ms;
  bool wait;
  struct submission *submission; /* held */

  /* forwarding */
  char forward_to[NAME_BYTES]; /* the executor, where it is not the owner */
  bool may_have_run;           /* some attempt may have reached the owner */
  uint32_t attempts;
  char *owned_body;
};

enum filter_result
{
  FILTER_PASS,
  FILTER_ANSWERED,
  FILTER_PARKED /* will be answered later */
};

typedef enum filter_result (*request_filter) (struct request *r);

struct request *request_new (struct entry *n, const char *body, size_t length);
struct request *request_hold (struct request *r);
void request_release (struct request *r);

/* Answers the request, once.  */
void request_answer (struct request *r, int status, const char *json);

/* Refuses it.  OUTCOME is "not_run" or "unknown".  */
enum filter_result request_refuse (struct request *r, int status,
                                   const char *code, const char *outcome,
                                   const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* The outcome of a refusal that the submission register was not asked about:
   "unknown" for a submission under a key of the caller's, which may have run
   before, and "not_run" for one without.  */
const char *request_unproven (const struct request *r);

/* Runs the chain for a caller's submission, or for a forwarded one.  */
void request_run_caller (struct request *r);
void request_run_forwarded (struct request *r);

/* Sends the request, which the caller holds for it, to VM and answers it from
   there.  */
void request_forward_to (struct request *r, const char *vm);

/* Tries the home failure domain again after a while.  */
void request_retry (struct request *r);

/* Has the request answered when its submission ends, if it waits.  */
void request_await (struct request *r);

/* Answers a request that does not wait.  */
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
