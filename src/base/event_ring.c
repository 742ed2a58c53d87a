#include "base/event_ring.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/now.h"

enum
{
  RING_EVENTS = 8192,
  KEY_BYTES = 96,
  DETAIL_BYTES = 112,
  CLOCK_COUNTER_BITS = 16
};

struct ring_event
{
  int64_t wall_ms;
  uint64_t clock;
  const struct event_info *info;
  char key[KEY_BYTES];
  char detail[DETAIL_BYTES];
};

#define EVENT_ROW(number, id, level, text, action)                            \
  { (number), EVENT_##level, #id, text, action },
const struct event_info event_catalogue[]
    = { EVENT_TABLE (EVENT_ROW){ 0, EVENT_DEBUG, NULL, NULL, NULL } };
#undef EVENT_ROW

static struct ring_event *ring;
static uint64_t ring_next;
static uint64_t hybrid_clock;
static enum event_level log_minimum;
static char ring_vm[40];

void
event_ring_init (const char *vm, enum event_level minimum)
{
  ring = calloc (RING_EVENTS, sizeof *ring);
  ring_next = 0;
  log_minimum = minimum;
  snprintf (ring_vm, sizeof ring_vm, "%s", vm);
}

void
event_ring_done (void)
{
  free (ring);
  ring = NULL;
}

static const struct event_info *
event_info_find (enum event_number number)
{
  const struct event_info *i = event_catalogue;

  while (i->number != 0 && i->number != (int)number)
    i++;
  return i;
}

uint64_t
event_ring_clock (void)
{
  uint64_t wall = (uint64_t)now_wall_ms () << CLOCK_COUNTER_BITS;

  hybrid_clock = wall > hybrid_clock ? wall : hybrid_clock + 1;
  return hybrid_clock;
}

void
event_ring_observe (uint64_t remote)
{
  if (remote > hybrid_clock)
    hybrid_clock = remote;
}

void
event_ring_add (enum event_number number, const char *key, const char *format,
                ...)
{
  struct ring_event *e;
  va_list args;

  if (ring == NULL)
    return;
  e = &ring[ring_next++ % RING_EVENTS];
  e->wall_ms = now_wall_ms ();
  e->clock = event_ring_clock ();
  e->info = event_info_find (number);
  snprintf (e->key, sizeof e->key, "%s", key);
  va_start (args, format);
  vsnprintf (e->detail, sizeof e->detail, format, args);
  va_end (args);
  if (e->info->level >= log_minimum)
    log_event (e->info, ring_vm, e->key, e->detail);
}

static json_t *
event_json (const struct ring_event *e)
{
  return json_pack ("{s:I s:I s:s s:i s:s s:s s:s s:s}", "wall_ms",
                    (json_int_t)e->wall_ms, "clock", (json_int_t)e->clock,
                    "vm", ring_vm, "number", e->info->number, "event",
                    e->info->name, "text", e->info->text, "key", e->key,
                    "detail", e->detail);
}

json_t *
event_ring_json (const char *key, uint32_t limit)
{
  uint64_t first = ring_next > RING_EVENTS ? ring_next - RING_EVENTS : 0;
  size_t key_len = key == NULL ? 0 : strlen (key);
  json_t *array = json_array ();

  if (ring == NULL)
    return array;
  for (uint64_t i = ring_next; i > first && json_array_size (array) < limit;
       i--)
    {
      const struct ring_event *e = &ring[(i - 1) % RING_EVENTS];

      if (key_len != 0 && strstr (e->key, key) == NULL)
        continue;
      json_array_insert_new (array, 0, event_json (e));
    }
  return array;
}
