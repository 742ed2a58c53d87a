/* A job at the entry that waits for its answer.  */
#ifndef CONTROLLER_ROUTED_JOB_H
#define CONTROLLER_ROUTED_JOB_H

#include "controller/job_entry.h"

/* A job, or a delegated part of one, that waits for its answer.  */
struct routed_job
{
  struct job_entry *entry;
  uint64_t id;
  struct job_spec spec;
  char *payload;
  int64_t arrived_ms;
  int64_t deadline_ms;
  int64_t lease_deadline_ms;    /* its caller waits at least until then; not
                                   set for a delegated part */
  const struct run_job *parent; /* of a delegated part; else NULL */
  job_answered answered;
  void *arg;

  /* the dispatcher that has it */
  struct dispatch_job *local;
  char vm[NAME_BYTES]; /* "" unless another VM has it */
  int64_t sent_ms;
  char tried[ROUTE_PRIORITY_TRY_LIMIT][NAME_BYTES];
  uint32_t tried_count;

  /* the pending answer, delivered from the event loop */
  struct event *answer_event;
  struct job_answer answer;

  struct routed_job *prev;
  struct routed_job *next;
};

#endif
