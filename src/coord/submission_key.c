#include "coord/submission_key.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_check.h"
#include "coord/rendezvous.h"

static const char *
home_by_hash (const char *text, const struct settings *s)
{
  const char *home = NULL;
  uint64_t home_weight = 0;

  for (uint32_t i = 0; i < s->domain_count; i++)
    {
      uint64_t w = rendezvous_weight (text, s->domains[i]);

      if (home == NULL || w > home_weight)
        {
          home = s->domains[i];
          home_weight = w;
        }
    }
  return home;
}

static bool
parse_number (const char *text, char end, uint64_t *value, const char **rest)
{
  char *stop;

  if (text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *value = strtoull (text, &stop, 10);
  *rest = stop + 1;
  return errno == 0 && *stop == end;
}

static const char *
parse_prefixed (struct submission_key *k, const struct settings *s)
{
  size_t domain = strcspn (k->text, ".");
  uint64_t issued_s;
  const char *rest;

  if (domain >= sizeof k->domain)
    return "names no failure domain of this system";
  memcpy (k->domain, k->text, domain);
  k->domain[domain] = '\0';
  if (settings_domain_index (s, k->domain) < 0)
    return "names no failure domain of this system";
  if (!parse_number (k->text + domain + 1, '.', &k->incarnation, &rest)
      || k->incarnation == 0 || !parse_number (rest, '.', &issued_s, &rest)
      || issued_s > INT64_MAX / 1000)
    return "is not DOMAIN.INCARNATION.ISSUED.UNIQUE";
  if (!json_is_name (rest))
    return "may hold only letters, digits, '-' and '_' after its prefix";
  k->issued_wall_ms = (int64_t)issued_s * 1000;
  return NULL;
}

const char *
submission_key_parse (struct submission_key *k, const char *text,
                      int64_t submitted_wall_ms, const struct settings *s)
{
  memset (k, 0, sizeof *k);
  if (strlen (text) >= sizeof k->text)
    return "is longer than 127 bytes";
  snprintf (k->text, sizeof k->text, "%s", text);
  if (strchr (text, '.') != NULL)
    return parse_prefixed (k, s);
  if (!json_is_name (text))
    return "may hold only letters, digits, '-' and '_'";
  if (submitted_wall_ms <= 0)
    return "has no prefix, so submitted_at_ms must be given";
  k->bare = true;
  k->issued_wall_ms = submitted_wall_ms;
  snprintf (k->domain, sizeof k->domain, "%s", home_by_hash (text, s));
  return NULL;
}

void
submission_key_prefix (char *buffer, size_t size, const char *domain,
                       uint64_t incarnation, int64_t wall_ms)
{
  snprintf (buffer, size, "%s.%" PRIu64 ".%" PRId64, domain, incarnation,
            wall_ms / 1000);
}
