/* Checks a JSON value against a table of rules and reports every fault with
   its path: unknown field, wrong type, out of range, missing.  Settings, the
   environment's document and API bodies all use it.  */
#ifndef BASE_JSON_CHECK_H
#define BASE_JSON_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

enum json_rule_kind
{
  RULE_END,
  RULE_TEXT,   /* MINIMUM to MAXIMUM bytes */
  RULE_NAME,   /* TEXT of letters, digits, '-' and '_' */
  RULE_CHOICE, /* TEXT, one of the words in CHOICES, separated by '|' */
  RULE_INTEGER,
  RULE_REAL,
  RULE_BOOLEAN,
  RULE_ANY,
  RULE_OBJECT,
  RULE_ARRAY /* of objects by CHILDREN, or of TEXT where CHILDREN is NULL;
                MINIMUM to MAXIMUM elements */
};

struct json_rule
{
  const char *name;
  enum json_rule_kind kind;
  bool required;
  int64_t minimum;
  int64_t maximum;
  const struct json_rule *children;
  const char *choices;
};

enum
{
  JSON_REPORT_BYTES = 4096
};

struct json_report
{
  uint32_t faults;
  char text[JSON_REPORT_BYTES]; /* one line a fault: "path: what" */
};

void json_report_init (struct json_report *r);

/* Adds one fault at PATH.  */
void json_report_add (struct json_report *r, const char *path,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Checks OBJECT by RULES; PATH is its own path ("" for the root).  */
void json_check_object (const json_t *object, const struct json_rule *rules,
                        const char *path, struct json_report *r);

/* Parses LENGTH bytes of TEXT, refusing duplicate keys, and checks it.
   Returns the root, which the caller owns, or NULL with faults in R.  */
json_t *json_check_parse (const char *text, size_t length,
                          const struct json_rule *rules,
                          struct json_report *r);

/* The member NAME of a checked object, or FALLBACK where it is absent.  */
int64_t json_get_integer (const json_t *object, const char *name,
                          int64_t fallback);
const char *json_get_text (const json_t *object, const char *name,
                           const char *fallback);
bool json_get_boolean (const json_t *object, const char *name, bool fallback);
double json_get_real (const json_t *object, const char *name, double fallback);

/* Whether TEXT has only letters, digits, '-' and '_', and is not empty.  */
bool json_is_name (const char *text);

/* Reads the file PATH whole into new memory that the caller frees, with its
   length in LENGTH.  Returns NULL and sets errno on failure or when it is
   larger than MAXIMUM bytes.  */
char *json_read_file (const char *path, size_t maximum, size_t *length);

#endif
