#include "base/event_ring.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_text.h"
#include "base/log.h"
#include "base/now.h"
#include "base/utf8.h"

enum
{
  RING_EVENTS = 4096,
  KEY_BYTES = 96,
  DETAIL_BYTES = 320,
  CLOCK_COUNTER_BITS = 16,
  NUMBER_LIMIT = 1000,
  NO_TASK = -1
};

struct ring_event
{
  int64_t wall_ms;
  uint64_t clock;
  const struct event_info *info;
  int32_t task;      /* NO_TASK, or a task index: then DETAIL is a location */
  const char *state; /* of the task */
  char key[KEY_BYTES];
  char detail[DETAIL_BYTES];
};

#define EVENT_ROW(number, id, level, text, action)                            \
  { (number), EVENT_##level, #id, text, action },
const struct event_info event_catalogue[]
    = { EVENT_TABLE (EVENT_ROW){ 0, EVENT_DEBUG, NULL, NULL, NULL } };
#undef EVENT_ROW

static const struct event_info *info_of[NUMBER_LIMIT];
static struct ring_event *ring;
static uint64_t event_count;
static uint64_t hybrid_clock;
static enum event_level log_min_level;
static char ring_vm[40];

static void
index_catalogue (void)
{
  for (const struct event_info *i = event_catalogue; i->number != 0; i++)
    info_of[i->number] = i;
}

void
event_ring_init (const char *vm, enum event_level minimum)
{
  index_catalogue ();
  ring = calloc (RING_EVENTS, sizeof *ring);
  event_count = 0;
  log_min_level = minimum;
  snprintf (ring_vm, sizeof ring_vm, "%s", vm);
}

void
event_ring_done (void)
{
  free (ring);
  ring = NULL;
}

uint64_t
event_ring_advance_clock (void)
{
  uint64_t wall = (uint64_t)now_wall_ms () << CLOCK_COUNTER_BITS;

  hybrid_clock = wall > hybrid_clock ? wall : hybrid_clock + 1;
  return hybrid_clock;
}

void
event_ring_merge_clock (uint64_t remote)
{
  if (remote > hybrid_clock)
    hybrid_clock = remote;
}

/* Copies TEXT into TO, truncated to SIZE bytes with the final NUL.  */
static void
copy_truncated (char *to, const char *text, size_t size)
{
  size_t n = strnlen (text, size - 1);

  memcpy (to, text, n);
  to[n] = '\0';
}

static struct ring_event *
append_event (enum event_number number, const char *key)
{
  struct ring_event *e = &ring[event_count++ % RING_EVENTS];

  e->clock = event_ring_advance_clock ();
  e->wall_ms = (int64_t)(e->clock >> CLOCK_COUNTER_BITS);
  e->info = info_of[number];
  e->task = NO_TASK;
  copy_truncated (e->key, key, sizeof e->key);
  utf8_repair_line (e->key);
  return e;
}

/* Returns the detail text of E; a task event is formatted into BUFFER.  */
static const char *
detail_text (const struct ring_event *e, char *buffer, size_t size)
{
  if (e->task == NO_TASK)
    return e->detail;
  snprintf (buffer, size, "task=%d %s at %s", e->task, e->state, e->detail);
  return buffer;
}

static void
log_if_enabled (const struct ring_event *e)
{
  char buffer[2 * DETAIL_BYTES];

  if (e->info->level >= log_min_level)
    log_event (e->info, ring_vm, e->key,
               detail_text (e, buffer, sizeof buffer));
}

void
event_ring_add (enum event_number number, const char *key, const char *format,
                ...)
{
  struct ring_event *e;
  va_list args;

  if (ring == NULL)
    return;
  e = append_event (number, key);
  va_start (args, format);
  vsnprintf (e->detail, sizeof e->detail, format, args);
  va_end (args);
  utf8_repair_line (e->detail);
  log_if_enabled (e);
}

void
event_ring_add_task (enum event_number number, const char *key, uint32_t index,
                     const char *state, const char *location)
{
  struct ring_event *e;

  if (ring == NULL)
    return;
  e = append_event (number, key);
  e->task = (int32_t)index;
  e->state = state;
  copy_truncated (e->detail, location, sizeof e->detail);
  utf8_repair_line (e->detail);
  log_if_enabled (e);
}

static json_t *
event_json (const struct ring_event *e)
{
  char buffer[2 * DETAIL_BYTES];

  return json_build ("{s:I s:I s:s s:i s:s s:s s:s s:s}", "wall_ms",
                     (json_int_t)e->wall_ms, "clock", (json_int_t)e->clock,
                     "vm", ring_vm, "number", e->info->number, "event",
                     e->info->name, "text", e->info->text, "key", e->key,
                     "detail", detail_text (e, buffer, sizeof buffer));
}

json_t *
event_ring_json (const char *key, uint32_t limit)
{
  uint64_t first = event_count > RING_EVENTS ? event_count - RING_EVENTS : 0;
  size_t key_len = key == NULL ? 0 : strlen (key);
  json_t *array = json_array ();

  if (ring == NULL)
    return array;
  for (uint64_t i = event_count; i > first && json_array_size (array) < limit;
       i--)
    {
      const struct ring_event *e = &ring[(i - 1) % RING_EVENTS];

      if (key_len != 0 && strstr (e->key, key) == NULL)
        continue;
      json_array_insert_new (array, 0, event_json (e));
    }
  return array;
}
