/* Targets announce themselves to any entry, which forwards the announcement to
   the entry that owns the target.  The owner stores it in its table.  */
#ifndef CONTROLLER_TARGET_CONTROLLER_H
#define CONTROLLER_TARGET_CONTROLLER_H

#include "controller/entry.h"

/* Answers an announcement or a leave with an HTTP status and a JSON text.  */
typedef void (*target_answer) (void *arg, int status, const char *json);

/* Handles the announcement BODY, or forwards it to the entry that owns the
   target.  FORWARDED: another entry sent it here, and it is not forwarded
   again.  */
void target_announce (struct entry *n, const char *body, size_t length,
                      bool forwarded, target_answer answer, void *arg);

/* Handles the message BODY of a target that is leaving, or forwards it
   likewise.  */
void target_leave (struct entry *n, const char *body, size_t length,
                   bool forwarded, target_answer answer, void *arg);

/* Removes T if nothing runs on it and it is leaving, or a full lease duration
   has passed since its lease lapsed.  While T is handed over, it stays until
   its lease lapses.  */
void target_remove_if_unused (struct entry *n, struct target *t);

/* Removes lapsed targets, and hands over those that another entry owns since
   the group changed.  */
void target_tick (struct entry *n, int64_t now_ms);

/* Removes all targets at the end of the process.  */
void target_drop_all (struct entry *n);

#endif
