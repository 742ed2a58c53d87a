/* Validates a JSON value against a table of rules and reports every fault with
   its path: unknown field, wrong type, value out of range, missing field.
   Used for settings, the environment's configuration and API bodies.  */
#ifndef BASE_JSON_CHECK_H
#define BASE_JSON_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

enum json_rule_kind
{
  RULE_END,
  RULE_TEXT,   /* a string of MINIMUM to MAXIMUM bytes */
  RULE_NAME,   /* RULE_TEXT of letters, digits, '-' and '_' only */
  RULE_CHOICE, /* a string, one of those in CHOICES, separated by '|' */
  RULE_INTEGER,
  RULE_REAL,
  RULE_BOOLEAN,
  RULE_ANY, /* not checked */
  RULE_OBJECT,
  RULE_ARRAY /* of MINIMUM to MAXIMUM elements: objects checked by CHILDREN,
                or strings if CHILDREN is NULL */
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
  char text[JSON_REPORT_BYTES]; /* one line per fault, "path: description" */
};

void json_report_init (struct json_report *r);

/* Adds a fault of the value at PATH.  */
void json_report_add (struct json_report *r, const char *path,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Checks OBJECT against RULES and adds its faults to R.  PATH is the path of
   OBJECT, "" for the root.  */
void json_check_object (const json_t *object, const struct json_rule *rules,
                        const char *path, struct json_report *r);

/* Parses LENGTH bytes of TEXT, rejecting duplicate keys, and checks the value
   against RULES.  Returns the root, which the caller owns, or NULL with the
   faults in R.  */
json_t *json_check_parse (const char *text, size_t length,
                          const struct json_rule *rules,
                          struct json_report *r);

/* Return the member NAME of a checked object, or FALLBACK if it is absent.  */
int64_t json_get_integer (const json_t *object, const char *name,
                          int64_t fallback);
const char *json_get_text (const json_t *object, const char *name,
                           const char *fallback);
bool json_get_boolean (const json_t *object, const char *name, bool fallback);
double json_get_real (const json_t *object, const char *name, double fallback);

/* Returns whether TEXT is a non-empty string of letters, digits, '-' and
   '_'.  */
bool json_is_name (const char *text);

/* Reads the file PATH into a NUL-terminated buffer that the caller frees, and
   sets LENGTH to its size.  Returns NULL and sets errno on failure, EFBIG if
   the file is larger than MAXIMUM bytes.  */
char *json_read_file (const char *path, size_t maximum, size_t *length);

#endif
