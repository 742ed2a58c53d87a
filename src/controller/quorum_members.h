/* The keepers that a keeper knows, and which of them vote.  Maps persistent
   member IDs to the member numbers of the replicated log, exchanges heartbeats
   with the other keepers, and changes the set of voters.  */
#ifndef CONTROLLER_QUORUM_MEMBERS_H
#define CONTROLLER_QUORUM_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>
#include "controller/quorum_keeper.h"

/* The persistent ID of the member at ADDRESS with the disk DISK_ID.  */
uint64_t quorum_members_id (const char *address, uint64_t disk_id);

/* The member number of ID, which is added if new.  ADDRESS may be NULL if it
   is not known.  Returns LOG_NO_MEMBER beyond the limit.  */
int quorum_members_find_or_add (struct quorum_keeper *k, uint64_t id,
                                const char *address, uint64_t disk_id);

/* For struct log_journal_events; ARG is a struct quorum_keeper.  */
int64_t quorum_members_id_of (void *arg, int member);

int quorum_members_member_of (void *arg, int64_t id);

/* For struct replicated_log_output; ARG is a struct quorum_keeper.  Applies
   the newest set of voters stored in the log, committed or not.  */
void quorum_members_stored_changed (void *arg, struct replicated_log *l);

/* Stores the addresses of up to LIMIT voters other than this keeper: from the
   log and, if it does not vote itself, also those reported by other keepers.
   Returns their number.  K owns the strings.  */
uint32_t quorum_members_voters (const struct quorum_keeper *k,
                                const char **addresses, uint32_t limit);

/* Sends a heartbeat to the seeds and the voters: who this keeper is and
   whether it is the leader.  A heartbeat from any other keeper is answered
   with one, so every keeper learns of the leader and the leader of every
   keeper, with a number of messages linear in the number of keepers.  */
void quorum_members_send_heartbeats (struct quorum_keeper *k, int64_t now);

/* Records the sender's role, term, domain and control address, and the voters
   that it reports.  */
void quorum_members_receive_heartbeat (struct quorum_keeper *k,
                                       struct peer_conn *from,
                                       const struct peer_keeper_heartbeat *h);

/* The interval between heartbeats of this keeper.  */
int64_t quorum_members_heartbeat_ms (const struct quorum_keeper *k);

/* The member at ADDRESS that was last seen most recently, or LOG_NO_MEMBER.  A
   keeper whose disk was wiped is a new member at the same address.  */
int quorum_members_by_address (const struct quorum_keeper *k,
                               const char *address);

/* For the leader: proposes the change of the voters that is due, if any
   (coord/quorum_plan).  One change is in progress at a time.  */
void quorum_members_propose_change (struct quorum_keeper *k, int64_t now);

#endif
