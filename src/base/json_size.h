/* How much a JSON text may make its decoder build.  Small values take up to 79
   times their bytes when decoded (measured with jansson 2.14: empty objects
   79, empty texts 31, integers 20 times), so that a limit of bytes alone does
   not bound memory.  */
#ifndef BASE_JSON_SIZE_H
#define BASE_JSON_SIZE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether TEXT, of LENGTH bytes, has at most LIMIT commas, colons and opening
   brackets outside of strings.  Each stands for at most about 130 bytes of the
   decoded value, beside the bytes of its texts.  */
bool json_size_is_within (const char *text, size_t length, uint32_t limit);

#endif
