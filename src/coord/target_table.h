/* The targets that this entry owns, their leases, slots and failures.  A
   target has one owning entry, which alone sends it work, so its slots are
   counted exactly here.  No I/O and no clock.  */
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

/* What a target says of itself.  */
struct target_announcement
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  char domain[NAME_BYTES];
  char rack[NAME_BYTES];
  uint32_t slots;
  uint32_t connections;
  uint32_t running; /* tasks running on it, whoever started them */
  int64_t lease_ms;
  int64_t cpus;
  int64_t memory_mb;
};

struct target
{
  char id[TARGET_ID_BYTES]; /* NAME@ADDRESS:PORT */
  struct target_announcement said;

  /* state */
  int64_t lease_until_ms;
  bool leaving;      /* gets no new work */
  bool handing_over; /* on its way to another owner, which has not taken it */
  uint32_t in_use;   /* slots taken by this entry's tasks */
  uint32_t reserved; /* slots taken by tasks of an earlier owner */

  /* failures */
  uint32_t consecutive_failures;
  double failure_rate;
  int64_t ejected_until_ms;
  bool ejected;
  bool probing;

  void *client; /* of the layer that does the I/O */
  UT_hash_handle hh;
};

struct ejection_policy
{
  uint32_t failures; /* in a row */
  double share;      /* at most, of all targets */
  int64_t duration_ms;
};

struct target_table
{
  struct target *targets;
  struct ejection_policy ejection;
  struct target *last_picked;
};

void target_table_init (struct target_table *t);

/* The id of a target with this announcement.  */
void target_table_id (char *id, const struct target_announcement *a);

struct target *target_table_find (const struct target_table *t,
                                  const char *id);

/* Takes in an announcement.  Sets *JOINED for one not known before.  */
struct target *target_table_announce (struct target_table *t, int64_t now_ms,
                                      const struct target_announcement *a,
                                      bool *joined);

/* Removes and frees G, which must have no slot in use.  */
void target_table_remove (struct target_table *t, struct target *g);

/* Whether G may be sent new work.  */
bool target_is_usable (const struct target *g, int64_t now_ms);

/* The free slots of G, or of all usable targets.  */
uint32_t target_free_slots (const struct target *g, int64_t now_ms);
uint32_t target_table_free_slots (const struct target_table *t,
                                  int64_t now_ms);
uint32_t target_table_total_slots (const struct target_table *t,
                                   int64_t now_ms);

/* Takes a slot on the usable target with the largest free share.  An
   IDEMPOTENT task may probe an ejected target whose time is over.  Returns
   NULL if no slot is free.  */
struct target *target_table_take (struct target_table *t, int64_t now_ms,
                                  bool idempotent);

/* How a task on a target ended, as far as the target is concerned.  */
enum target_result
{
  TARGET_WORKED,
  TARGET_FAILED,
  TARGET_BUSY /* it refused for lack of a slot */
};

/* What the end of a task changed.  */
enum target_change
{
  TARGET_UNCHANGED,
  TARGET_NOW_EJECTED,
  TARGET_NOW_BACK
};

/* Gives the slot back and judges the target.  */
enum target_change target_table_give_back (struct target_table *t,
                                           struct target *g, int64_t now_ms,
                                           enum target_result result);

#endif
