#include "base/log.h"

#include <stdio.h>
#include <unistd.h>
#include <log4c.h>
#include "base/event_ring.h"
#include "base/log_writer.h"
#include "base/now.h"

enum
{
  LINE_BYTES = 768
};

static log4c_category_t *category;
static struct log_writer writer;

static const char *
line_format (const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
  static char line[LINE_BYTES];

  (void)layout;
  snprintf (line, sizeof line, "t=%lld %s\n", (long long)now_wall_ms (),
            e->evt_msg);
  return line;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *e)
{
  (void)appender;
  log_writer_add (&writer, now_wall_ms (), e->evt_rendered_msg,
                  e->evt_priority <= LOG4C_PRIORITY_WARN);
  return 0;
}

static const log4c_layout_type_t line_layout_type
    = { "ragwort_line", line_format };
static const log4c_appender_type_t writer_appender_type
    = { "ragwort_writer", NULL, append_line, NULL };

int
log_init (void)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  if (log4c_init () != 0)
    return -1;
  log_writer_init (&writer, STDOUT_FILENO);
  log4c_layout_type_set (&line_layout_type);
  layout = log4c_layout_get ("ragwort");
  log4c_layout_set_type (layout, &line_layout_type);
  log4c_appender_type_set (&writer_appender_type);
  appender = log4c_appender_get ("ragwort");
  log4c_appender_set_type (appender, &writer_appender_type);
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
  log_writer_done (&writer);
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
  static const char *const levels[] = { "debug", "info", "warn", "error" };

  if (category == NULL)
    return;
  log4c_category_log (category, level_priority (info->level),
                      "level=%s event=%d name=%s vm=%s key=%s %s",
                      levels[info->level], info->number, info->name, vm,
                      key[0] == '\0' ? "-" : key, detail);
}
