/* The catalogue of numbered events.  docs/EVENTS.md is generated from this
   table by `ragwortctl events`, and a unit test compares the two.

   Columns: number, identifier, level, description, operator action.  */
#ifndef BASE_EVENT_TABLE_H
#define BASE_EVENT_TABLE_H

#define EVENT_TABLE(ROW)                                                      \
  ROW (100, PROCESS_STARTED, INFO, "process started", "nothing")              \
  ROW (101, PROCESS_STOPPING, INFO, "graceful shutdown started", "nothing")   \
  ROW (102, PROCESS_STOPPED, INFO, "process stopped", "nothing")              \
  ROW (103, SETTINGS_RELOADED, INFO, "settings reloaded", "nothing")          \
  ROW (104, SETTINGS_REFUSED, WARN,                                           \
       "new settings are invalid; the previous ones stay in force",           \
       "correct the settings file")                                           \
  ROW (105, LOOP_STALLED, WARN, "event loop stalled", "check the VM")         \
  ROW (106, JSON_NOT_BUILT, ERROR, "JSON value could not be built",           \
       "report it with the detail; an answer was 500 or a message left out")  \
  ROW (200, JOB_ACCEPTED, INFO, "job accepted", "nothing")                    \
  ROW (201, JOB_REPEATED, INFO, "job resubmitted, answered from its record",  \
       "nothing")                                                             \
  ROW (202, JOB_CONFLICT, WARN,                                               \
       "submission key reused with different content",                        \
       "inform the team: its client reuses keys")                             \
  ROW (203, JOB_COMPLETE, INFO, "job complete", "nothing")                    \
  ROW (204, JOB_FAILED, WARN, "job failed",                                   \
       "read the detail; check the targets named by its tasks")               \
  ROW (205, JOB_REFUSED, INFO, "submission refused", "read the detail")       \
  ROW (206, JOB_TAKEN_OVER, WARN, "job of a lost VM taken over",              \
       "nothing; its started tasks are reported as unknown")                  \
  ROW (207, JOB_CANCELLED, INFO, "job cancelled", "nothing")                  \
  ROW (208, JOB_EXPIRED, INFO, "job record expired", "nothing")               \
  ROW (210, TASK_STARTED, DEBUG, "task started on a target", "nothing")       \
  ROW (211, TASK_ENDED, DEBUG, "task ended", "nothing")                       \
  ROW (212, TASK_PASSED, DEBUG, "task forwarded to another entry", "nothing") \
  ROW (213, TASK_RETRIED, INFO, "idempotent request retried", "nothing")      \
  ROW (300, TARGET_JOINED, INFO, "target announced itself", "nothing")        \
  ROW (301, TARGET_LEAVING, INFO, "target is leaving", "nothing")             \
  ROW (302, TARGET_LAPSED, WARN, "target's lease expired",                    \
       "check the target; it has stopped announcing itself")                  \
  ROW (303, TARGET_EJECTED, WARN, "target ejected because of its failures",   \
       "check the target; it fails tasks that other targets complete")        \
  ROW (304, TARGET_RETURNED, INFO, "ejected target reinstated", "nothing")    \
  ROW (305, TARGET_OWNED, INFO, "this VM now owns the target", "nothing")     \
  ROW (306, TARGET_LOST, WARN, "this VM no longer owns the target",           \
       "nothing; the assignment names its new owner")                         \
  ROW (307, TARGET_READY, INFO, "target accepts starts", "nothing")           \
  ROW (308, TARGET_SILENT, WARN, "target does not respond",                   \
       "check the target and the network to it")                              \
  ROW (309, TARGET_ANSWERS, INFO, "unresponsive target responds again",       \
       "nothing")                                                             \
  ROW (310, TARGET_LAPSED_RUNS, WARN,                                         \
       "leases of runs on an unresponsive target expired", "nothing")         \
  ROW (311, TARGET_RELEASED, INFO, "target handed over", "nothing")           \
  ROW (312, TARGET_NOT_RELAYED, WARN,                                         \
       "target report could not be relayed to the keepers' leader",           \
       "check the keepers and the network to them")                           \
  ROW (313, TARGET_NOT_RENEWED, INFO,                                         \
       "lease of the runs on a target could not be renewed",                  \
       "check the target and the network to it if this recurs")               \
  ROW (320, RUN_NOT_STARTED, INFO, "start request was not accepted",          \
       "read the outcome; check the target if this recurs")                   \
  ROW (321, RUN_ENDED, DEBUG, "run ended", "nothing")                         \
  ROW (322, RUN_FOREIGN, INFO, "run started by an earlier owner is stopped",  \
       "nothing")                                                             \
  ROW (323, RUN_STALLED, WARN,                                                \
       "run makes no progress or is too slow, and is stopped",                \
       "check the target if this recurs")                                     \
  ROW (324, RUN_STOPPED, DEBUG, "stop of a run decided", "nothing")           \
  ROW (325, RUN_LOST, INFO, "run found to be over without a reported end",    \
       "nothing")                                                             \
  ROW (326, RUN_STOP_ANSWERED, DEBUG, "target answered a stop, or did not",   \
       "nothing")                                                             \
  ROW (327, RUN_STARTED, DEBUG, "target accepted a start", "nothing")         \
  ROW (328, RUN_STOP_LOST, INFO,                                              \
       "target did not answer a stop, which is sent again",                   \
       "check the target and the network to it if this recurs")               \
  ROW (330, DISPATCH_ACCEPTED, INFO, "job queued for dispatch", "nothing")    \
  ROW (331, DISPATCH_ENDED, INFO, "job ended at its dispatcher", "nothing")   \
  ROW (332, DISPATCH_REFUSED, INFO, "job refused by its dispatcher",          \
       "read the reason; on overload, add targets")                           \
  ROW (337, DISPATCH_ROUTED, INFO, "job sent to another dispatcher",          \
       "nothing")                                                             \
  ROW (509, PEER_SILENT, WARN,                                                \
       "no message from a peer in time; connection closed",                   \
       "check for a network partition or a stalled VM")                       \
  ROW (338, TASKS_DELEGATED, INFO, "tasks delegated to another dispatcher",   \
       "nothing")                                                             \
  ROW (339, TASKS_RETURNED, INFO,                                             \
       "delegated tasks returned without being done",                         \
       "read the result; refused tasks are queued here again")                \
  ROW (333, CALLER_ANSWERED, INFO, "caller answered", "nothing")              \
  ROW (334, CALLER_GONE, INFO, "caller disconnected before its answer",       \
       "nothing")                                                             \
  ROW (335, CALLER_REFUSED, INFO, "caller's request refused",                 \
       "read the reason")                                                     \
  ROW (346, JOB_SOUGHT, INFO,                                                 \
       "a job to be withdrawn was sought at all entries",                     \
       "if its result is uncertain, check the entries and their links")       \
  ROW (420, WITHDRAWN_LEARNT, DEBUG, "cancellation of a job is remembered",   \
       "nothing")                                                             \
  ROW (421, WITHDRAWN_STOPPED, INFO,                                          \
       "job withdrawn whose cancellation was acknowledged elsewhere",         \
       "nothing")                                                             \
  ROW (422, WITHDRAWN_REPEATED, INFO,                                         \
       "request of a cancelled job answered as cancelled; it is not run",     \
       "nothing")                                                             \
  ROW (423, WITHDRAWN_EVICTED, WARN,                                          \
       "cancellation forgotten before its time: too many are remembered",     \
       "find out who cancels so many jobs; copies of their requests may run") \
  ROW (                                                                       \
      424, HEARTBEAT_STALE, INFO,                                             \
      "heartbeat from before its target departed; acknowledged, not used",    \
      "nothing; if it recurs for 60 s, the target must use a new start time") \
  ROW (336, COORDINATOR_LOST, WARN,                                           \
       "entry that served callers is lost; its jobs are stopped", "nothing")  \
  ROW (340, DISPATCH_STOPPED, INFO,                                           \
       "job stopped at its dispatcher before its end", "nothing")             \
  ROW (341, TASKS_REVOKED, INFO, "delegated tasks revoked", "nothing")        \
  ROW (342, JOB_GIVEN_UP, INFO,                                               \
       "entry no longer waits for a job at its dispatcher",                   \
       "nothing; on cancel_sent=0 its lease is no longer renewed")            \
  ROW (343, DISPATCH_STALE, INFO,                                             \
       "job refused: too little of its lease was left",                       \
       "check for a stalled VM or a blocked link")                            \
  ROW (350, JOB_DISPLACED, INFO,                                              \
       "waiting job gave way to jobs of higher priority",                     \
       "nothing; if it recurs, add targets")                                  \
  ROW (400, CONFIG_IN_FORCE, INFO, "configuration in force on this VM",       \
       "nothing")                                                             \
  ROW (401, CONFIG_ACCEPTED, INFO, "configuration accepted", "nothing")       \
  ROW (402, CONFIG_REFUSED, WARN, "configuration refused",                    \
       "read the detail and correct the configuration")                       \
  ROW (403, CONFIG_FOREIGN, ERROR,                                            \
       "configuration of another environment refused",                        \
       "find out who sent it; it disagrees with this VM's settings")          \
  ROW (410, EVACUATION_ORDERED, WARN,                                         \
       "evacuation of a failure domain committed by the keepers",             \
       "see operate/evacuation.md; end it when the domain may be used again") \
  ROW (411, EVACUATION_ENDED, INFO,                                           \
       "end of an evacuation committed by the keepers", "nothing")            \
  ROW (412, EVACUATION_REFUSED, WARN, "evacuation order refused",             \
       "check the domain's name and the number of evacuated domains")         \
  ROW (413, EVACUATION_IN_FORCE, INFO,                                        \
       "set of evacuated failure domains in force on this VM", "nothing")     \
  ROW (414, EVACUATION_SENT, DEBUG,                                           \
       "set of evacuated failure domains sent to an entry", "nothing")        \
  ROW (415, TARGET_COLD, INFO, "target reports that it is cold",              \
       "nothing; it is used last until it has warmed up")                     \
  ROW (430, TARGET_SPEEDS, INFO,                                              \
       "learnt speeds of a service's targets came into or out of effect",     \
       "nothing; targets that should be alike and are not need a look")       \
  ROW (431, VM_SHORT, WARN, "VM short of processor time",                     \
       "add entries or give them more; see operate/uneven.md")                \
  ROW (432, VM_NOT_SHORT, INFO, "VM no longer short of processor time",       \
       "nothing")                                                             \
  ROW (433, JOB_SHED, INFO,                                                   \
       "job refused, not run: the VM is short of processor time",             \
       "see VM_SHORT")                                                        \
  ROW (500, PEER_UP, INFO, "peer link up", "nothing")                         \
  ROW (501, PEER_DOWN, WARN, "peer link down",                                \
       "check the peer and the network to it")                                \
  ROW (502, PEER_REFUSED, WARN, "peer frame refused",                         \
       "check the peer's secret, environment and version")                    \
  ROW (503, VIEW_TAKEN, INFO,                                                 \
       "assignment of targets and dispatchers applied", "nothing")            \
  ROW (504, VIEW_SENT, DEBUG, "assignment sent to an entry", "nothing")       \
  ROW (505, ENTRY_LOST, WARN,                                                 \
       "entry unresponsive; its targets are assigned to others",              \
       "check the entry")                                                     \
  ROW (506, ENTRY_HEARD, INFO, "entry started or resumed its heartbeats",     \
       "nothing")                                                             \
  ROW (507, OWNER_CHANGED, INFO, "target assigned to an entry", "nothing")    \
  ROW (508, QUORUM_CHANGED, INFO, "voters of the keepers' quorum changed",    \
       "nothing")                                                             \
  ROW (510, GROUP_CHANGED, INFO, "replica group changed", "nothing")          \
  ROW (511, GROUP_SYNCED, INFO,                                               \
       "replica group records fully copied to this VM", "nothing")            \
  ROW (                                                                       \
      512, GROUP_MEMORY_LOST, ERROR,                                          \
      "all members of a replica group lost their records",                    \
      "expect unknown outcomes for older keys; find out why all VMs stopped") \
  ROW (520, QUORUM_LOST, ERROR, "keepers' leader unreachable",                \
       "check the keepers and the network; see operate/keepers.md")           \
  ROW (521, QUORUM_BACK, INFO, "keepers' leader reachable again", "nothing")  \
  ROW (600, LEADER_ELECTED, INFO, "keeper became leader", "nothing")          \
  ROW (601, LEADER_STEPPED_DOWN, WARN, "keeper leader stepped down",          \
       "check the network between the keepers")                               \
  ROW (602, STORE_LOADED, INFO, "journal loaded", "nothing")                  \
  ROW (603, STORE_TAIL_CUT, WARN, "torn journal tail truncated",              \
       "nothing after a crash; otherwise check the disk")                     \
  ROW (604, STORE_COMPACTED, INFO, "journal compacted into a snapshot",       \
       "nothing")                                                             \
  ROW (605, STORE_FAILED, ERROR,                                              \
       "journal write failed; ragwortd stops, ragwort-node tries again",      \
       "free disk space or replace the disk; start the keeper if it stopped") \
  ROW (606, STATE_REFUSED, ERROR,                                             \
       "stored state or log entry of unknown form left out",                  \
       "check the versions of the keepers' programs")                         \
  ROW (700, CLIENT_HEAD_REFUSED, WARN,                                        \
       "client's head over its limits refused",                               \
       "see operate/client-limits.md")                                        \
  ROW (701, CLIENT_BODY_REFUSED, WARN,                                        \
       "client's body over its limits refused",                               \
       "see operate/client-limits.md")                                        \
  ROW (702, CLIENT_TIMED_OUT, WARN,                                           \
       "client's request not sent in time, refused",                          \
       "see operate/client-limits.md")                                        \
  ROW (703, CLIENT_BUDGET_REFUSED, WARN,                                      \
       "client's request refused: no memory is left for requests",            \
       "find out who sends; see operate/client-limits.md")                    \
  ROW (704, CLIENT_CONNECTION_CLOSED, WARN,                                   \
       "client's connection closed: there are too many",                      \
       "find out who connects; see operate/client-limits.md")                 \
  ROW (705, CLIENT_BAD_FRAMING, WARN,                                         \
       "client's request with an invalid framing refused",                    \
       "find out who sends; see operate/client-limits.md")                    \
  ROW (706, CLIENT_EXCESS_CLOSED, WARN,                                       \
       "client's connection closed: no memory is left for what it sent ahead" \
       " or does not read",                                                   \
       "find out who sends; see operate/client-limits.md")                    \
  ROW (707, CLIENT_ANSWER_NOT_READ, WARN,                                     \
       "client's connection closed: its answer was not read in time",         \
       "find out who sends; see operate/client-limits.md")

#endif
