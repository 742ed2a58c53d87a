/* The ring of numbered events of this process, for the time line over all
   processes.  Every event also goes to the log.

   Events carry a hybrid logical clock, so that merging the rings of several
   processes keeps cause before effect even where wall clocks differ by a few
   milliseconds (Kulkarni et al. 2014).  */
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

/* The catalogue, ended by an entry with number 0.  */
extern const struct event_info event_catalogue[];

/* Starts the ring of this process; VM is the name that events carry and
   MINIMUM the lowest level that goes to the log.  */
void event_ring_init (const char *vm, enum event_level minimum);
void event_ring_done (void);

/* Records event NUMBER about KEY (a job, target or VM; may be empty).  */
void event_ring_add (enum event_number number, const char *key,
                     const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Records event NUMBER about task INDEX of the submission KEY: WORD says how
   and PLACE where.  Nothing is formatted until the event is read or logged,
   as there are two of these for every task.  */
void event_ring_add_task (enum event_number number, const char *key,
                          uint32_t index, const char *word, const char *place);

/* The hybrid clock's present value, advanced; sent with peer messages.  */
uint64_t event_ring_clock (void);

/* Takes in the clock REMOTE of a received message.  */
void event_ring_observe (uint64_t remote);

/* A new JSON array of the events that match KEY (a prefix, or NULL), oldest
   first, at most LIMIT.  The caller owns it.  */
json_t *event_ring_json (const char *key, uint32_t limit);

#endif
