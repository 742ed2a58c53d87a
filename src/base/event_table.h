/* The catalogue of numbered events.  docs/EVENTS.md is made from this table
   (ragwortctl events) and a test compares the two.

   Columns: number, identifier, level, text, what an operator does.  */
#ifndef BASE_EVENT_TABLE_H
#define BASE_EVENT_TABLE_H

#define EVENT_TABLE(ROW)                                                      \
  ROW (100, PROCESS_STARTED, INFO, "process started", "nothing")              \
  ROW (101, PROCESS_STOPPING, INFO, "graceful stop begun", "nothing")         \
  ROW (102, PROCESS_STOPPED, INFO, "process stopped", "nothing")              \
  ROW (103, SETTINGS_RELOADED, INFO, "settings read again", "nothing")        \
  ROW (104, SETTINGS_REFUSED, WARN, "new settings are wrong; kept the old",   \
       "correct the settings file")                                           \
  ROW (105, LOOP_STALLED, WARN, "the process stood still", "look at the VM")  \
  ROW (200, JOB_ACCEPTED, INFO, "job accepted", "nothing")                    \
  ROW (201, JOB_REPEATED, INFO, "job resubmitted, answered from its record",  \
       "nothing")                                                             \
  ROW (202, JOB_CONFLICT, WARN, "submission key reused with other content",   \
       "tell the team: its client reuses keys")                               \
  ROW (203, JOB_COMPLETE, INFO, "job complete", "nothing")                    \
  ROW (204, JOB_FAILED, WARN, "job failed",                                   \
       "read the detail; look at the targets named by its tasks")             \
  ROW (205, JOB_REFUSED, INFO, "submission refused", "read the detail")       \
  ROW (206, JOB_TAKEN_OVER, WARN, "job of a lost VM taken over",              \
       "nothing; its started tasks are reported as unknown")                  \
  ROW (207, JOB_CANCELLED, INFO, "job cancelled", "nothing")                  \
  ROW (208, JOB_EXPIRED, INFO, "job record expired", "nothing")               \
  ROW (210, TASK_STARTED, DEBUG, "task started on a target", "nothing")       \
  ROW (211, TASK_ENDED, DEBUG, "task ended", "nothing")                       \
  ROW (212, TASK_PASSED, DEBUG, "task passed to another entry", "nothing")    \
  ROW (213, TASK_RETRIED, INFO, "idempotent request retried", "nothing")      \
  ROW (300, TARGET_JOINED, INFO, "target announced itself", "nothing")        \
  ROW (301, TARGET_LEAVING, INFO, "target is leaving", "nothing")             \
  ROW (302, TARGET_LAPSED, WARN, "target's lease lapsed",                     \
       "look at the target; it has stopped announcing itself")                \
  ROW (303, TARGET_EJECTED, WARN, "target ejected for its failures",          \
       "look at the target; it fails what its peers do not")                  \
  ROW (304, TARGET_RETURNED, INFO, "ejected target returned", "nothing")      \
  ROW (305, TARGET_OWNED, INFO, "target is owned here now", "nothing")        \
  ROW (306, TARGET_LOST, WARN, "target is no longer owned here",              \
       "nothing; its new owner is in the view")                               \
  ROW (307, TARGET_READY, INFO, "target takes starts", "nothing")             \
  ROW (308, TARGET_SILENT, WARN, "target does not answer",                    \
       "look at the target and the network between")                          \
  ROW (309, TARGET_ANSWERS, INFO, "silent target answers again", "nothing")   \
  ROW (310, TARGET_LAPSED_RUNS, WARN,                                         \
       "runs on a silent target have ended by their leases", "nothing")       \
  ROW (311, TARGET_RELEASED, INFO, "target handed over", "nothing")           \
  ROW (312, TARGET_NOT_RELAYED, WARN,                                         \
       "leading keeper was not told what a target said",                      \
       "look at the keepers and the network between them")                    \
  ROW (320, RUN_NOT_STARTED, INFO, "order to start was not accepted",         \
       "read the outcome; look at the target if it repeats")                  \
  ROW (321, RUN_ENDED, DEBUG, "run ended", "nothing")                         \
  ROW (322, RUN_FOREIGN, INFO, "run of an earlier owner is stopped",          \
       "nothing")                                                             \
  ROW (323, RUN_STALLED, WARN,                                                \
       "run stands still or is too slow, and is stopped",                     \
       "look at the target if it repeats")                                    \
  ROW (330, DISPATCH_ACCEPTED, DEBUG, "job waits for its dispatch",           \
       "nothing")                                                             \
  ROW (331, DISPATCH_ENDED, INFO, "job ended at its dispatcher", "nothing")   \
  ROW (332, DISPATCH_REFUSED, INFO, "job refused by its dispatcher",          \
       "read the reason; overload wants more targets")                        \
  ROW (337, DISPATCH_ROUTED, INFO, "job sent to another dispatcher",          \
       "nothing")                                                             \
  ROW (509, PEER_SILENT, WARN, "nothing came from a peer; connection closed", \
       "look for a cut or a VM that stands still")                            \
  ROW (338, TASKS_LENT, INFO, "tasks given to another dispatcher to run",     \
       "nothing")                                                             \
  ROW (339, TASKS_RETURNED, INFO, "lent tasks came back without being done",  \
       "read the result; refused ones wait here again")                       \
  ROW (333, CALLER_ANSWERED, INFO, "caller answered", "nothing")              \
  ROW (334, CALLER_GONE, INFO, "caller left before its answer", "nothing")    \
  ROW (335, CALLER_REFUSED, INFO, "caller's request refused", "read why")     \
  ROW (336, COORDINATOR_LOST, WARN,                                           \
       "entry that held callers is gone; its jobs are stopped", "nothing")    \
  ROW (400, CONFIG_IN_FORCE, INFO, "configuration in force here", "nothing")  \
  ROW (401, CONFIG_ACCEPTED, INFO, "configuration accepted", "nothing")       \
  ROW (402, CONFIG_REFUSED, WARN, "configuration refused",                    \
       "read the detail and correct the document")                            \
  ROW (403, CONFIG_FOREIGN, ERROR, "document of another environment refused", \
       "find who sent it; settings and document disagree")                    \
  ROW (500, PEER_UP, INFO, "peer link up", "nothing")                         \
  ROW (501, PEER_DOWN, WARN, "peer link down",                                \
       "look at the peer and the network between")                            \
  ROW (502, PEER_REFUSED, WARN, "peer frame refused",                         \
       "check the peer's secret, environment and version")                    \
  ROW (503, VIEW_TAKEN, INFO, "view of targets and dispatchers taken",        \
       "nothing")                                                             \
  ROW (504, VIEW_SENT, DEBUG, "view sent to an entry", "nothing")             \
  ROW (505, ENTRY_LOST, WARN, "entry not heard; its targets go to others",    \
       "look at the entry")                                                   \
  ROW (506, ENTRY_HEARD, INFO, "entry heard for the first time", "nothing")   \
  ROW (507, OWNER_CHANGED, INFO, "target given to an entry", "nothing")       \
  ROW (508, QUORUM_CHANGED, INFO, "keepers' quorum changed", "nothing")       \
  ROW (510, GROUP_CHANGED, INFO, "replica group changed", "nothing")          \
  ROW (511, GROUP_SYNCED, INFO, "replica group records complete here",        \
       "nothing")                                                             \
  ROW (512, GROUP_MEMORY_LOST, ERROR,                                         \
       "all members of a replica group lost their records",                   \
       "expect unknown answers to older keys; find why all VMs stopped")      \
  ROW (520, QUORUM_LOST, ERROR, "no keeper leader heard",                     \
       "look at the keepers and the network; see operate/keepers.md")         \
  ROW (521, QUORUM_BACK, INFO, "keeper leader heard again", "nothing")        \
  ROW (600, LEADER_ELECTED, INFO, "keeper became leader", "nothing")          \
  ROW (601, LEADER_STEPPED_DOWN, WARN, "keeper leader stepped down",          \
       "look at the network between the keepers")                             \
  ROW (602, STORE_LOADED, INFO, "journal loaded", "nothing")                  \
  ROW (603, STORE_TAIL_CUT, WARN, "torn journal tail cut off",                \
       "nothing after a crash; otherwise check the disk")                     \
  ROW (604, STORE_COMPACTED, INFO, "journal compacted into a snapshot",       \
       "nothing")                                                             \
  ROW (605, STORE_FAILED, ERROR, "journal write failed; keeper stops",        \
       "free the disk or replace it, then start the keeper")

#endif
