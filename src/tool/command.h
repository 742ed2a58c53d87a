/* The commands of ragwortctl: their table, options and exit codes.  */
#ifndef TOOL_COMMAND_H
#define TOOL_COMMAND_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

enum
{
  SERVER_LIMIT = 64,
  OPERAND_LIMIT = 8
};

enum tool_exit
{
  TOOL_OK = 0,
  TOOL_FAILED = 1, /* request refused, or job failed */
  TOOL_USAGE = 2,
  TOOL_UNREACHABLE = 3,
  TOOL_UNKNOWN = 4 /* the outcome is unknown */
};

struct tool_options
{
  const char *servers[SERVER_LIMIT]; /* IP:PORT */
  uint32_t server_count;
  const char *token;
  bool json;
  const char *operands[OPERAND_LIMIT];
  uint32_t operand_count;

  /* submissions */
  const char *key;
  int64_t timeout_ms;

  /* configuration */
  int64_t expect; /* configuration number to replace; -1: not given */
  const char *request_id;
  const char *operator_name;
  const char *environment;
  const char *from; /* server to promote from, IP:PORT */
  const char *from_token;

  /* timeline */
  const char *match; /* substring of the event key */
  const char *vm;
  int64_t event; /* event number; 0: all */
  int64_t limit;
  const char *format;
};

struct command
{
  const char *name; /* one or two words */
  const char *operands;
  const char *help;
  uint32_t min_operands;
  enum tool_exit (*run) (const struct tool_options *o);
};

/* All commands; terminated by an entry without a name.  */
extern const struct command commands[];

/* The functions of the commands, grouped by source file.  */
enum tool_exit command_submit (const struct tool_options *o);
enum tool_exit command_request (const struct tool_options *o);
enum tool_exit command_wait (const struct tool_options *o);
enum tool_exit command_cancel (const struct tool_options *o);
enum tool_exit command_status (const struct tool_options *o);
enum tool_exit command_counters (const struct tool_options *o);
enum tool_exit command_target_list (const struct tool_options *o);
enum tool_exit command_stop (const struct tool_options *o);
enum tool_exit command_evacuate (const struct tool_options *o);
enum tool_exit command_evacuate_end (const struct tool_options *o);
enum tool_exit command_evacuations (const struct tool_options *o);
enum tool_exit command_config_check (const struct tool_options *o);
enum tool_exit command_config_show (const struct tool_options *o);
enum tool_exit command_config_accept (const struct tool_options *o);
enum tool_exit command_config_promote (const struct tool_options *o);
enum tool_exit command_timeline (const struct tool_options *o);
enum tool_exit command_events (const struct tool_options *o);
enum tool_exit command_token_hash (const struct tool_options *o);

/* Returns the contents of the file named by operand I, which the caller frees.
   On failure, prints the error to stderr and returns NULL.  */
char *command_read_file (const struct tool_options *o, uint32_t i);

/* Prints VALUE as indented JSON.  */
void command_print_json (const json_t *value);

#endif
