/* What this entry knows of the other entries: whether they are heard, and how
   many tasks they would take: the room that they last told of, less the tasks
   passed to them since.  Room is free slots and places in the queue for other
   entries' tasks.  */
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
  uint32_t room;
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

/* All entries of S but this one.  */
void peer_table_init (struct peer_table *t, const struct settings *s);

struct peer *peer_table_find (struct peer_table *t, const char *vm);

/* Whether P was heard within the lease.  */
bool peer_is_alive (const struct peer_table *t, const struct peer *p,
                    int64_t now_ms);

/* The entry to pass a task to: the one with most room for its size, if that is
   more than OWN_SHARE; among equals one of this failure domain.  NULL if there
   is none.  */
struct peer *peer_table_pick (struct peer_table *t, int64_t now_ms,
                              double own_share);

/* The slots of the other entries that are alive.  */
uint32_t peer_table_total_slots (const struct peer_table *t, int64_t now_ms);

#endif
