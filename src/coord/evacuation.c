#include "coord/evacuation.h"

#include <stdio.h>
#include <string.h>
#include "base/json_check.h"
#include "base/json_text.h"

void
evacuation_set_init (struct evacuation_set *s)
{
  memset (s, 0, sizeof *s);
}

static int64_t
find_index (const struct evacuation_set *s, const char *domain)
{
  for (uint32_t i = 0; i < s->count; i++)
    if (strcmp (s->list[i].domain, domain) == 0)
      return i;
  return -1;
}

const struct evacuation *
evacuation_set_find (const struct evacuation_set *s, const char *domain)
{
  int64_t i = find_index (s, domain);

  return i < 0 ? NULL : &s->list[i];
}

static bool
is_domain_name (const char *domain)
{
  return domain[0] != '\0' && strlen (domain) < NAME_BYTES;
}

static bool
add (struct evacuation_set *s, uint64_t version, const char *domain,
     int64_t since_ms)
{
  struct evacuation *e = &s->list[s->count];

  if (s->count == EVACUATION_LIMIT)
    return false;
  memset (e, 0, sizeof *e);
  snprintf (e->domain, sizeof e->domain, "%s", domain);
  e->since_ms = since_ms;
  e->version = version;
  s->count++;
  return true;
}

enum evacuation_change
evacuation_set_apply (struct evacuation_set *s, uint64_t version,
                      const char *domain, bool active, int64_t at_ms)
{
  int64_t i = find_index (s, domain);

  if (version <= s->version || !is_domain_name (domain))
    return EVACUATION_REFUSED;
  if ((i >= 0) == active)
    return EVACUATION_UNCHANGED;
  if (active && !add (s, version, domain, at_ms))
    return EVACUATION_REFUSED;
  if (!active)
    {
      s->count--;
      memmove (&s->list[i], &s->list[i + 1],
               (s->count - (uint32_t)i) * sizeof s->list[0]);
    }
  s->version = version;
  return EVACUATION_CHANGED;
}

bool
evacuation_set_replace (struct evacuation_set *s,
                        const struct evacuation_set *other)
{
  if (other->version <= s->version)
    return false;
  *s = *other;
  return true;
}

json_t *
evacuation_set_to_json (const struct evacuation_set *s)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < s->count; i++)
    json_array_append_new (
        list, json_build ("{s:s s:I s:I}", "domain", s->list[i].domain,
                          "since", (json_int_t)s->list[i].since_ms, "version",
                          (json_int_t)s->list[i].version));
  return json_build ("{s:I s:o}", "version", (json_int_t)s->version, "list",
                     list);
}

static bool
read_one (struct evacuation_set *s, const json_t *o)
{
  const char *domain = json_string_value (json_object_get (o, "domain"));
  int64_t version = json_get_integer (o, "version", 0);

  return domain != NULL && is_domain_name (domain) && version > 0
         && find_index (s, domain) < 0
         && add (s, (uint64_t)version, domain,
                 json_get_integer (o, "since", 0));
}

bool
evacuation_set_from_json (struct evacuation_set *s, const json_t *o)
{
  const json_t *list = json_object_get (o, "list");
  int64_t version = json_get_integer (o, "version", -1);
  size_t i;
  json_t *item;

  evacuation_set_init (s);
  if (!json_is_array (list) || version < 0)
    return false;
  s->version = (uint64_t)version;
  json_array_foreach (list, i, item) if (!read_one (s, item))
  {
    evacuation_set_init (s);
    return false;
  }
  return true;
}
