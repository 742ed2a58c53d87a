/* The search for the entry that holds a job, by asking all entries: what the
   answers received so far prove.  */
#ifndef COORD_JOB_SEARCH_H
#define COORD_JOB_SEARCH_H

#include <stdbool.h>
#include <stdint.h>

enum job_search_result
{
  JOB_SEARCH_PENDING,
  JOB_SEARCH_FOUND,
  JOB_SEARCH_NONE,  /* every entry has answered that it does not hold it, and
                       the one who asked them still leads */
  JOB_SEARCH_UNSURE /* an entry that may hold it has not answered in time */
};

struct job_search
{
  uint32_t expected; /* entries that may hold the job */
  uint32_t answered; /* of these */
  bool found;
  bool complete;  /* EXPECTED counts all entries that may hold the job */
  bool confirmed; /* a majority has confirmed since the start of the search
                     that the keeper that searches leads */
  int64_t deadline_ms;
};

/* Records an entry's answer, that it holds the job or not.  */
void job_search_add (struct job_search *s, bool found);

enum job_search_result job_search_result (const struct job_search *s,
                                          int64_t now_ms);

#endif
