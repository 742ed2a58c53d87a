/* A VM of the simulation (lease_model): the loop of its process, its entry
   (lease_entry.c), the jobs of its dispatcher (lease_dispatcher.c) and the
   targets of its dispatcher (lease_ports.c).  Times are on the clock of the
   VM, if not said otherwise.  */
#ifndef UNIT_LEASE_NODE_H
#define UNIT_LEASE_NODE_H

#include "tests/unit/lease_world.h"

/* The process of VM starts.  */
void node_start (struct world *w, int vm);

/* One step of the loop of VM.  */
void node_step (struct world *w, int vm);

/* The entry: closes silent connections and grants leases.  */
void node_tick_entry (struct world *w, int vm);

/* Reads the request on channel INDEX, or its end.  */
void node_handle_channel (struct world *w, int vm, uint32_t index);

/* Handles the messages from the dispatcher of VM FROM.  */
void node_handle_reply (struct world *w, int vm, int from);

/* The job that was sent as ID has ended.  */
void node_routed_ended (struct world *w, int vm, uint32_t id,
                        enum job_result result);

/* Sends J to another dispatcher, if one is connected.  */
void node_delegate (struct world *w, int vm, struct local_job *j);

/* Cancels the delegated part of J.  */
void node_revoke_part (struct world *w, int vm, struct local_job *j);

/* The dispatcher: receives job M from the entry of VM FROM.  */
void node_receive_job (struct world *w, int vm, int from, uint32_t generation,
                       const struct message *m);
void node_receive_keepalive (struct world *w, int vm, int from,
                             uint32_t generation, const struct message *m);

/* Handles the messages from the entry of VM FROM.  */
void node_handle_jobs (struct world *w, int vm, int from);

/* The open job that the entry of VM FROM sent as ID, or NULL.  */
struct local_job *node_find_job (struct node *n, int from, uint32_t generation,
                                 uint32_t id);

/* Ends J and stops its run; it exists until the run is known to have
   ended.  */
void node_cancel_job (struct world *w, int vm, struct local_job *j);

/* Likewise, and tells the entry.  */
void node_close_job (struct world *w, int vm, struct local_job *j,
                     enum job_result result);
void node_free_if_finished (struct local_job *j);

/* The delegated part of J has ended.  */
void node_part_ended (struct world *w, int vm, struct local_job *j,
                      enum job_result result);

/* Starts waiting jobs, and ends those whose lease is ending.  */
void node_tick_jobs (struct world *w, int vm);

/* The targets: TARGET is assigned to VM, with fencing token TOKEN.  */
void node_own (struct world *w, int vm, int target, uint64_t token);

/* Whether a job whose lease ends at LEASE_END_MS may be started on P.  */
bool node_may_start (const struct world *w, const struct port *p,
                     int64_t lease_end_ms, int64_t now_ms);
void node_start_run (struct world *w, int vm, struct local_job *j, int target);
void node_stop_run (struct world *w, int vm, struct local_job *j);
void node_send_stop (struct world *w, int vm, int target, uint32_t attempt,
                     uint64_t run);

/* Polls targets, and gives up unanswered calls.  */
void node_tick_ports (struct world *w, int vm);

/* Handles the answers of TARGET.  */
void node_handle_answers (struct world *w, int vm, int target);

#endif
