/* ragwortctl: the command-line tool for operators and for submitting jobs.  */
#include <argp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/utf8.h"
#include "tool/command.h"

const char *argp_program_version = "ragwortctl 0.1";

enum option_kind
{
  OPTION_TEXT,
  OPTION_NUMBER,
  OPTION_FLAG,
  OPTION_SERVER /* may be given several times */
};

/* An option and the field of struct tool_options that it sets.  */
struct option_row
{
  const char *name;
  int key;
  const char *argument;
  const char *help;
  enum option_kind kind;
  size_t offset;
};

#define FIELD(member) offsetof (struct tool_options, member)

static const struct option_row option_rows[] = {
  { "server", 's', "IP:PORT", "An entry or keeper to contact; may be repeated",
    OPTION_SERVER, 0 },
  { "token", 't', "TOKEN",
    "The operators' or the team's token (default: RAGWORT_TOKEN)", OPTION_TEXT,
    FIELD (token) },
  { "json", 'j', NULL, "Print JSON", OPTION_FLAG, FIELD (json) },
  { "key", 'k', "KEY", "submit, request: the submission key", OPTION_TEXT,
    FIELD (key) },
  { "timeout-ms", 'T', "MS", "Timeout (default 20000)", OPTION_NUMBER,
    FIELD (timeout_ms) },
  { "expect", 'e', "N",
    "config accept, promote: the configuration number to replace "
    "(default: the one in force)",
    OPTION_NUMBER, FIELD (expect) },
  { "request-id", 'r', "ID",
    "config accept, promote: reuse the same ID to retry a request",
    OPTION_TEXT, FIELD (request_id) },
  { "operator", 'o', "NAME", "config accept, promote: the operator's name",
    OPTION_TEXT, FIELD (operator_name) },
  { "environment", 1000, "NAME", "config check: the environment to check for",
    OPTION_TEXT, FIELD (environment) },
  { "from", 1001, "IP:PORT",
    "config promote: an entry of the environment to promote from", OPTION_TEXT,
    FIELD (from) },
  { "from-token", 1002, "TOKEN",
    "config promote: the operators' token at --from", OPTION_TEXT,
    FIELD (from_token) },
  { "match", 'm', "TEXT",
    "timeline: only events whose key (job, target or VM) contains TEXT",
    OPTION_TEXT, FIELD (match) },
  { "vm", 1003, "NAME", "timeline: only events of this VM", OPTION_TEXT,
    FIELD (vm) },
  { "event", 1004, "NUMBER", "timeline: only events with this number",
    OPTION_NUMBER, FIELD (event) },
  { "limit", 1005, "N", "timeline: events to fetch per VM (default 1000)",
    OPTION_NUMBER, FIELD (limit) },
  { "format", 1006, "WORD", "timeline: text, json or svg", OPTION_TEXT,
    FIELD (format) },
};

enum
{
  ROW_COUNT = sizeof option_rows / sizeof option_rows[0]
};

static error_t
set_option (struct tool_options *o, const struct option_row *row, char *arg,
            struct argp_state *state)
{
  char *field = (char *)o + row->offset;
  char *end;

  switch (row->kind)
    {
    case OPTION_TEXT:
      *(const char **)field = arg;
      break;
    case OPTION_NUMBER:
      *(int64_t *)field = strtoll (arg, &end, 10);
      if (*end != '\0' || end == arg)
        argp_error (state, "--%s: %s is not a number", row->name, arg);
      break;
    case OPTION_FLAG:
      *(bool *)field = true;
      break;
    case OPTION_SERVER:
      if (o->server_count == SERVER_LIMIT)
        argp_error (state, "--server: more than %d", SERVER_LIMIT);
      o->servers[o->server_count++] = arg;
      break;
    }
  return 0;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct tool_options *o = state->input;

  if (key == ARGP_KEY_ARG)
    {
      if (o->operand_count == OPERAND_LIMIT)
        argp_usage (state);
      o->operands[o->operand_count++] = arg;
      return 0;
    }
  for (int i = 0; i < ROW_COUNT; i++)
    if (option_rows[i].key == key)
      return set_option (o, &option_rows[i], arg, state);
  return ARGP_ERR_UNKNOWN;
}

/* Appends the list of commands to the options in --help.  */
static char *
filter_help (int key, const char *text, void *input)
{
  char *list;
  size_t size;
  FILE *f;

  (void)input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *)text;
  f = open_memstream (&list, &size);
  fprintf (f, "Commands:\n");
  for (const struct command *c = commands; c->name != NULL; c++)
    fprintf (f, "  %s %s\n      %s\n", c->name, c->operands, c->help);
  fprintf (f, "\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no "
              "server answered,\n4 the outcome is not known.");
  fclose (f);
  return list;
}

/* Finds the command named by the first one or two operands and removes these
   from O.  Returns NULL if there is none.  */
static const struct command *
find_command (struct tool_options *o)
{
  char two[64] = "";

  if (o->operand_count == 0)
    return NULL;
  if (o->operand_count > 1)
    snprintf (two, sizeof two, "%s %s", o->operands[0], o->operands[1]);
  for (const struct command *c = commands; c->name != NULL; c++)
    {
      uint32_t words = strchr (c->name, ' ') == NULL ? 1 : 2;

      if (strcmp (c->name, words == 1 ? o->operands[0] : two) != 0)
        continue;
      o->operand_count -= words;
      memmove (o->operands, o->operands + words,
               o->operand_count * sizeof o->operands[0]);
      return c;
    }
  return NULL;
}

/* Ends the program if an argument is no UTF-8: servers take only that.  */
static void
check_arguments (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (!utf8_is_text (argv[i], strlen (argv[i])))
      {
        fprintf (stderr, "ragwortctl: argument %d is not UTF-8\n", i);
        exit (TOOL_USAGE);
      }
}

int
main (int argc, char **argv)
{
  struct argp_option options[ROW_COUNT + 1] = { 0 };
  const struct argp parser
      = { options,
          parse_option,
          "COMMAND [OPERAND...]",
          "Operates ragwortline and submits tasks to it.\v ",
          NULL,
          filter_help,
          NULL };
  struct tool_options o = { .expect = -1,
                            .timeout_ms = 20000,
                            .limit = 1000,
                            .format = "text",
                            .operator_name = "operator" };
  const struct command *c;

  for (int i = 0; i < ROW_COUNT; i++)
    options[i]
        = (struct argp_option){ option_rows[i].name,     option_rows[i].key,
                                option_rows[i].argument, 0,
                                option_rows[i].help,     0 };
  signal (SIGPIPE, SIG_IGN);
  check_arguments (argc, argv);
  argp_parse (&parser, argc, argv, 0, NULL, &o);
  if (o.token == NULL)
    o.token = getenv ("RAGWORT_TOKEN");
  c = find_command (&o);
  if (c == NULL || o.operand_count < c->min_operands)
    {
      fprintf (stderr, "ragwortctl: %s; see --help\n",
               c == NULL ? "unknown command" : "an operand is missing");
      return TOOL_USAGE;
    }
  return (int)c->run (&o);
}
