/* Checks the invariants that must hold after every scenario, from the events
   that the fake targets recorded and from all answers.  */
#ifndef RUNNER_CHECKER_H
#define RUNNER_CHECKER_H

#include "tests/runner/calls.h"
#include "tests/runner/cluster.h"

/* An event recorded by a fake target.  */
struct record_line
{
  int64_t wall_ms;
  char target[64];
  char event[8];
  char task[256];
};

struct record
{
  struct record_line *lines;
  uint32_t count;
};

void record_read (struct record *r, const struct cluster *c);
void record_done (struct record *r);

/* Returns how often tasks of the submission with KEY were started.  */
uint32_t record_starts (const struct record *r, const char *key);

/* Checks all invariants and prints each violation.  Returns the number of
   violations.  */
uint32_t checker_run (const struct cluster *c, const struct calls *calls);

#endif
