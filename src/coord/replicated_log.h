/* The replicated log among the keepers: terms, elections with pre-vote, log
   matching, commit by majority, snapshots (Ongaro and Ousterhout 2014).

   No I/O and no clock: the present time is an argument, and what is to be
   stored, sent and applied goes out through struct replicated_log_output.
   Whatever is to be stored must be durable when the function returns, for
   messages that depend on it are sent right after.  */
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
  /* Storage, durable on return.  Returns false if it failed: the log then
     stops for good.  */
  bool (*save_state) (void *arg, uint64_t term, int voted_for);
  bool (*save_entry) (void *arg, uint64_t index, const struct log_entry *e);
  bool (*save_truncate) (void *arg, uint64_t from_index);
  bool (*sync) (void *arg);
  bool (*save_snapshot) (void *arg, const struct replicated_log *l);

  void (*send) (void *arg, int to, struct peer_message *m);

  /* The state machine.  A snapshot's text is new memory for the log.  */
  void (*apply) (void *arg, uint64_t index, const struct log_entry *e);
  char *(*take_snapshot) (void *arg, uint32_t *length);
  void (*load_snapshot) (void *arg, uint64_t index, const char *data,
                         uint32_t length);

  void (*role_changed) (void *arg, enum log_role role);

  /* Entries were appended, dropped or replaced by a snapshot; tells which
     members vote from now on by replicated_log_set_voter.  NULL where all do,
     always.  */
  void (*stored_changed) (void *arg, struct replicated_log *l);
};

struct log_member
{
  uint64_t next_index;
  uint64_t match_index;
  int64_t heard_ms;
  int64_t sent_ms;
  uint64_t acked_round; /* the latest append that it has answered */
  bool granted;
  bool voter;
};

struct replicated_log
{
  /* who */
  int self;
  int member_count;
  struct log_member members[LOG_MEMBER_LIMIT];
  const struct replicated_log_output *output;
  void *arg;
  void *store_arg; /* of the functions that store; ARG unless set */

  /* stored */
  uint64_t term;
  int voted_for;
  struct log_entries stored;

  /* not stored */
  enum log_role role;
  int leader;
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t round;
  int64_t leader_heard_ms;
  int64_t election_at_ms;
  int64_t ticked_ms;
  bool failed; /* storage failed; says and does nothing more */

  /* timing */
  int64_t heartbeat_ms;
  int64_t election_ms;
  uint64_t random;
  uint32_t compact_entries;
};

void replicated_log_init (struct replicated_log *l, int self, int member_count,
                          int64_t heartbeat_ms, int64_t election_ms,
                          uint64_t seed,
                          const struct replicated_log_output *output,
                          void *arg);
void replicated_log_done (struct replicated_log *l);

/* Adds a member that does not vote.  Returns its number, or LOG_NO_MEMBER
   beyond the limit.  */
int replicated_log_add_member (struct replicated_log *l);

/* Whether MEMBER votes and counts for majorities.  */
void replicated_log_set_voter (struct replicated_log *l, int member,
                               bool voter);

/* Asks the members to confirm that this is still the leader.  Returns the
   round to wait for.  */
uint64_t replicated_log_confirm (struct replicated_log *l, int64_t now_ms);

/* Whether a majority has confirmed ROUND, and all that earlier leaders
   committed is known here: then what is applied is the newest.  */
bool replicated_log_is_confirmed (const struct replicated_log *l,
                                  uint64_t round);

/* Restores stored state, before replicated_log_start.  */
void replicated_log_restore_state (struct replicated_log *l, uint64_t term,
                                   int voted_for);
void replicated_log_restore_snapshot (struct replicated_log *l, uint64_t index,
                                      uint64_t term, const char *data,
                                      uint32_t length);
/* Returns false if INDEX does not follow the log.  */
bool replicated_log_restore_entry (struct replicated_log *l, uint64_t index,
                                   uint64_t term, const char *data,
                                   uint32_t length);
void replicated_log_restore_truncate (struct replicated_log *l,
                                      uint64_t from_index);

void replicated_log_start (struct replicated_log *l, int64_t now_ms);

/* Another member can be reached again.  Where no leader is known an election
   comes soon: it may have failed for want of this one.  */
void replicated_log_reached (struct replicated_log *l, int64_t now_ms);

void replicated_log_tick (struct replicated_log *l, int64_t now_ms);

/* Takes message M of member FROM.  */
void replicated_log_receive (struct replicated_log *l, int64_t now_ms,
                             int from, const struct peer_message *m);

/* Appends a command.  Returns its index, or 0 where this is not the leader. */
uint64_t replicated_log_propose (struct replicated_log *l, int64_t now_ms,
                                 const char *data, uint32_t length);

/* Gives up leadership and stands again only after the others had time to.  */
void replicated_log_step_down (struct replicated_log *l, int64_t now_ms);

#endif
