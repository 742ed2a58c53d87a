/* Targets announce themselves to any entry; the one that owns a target keeps
   it in its table.  */
#ifndef CONTROLLER_TARGET_CONTROLLER_H
#define CONTROLLER_TARGET_CONTROLLER_H

#include "controller/entry.h"

/* Answers an announcement or a leave; given a status and a JSON text.  */
typedef void (*target_answer) (void *arg, int status, const char *json);

/* Takes the announcement BODY, or hands it to the entry that owns the
   target.  FORWARDED tells that another entry handed it here.  */
void target_announce (struct entry *n, const char *body, size_t length,
                      bool forwarded, target_answer answer, void *arg);

/* Takes a target's word that it is leaving.  */
void target_leave (struct entry *n, const char *body, size_t length,
                   bool forwarded, target_answer answer, void *arg);

/* Drops G if it is leaving or lapsed and nothing runs on it.  */
void target_check_gone (struct entry *n, struct target *g);

/* Drops lapsed targets, and hands over those that the group's change gave to
   another entry.  */
void target_tick (struct entry *n, int64_t now_ms);

/* Drops all targets at the end of the process.  */
void target_drop_all (struct entry *n);

#endif
