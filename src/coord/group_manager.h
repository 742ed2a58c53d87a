/* Decides the next membership of a failure domain's replica group from the
   entry heartbeats that the keepers' leader receives.  No I/O and no clock.

   An unresponsive member is removed only if another synced member was last
   seen more than a lease later.  If all entries of a domain become
   unresponsive together, the domain is assumed to be partitioned from the
   keepers and to keep serving, so its group is left unchanged.  */
#ifndef COORD_GROUP_MANAGER_H
#define COORD_GROUP_MANAGER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/control_view.h"

/* Progress of an entry's planned shutdown.  */
enum leaving_phase
{
  LEAVING_NOT,
  LEAVING_DRAINING, /* is assigned no new keys or targets */
  LEAVING_DRAINED   /* holds no work; may be removed from its group */
};

/* The latest heartbeat of one entry.  */
struct entry_heartbeat
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  uint64_t boot_id;
  int64_t last_seen_ms; /* 0: none since this leader was elected */
  uint64_t config_number;
  uint64_t synced_incarnation; /* of its group when it had all records */
  enum leaving_phase leaving;
};

struct group_manager
{
  struct entry_heartbeat entry_heartbeats[VM_LIMIT];
  uint32_t count;
  int64_t lease_ms;
  int64_t leader_since_ms;
};

/* Initializes M with all entries that the settings S list.  */
void group_manager_init (struct group_manager *m, const struct settings *s);

/* Resets the state for a newly elected leader.  No member times out until a
   lease has passed.  */
void group_manager_start_term (struct group_manager *m, int64_t now_ms);

struct entry_heartbeat *group_manager_find (struct group_manager *m,
                                            const char *vm);

/* Stores the group that is to follow CURRENT (NULL for none) in NEXT.  Returns
   false if the group does not change.  */
bool group_manager_decide (const struct group_manager *m,
                           const struct group *current, const char *domain,
                           int64_t now_ms, int64_t wall_ms,
                           struct group *next);

/* A member of G that reports to hold all records but is not yet marked as
   synced, or NULL.  */
const struct entry_heartbeat *
group_manager_newly_synced (const struct group_manager *m,
                            const struct group *g);

#endif
