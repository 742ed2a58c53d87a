/* Which keepers should vote: as many as the losses to be survived need,
   spread over the failure domains, the dead ones replaced.

   One change at a time, so that the majorities before and after it meet.  A
   keeper whose disk was wiped is another member under the same address: its
   old self can never speak again, so the new one takes its place in one
   step.  */
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
  int64_t heard_ms; /* 0: never */
};

/* What the quorum should be.  */
struct quorum_goal
{
  uint32_t voters;
  int64_t dead_ms; /* a voter that is silent for so long is replaced */
};

enum quorum_change_kind
{
  QUORUM_KEEP,
  QUORUM_ADD,
  QUORUM_REMOVE,
  QUORUM_REPLACE
};

struct quorum_change
{
  enum quorum_change_kind kind;
  uint32_t in;  /* the member that is to vote */
  uint32_t out; /* the one that is to vote no more */
};

/* The quorum that survives the loss of LOST keepers at once, where one that is
   gone for good counts as lost until CATCH_UP_MS after its successor has
   started: all changes of the quorum must be over by then.  */
struct quorum_goal quorum_plan_goal (uint32_t lost, int64_t catch_up_ms);

/* The change that is due, with SELF the leader, which has been listening to
   the others without a gap since LISTENING_MS.  */
struct quorum_change quorum_plan_decide (const struct quorum_member *members,
                                         uint32_t count, uint32_t self,
                                         const struct quorum_goal *goal,
                                         int64_t listening_ms, int64_t now_ms);

#endif
