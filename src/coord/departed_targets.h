/* The targets that have left, or that were removed because nothing was heard
   of them, in the last 60 s, with their incarnation and highest sequence.  A
   heartbeat that was sent before may arrive late; it must not make such a
   target known or ready again.

   A target that has deregistered sends no more heartbeats in that incarnation,
   so all of them are stale.  One that was only silent may be heard again with
   a higher sequence.  Where a target tells no start time (0), or no sequence,
   what it does not tell decides nothing.  */
#ifndef COORD_DEPARTED_TARGETS_H
#define COORD_DEPARTED_TARGETS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/run_target.h"

enum
{
  DEPARTED_LIMIT = 8192,
  DEPARTED_MS = 60000
};

struct departed_target
{
  char id[RUN_TARGET_ID_BYTES];
  int64_t started_ms; /* its start time, which tells incarnations apart */
  uint64_t sequence;
  bool left; /* it has deregistered */
  int64_t departed_ms;
  UT_hash_handle hh;
};

struct departed_targets
{
  struct departed_target *by_id; /* in the order of their departure */
  uint64_t evicted;              /* before their time */
};

void departed_targets_init (struct departed_targets *d);
void departed_targets_done (struct departed_targets *d);

/* Records that the target SPEC has left (LEFT) or was removed.  The oldest
   record is evicted beyond DEPARTED_LIMIT.  */
void departed_targets_add (struct departed_targets *d, int64_t now_ms,
                           const struct run_target_spec *spec, bool left);

/* Records that the target ID has deregistered, if it is known here.  */
void departed_targets_leave (struct departed_targets *d, const char *id);

/* Whether a heartbeat SPEC was sent before its target departed.  */
bool departed_targets_is_stale (const struct departed_targets *d,
                                int64_t now_ms,
                                const struct run_target_spec *spec);

/* The record of the target ID, or NULL.  */
const struct departed_target *
departed_targets_find (const struct departed_targets *d, const char *id);

/* Forgets the target ID, which is back.  */
void departed_targets_remove (struct departed_targets *d, const char *id);

/* Forgets the targets that departed DEPARTED_MS ago.  */
void departed_targets_expire (struct departed_targets *d, int64_t now_ms);

#endif
