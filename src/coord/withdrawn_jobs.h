/* The ids of the jobs whose cancellation was acknowledged in the last 60 s.  A
   job with such an id is withdrawn where it is open and is not run again.

   The table is bounded: beyond its limit the oldest ids are evicted first.
   Each id has a number that rises in the order in which this process learnt of
   it, so that another process can be sent what it does not have yet.  */
#ifndef COORD_WITHDRAWN_JOBS_H
#define COORD_WITHDRAWN_JOBS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/job_spec.h"

enum
{
  WITHDRAWN_LIMIT = 16384,
  WITHDRAWN_MS = 60000
};

/* From whom this process learnt that a job was withdrawn.  */
enum withdrawn_source
{
  WITHDRAWN_HERE,  /* acknowledged by this process */
  WITHDRAWN_ENTRY, /* an entry */
  WITHDRAWN_KEEPER /* a keeper */
};

struct withdrawn_job
{
  char key[JOB_KEY_BYTES];
  int64_t withdrawn_ms;
  uint64_t number;
  enum withdrawn_source source;
  UT_hash_handle hh;

  /* by time, the oldest first */
  struct withdrawn_job *prev;
  struct withdrawn_job *next;

  /* by number */
  struct withdrawn_job *earlier;
  struct withdrawn_job *later;
};

struct withdrawn_jobs
{
  struct withdrawn_job *by_key;
  struct withdrawn_job *by_time;
  struct withdrawn_job *first; /* by number */
  uint32_t limit;
  uint64_t number;  /* the highest */
  uint64_t evicted; /* before their time */
};

/* LIMIT is the most ids that are kept.  */
void withdrawn_jobs_init (struct withdrawn_jobs *w, uint32_t limit);
void withdrawn_jobs_done (struct withdrawn_jobs *w);

/* Records that job KEY was withdrawn at WITHDRAWN_MS.  Returns false if that
   is known already or too long ago.  */
bool withdrawn_jobs_add (struct withdrawn_jobs *w, int64_t now_ms,
                         const char *key, int64_t withdrawn_ms,
                         enum withdrawn_source source);

/* Whether the job KEY was withdrawn in the last 60 s.  */
bool withdrawn_jobs_has (const struct withdrawn_jobs *w, int64_t now_ms,
                         const char *key);

/* Forgets the ids whose time is over.  Returns their number.  */
uint32_t withdrawn_jobs_expire (struct withdrawn_jobs *w, int64_t now_ms);

/* The id with the lowest number above NUMBER, or NULL.  */
const struct withdrawn_job *
withdrawn_jobs_after (const struct withdrawn_jobs *w, uint64_t number);

uint32_t withdrawn_jobs_count (const struct withdrawn_jobs *w);

#endif
