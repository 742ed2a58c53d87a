/* ragwortctl: the tool of operators and of callers trying things out.  */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "tool/command.h"

const char *argp_program_version = "ragwortctl 0.1";

enum option_key
{
  KEY_SERVER = 's',
  KEY_TOKEN = 't',
  KEY_JSON = 'j',
  KEY_KEY = 'k',
  KEY_TIMEOUT = 'T',
  KEY_EXPECT = 'e',
  KEY_REQUEST_ID = 'r',
  KEY_OPERATOR = 'o',
  KEY_MATCH = 'm',
  KEY_ENVIRONMENT = 1000,
  KEY_FROM,
  KEY_FROM_TOKEN,
  KEY_VM,
  KEY_EVENT,
  KEY_LIMIT,
  KEY_FORMAT
};

static const struct argp_option options[] = {
  { "server", KEY_SERVER, "IP:PORT", 0,
    "An entry or keeper to call; repeat it to ask several", 0 },
  { "token", KEY_TOKEN, "TOKEN", 0,
    "The operators' or the team's token (else RAGWORT_TOKEN)", 0 },
  { "json", KEY_JSON, NULL, 0, "Print JSON", 0 },
  { "key", KEY_KEY, "KEY", 0, "submit, request: the submission key", 0 },
  { "timeout-ms", KEY_TIMEOUT, "MS", 0, "How long to wait (20000)", 0 },
  { "expect", KEY_EXPECT, "N", 0,
    "config accept, promote: the number now in force (asked for if absent)",
    0 },
  { "request-id", KEY_REQUEST_ID, "ID", 0,
    "config accept, promote: give the same one to repeat a lost call", 0 },
  { "operator", KEY_OPERATOR, "NAME", 0, "config accept, promote: who", 0 },
  { "environment", KEY_ENVIRONMENT, "NAME", 0,
    "config check: the environment it is for", 0 },
  { "from", KEY_FROM, "IP:PORT", 0,
    "config promote: an entry of the environment to promote from", 0 },
  { "from-token", KEY_FROM_TOKEN, "TOKEN", 0,
    "config promote: the operators' token there", 0 },
  { "match", KEY_MATCH, "TEXT", 0,
    "timeline: only events whose key has TEXT (a job, target or VM)", 0 },
  { "vm", KEY_VM, "NAME", 0, "timeline: only events of this VM", 0 },
  { "event", KEY_EVENT, "NUMBER", 0, "timeline: only this event", 0 },
  { "limit", KEY_LIMIT, "N", 0, "timeline: events from each VM (1000)", 0 },
  { "format", KEY_FORMAT, "WORD", 0, "timeline: text, json or svg", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct tool_options *o = state->input;

  switch (key)
    {
    case KEY_SERVER:
      if (o->server_count < SERVER_LIMIT)
        o->servers[o->server_count++] = arg;
      break;
    case KEY_TOKEN:
      o->token = arg;
      break;
    case KEY_JSON:
      o->json = true;
      break;
    case KEY_KEY:
      o->key = arg;
      break;
    case KEY_TIMEOUT:
      o->timeout_ms = strtoll (arg, NULL, 10);
      break;
    case KEY_EXPECT:
      o->expect = strtoll (arg, NULL, 10);
      break;
    case KEY_REQUEST_ID:
      o->request_id = arg;
      break;
    case KEY_OPERATOR:
      o->operator_name = arg;
      break;
    case KEY_ENVIRONMENT:
      o->environment = arg;
      break;
    case KEY_FROM:
      o->from = arg;
      break;
    case KEY_FROM_TOKEN:
      o->from_token = arg;
      break;
    case KEY_MATCH:
      o->match = arg;
      break;
    case KEY_VM:
      o->vm = arg;
      break;
    case KEY_EVENT:
      o->event = strtoll (arg, NULL, 10);
      break;
    case KEY_LIMIT:
      o->limit = strtoll (arg, NULL, 10);
      break;
    case KEY_FORMAT:
      o->format = arg;
      break;
    case ARGP_KEY_ARG:
      if (o->operand_count == OPERAND_LIMIT)
        argp_usage (state);
      o->operands[o->operand_count++] = arg;
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

/* The list of commands, from the table, behind the options in --help.  */
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

/* The command that the first one or two operands name, which it removes.  */
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

int
main (int argc, char **argv)
{
  static const struct argp parser
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

  signal (SIGPIPE, SIG_IGN);
  argp_parse (&parser, argc, argv, 0, NULL, &o);
  if (o.token == NULL)
    o.token = getenv ("RAGWORT_TOKEN");
  c = find_command (&o);
  if (c == NULL || o.operand_count < c->operand_minimum)
    {
      fprintf (stderr, "ragwortctl: %s; see --help\n",
               c == NULL ? "unknown command" : "an operand is missing");
      return TOOL_USAGE;
    }
  return (int)c->run (&o);
}
