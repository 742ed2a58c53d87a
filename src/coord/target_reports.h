/* The targets that send their heartbeats to a keeper that is not the leader,
   and what is still to be relayed to the leader about each.

   Load pattern: thousands of targets, each of which sends a heartbeat every
   1.5 s.  Only new or changed targets are relayed to the leader at once, and
   their heartbeats are acknowledged when the leader has acknowledged them.
   Unchanged heartbeats are acknowledged here and relayed in batches.  A new
   leader is sent everything in full.  */
#ifndef COORD_TARGET_REPORTS_H
#define COORD_TARGET_REPORTS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/departed_targets.h"
#include "coord/run_target.h"

/* What the next batch to the leader contains about a target.  */
enum report_content
{
  REPORT_NONE,
  REPORT_HEARTBEAT, /* only that it sent a heartbeat */
  REPORT_FULL       /* its complete description */
};

struct target_report
{
  struct run_target_spec spec;
  int64_t last_seen_ms;
  uint64_t acked_term; /* of the leader that has acknowledged SPEC; 0: none */
  bool seen_since_batch; /* has sent a heartbeat since the last batch */
  UT_hash_handle hh;
};

struct target_reports
{
  struct target_report *by_id;
  struct departed_targets departed;
};

void target_reports_init (struct target_reports *r);
void target_reports_done (struct target_reports *r);

/* Records a heartbeat of the target SPEC.  Returns true if it need not be
   relayed at once: the leader of TERM has acknowledged the same description,
   or the heartbeat is older than the recorded one, or than the departure of
   its target.  */
bool target_reports_receive (struct target_reports *r, int64_t now_ms,
                             const struct run_target_spec *spec,
                             uint64_t term);

/* Records that the leader of TERM has acknowledged SPEC.  Has no effect if the
   target has changed since.  */
void target_reports_acknowledge (struct target_reports *r,
                                 const struct run_target_spec *spec,
                                 uint64_t term);

/* Has the target ID relayed in full again, as the leader does not know it.  */
void target_reports_mark_unknown (struct target_reports *r, const char *id);

/* Removes the target ID, which has deregistered.  */
void target_reports_remove (struct target_reports *r, int64_t now_ms,
                            const char *id);

/* Removes the targets that have sent no heartbeat here for some time, for
   example because they now send them to another keeper.  */
void target_reports_expire (struct target_reports *r, int64_t now_ms);

/* What is to be relayed to the leader of TERM about T.  */
enum report_content target_reports_due (const struct target_report *t,
                                        uint64_t term);

#endif
