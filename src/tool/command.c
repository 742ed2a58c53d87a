#include "tool/command.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "base/json_text.h"

enum
{
  FILE_BYTES_MAXIMUM = 16 << 20
};

const struct command commands[] = {
  { "submit", "FILE", "Submit the job in FILE and print its result", 1,
    command_submit },
  { "request", "FILE", "Send the single request in FILE", 1, command_request },
  { "wait", "KEY", "Wait for the result of the job KEY", 1, command_wait },
  { "cancel", "KEY", "Cancel the job KEY", 1, command_cancel },
  { "status", "", "Show the state of each --server", 0, command_status },
  { "counters", "", "Show the counters of each --server", 0,
    command_counters },
  { "target list", "", "Show the targets of each --server", 0,
    command_target_list },
  { "stop", "", "Stop each --server gracefully", 0, command_stop },
  { "evacuate", "DOMAIN",
    "Order that nothing more is started in a failure domain; each --server is "
    "the control address of a keeper",
    1, command_evacuate },
  { "evacuate-end", "DOMAIN", "End the evacuation of a failure domain", 1,
    command_evacuate_end },
  { "evacuations", "", "Show the evacuated failure domains", 0,
    command_evacuations },
  { "config check", "FILE",
    "Check the configuration in FILE without contacting a server", 1,
    command_config_check },
  { "config show", "", "Show the configuration in force and its rollout", 0,
    command_config_show },
  { "config accept", "FILE", "Put the configuration in FILE in force", 1,
    command_config_accept },
  { "config promote", "",
    "Put the configuration in force at --from in force at --server", 0,
    command_config_promote },
  { "timeline", "", "Merge the events of all --server processes", 0,
    command_timeline },
  { "events", "", "Print the event catalogue as Markdown", 0, command_events },
  { "token hash", "TOKEN", "Print the SHA-256 of a token", 1,
    command_token_hash },
  { NULL, NULL, NULL, 0, NULL },
};

char *
command_read_file (const struct tool_options *o, uint32_t i)
{
  size_t length;
  char *text = json_read_file (o->operands[i], FILE_BYTES_MAXIMUM, &length);

  if (text == NULL)
    fprintf (stderr, "ragwortctl: %s: %s\n", o->operands[i], strerror (errno));
  return text;
}

void
command_print_json (const json_t *value)
{
  char *text = json_encode_with (value, JSON_INDENT (2));

  puts (text == NULL ? "null" : text);
  free (text);
}
