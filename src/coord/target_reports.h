/* What targets say of themselves to a keeper that does not lead, and what of
   it the leading keeper has yet to be told.

   Load pattern: thousands of targets that repeat themselves every 1.5 s.  Only
   what is new goes to the leader at once, and is acknowledged once the leader
   has it; repeats are acknowledged here and told in batches.  A new leader is
   told everything again.  */
#ifndef COORD_TARGET_REPORTS_H
#define COORD_TARGET_REPORTS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include "coord/run_target.h"

/* What the leader is to be told of a target in the next batch.  */
enum report_part
{
  REPORT_NOTHING,
  REPORT_HEARD, /* that it was heard */
  REPORT_WHOLE  /* all that it said */
};

struct target_report
{
  struct run_target_spec spec;
  int64_t heard_ms;
  uint64_t told_term; /* of the leader that has it; 0: none */
  bool heard_since;   /* since the last batch */
  UT_hash_handle hh;
};

struct target_reports
{
  struct target_report *by_id;
};

void target_reports_init (struct target_reports *r);
void target_reports_done (struct target_reports *r);

/* Target SPEC has been heard.  Returns whether the leader of TERM has all that
   it says, or it is older than what is known.  */
bool target_reports_hear (struct target_reports *r, int64_t now_ms,
                          const struct run_target_spec *spec, uint64_t term);

/* The leader of TERM has taken SPEC, which may be out of date by now.  */
void target_reports_told (struct target_reports *r,
                          const struct run_target_spec *spec, uint64_t term);

/* The leader does not know target ID.  */
void target_reports_unknown (struct target_reports *r, const char *id);

/* Target ID has left.  */
void target_reports_forget (struct target_reports *r, const char *id);

/* Forgets the targets that have gone silent, or speak to another keeper.  */
void target_reports_drop_silent (struct target_reports *r, int64_t now_ms);

/* What the leader of TERM is to be told of T.  */
enum report_part target_reports_part (const struct target_report *t,
                                      uint64_t term);

#endif
