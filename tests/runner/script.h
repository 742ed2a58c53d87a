/* Interpreter of the scenario language: one verb per line, with operands and
   NAME=VALUE options; docs/SCENARIOS.md describes it.  */
#ifndef RUNNER_SCRIPT_H
#define RUNNER_SCRIPT_H

#include <stdbool.h>
#include <stdint.h>
#include "tests/runner/calls.h"
#include "tests/runner/cluster.h"
#include "tests/runner/relay.h"

enum
{
  WORD_LIMIT = 16,
  LINE_BYTES = 512
};

/* One line of a script.  */
struct line
{
  int number;
  char text[LINE_BYTES];
  const char *words[WORD_LIMIT]; /* the verb and its operands */
  int word_count;
  const char *options[WORD_LIMIT]; /* NAME=VALUE */
  int option_count;
};

struct scenario
{
  struct event_base *base;
  struct cluster cluster;
  struct relays *relays;
  struct calls calls;
  const char *path;
  uint64_t random;
  uint32_t failures;
  uint32_t submissions; /* counter that makes keys unique */
  bool echo;
};

/* Runs the script at PATH up to its first failed line, then checks the
   invariants.  Returns the number of failures and violations.  */
uint32_t scenario_run (struct scenario *s, const char *path);

/* Runs the event loop until DONE returns true, or for MS if DONE is NULL or
   never does.  Returns the last result of DONE.  */
bool scenario_wait (struct scenario *s, int64_t ms,
                    bool (*done) (struct scenario *s, const void *arg),
                    const void *arg);

/* Prints and counts a failure of line L.  */
void scenario_fail (struct scenario *s, const struct line *l,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns the value of option NAME of L, as text or as a number, or FALLBACK
   if absent.  */
const char *line_option (const struct line *l, const char *name,
                         const char *fallback);
int line_option_int (const struct line *l, const char *name, int fallback);

/* A verb, the minimum number of its operands, and its handler.  */
struct verb
{
  const char *name;
  int operands;
  void (*run) (struct scenario *s, const struct line *l);
};

/* The verbs of each file; the last element has no name.  */
extern const struct verb cluster_verbs[];
extern const struct verb call_verbs[];
extern const struct verb measure_verbs[];

/* Parses the text of L and runs it.  */
void scenario_run_line (struct scenario *s, struct line *l);

/* Sends GET PATH to VM and waits for the answer, which s->calls owns.  Returns
   NULL if VM is down or frozen, or if it does not answer with status 200 in
   time.  */
const struct call *scenario_get (struct scenario *s,
                                 const struct cluster_vm *vm,
                                 const char *path);

/* Returns the next random number of S; the numbers depend only on the seed. */
uint64_t scenario_random (struct scenario *s);

#endif
