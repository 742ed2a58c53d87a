/* The assignment of targets to entries, decided by the keepers' leader.
   Entries are the VMs that accept jobs; one that owns targets is also a
   dispatcher.

   Each target has one owner, an entry of its own failure domain while one is
   alive there.  Few entries own many targets each, since an entry that sees
   more free capacity at once packs tasks better.  If the entries' VMs clearly
   differ in processor, those with the most own targets first, and each up to a
   number in proportion to it.  A VM that is short of processor time comes
   last. Targets that have an owner stay there.  A new leader first waits for
   the entries to report which targets they own, and leaves those with them.
   Every change of owner has a higher fencing token. Tokens are unique, since
   their high bits are the leader's term.

   A target whose owner shuts down, or that returns to its own domain, is
   released first: the owner starts nothing more there and reports when nothing
   is running.  */
#ifndef COORD_OWNER_PLAN_H
#define COORD_OWNER_PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/departed_targets.h"
#include "coord/run_target.h"

enum
{
  PLAN_ENTRY_LIMIT = 1024
};

/* The state of a target that an entry reports.  */
enum owned_state
{
  OWNED_HELD,     /* in use by its owner */
  OWNED_RELEASED, /* nothing runs there and the owner starts nothing more */
  OWNED_LOST      /* it has accepted a higher fencing token */
};

struct plan_entry
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  uint64_t boot_id;
  int64_t seen_since_ms; /* alive without a break since then */
  int64_t last_seen_ms;
  bool alive;
  bool leaving;
  bool reported;      /* has reported to this leader which targets it owns */
  bool unassigned;    /* had no assignment when it was first seen */
  uint32_t cpu_milli; /* processor of its VM; 0 if it is unknown */
  uint32_t target_limit; /* full from this many targets on */
  bool is_short;         /* its VM is short of processor time (vm_load) */
  uint32_t owned;
  bool dirty;        /* its assignment has changed and must be sent */
  bool logged_alive; /* the value of ALIVE that was last logged */
  UT_hash_handle hh;
};

struct plan_target
{
  struct run_target_spec spec;
  char owner[NAME_BYTES]; /* "" for none */
  uint64_t fencing_token;
  bool release_requested; /* the owner is to release it */
  bool restored;          /* known from the log, not seen by this leader yet */
  bool had_owner;         /* under this leader */
  int64_t last_seen_ms;   /* last heartbeat; before the first, when added */
  int64_t report_received_ms;    /* when this leader received the latest one */
  int64_t seen_since_ms;         /* heartbeats without a gap since then */
  uint64_t logged_fencing_token; /* token of the owner last logged */
  UT_hash_handle hh;
};

struct owner_plan
{
  uint64_t term;
  uint64_t fencing_token_counter;
  int64_t leading_since_ms;
  int64_t last_step_ms;    /* time of the last owner_plan_step */
  bool report_wait_over;   /* the wait for the entries' reports is over */
  int64_t entry_joined_ms; /* when the latest new entry was seen */
  struct plan_entry **entries;
  uint32_t entry_count;
  struct plan_entry *entries_by_vm;
  struct plan_target **targets;
  uint32_t target_count;
  struct plan_target *targets_by_id;
  struct departed_targets departed;
  bool uneven;         /* the processors of the live entries clearly differ */
  bool owners_changed; /* the set of entries that own targets has changed; the
                          caller resets it when it notifies the entries */
};

void owner_plan_init (struct owner_plan *p);
void owner_plan_done (struct owner_plan *p);

/* Starts a term as leader, with an empty plan.  */
void owner_plan_start_term (struct owner_plan *p, uint64_t term,
                            int64_t now_ms);

/* The contents of an entry's heartbeat.  */
struct entry_report
{
  const char *vm;
  const char *domain;
  uint64_t boot_id;
  bool leaving;
  bool unassigned; /* has received no assignment since its start */
};

/* Applies the heartbeat R of an entry and returns the entry, or NULL if it is
   new and there are PLAN_ENTRY_LIMIT entries that are alive or own targets;
   dead ones are forgotten when the plan is full.  An entry that has
   restarted no longer owns any target.  */
struct plan_entry *owner_plan_update_entry (struct owner_plan *p,
                                            int64_t now_ms,
                                            const struct entry_report *r);

/* Applies the report of entry E that it owns the target SPEC with
   FENCING_TOKEN.  It is ignored if the target is known with another start
   time.  */
void owner_plan_update_owned (struct owner_plan *p, int64_t now_ms,
                              struct plan_entry *e,
                              const struct run_target_spec *spec,
                              uint64_t fencing_token, enum owned_state state);

/* Applies a heartbeat of the target SPEC.  Returns true if the target is new,
   has restarted or has changed its draining state.  One that was sent before
   its target departed (coord/departed_targets) is ignored.  */
bool owner_plan_update_target (struct owner_plan *p, int64_t now_ms,
                               const struct run_target_spec *spec);

/* Applies a heartbeat of the target ID at SEEN_AT_MS that repeats what it last
   reported.  Returns false if the target is unknown.  */
bool owner_plan_refresh_target (struct owner_plan *p, int64_t seen_at_ms,
                                const char *id);

/* Adds the target SPEC, known from the log entries of an earlier leader,
   unless it is present.  */
void owner_plan_restore_target (struct owner_plan *p, int64_t now_ms,
                                const struct run_target_spec *spec);

/* A hash of the targets with their addresses, start times and draining states,
   to detect changes.  Their order does not matter.  */
uint64_t owner_plan_digest (const struct owner_plan *p);

/* Removes the target ID, which has deregistered.  */
void owner_plan_remove_target (struct owner_plan *p, int64_t now_ms,
                               const char *id);

/* Records that the target SPEC has departed, as known from the log entries of
   an earlier leader or from heartbeats received before this term, and removes
   it if it was added since by a heartbeat from before its departure.  */
void owner_plan_restore_departed (struct owner_plan *p, int64_t departed_ms,
                                  const struct run_target_spec *spec,
                                  bool left);

/* Expires entries and targets, assigns targets without an owner and requests
   releases.  */
void owner_plan_step (struct owner_plan *p, int64_t now_ms);

/* The entry on VM, or NULL.  */
struct plan_entry *owner_plan_entry (const struct owner_plan *p,
                                     const char *vm);

/* The target called ID, or NULL.  */
struct plan_target *owner_plan_target (const struct owner_plan *p,
                                       const char *id);

#endif
