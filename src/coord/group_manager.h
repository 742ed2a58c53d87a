/* Decides the next membership of a failure domain's replica group from the
   beats that the keepers' leader hears.  No I/O and no clock.

   A member is dropped only on the word of a survivor: a synced member must
   have been heard a whole lease later than it.  Where all of a domain falls
   silent together, the domain is cut off and goes on by itself; its group is
   left as it is.  */
#ifndef COORD_GROUP_MANAGER_H
#define COORD_GROUP_MANAGER_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/control_view.h"

/* How far an entry's planned stop has come.  */
enum leaving_phase
{
  LEAVING_NOT,
  LEAVING_DRAINING, /* owns no new keys or targets */
  LEAVING_GONE      /* has nothing left; may be dropped */
};

/* What the leader last heard of one entry.  */
struct entry_beat
{
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  uint64_t boot_id;
  int64_t heard_ms; /* 0: not since this leader began */
  uint64_t config_number;
  uint64_t synced_incarnation;
  enum leaving_phase leaving;
};

struct group_manager
{
  struct entry_beat beats[VM_LIMIT];
  uint32_t count;
  int64_t lease_ms;
  int64_t leader_since_ms;
};

/* All entries of S.  */
void group_manager_init (struct group_manager *m, const struct settings *s);

/* Begins anew as leader: nobody counts as silent before a lease is over.  */
void group_manager_start (struct group_manager *m, int64_t now_ms);

struct entry_beat *group_manager_find (struct group_manager *m,
                                       const char *vm);

/* The next group after CURRENT in NEXT.  Returns false if nothing changes. */
bool group_manager_decide (const struct group_manager *m,
                           const struct group *current, const char *domain,
                           int64_t now_ms, int64_t wall_ms,
                           struct group *next);

/* A member of G that has all records and is not yet marked so, or NULL.  */
const struct entry_beat *
group_manager_newly_synced (const struct group_manager *m,
                            const struct group *g);

#endif
