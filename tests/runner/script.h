/* The scenario language: one verb a line, with operands and NAME=VALUE
   options.  docs/SCENARIOS.md is its grammar.  */
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
  uint32_t faults;
  uint32_t submissions; /* for unique keys */
  bool echo;
};

/* Runs the script at PATH.  Returns the number of faults.  */
uint32_t scenario_run (struct scenario *s, const char *path);

/* Runs the loop for MS, or until DONE says so.  Returns what it said last.  */
bool scenario_wait (struct scenario *s, int64_t ms,
                    bool (*done) (struct scenario *s, const void *arg),
                    const void *arg);

void scenario_fault (struct scenario *s, const struct line *l,
                     const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* The value of option NAME of L, or FALLBACK.  */
const char *line_option (const struct line *l, const char *name,
                         const char *fallback);
int line_number (const struct line *l, const char *name, int fallback);

/* A verb and what it does.  */
struct verb
{
  const char *name;
  int operands;
  void (*run) (struct scenario *s, const struct line *l);
};

/* The verbs, by file, each list ended by an entry without a name.  */
extern const struct verb cluster_verbs[];
extern const struct verb call_verbs[];
extern const struct verb measure_verbs[];

/* Parses the text of L and runs it.  */
void scenario_run_line (struct scenario *s, struct line *l);

/* Asks VM for PATH and waits for the answer, which the calls own; NULL where
   there is none.  */
const struct call *scenario_ask (struct scenario *s,
                                 const struct cluster_vm *vm,
                                 const char *path);

uint64_t scenario_random (struct scenario *s);

#endif
