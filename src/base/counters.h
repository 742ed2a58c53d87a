/* Named counters of this process.  To add a counter, add a row to the table
   below.  */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <stdint.h>
#include <jansson.h>

/* The names are part of the metrics.  What some of them count:

   JOBS_REPEATED      resubmissions answered from their record
   JOBS_CONTINUED     jobs of a lost VM of which no task can have started
   TASKS_PASSED       tasks forwarded to another entry
   TASKS_PASSED_BACK  of these, those returned as not run
   STARTS_REFUSED     start calls to targets that failed, also without answer
   TARGET_LOOKS       status polls of targets
   TARGET_PROBES      polls that only learn which incarnation has answered
   DISPATCH_TAKEN     jobs and delegated parts accepted by this dispatcher
   TASKS_DELEGATED    tasks delegated to another dispatcher
   TASKS_SENT_BACK    of these, those that it refused
   TASKS_RETURNED     of these, those that ended with any other result
   VIEWS_TAKEN        assignments of targets and dispatchers applied
   HEARTBEATS         heartbeats of targets received by this keeper
   WITHDRAWN_ADDED    cancellations of jobs remembered; less the expired and
                      the evicted ones, those that are remembered now
   WITHDRAWN_EVICTED  of these, forgotten before their time for lack of space
   WITHDRAWN_STOPPED  jobs withdrawn that were cancelled elsewhere
   WITHDRAWN_REPEATED requests of cancelled jobs answered without a run
   HEARTBEATS_STALE   heartbeats ignored: older than their target's departure
   TARGETS_DEPARTED   departed targets remembered now by this keeper
   CLIENTS_...        requests refused, and connections closed, by the limits
                      of clients, by kind
   SPEED_CHANGES      times that learnt speeds came into or out of effect
   SHORT_OF_CPU       times that this VM became short of processor time
   JOBS_SHED          jobs that this entry refused while it was
   JOBS_DISPLACED     waiting jobs that gave way to jobs of higher priority  */
#define COUNTER_TABLE(ROW)                                                    \
  ROW (JOBS_ACCEPTED, "jobs_accepted")                                        \
  ROW (JOBS_COMPLETE, "jobs_complete")                                        \
  ROW (JOBS_FAILED, "jobs_failed")                                            \
  ROW (JOBS_REPEATED, "jobs_repeated")                                        \
  ROW (JOBS_CONTINUED, "jobs_continued")                                      \
  ROW (JOBS_CANCELLED, "jobs_cancelled")                                      \
  ROW (REQUESTS_ACCEPTED, "requests_accepted")                                \
  ROW (REFUSALS_NOT_RUN, "refusals_not_run")                                  \
  ROW (REFUSALS_UNKNOWN, "refusals_unknown")                                  \
  ROW (TASK_STARTS, "task_starts")                                            \
  ROW (TASKS_DONE, "tasks_done")                                              \
  ROW (TASKS_FAILED, "tasks_failed")                                          \
  ROW (TASKS_UNKNOWN, "tasks_unknown")                                        \
  ROW (TASK_RETRIES, "task_retries")                                          \
  ROW (TASK_STOPS, "task_stops")                                              \
  ROW (TASKS_PASSED, "tasks_passed")                                          \
  ROW (TASKS_PASSED_BACK, "tasks_passed_back")                                \
  ROW (FORWARDS, "forwards")                                                  \
  ROW (FORWARD_RETRIES, "forward_retries")                                    \
  ROW (RECORD_MESSAGES, "record_messages")                                    \
  ROW (RECORD_REFUSALS, "record_refusals")                                    \
  ROW (PEER_FRAMES_IN, "peer_frames_in")                                      \
  ROW (PEER_FRAMES_OUT, "peer_frames_out")                                    \
  ROW (PEER_BYTES_IN, "peer_bytes_in")                                        \
  ROW (PEER_BYTES_OUT, "peer_bytes_out")                                      \
  ROW (PEER_FRAMES_REFUSED, "peer_frames_refused")                            \
  ROW (CONTROL_BYTES_OUT, "control_bytes_out")                                \
  ROW (HTTP_REQUESTS, "http_requests")                                        \
  ROW (HTTP_REFUSED, "http_refused")                                          \
  ROW (TARGET_ANNOUNCES, "target_announces")                                  \
  ROW (TARGETS_EJECTED, "targets_ejected")                                    \
  ROW (CONFIG_ACCEPTED, "config_accepted")                                    \
  ROW (CONFIG_REFUSED, "config_refused")                                      \
  ROW (STORE_SYNCS, "store_syncs")                                            \
  ROW (ELECTIONS, "elections")                                                \
  ROW (STARTS_REFUSED, "starts_refused")                                      \
  ROW (TARGET_LOOKS, "target_looks")                                          \
  ROW (TARGET_PROBES, "target_probes")                                        \
  ROW (DISPATCH_TAKEN, "dispatch_taken")                                      \
  ROW (DISPATCH_DONE, "dispatch_done")                                        \
  ROW (DISPATCH_FAILED, "dispatch_failed")                                    \
  ROW (DISPATCH_REFUSED, "dispatch_refused")                                  \
  ROW (DISPATCH_CANCELLED, "dispatch_cancelled")                              \
  ROW (TASKS_DELEGATED, "tasks_delegated")                                    \
  ROW (TASKS_RETURNED, "tasks_returned")                                      \
  ROW (TASKS_SENT_BACK, "tasks_sent_back")                                    \
  ROW (CALLERS_ANSWERED, "callers_answered")                                  \
  ROW (CALLERS_REFUSED, "callers_refused")                                    \
  ROW (CALLERS_GONE, "callers_gone")                                          \
  ROW (VIEWS_TAKEN, "views_taken")                                            \
  ROW (HEARTBEATS, "heartbeats")                                              \
  ROW (WITHDRAWN_ADDED, "withdrawn_added")                                    \
  ROW (WITHDRAWN_EXPIRED, "withdrawn_expired")                                \
  ROW (WITHDRAWN_EVICTED, "withdrawn_evicted")                                \
  ROW (WITHDRAWN_STOPPED, "withdrawn_stopped")                                \
  ROW (WITHDRAWN_REPEATED, "withdrawn_repeated")                              \
  ROW (HEARTBEATS_STALE, "heartbeats_stale")                                  \
  ROW (TARGETS_DEPARTED, "targets_departed")                                  \
  ROW (CLIENTS_HEAD_REFUSED, "clients_head_refused")                          \
  ROW (CLIENTS_BODY_REFUSED, "clients_body_refused")                          \
  ROW (CLIENTS_TIMED_OUT, "clients_timed_out")                                \
  ROW (CLIENTS_BUDGET_REFUSED, "clients_budget_refused")                      \
  ROW (CLIENTS_CONNECTIONS_CLOSED, "clients_connections_closed")              \
  ROW (CLIENTS_BAD_FRAMING, "clients_bad_framing")                            \
  ROW (CLIENTS_EXCESS_CLOSED, "clients_excess_closed")                        \
  ROW (CLIENTS_ANSWERS_NOT_READ, "clients_answers_not_read")                  \
  ROW (SPEED_CHANGES, "speed_changes")                                        \
  ROW (SHORT_OF_CPU, "short_of_cpu")                                          \
  ROW (JOBS_SHED, "jobs_shed")                                                \
  ROW (JOBS_DISPLACED, "jobs_displaced")                                      \
  ROW (EVACUATION_ORDERS, "evacuation_orders")                                \
  ROW (EVACUATION_REFUSALS, "evacuation_refusals")                            \
  ROW (EVACUATION_SENDS, "evacuation_sends")                                  \
  ROW (COLD_STARTS, "cold_starts")

#define COUNTER_ENUM(id, name) COUNTER_##id,
enum counter
{
  COUNTER_TABLE (COUNTER_ENUM) COUNTER_COUNT
};
#undef COUNTER_ENUM

struct counters
{
  uint64_t value[COUNTER_COUNT];
};

extern struct counters counters;

static inline void
counters_add (enum counter c, uint64_t n)
{
  counters.value[c] += n;
}

const char *counters_name (enum counter c);

/* Returns a new JSON object with all counters, which the caller owns.  */
json_t *counters_json (void);

#endif
