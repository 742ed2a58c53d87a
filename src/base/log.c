#include "base/log.h"

#include <stdio.h>
#include <log4c.h>
#include "base/event_ring.h"
#include "base/now.h"

static log4c_category_t *category;

/* One line: wall time, level, number, name, VM, key, text, detail.  */
static const char *
line_format (const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
  static char line[512];

  (void)layout;
  snprintf (line, sizeof line, "%lld %-5s %s\n", (long long)now_wall_ms (),
            log4c_priority_to_string (e->evt_priority), e->evt_msg);
  return line;
}

static const log4c_layout_type_t line_layout_type
    = { "ragwort_line", line_format };

int
log_init (void)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  if (log4c_init () != 0)
    return -1;
  log4c_layout_type_set (&line_layout_type);
  layout = log4c_layout_get ("ragwort");
  log4c_layout_set_type (layout, &line_layout_type);
  appender = log4c_appender_get ("stderr");
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("ragwort");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_DEBUG);
  log4c_category_set_additivity (category, 0);
  return 0;
}

void
log_done (void)
{
  category = NULL;
  log4c_fini ();
}

static int
level_priority (enum event_level level)
{
  switch (level)
    {
    case EVENT_DEBUG:
      return LOG4C_PRIORITY_DEBUG;
    case EVENT_INFO:
      return LOG4C_PRIORITY_INFO;
    case EVENT_WARN:
      return LOG4C_PRIORITY_WARN;
    case EVENT_ERROR:
      break;
    }
  return LOG4C_PRIORITY_ERROR;
}

void
log_event (const struct event_info *info, const char *vm, const char *key,
           const char *detail)
{
  if (category == NULL)
    return;
  log4c_category_log (category, level_priority (info->level),
                      "%d %s vm=%s key=%s %s%s%s", info->number, info->name,
                      vm, key, info->text, detail[0] == '\0' ? "" : ": ",
                      detail);
}
