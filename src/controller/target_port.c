#include "controller/target_port.h"

const char *
port_outcome_name (enum port_outcome o)
{
  static const char *const names[]
      = { "done",        "fenced",    "old_run",           "late",
          "no_capacity", "unhealthy", "other_incarnation", "invalid",
          "not_sent",    "no_answer" };

  return names[o];
}
