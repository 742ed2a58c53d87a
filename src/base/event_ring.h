/* A ring buffer of the latest numbered events of this process, from which
   ragwortctl builds a time line over all processes.  Events at or above the
   log level are also logged.

   Every event is stamped with a hybrid logical clock (Kulkarni et al. 2014),
   so that merging the events of several processes orders causes before
   effects even when their wall clocks differ by a few milliseconds.  */
#ifndef BASE_EVENT_RING_H
#define BASE_EVENT_RING_H

#include <stdint.h>
#include <jansson.h>
#include "base/event_table.h"

enum event_level
{
  EVENT_DEBUG,
  EVENT_INFO,
  EVENT_WARN,
  EVENT_ERROR
};

#define EVENT_ENUM(number, id, level, text, action) EVENT_##id = (number),
enum event_number
{
  EVENT_TABLE (EVENT_ENUM)
};
#undef EVENT_ENUM

struct event_info
{
  int number;
  enum event_level level;
  const char *name;
  const char *text;
  const char *action;
};

/* All events; terminated by an entry with number 0.  */
extern const struct event_info event_catalogue[];

/* Initializes the ring.  VM is the VM name recorded with each event, MINIMUM
   the lowest level that is logged.  */
void event_ring_init (const char *vm, enum event_level minimum);
void event_ring_done (void);

/* Records event NUMBER about KEY, a job, target or VM id; KEY may be empty.
   FORMAT makes the detail text.  */
void event_ring_add (enum event_number number, const char *key,
                     const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Records event NUMBER about task INDEX of submission KEY.  STATE is what
   happened to the task ("started", an outcome), a string that stays valid;
   LOCATION is the target or VM.  The detail text is formatted only when the
   event is read or logged, as every task records two of these events.  */
void event_ring_add_task (enum event_number number, const char *key,
                          uint32_t index, const char *state,
                          const char *location);

/* Advances the hybrid logical clock for a local event or an outgoing peer
   message and returns its value.  */
uint64_t event_ring_advance_clock (void);

/* Merges the clock value REMOTE of a received peer message into the hybrid
   logical clock.  */
void event_ring_merge_clock (uint64_t remote);

/* Returns a new JSON array, which the caller owns, of the latest LIMIT events
   whose key contains KEY, or of any key if KEY is NULL, oldest first.  */
json_t *event_ring_json (const char *key, uint32_t limit);

#endif
