/* The other entries as this one sees them: whether they are alive, and their
   free capacity, that is, how many tasks they would accept: free slots and
   free places in the queue for other entries' tasks, as last reported, less
   the tasks forwarded to them since.  */
#ifndef COORD_PEER_TABLE_H
#define COORD_PEER_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"

struct peer
{
  const struct vm_settings *vm;
  bool same_domain;
  int64_t last_seen_ms;   /* 0: never */
  int64_t sent_ms;        /* when the last heartbeat was sent to it */
  uint32_t free_capacity; /* in tasks */
  uint32_t total_slots;
  uint32_t queued_tasks;
  uint64_t config_number;
  bool draining;
};

struct peer_table
{
  struct peer peers[VM_LIMIT];
  uint32_t count;
  int64_t lease_ms;
};

/* Initializes T with all entries that the settings S list but this one.  */
void peer_table_init (struct peer_table *t, const struct settings *s);

struct peer *peer_table_find (struct peer_table *t, const char *vm);

/* Whether P was seen within the lease.  */
bool peer_is_alive (const struct peer_table *t, const struct peer *p,
                    int64_t now_ms);

/* The entry to forward a task to: the one with the largest ratio of free
   capacity to slots, if that is above OWN_SHARE, the ratio of this entry.
   Among equals one of this failure domain is preferred.  NULL if there is
   none.  */
struct peer *peer_table_pick (struct peer_table *t, int64_t now_ms,
                              double own_share);

/* The sum of slots of the other entries that are alive and not draining.  */
uint32_t peer_table_total_slots (const struct peer_table *t, int64_t now_ms);

#endif
