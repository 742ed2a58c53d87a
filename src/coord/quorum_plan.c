#include "coord/quorum_plan.h"

#include <string.h>

enum
{
  /* A member seen within this time is alive.  */
  ALIVE_MS = 1500,

  /* The part of the catch-up time for which a voter may be unresponsive before
     it is replaced.  The rest is for an election, the copy of the log and two
     changes of the quorum.  */
  DEAD_PERCENT = 50
};

struct quorum_goal
quorum_plan_goal (uint32_t lost, int64_t catch_up_ms)
{
  int64_t dead_ms = catch_up_ms * DEAD_PERCENT / 100;

  return (struct quorum_goal){ .voters = 2 * lost + 1,
                               .dead_ms
                               = dead_ms < ALIVE_MS ? ALIVE_MS : dead_ms };
}

static bool
is_alive (const struct quorum_member *m, int64_t now)
{
  return m->last_seen_ms != 0 && now - m->last_seen_ms <= ALIVE_MS;
}

static uint32_t
count_voters (const struct quorum_member *members, uint32_t count,
              const char *domain)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    n += members[i].voter
         && (domain == NULL || strcmp (members[i].domain, domain) == 0);
  return n;
}

/* Finds a voter whose address is now used by a member with another disk.  */
static bool
find_wiped (const struct quorum_member *members, uint32_t count, int64_t now,
            struct quorum_change *c)
{
  for (uint32_t out = 0; out < count; out++)
    for (uint32_t in = 0; in < count && members[out].voter; in++)
      if (!members[in].voter && is_alive (&members[in], now)
          && members[in].last_seen_ms > members[out].last_seen_ms
          && strcmp (members[in].address, members[out].address) == 0)
        {
          *c = (struct quorum_change){ QUORUM_REPLACE, in, out };
          return true;
        }
  return false;
}

/* Finds a live non-voting member, of the domain with the fewest voters.  */
static bool
find_spare (const struct quorum_member *members, uint32_t count, int64_t now,
            uint32_t *spare)
{
  uint32_t best = UINT32_MAX;

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t voters = count_voters (members, count, members[i].domain);

      if (members[i].voter || !is_alive (&members[i], now) || voters >= best)
        continue;
      best = voters;
      *spare = i;
    }
  return best != UINT32_MAX;
}

/* Finds a voter that has been unresponsive for more than DEAD_MS.  */
static bool
find_dead (const struct quorum_member *members, uint32_t count, uint32_t self,
           int64_t dead_ms, int64_t receiving_since, int64_t now,
           uint32_t *dead)
{
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t last_seen = members[i].last_seen_ms;

      if (i == self || !members[i].voter
          || now - (last_seen > receiving_since ? last_seen : receiving_since)
                 <= dead_ms)
        continue;
      *dead = i;
      return true;
    }
  return false;
}

struct quorum_change
quorum_plan_decide (const struct quorum_member *members, uint32_t count,
                    uint32_t self, const struct quorum_goal *goal,
                    int64_t receiving_since, int64_t now)
{
  struct quorum_change c = { QUORUM_UNCHANGED, 0, 0 };
  uint32_t voters = count_voters (members, count, NULL);
  uint32_t dead = 0;
  bool has_dead = find_dead (members, count, self, goal->dead_ms,
                             receiving_since, now, &dead);

  if (find_wiped (members, count, now, &c))
    return c;
  if (voters > goal->voters && has_dead)
    return (struct quorum_change){ QUORUM_REMOVE, 0, dead };
  if ((voters < goal->voters || (voters == goal->voters && has_dead))
      && find_spare (members, count, now, &c.in))
    c.kind = QUORUM_ADD;
  return c;
}
