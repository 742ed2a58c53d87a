/* Decides which keepers vote: as many as are needed to survive a given number
   of losses, spread over the failure domains, with dead voters replaced.

   Voters change one at a time, so that the majorities before and after a
   change overlap: a dead voter is removed after another was added.  A keeper
   whose disk was wiped returns as another member under the same address.  The
   old member can never return, so the new one replaces it in one step.  */
#ifndef COORD_QUORUM_PLAN_H
#define COORD_QUORUM_PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"

enum
{
  QUORUM_MEMBER_LIMIT = 512
};

struct quorum_member
{
  char address[NAME_BYTES];
  char domain[NAME_BYTES];
  uint64_t disk_id;
  bool voter;
  int64_t last_seen_ms; /* 0: never */
};

/* The desired quorum.  */
struct quorum_goal
{
  uint32_t voters;
  int64_t dead_ms; /* a voter unresponsive for longer is replaced */
};

enum quorum_change_kind
{
  QUORUM_UNCHANGED,
  QUORUM_ADD,
  QUORUM_REMOVE,
  QUORUM_REPLACE
};

struct quorum_change
{
  enum quorum_change_kind kind;
  uint32_t in;  /* index of the member to become a voter */
  uint32_t out; /* index of the voter to be removed */
};

/* The quorum that survives the loss of LOST keepers at once.  A keeper that is
   permanently lost counts towards LOST for at most CATCH_UP_MS after its
   replacement has started, so all changes of the quorum must be complete by
   then.  */
struct quorum_goal quorum_plan_goal (uint32_t lost, int64_t catch_up_ms);

/* The next change of the quorum towards GOAL.  SELF is the index of the
   leader, which has been receiving from the other members without a gap since
   RECEIVING_SINCE_MS.  */
struct quorum_change quorum_plan_decide (const struct quorum_member *members,
                                         uint32_t count, uint32_t self,
                                         const struct quorum_goal *goal,
                                         int64_t receiving_since_ms,
                                         int64_t now_ms);

#endif
