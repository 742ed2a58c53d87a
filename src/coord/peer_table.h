/* What this entry knows of the other entries: whether they are heard, and
   their free slots as last told, less the tasks passed to them since.  */
#ifndef COORD_PEER_TABLE_H
#define COORD_PEER_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include "base/settings.h"

struct peer
{
  const struct vm_settings *vm;
  bool same_domain;
  int64_t heard_ms; /* 0 before the first time */
  int64_t sent_ms;
  uint32_t free_slots;
  uint32_t total_slots;
  uint32_t queued_tasks;
  bool draining;
};

struct peer_table
{
  struct peer peers[VM_LIMIT];
  uint32_t count;
  int64_t lease_ms;
};

/* All entries of S but this one.  */
void peer_table_init (struct peer_table *t, const struct settings *s);

struct peer *peer_table_find (struct peer_table *t, const char *vm);

/* Whether P was heard within the lease.  */
bool peer_is_alive (const struct peer_table *t, const struct peer *p,
                    int64_t now_ms);

/* The entry to pass a task to: the one with most free slots in this failure
   domain, otherwise in another one; NULL if none has any.  */
struct peer *peer_table_pick (struct peer_table *t, int64_t now_ms);

/* The slots of the other entries that are alive.  */
uint32_t peer_table_total_slots (const struct peer_table *t, int64_t now_ms);

#endif
