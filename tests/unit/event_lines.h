/* Reads the fields of events in the event ring.  */
#ifndef UNIT_EVENT_LINES_H
#define UNIT_EVENT_LINES_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  EVENT_FIELD_BYTES = 128,
  NO_EVENT_FIELD = -1000
};

/* Copies FIELD of the latest event called NAME whose key contains KEY into
   VALUE; "" if there is no such event or field.  */
void event_lines_text (const char *name, const char *key, const char *field,
                       char value[EVENT_FIELD_BYTES]);

/* Whether FIELD of that event is EXPECTED.  */
bool event_lines_is (const char *name, const char *key, const char *field,
                     const char *expected);

/* FIELD of that event as a number; NO_EVENT_FIELD if there is none.  */
int64_t event_lines_number (const char *name, const char *key,
                            const char *field);

/* The number of events called NAME whose key contains KEY.  */
uint32_t event_lines_count (const char *name, const char *key);

#endif
