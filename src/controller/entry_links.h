/* A keeper's connections to the entries: receives their heartbeats, and sends
   them assignments, the evacuated failure domains, the configuration and the
   addresses of the voters.  */
#ifndef CONTROLLER_ENTRY_LINKS_H
#define CONTROLLER_ENTRY_LINKS_H

#include <stdint.h>
#include "controller/quorum_keeper.h"

/* Sends the entry of L, which must be connected, an empty assignment.  The
   entry replies with a heartbeat that lists the targets it owns.  */
void entry_links_request_report (struct quorum_keeper *k,
                                 const struct keeper_entry_link *l);

/* The link of entry VM, which is added if new.  Returns NULL beyond the
   limit.  */
struct keeper_entry_link *entry_links_find_or_add (struct quorum_keeper *k,
                                                   const char *vm);

/* The entries that this keeper has heard in the last 3 s, as a JSON list of
   their names, each followed by the time since then in ms.  The caller frees
   it.  */
json_t *entry_links_contacted (const struct quorum_keeper *k, int64_t now_ms);

/* For the leader: records the LIST of entry_links_contacted of another keeper.
 */
void entry_links_receive_contacted (struct quorum_keeper *k, int64_t now_ms,
                                    const json_t *list);

/* Handles a heartbeat of the entry at FROM, and sends it the voters and the
   configuration if its own are out of date.  */
void entry_links_receive_heartbeat (struct quorum_keeper *k,
                                    struct peer_conn *from,
                                    const struct peer_entry_heartbeat *h);

/* For the leader, at every change and tick: decides which entry owns which
   target, and sends the entries changed assignments and the configuration.  */
void entry_links_update (struct quorum_keeper *k, int64_t now);

/* For the leader: proposes a log entry with the changes of the known targets,
   if one is due, so that the next leader can restore them.  */
void entry_links_log_targets (struct quorum_keeper *k, int64_t now);

#endif
