#include "base/json_check.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PATH_BYTES = 256
};

void
json_report_init (struct json_report *r)
{
  r->faults = 0;
  r->text[0] = '\0';
}

void
json_report_add (struct json_report *r, const char *path, const char *format,
                 ...)
{
  size_t used = strlen (r->text);
  size_t available = sizeof r->text - used;
  va_list args;
  int n;

  r->faults++;
  n = snprintf (r->text + used, available, "%s%s: ", used == 0 ? "" : "\n",
                path[0] == '\0' ? "document" : path);
  if (n < 0 || (size_t)n >= available)
    return;
  va_start (args, format);
  vsnprintf (r->text + used + n, available - (size_t)n, format, args);
  va_end (args);
}

bool
json_is_name (const char *text)
{
  if (text[0] == '\0')
    return false;
  for (; *text != '\0'; text++)
    if (!isalnum ((unsigned char)*text) && *text != '-' && *text != '_')
      return false;
  return true;
}

static bool
is_choice (const char *text, const char *choices)
{
  size_t len = strlen (text);

  while (*choices != '\0')
    {
      size_t choice_length = strcspn (choices, "|");

      if (choice_length == len && strncmp (choices, text, len) == 0)
        return true;
      choices += choice_length;
      choices += *choices == '|';
    }
  return false;
}

static void
check_text (const json_t *value, const struct json_rule *rule,
            const char *path, struct json_report *r)
{
  int64_t len;

  if (!json_is_string (value))
    {
      json_report_add (r, path, "must be a text");
      return;
    }
  len = (int64_t)json_string_length (value);
  if (len < rule->minimum || len > rule->maximum)
    json_report_add (r, path, "must have %" PRId64 " to %" PRId64 " bytes",
                     rule->minimum, rule->maximum);
  else if (rule->kind == RULE_NAME
           && !json_is_name (json_string_value (value)))
    json_report_add (r, path, "may hold only letters, digits, '-' and '_'");
}

static void
check_array (const json_t *value, const struct json_rule *rule,
             const char *path, struct json_report *r)
{
  static const struct json_rule element
      = { .name = "", .kind = RULE_TEXT, .minimum = 1, .maximum = 255 };
  int64_t size = (int64_t)json_array_size (value);
  char inner[PATH_BYTES];

  if (!json_is_array (value))
    {
      json_report_add (r, path, "must be an array");
      return;
    }
  if (size < rule->minimum || size > rule->maximum)
    {
      json_report_add (r, path,
                       "must have %" PRId64 " to %" PRId64
                       " elements, has %" PRId64,
                       rule->minimum, rule->maximum, size);
      return;
    }
  for (int64_t i = 0; i < size; i++)
    {
      const json_t *v = json_array_get (value, (size_t)i);

      snprintf (inner, sizeof inner, "%s[%" PRId64 "]", path, i);
      if (rule->children != NULL)
        json_check_object (v, rule->children, inner, r);
      else
        check_text (v, &element, inner, r);
    }
}

static void
check_value (const json_t *value, const struct json_rule *rule,
             const char *path, struct json_report *r)
{
  switch (rule->kind)
    {
    case RULE_TEXT:
    case RULE_NAME:
      check_text (value, rule, path, r);
      break;
    case RULE_CHOICE:
      if (!json_is_string (value)
          || !is_choice (json_string_value (value), rule->choices))
        json_report_add (r, path, "must be one of %s", rule->choices);
      break;
    case RULE_INTEGER:
      if (!json_is_integer (value))
        json_report_add (r, path, "must be a whole number");
      else if (json_integer_value (value) < rule->minimum
               || json_integer_value (value) > rule->maximum)
        json_report_add (r, path, "must be %" PRId64 " to %" PRId64,
                         rule->minimum, rule->maximum);
      break;
    case RULE_REAL:
      if (!json_is_number (value))
        json_report_add (r, path, "must be a number");
      else if (json_number_value (value) < (double)rule->minimum
               || json_number_value (value) > (double)rule->maximum)
        json_report_add (r, path, "must be %" PRId64 " to %" PRId64,
                         rule->minimum, rule->maximum);
      break;
    case RULE_BOOLEAN:
      if (!json_is_boolean (value))
        json_report_add (r, path, "must be true or false");
      break;
    case RULE_OBJECT:
      json_check_object (value, rule->children, path, r);
      break;
    case RULE_ARRAY:
      check_array (value, rule, path, r);
      break;
    case RULE_ANY:
    case RULE_END:
      break;
    }
}

static const struct json_rule *
rule_find (const struct json_rule *rules, const char *name)
{
  for (; rules->kind != RULE_END; rules++)
    if (strcmp (rules->name, name) == 0)
      return rules;
  return NULL;
}

static void
path_join (char *out, const char *path, const char *name)
{
  snprintf (out, PATH_BYTES, "%.180s%s%.60s", path, path[0] == '\0' ? "" : ".",
            name);
}

void
json_check_object (const json_t *object, const struct json_rule *rules,
                   const char *path, struct json_report *r)
{
  char inner[PATH_BYTES];
  const char *name;
  json_t *value;

  if (!json_is_object (object))
    {
      json_report_add (r, path, "must be an object");
      return;
    }
  json_object_foreach ((json_t *)object, name, value)
  {
    const struct json_rule *rule = rule_find (rules, name);

    path_join (inner, path, name);
    if (rule == NULL)
      json_report_add (r, inner, "unknown field");
    else
      check_value (value, rule, inner, r);
  }
  for (; rules->kind != RULE_END; rules++)
    if (rules->required && json_object_get (object, rules->name) == NULL)
      {
        path_join (inner, path, rules->name);
        json_report_add (r, inner, "is missing");
      }
}

json_t *
json_check_parse (const char *text, size_t length,
                  const struct json_rule *rules, struct json_report *r)
{
  json_error_t e;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &e);

  json_report_init (r);
  if (root == NULL)
    {
      json_report_add (r, "", "not JSON at line %d, column %d: %s", e.line,
                       e.column, e.text);
      return NULL;
    }
  json_check_object (root, rules, "", r);
  if (r->faults == 0)
    return root;
  json_decref (root);
  return NULL;
}

int64_t
json_get_integer (const json_t *object, const char *name, int64_t fallback)
{
  const json_t *v = json_object_get (object, name);

  return json_is_integer (v) ? json_integer_value (v) : fallback;
}

const char *
json_get_text (const json_t *object, const char *name, const char *fallback)
{
  const json_t *v = json_object_get (object, name);

  return json_is_string (v) ? json_string_value (v) : fallback;
}

bool
json_get_boolean (const json_t *object, const char *name, bool fallback)
{
  const json_t *v = json_object_get (object, name);

  return json_is_boolean (v) ? json_is_true (v) : fallback;
}

double
json_get_real (const json_t *object, const char *name, double fallback)
{
  const json_t *v = json_object_get (object, name);

  return json_is_number (v) ? json_number_value (v) : fallback;
}

char *
json_read_file (const char *path, size_t maximum, size_t *length)
{
  FILE *f = fopen (path, "rb");
  char *text;
  size_t n;

  if (f == NULL)
    return NULL;
  text = malloc (maximum + 2);
  n = fread (text, 1, maximum + 1, f);
  if (ferror (f) != 0 || n > maximum)
    {
      errno = n > maximum ? EFBIG : EIO;
      fclose (f);
      free (text);
      return NULL;
    }
  fclose (f);
  text[n] = '\0';
  *length = n;
  return text;
}
