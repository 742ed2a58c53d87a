/* The log that the keepers (the processes that hold the deployment's control
   state) replicate with Raft (Ongaro and Ousterhout 2014): terms, elections
   with pre-vote, log matching, commit by majority, snapshots.

   No I/O and no clock: the present time is an argument, and data to store,
   send or apply is passed to the callbacks of struct replicated_log_output.
   Stored data must be durable when a callback returns, since messages that
   depend on it are sent right after.  */
#ifndef COORD_REPLICATED_LOG_H
#define COORD_REPLICATED_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include "coord/log_entries.h"
#include "net/peer_message.h"

enum
{
  LOG_MEMBER_LIMIT = 512,
  LOG_NO_MEMBER = -1
};

enum log_role
{
  LOG_FOLLOWER,
  LOG_PRE_CANDIDATE,
  LOG_CANDIDATE,
  LOG_LEADER
};

struct replicated_log;

struct replicated_log_output
{
  /* Storage, durable on return.  Return false on failure; the log then stops
     permanently.  */
  bool (*save_state) (void *arg, uint64_t term, int voted_for);
  bool (*save_entry) (void *arg, uint64_t index, const struct log_entry *e);
  bool (*save_truncate) (void *arg, uint64_t from_index);
  bool (*sync) (void *arg);
  bool (*save_snapshot) (void *arg, const struct replicated_log *l);

  void (*send) (void *arg, int to, struct peer_message *m);

  /* The state machine.  take_snapshot returns allocated memory, which the log
     frees, or NULL: then the log is compacted later.  */
  void (*apply) (void *arg, uint64_t index, const struct log_entry *e);
  char *(*take_snapshot) (void *arg, uint32_t *length);
  void (*load_snapshot) (void *arg, uint64_t index, const char *data,
                         uint32_t length);

  void (*role_changed) (void *arg, enum log_role role);

  /* Called when entries were appended, truncated or replaced by a snapshot.
     Must set the voters that apply from now on with replicated_log_set_voter.
     May be NULL if all members always vote.  */
  void (*stored_changed) (void *arg, struct replicated_log *l);
};

struct log_member
{
  uint64_t next_index;
  uint64_t match_index;
  int64_t last_seen_ms;
  int64_t sent_ms;      /* when the last append or snapshot was sent to it */
  uint64_t acked_round; /* the latest round that it has answered */
  bool granted;         /* its vote or pre-vote, in the current election */
  bool voter;
};

struct replicated_log
{
  /* membership */
  int self;
  int member_count;
  struct log_member members[LOG_MEMBER_LIMIT];
  const struct replicated_log_output *output;
  void *arg;
  void *store_arg; /* argument of the storage callbacks; ARG by default */

  /* persistent state */
  uint64_t term;
  int voted_for;
  struct log_entries stored;

  /* volatile state */
  enum log_role role;
  int leader;
  int learner; /* on the leader: gets the log without voting; or none */
  uint64_t learner_index; /* commit index when it became the learner */
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t round; /* number of the latest append broadcast or heartbeat */
  int64_t leader_last_seen_ms;
  int64_t election_at_ms;
  int64_t last_tick_ms;
  bool unsynced; /* the store may hold entries that are not durable */
  bool failed;   /* storage failed; takes no further part */

  /* timing */
  int64_t heartbeat_ms;
  int64_t election_ms;
  uint64_t random;
  uint32_t compact_entries;
};

/* Initializes L as member SELF of MEMBER_COUNT, all of which vote.  The
   election time-out is drawn at random from ELECTION_MS up to twice that; SEED
   should differ between members.  OUTPUT must outlive L; its callbacks get
   ARG.  */
void replicated_log_init (struct replicated_log *l, int self, int member_count,
                          int64_t heartbeat_ms, int64_t election_ms,
                          uint64_t seed,
                          const struct replicated_log_output *output,
                          void *arg);
void replicated_log_done (struct replicated_log *l);

/* Adds a non-voting member.  Returns its number, or LOG_NO_MEMBER if there are
   LOG_MEMBER_LIMIT members already.  */
int replicated_log_add_member (struct replicated_log *l);

/* Sets whether MEMBER votes and counts towards majorities.  */
void replicated_log_set_voter (struct replicated_log *l, int member,
                               bool voter);

/* For the leader: sends LEARNER, which does not vote, the log as it does the
   voters; LOG_NO_MEMBER ends this.  */
void replicated_log_set_learner (struct replicated_log *l, int learner);

/* Whether the learner has stored what was committed when it became one.  */
bool replicated_log_is_caught_up (const struct replicated_log *l);

/* Whether an entry of the current term is committed and all committed entries
   are applied.  Before that the applied state of a restarted member may be as
   old as its snapshot, also if it has been elected leader.  */
bool replicated_log_has_current_state (const struct replicated_log *l);

/* Starts a round of appends by which the voters confirm that this member is
   still the leader, for linearizable reads.  Returns the round to wait for
   with replicated_log_is_confirmed.  */
uint64_t replicated_log_confirm (struct replicated_log *l, int64_t now_ms);

/* Whether a majority has answered ROUND and an entry of this term is committed
   and applied.  The applied state then includes everything that was committed
   when the round started.  */
bool replicated_log_is_confirmed (const struct replicated_log *l,
                                  uint64_t round);

/* Restore the state from storage, before replicated_log_start.  */
void replicated_log_restore_state (struct replicated_log *l, uint64_t term,
                                   int voted_for);
void replicated_log_restore_snapshot (struct replicated_log *l, uint64_t index,
                                      uint64_t term, const char *data,
                                      uint32_t length);

/* Returns false if INDEX is not the one after the last entry.  */
bool replicated_log_restore_entry (struct replicated_log *l, uint64_t index,
                                   uint64_t term, const char *data,
                                   uint32_t length);
void replicated_log_restore_truncate (struct replicated_log *l,
                                      uint64_t from_index);

void replicated_log_start (struct replicated_log *l, int64_t now_ms);

/* Handles a restored connection to another member.  If no leader is known, the
   next election is brought forward, since earlier ones may have failed for
   lack of a majority.  */
void replicated_log_member_reachable (struct replicated_log *l,
                                      int64_t now_ms);

void replicated_log_tick (struct replicated_log *l, int64_t now_ms);

/* Handles the message M of member FROM.  */
void replicated_log_receive (struct replicated_log *l, int64_t now_ms,
                             int from, const struct peer_message *m);

/* Appends a command.  Returns its index, or 0 if this member is not the leader
   or storage failed.  */
uint64_t replicated_log_propose (struct replicated_log *l, int64_t now_ms,
                                 const char *data, uint32_t length);

/* Gives up leadership and delays the next own candidacy by an extra election
   time-out, so that another member can be elected.  */
void replicated_log_step_down (struct replicated_log *l, int64_t now_ms);

#endif
