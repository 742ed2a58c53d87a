/* A keeper of an open deployment: a member of the replicated log that stores
   the configuration and the list of voters.  The leader receives the
   heartbeats of targets and entries, decides which entry owns which target
   (coord/owner_plan), and sends each entry its assignment.

   The journal is synced on the event loop: a keeper dispatches no tasks, and a
   leader whose disk stalls loses the leadership to a keeper whose disk does
   not.  */
#ifndef CONTROLLER_QUORUM_KEEPER_H
#define CONTROLLER_QUORUM_KEEPER_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/node_settings.h"
#include "controller/log_journal.h"
#include "controller/target_relay.h"
#include "controller/withdrawn_record.h"
#include "coord/evacuation.h"
#include "coord/owner_plan.h"
#include "coord/quorum_plan.h"
#include "coord/replicated_log.h"
#include "net/peer_network.h"

/* The outcome of a read or write of the configuration.  */
enum config_result
{
  CONFIG_COMMITTED, /* in the log, or not newer than the one in force */
  CONFIG_READ,
  CONFIG_NONE,       /* there is no configuration yet */
  CONFIG_UNCONFIRMED /* not confirmed; may or may not be committed */
};

/* TEXT is the newest configuration for CONFIG_READ, valid only during the
   call.  */
typedef void (*config_done) (void *arg, enum config_result result,
                             const char *text);

enum
{
  REPORTED_VOTER_LIMIT = 16
};

struct keeper_call;

/* Another keeper, or this one, as a member of the log.  */
struct keeper_peer
{
  uint64_t id; /* hash of address and disk ID; stable over restarts */
  struct quorum_member member;
  char control_address[ADDRESS_BYTES + 8]; /* host and port */
  bool is_leader; /* this and the term as last reported by the peer */
  uint64_t term;
  struct withdrawn_feed withdrawn;
};

/* The connection to an entry, and what was last sent on it.  */
struct keeper_entry_link
{
  char vm[NAME_BYTES];
  struct peer_conn *conn;
  uint64_t assignment_number;
  uint64_t config_version; /* sent to the entry, or reported by it */
  int64_t config_sent_ms;
  uint64_t dispatchers_digest; /* of the dispatchers sent; 0: none */
  uint64_t voters_digest;      /* of the voters sent; 0: none */
  int64_t heard_ms;            /* when its last heartbeat was received */
  int64_t reported_ms; /* when another keeper last received one, as reported */
  struct withdrawn_feed withdrawn;
  uint64_t withdrawn_call; /* the id of its latest call */
  int64_t withdrawn_sent_ms;
  uint64_t evacuations_version; /* of the evacuations that the entry has */
  uint64_t evacuations_sent;    /* version last sent to it */
  int64_t evacuations_sent_ms;
};

struct quorum_keeper
{
  struct event_base *base;
  const struct node_settings *settings;
  uint64_t boot_id;
  struct peer_network *network;
  struct event *tick;
  struct event *pass; /* runs the owner plan in the next loop iteration */

  struct log_journal journal;
  struct replicated_log log;
  struct keeper_peer peers[QUORUM_MEMBER_LIMIT]; /* by member number */
  uint64_t change_index; /* log index of the last voter change proposed */

  /* the voters as reported by other keepers; used while not voting */
  char reported_voters[REPORTED_VOTER_LIMIT][NAME_BYTES];
  uint32_t reported_voter_count;
  uint64_t reported_voters_term;

  bool failed; /* opening or writing the journal failed; to be reopened */
  int64_t failed_ms;

  /* the state machine */
  uint64_t config_version;
  char *config_text;
  json_t *applied_voters;
  json_t *applied_targets;  /* the targets in the log, by id */
  json_t *applied_departed; /* those that have departed, by id */
  struct evacuation_set evacuations;

  /* only while leader */
  struct owner_plan plan;
  struct keeper_entry_link links[PLAN_ENTRY_LIMIT];
  uint32_t link_count;
  uint64_t assignment_counter;
  int64_t dispatchers_sent_ms;    /* when changes were last sent to entries */
  bool targets_restored;          /* those in the log are in the plan */
  uint64_t targets_logged_digest; /* of the plan's targets as last logged */
  uint64_t targets_index;         /* log index of the last change proposed */
  int64_t targets_logged_ms;
  int64_t targets_checked_ms;
  struct keeper_call *calls;

  struct target_relay relay;

  int64_t unlisted_ms; /* when an entry was last heard that is not in LINKS */

  /* searches for the entries of jobs to be withdrawn */
  struct withdrawal *withdrawals;
  uint32_t withdrawal_count;
  uint64_t withdrawal_number; /* of the latest one */

  struct withdrawn_jobs withdrawn;

  int64_t last_tick_ms;
  int64_t last_heartbeat_ms;  /* 0: send one at the next tick */
  int64_t receiving_since_ms; /* start, or end of the last long stall */
  bool stopping;
};

/* Opens the journal, creating it if there is none, and starts.  Returns false
   with E set if it cannot listen for peers.  If the journal cannot be opened,
   returns true and tries to open it again until it succeeds.  */
bool quorum_keeper_start (struct quorum_keeper *k, struct event_base *base,
                          const struct node_settings *s, uint64_t boot_id,
                          struct error *e);
void quorum_keeper_done (struct quorum_keeper *k);

/* Begins a graceful stop: a leader steps down.  */
void quorum_keeper_stop (struct quorum_keeper *k);

/* Connects to the seeds of the settings; to be called when they change.  */
void quorum_keeper_connect_seeds (struct quorum_keeper *k);

bool quorum_keeper_leads (const struct quorum_keeper *k);

/* The other keeper whose recent heartbeats report that it is the leader, the
   one with the highest term if there are several, or NULL.  */
const struct keeper_peer *
quorum_keeper_leading_peer (const struct quorum_keeper *k);

/* The control address of that keeper, or NULL.  */
const char *quorum_keeper_leader_address (const struct quorum_keeper *k);

/* Appends COMMAND to the log and releases it.  Sets *INDEX to its log index,
   or to 0 if this is not the leader.  */
void quorum_keeper_propose (struct quorum_keeper *k, json_t *command,
                            int64_t now_ms, uint64_t *index);

/* For the leader: a heartbeat of target SPEC was received at RECEIVED_MS, or
   target ID has deregistered (see target_relay).  */
void quorum_keeper_update_target (struct quorum_keeper *k, int64_t received_ms,
                                  const struct run_target_spec *spec);
void quorum_keeper_remove_target (struct quorum_keeper *k, const char *id);

/* Commits a configuration that has been validated; it comes into force if
   VERSION is higher than the current one.  DONE is called exactly once,
   perhaps before return.  */
void quorum_keeper_put_config (struct quorum_keeper *k, int64_t now_ms,
                               uint64_t version, const char *text,
                               config_done done, void *arg);

/* Commits COMMAND, which is released, through the log.  DONE as above, with
   CONFIG_COMMITTED as soon as this keeper has applied it, or
   CONFIG_UNCONFIRMED.  */
void quorum_keeper_commit (struct quorum_keeper *k, int64_t now_ms,
                           json_t *command, config_done done, void *arg);

/* Reads the newest configuration, after a majority has confirmed that this
   keeper is still the leader.  DONE as above.  */
void quorum_keeper_get_config (struct quorum_keeper *k, int64_t now_ms,
                               config_done done, void *arg);

#endif
