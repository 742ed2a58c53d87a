/* A simulation of keepers in virtual time: the replicated log, the quorum plan
   and membership changes, under kills, power losses, wiped disks, permanent
   losses of keepers, freezes and network partitions.  No more keepers are lost
   at once than the settings allow.

   Checked at every step: at most one leader per term, the same entry applied
   at an index everywhere, and confirmed reads that include every write
   acknowledged before them.  Checked at the end, after time to recover: a
   write is acknowledged and no acknowledged write is lost.  */
#ifndef UNIT_QUORUM_MODEL_H
#define UNIT_QUORUM_MODEL_H

#include <stdint.h>

/* A mechanism to switch off, to check that the simulation detects that.  */
enum quorum_defect
{
  QUORUM_NO_DEFECT,
  QUORUM_NO_SYNC,          /* log entries are not synced to disk */
  QUORUM_VOTE_NOT_SAVED,   /* term and vote are not stored */
  QUORUM_WIPED_KEEPS_ID,   /* a keeper with a wiped disk is the same member */
  QUORUM_UNCONFIRMED_READ, /* a leader reads without confirming its role */
  QUORUM_SLOW_REPLACE,     /* a dead voter is replaced after 10 s */
  QUORUM_DEFECTS,

  /* Only with full disks: a keeper whose write failed stays stopped.  */
  QUORUM_NOT_REOPENED
};

/* What a run of the simulation did and found.  */
struct quorum_run
{
  uint64_t steps;
  uint32_t faults;       /* injected */
  uint32_t changes;      /* of the voters, proposed */
  uint32_t writes;       /* acknowledged */
  uint32_t reads;        /* confirmed */
  const char *violation; /* the first failed check, or NULL */
};

/* Runs the simulation with SEED and KEEPERS keepers, of which LOST may be lost
   at once.  */
struct quorum_run quorum_model_run (uint64_t seed, uint32_t keepers,
                                    uint32_t lost, enum quorum_defect defect);

/* Likewise, but the only faults are disks that are full for some seconds, one
   after another and never two at once, and keepers killed meanwhile.  A write
   is acknowledged at least every 4 s throughout.  */
struct quorum_run quorum_model_run_full_disks (uint64_t seed, uint32_t keepers,
                                               uint32_t lost,
                                               enum quorum_defect defect);

#endif
