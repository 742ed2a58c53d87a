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

/* The voters that survive the loss of LOST at once.  */
uint32_t quorum_plan_voters (uint32_t lost);

/* The change that is due, with SELF the leader.  */
struct quorum_change quorum_plan_decide (const struct quorum_member *members,
                                         uint32_t count, uint32_t self,
                                         uint32_t wanted_voters,
                                         int64_t now_ms);

#endif
