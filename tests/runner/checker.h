/* The invariants that hold after every scenario, checked on the targets' own
   record of starts and on all answers.  */
#ifndef RUNNER_CHECKER_H
#define RUNNER_CHECKER_H

#include "tests/runner/calls.h"
#include "tests/runner/cluster.h"

/* One line of the record.  */
struct record_line
{
  int64_t wall_ms;
  char target[64];
  char what[8];
  char task[256];
};

struct record
{
  struct record_line *lines;
  uint32_t count;
};

void record_read (struct record *r, const struct cluster *c);
void record_done (struct record *r);

/* How many starts there are of tasks whose id has KEY.  */
uint32_t record_starts (const struct record *r, const char *key);

/* Checks all invariants; prints each violation.  Returns their number.  */
uint32_t checker_run (const struct cluster *c, const struct calls *calls);

#endif
