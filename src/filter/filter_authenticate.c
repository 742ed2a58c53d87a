/* Finds the caller's team by its token.  Refuses all submissions while this
   entry has no configuration yet or is stopping.  */
#include <string.h>
#include "coord/environment.h"
#include "filter/request.h"

enum filter_result
filter_authenticate (struct request *r)
{
  const char *token = http_call_token (r->call);
  char sha256[SHA256_HEX_BYTES];
  const struct team *team;

  if (r->entry->environment.number == 0)
    return request_refuse (r, 503, "no_configuration",
                           request_refusal_outcome (r),
                           "this VM has not learnt the configuration yet");
  if (r->entry->refusing_submissions)
    return request_refuse (r, 503, "stopping", request_refusal_outcome (r),
                           "this VM is stopping; submit at another one");
  if (token == NULL)
    return request_refuse (r, 401, "no_token", "not_run",
                           "the Authorization header must be Bearer TOKEN");
  sha256_text (token, strlen (token), sha256);
  team = team_table_find_token (&r->entry->teams, sha256);
  if (team == NULL)
    return request_refuse (r, 401, "unknown_token", "not_run",
                           "no team has this token");
  memcpy (r->team, team->name, sizeof r->team);
  return FILTER_PASS;
}
