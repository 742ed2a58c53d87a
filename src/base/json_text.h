/* Building and writing JSON values.  Only this module calls the functions of
   jansson that return NULL for a string that is not UTF-8 (json_pack,
   json_string, json_dumps); tools/lint.sh checks that.

   A value that cannot be built is NULL, which jansson's functions accept, and
   is recorded as an event with the reason.  */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <jansson.h>

/* Like json_pack.  Returns NULL if the value cannot be built, with an event.
 */
json_t *json_build (const char *format, ...);

/* Returns a new JSON string, never NULL: bytes of TEXT that are not UTF-8
   become '?'.  */
json_t *json_from_text (const char *text);

/* Returns VALUE as JSON text, which the caller frees.  Never NULL: a value
   that cannot be written is "null", with an event.  FLAGS are those of
   json_dumps.  */
char *json_encode_with (const json_t *value, size_t flags);

/* The same as compact text.  json_encode_new drops the caller's reference to
   VALUE.  */
char *json_encode (const json_t *value);
char *json_encode_new (json_t *value);

#endif
