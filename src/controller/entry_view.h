/* What an entry learns from the keepers and tells them: its view of targets
   and dispatchers, the document, its beats.  */
#ifndef CONTROLLER_ENTRY_VIEW_H
#define CONTROLLER_ENTRY_VIEW_H

#include <stdint.h>
#include "controller/job_entry.h"

/* Tells the keepers that this entry lives, and the leader what it owns where
   that may have changed.  */
void entry_view_send_beat (struct job_entry *n, int64_t now);

/* Reaches the keepers of the JSON list TEXT.  */
void entry_view_receive_keepers (struct job_entry *n, const char *from_vm,
                                 struct slice text);

/* Takes a view of the keeper FROM, unless it is older than the one held.  */
void entry_view_receive (struct job_entry *n, int64_t now, const char *from,
                         const struct peer_entry_view *v);

/* Takes a document of the keeper FROM if its version is higher.  */
void entry_view_receive_document (struct job_entry *n, const char *from,
                                  const struct peer_document *m);

/* The targets that are held no more, or are to be handed over and idle.  */
uint32_t entry_view_count_released (const struct job_entry *n);

#endif
