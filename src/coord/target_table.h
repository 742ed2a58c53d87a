/* The targets that this entry owns, with their leases, slots and failures.
   Only the owner sends work to a target, so the count of its slots in use is
   exact.  No I/O and no clock.  */
#ifndef COORD_TARGET_TABLE_H
#define COORD_TARGET_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "base/settings.h"

enum
{
  TARGET_ID_BYTES = NAME_BYTES + ADDRESS_BYTES + 8
};

/* What a target announces about itself.  */
struct target_announcement
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  char domain[NAME_BYTES];
  char rack[NAME_BYTES];
  uint32_t slots;
  uint32_t connections;
  uint32_t running; /* tasks running there, whoever started them */
  int64_t lease_ms;
  int64_t cpus;
  int64_t memory_mb;
};

struct target
{
  char id[TARGET_ID_BYTES]; /* NAME@ADDRESS:PORT */
  struct target_announcement announcement;

  /* state */
  int64_t lease_until_ms;
  bool leaving;      /* is sent no new work */
  bool handing_over; /* to another owner, which has not taken over yet */
  uint32_t in_use;   /* slots taken by this entry's tasks */
  uint32_t reserved; /* slots taken by tasks of an earlier owner */

  /* failures */
  uint32_t consecutive_failures;
  double failure_rate; /* 0 to 1, moving average */
  int64_t ejected_until_ms;
  bool ejected;
  bool probing; /* ejected, with one task running as a probe */

  void *client; /* the connection; set and freed by the controller */
  UT_hash_handle hh;
};

struct ejection_policy
{
  uint32_t failures; /* in a row */
  double share;      /* maximum share of all targets to eject */
  int64_t duration_ms;
};

struct target_table
{
  struct target *targets;
  struct ejection_policy ejection;
  struct target *last_picked;
};

void target_table_init (struct target_table *t);

/* Stores the id of the target that announced A in ID, an array of
   TARGET_ID_BYTES.  */
void target_table_id (char *id, const struct target_announcement *a);

struct target *target_table_find (const struct target_table *t,
                                  const char *id);

/* Adds the target that announced A and sets *JOINED, or updates it, renews its
   lease and clears *JOINED.  */
struct target *target_table_announce (struct target_table *t, int64_t now_ms,
                                      const struct target_announcement *a,
                                      bool *joined);

/* Removes and frees TARGET, which must have no slot in use.  */
void target_table_remove (struct target_table *t, struct target *target);

/* Whether TARGET may be sent new work: its lease is valid, and it is neither
   ejected nor leaving.  */
bool target_is_usable (const struct target *target, int64_t now_ms);

/* The free slots of TARGET, 0 if it is not usable; the free and the total
   slots of all usable targets.  */
uint32_t target_free_slots (const struct target *target, int64_t now_ms);
uint32_t target_table_free_slots (const struct target_table *t,
                                  int64_t now_ms);
uint32_t target_table_total_slots (const struct target_table *t,
                                   int64_t now_ms);

/* Acquires a slot on the usable target with the largest share of free slots.
   An IDEMPOTENT task may instead probe an ejected target whose ejection time
   is over.  Returns NULL if no slot is free.  */
struct target *target_table_acquire_slot (struct target_table *t,
                                          int64_t now_ms, bool idempotent);

/* The result of a task with regard to the target's health.  */
enum target_result
{
  TARGET_SUCCEEDED,
  TARGET_FAILED,
  TARGET_BUSY /* refused the task for lack of a slot */
};

/* The effect of a result on the target's ejection.  */
enum target_change
{
  TARGET_UNCHANGED,
  TARGET_NOW_EJECTED,
  TARGET_REINSTATED
};

/* Releases the slot and updates the target's health by RESULT.  */
enum target_change target_table_release_slot (struct target_table *t,
                                              struct target *target,
                                              int64_t now_ms,
                                              enum target_result result);

#endif
