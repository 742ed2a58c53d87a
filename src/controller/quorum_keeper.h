/* A keeper of an open deployment: a member of the replicated log that holds
   the document and the quorum's own members.  The leading one hears targets
   and entries, decides who owns what (coord/owner_plan), and tells each entry
   its view.

   Syncs are made on the loop: a keeper dispatches nothing, and one whose disk
   stalls loses its place as leader to one whose disk does not.  */
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
#include "coord/owner_plan.h"
#include "coord/quorum_plan.h"
#include "coord/replicated_log.h"
#include "net/peer_network.h"

/* How an operator's call ended.  */
enum document_result
{
  DOCUMENT_TAKEN, /* in the log, or an older version that changes nothing */
  DOCUMENT_READ,
  DOCUMENT_NONE,  /* there is no document yet */
  DOCUMENT_UNSURE /* not confirmed; may or may not have been taken */
};

/* TEXT is the newest document for DOCUMENT_READ.  */
typedef void (*document_done) (void *arg, enum document_result result,
                               const char *text);

enum
{
  TOLD_VOTER_LIMIT = 16
};

struct keeper_call;

struct keeper_peer
{
  uint64_t name; /* of address and disk */
  struct quorum_member member;
  char control[ADDRESS_BYTES + 8];
  bool is_leader;
  uint64_t term;
};

struct keeper_entry_link
{
  char vm[NAME_BYTES];
  struct peer_conn *conn;
  uint64_t view_number;      /* the last one sent */
  uint64_t document_version; /* that it is known to have, or was sent */
  int64_t document_sent_ms;
  uint64_t dispatchers_told; /* digest of those last sent; 0: none */
  uint64_t keepers_told;     /* alike */
};

struct quorum_keeper
{
  struct event_base *base;
  const struct node_settings *settings;
  uint64_t boot_id;
  struct peer_network *network;
  struct event *tick;
  struct event *pass; /* of the plan, as soon as the loop turns */

  struct log_journal journal;
  struct replicated_log log;
  struct keeper_peer peers[QUORUM_MEMBER_LIMIT]; /* by the log's numbers */
  uint64_t change_index; /* of the quorum's last change proposed */
  char told_voters[TOLD_VOTER_LIMIT][NAME_BYTES]; /* by other keepers */
  uint32_t told_voter_count;
  uint64_t told_voters_term;
  bool failed; /* the disk; to be opened again */
  int64_t failed_ms;

  /* the log's state */
  uint64_t document_version;
  char *document;
  json_t *applied_voters;
  json_t *applied_targets; /* by id, that the log knows of */

  /* leading */
  struct owner_plan plan;
  struct keeper_entry_link links[PLAN_ENTRY_LIMIT];
  uint32_t link_count;
  uint64_t view_counter;
  int64_t dispatchers_sent_ms; /* when the entries were last told of changes */
  bool targets_recalled;       /* the plan has those of the log */
  uint64_t targets_logged;     /* digest of those that the log has */
  uint64_t targets_index;      /* of the last change proposed */
  int64_t targets_logged_ms;
  int64_t targets_checked_ms;
  struct keeper_call *calls;

  struct target_relay relay;

  int64_t tick_ms;
  int64_t beat_ms;
  int64_t listening_ms; /* hears the other keepers without a gap since */
  bool stopping;
};

/* Opens or makes the journal and begins.  Returns false with E set on
   failure.  */
bool quorum_keeper_start (struct quorum_keeper *k, struct event_base *base,
                          const struct node_settings *s, uint64_t boot_id,
                          struct error *e);
void quorum_keeper_done (struct quorum_keeper *k);

/* Begins a graceful stop: leadership is given up.  */
void quorum_keeper_leave (struct quorum_keeper *k);

/* Takes the seeds of the settings, which have changed.  */
void quorum_keeper_reach_seeds (struct quorum_keeper *k);

bool quorum_keeper_leads (const struct quorum_keeper *k);

/* Another keeper that leads, or NULL if none is known.  */
const struct keeper_peer *
quorum_keeper_leading_peer (const struct quorum_keeper *k);

/* Its control address, or NULL.  */
const char *quorum_keeper_leader (const struct quorum_keeper *k);

/* Proposes COMMAND, which it releases, to the log.  Sets *INDEX as
   replicated_log_propose does.  */
void quorum_keeper_propose (struct quorum_keeper *k, json_t *command,
                            int64_t now_ms, uint64_t *index);

/* Whether all that earlier leaders committed is known here.  */
bool quorum_keeper_knows_committed (const struct quorum_keeper *k);

/* For the leader: target SPEC was heard at HEARD_MS, and target ID has left
   (see target_relay).  */
void quorum_keeper_hear_target (struct quorum_keeper *k, int64_t heard_ms,
                                const struct run_target_spec *spec);
void quorum_keeper_forget_target (struct quorum_keeper *k, const char *id);

/* Puts a checked document into force if VERSION is the highest.  DONE is
   called exactly once, perhaps before return.  */
void quorum_keeper_put (struct quorum_keeper *k, int64_t now_ms,
                        uint64_t version, const char *text, document_done done,
                        void *arg);

/* Reads the newest document.  */
void quorum_keeper_get (struct quorum_keeper *k, int64_t now_ms,
                        document_done done, void *arg);

#endif
