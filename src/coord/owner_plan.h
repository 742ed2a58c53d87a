/* Which entry owns which target, decided by the leading keeper.

   Each target has one owner, in its own failure domain while an entry lives
   there; few entries own many targets each, since room that is seen whole is
   packed better.  What the entries report to own stays theirs: a new leader
   waits for the reports first.  Every change of owner has a higher fence, and
   fences are unique: they begin with the leader's term.

   A target whose owner leaves, or is needed elsewhere, is released first: the
   owner starts nothing more there and reports when nothing runs.  */
#ifndef COORD_OWNER_PLAN_H
#define COORD_OWNER_PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/run_target.h"

enum
{
  PLAN_ENTRY_LIMIT = 1024
};

/* How an entry holds a target that it reports.  */
enum owned_state
{
  OWNED_HELD,
  OWNED_RELEASED, /* nothing runs there and nothing will be started */
  OWNED_LOST      /* it obeys a higher fence */
};

struct plan_entry
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  uint64_t boot_id;
  int64_t since_ms; /* heard without a gap */
  int64_t heard_ms;
  bool alive;
  bool leaving;
  bool reported; /* has told what it owns, under this leader */
  bool fresh;    /* had no view when it was first heard */
  uint32_t owned;
  bool dirty;      /* its view has changed */
  bool told_alive; /* what was last logged */
  UT_hash_handle hh;
};

struct plan_target
{
  struct run_target_spec spec;
  char owner[NAME_BYTES]; /* "" for none */
  uint64_t fence;
  bool release;
  bool recalled;       /* known from the log, not heard by this leader yet */
  bool had_owner;      /* under this leader */
  int64_t heard_ms;    /* the target's last heartbeat, or an owner's report */
  int64_t told_ms;     /* when that came here: a keeper may have kept it */
  int64_t since_ms;    /* told of without a gap since */
  uint64_t told_fence; /* of the owner that was last logged */
  UT_hash_handle hh;
};

struct owner_plan
{
  uint64_t term;
  uint64_t fence_counter;
  int64_t leading_since_ms;
  int64_t stepped_ms; /* the present, as it was last told */
  bool reports_known; /* what the entries own, as far as it can be had */
  int64_t
      entry_joined_ms; /* when an entry was last heard for the first time */
  struct plan_entry **entries;
  uint32_t entry_count;
  struct plan_entry *entries_by_vm;
  struct plan_target **targets;
  uint32_t target_count;
  struct plan_target *targets_by_id;
  bool owners_changed; /* the set of entries that own targets; to be reset by
                          the one who tells the entries */
};

void owner_plan_init (struct owner_plan *p);
void owner_plan_done (struct owner_plan *p);

/* Begins to lead TERM, with nothing known.  */
void owner_plan_lead (struct owner_plan *p, uint64_t term, int64_t now_ms);

/* What an entry says of itself.  */
struct entry_word
{
  const char *vm;
  const char *domain;
  uint64_t boot_id;
  bool leaving;
  bool fresh; /* had no view since its start */
};

/* An entry has been heard.  Returns NULL beyond the limit.  */
struct plan_entry *owner_plan_hear_entry (struct owner_plan *p, int64_t now_ms,
                                          const struct entry_word *w);

/* Entry E reports that it was given the target SPEC with FENCE.  */
void owner_plan_hear_owned (struct owner_plan *p, int64_t now_ms,
                            struct plan_entry *e,
                            const struct run_target_spec *spec, uint64_t fence,
                            enum owned_state state);

/* Target SPEC has been heard.  Returns whether anything about it is new.  */
bool owner_plan_hear_target (struct owner_plan *p, int64_t now_ms,
                             const struct run_target_spec *spec);

/* The target called ID has said again what it had said.  Returns false if it
   is not known.  */
bool owner_plan_hear_again (struct owner_plan *p, int64_t heard_ms,
                            const char *id);

/* Target SPEC was there when an earlier leader last told.  */
void owner_plan_recall_target (struct owner_plan *p, int64_t now_ms,
                               const struct run_target_spec *spec);

/* A number that changes with the set of targets, and when one leaves.  */
uint64_t owner_plan_digest (const struct owner_plan *p);

/* Target ID has left.  */
void owner_plan_forget_target (struct owner_plan *p, const char *id);

/* Decides what is due: dead entries, targets without an owner, releases.  */
void owner_plan_step (struct owner_plan *p, int64_t now_ms);

struct plan_entry *owner_plan_entry (const struct owner_plan *p,
                                     const char *vm);

/* The target called ID, or NULL.  */
struct plan_target *owner_plan_target (const struct owner_plan *p,
                                       const char *id);

#endif
