/* The typed messages between processes, and their msgpack encoding: an array
   of the type number, the sender's hybrid logical clock and the fields, in the
   order of the tables in peer_message.c.  */
#ifndef NET_PEER_MESSAGE_H
#define NET_PEER_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/slice.h"

enum
{
  PEER_PROTOCOL_VERSION = 4
};

enum peer_message_type
{
  PEER_HELLO = 1,
  PEER_HEARTBEAT,
  PEER_HEARTBEAT_REPLY,
  PEER_GROUP_HEARTBEAT,
  PEER_GROUP_HEARTBEAT_REPLY,
  PEER_CALL,
  PEER_REPLY,
  PEER_RECORD_PUT,
  PEER_RECORD_ADVANCE,
  PEER_RECORD_DONE,
  PEER_RECORD_SYNCED,
  PEER_TASK_RUN,
  PEER_TASK_STOP,
  PEER_VOTE,
  PEER_VOTE_REPLY,
  PEER_APPEND,
  PEER_APPEND_REPLY,
  PEER_SNAPSHOT,
  PEER_KEEPER_HEARTBEAT,
  PEER_ENTRY_HEARTBEAT,
  PEER_ASSIGNMENT,
  PEER_SERVICE_CONFIG,
  PEER_KEEPERS,
  PEER_JOB,
  PEER_JOB_END,
  PEER_JOB_CANCEL,
  PEER_KEEPALIVE,
  PEER_CAPACITY,
  PEER_PING, /* handled in peer_conn, like the answer */
  PEER_PONG,
  PEER_MESSAGE_TYPES
};

/* The method of a PEER_CALL, with the fields of the call that it uses.  */
enum peer_method
{
  METHOD_SUBMIT = 1,     /* body: job; key, team */
  METHOD_REQUEST,        /* body: single request; key, team */
  METHOD_ANNOUNCE,       /* body: announcement of a target */
  METHOD_LEAVE,          /* body: announcement of a target that leaves */
  METHOD_CANCEL,         /* key, team */
  METHOD_LOOKUP,         /* key, team; returns the job's answer, never waits */
  METHOD_PROPOSE,        /* body: a control command for the keepers' leader */
  METHOD_CONFIG_FETCH,   /* returns the configuration in force */
  METHOD_TARGET_REPORTS, /* body: target reports received by another keeper */
  METHOD_WITHDRAW,  /* key: a job to be withdrawn; from an entry to a keeper,
                       and from that keeper to all entries */
  METHOD_WITHDRAWN, /* body: ids of withdrawn jobs; team: whether the sender is
                       a keeper or an entry */
  METHOD_EVACUATIONS /* body: the evacuated failure domains; from a keeper to
                        an entry, which returns the version that it has.  Not a
                        type of its own: earlier programs ignore an unknown
                        method, but close the connection on an unknown type */
};

struct peer_hello
{
  uint64_t version;
  struct slice environment;
  struct slice vm;
  uint64_t boot_id;
  struct slice nonce;
};

/* Between entries; the reply has the same fields.  */
struct peer_heartbeat
{
  uint64_t incarnation;
  uint64_t config_number;
  uint64_t free_capacity; /* number of tasks that it would accept now */
  uint64_t total_slots;
  uint64_t queued_tasks;
  uint64_t draining;
};

/* From an entry to a keeper, in a deployment with fixed membership.  */
struct peer_group_heartbeat
{
  uint64_t boot_id;
  uint64_t state_version;
  uint64_t config_number;
  uint64_t synced_incarnation;
  uint64_t leaving; /* enum leaving_phase */
};

struct peer_group_heartbeat_reply
{
  uint64_t is_leader;
  uint64_t term;
  struct slice leader;
  uint64_t state_version;
  struct slice state; /* empty if the entry already has this version */
};

struct peer_call
{
  uint64_t id;
  uint64_t method;
  struct slice team;
  struct slice key;
  int64_t timeout_ms;
  struct slice body;
};

struct peer_reply
{
  uint64_t id;
  uint64_t status; /* an HTTP status, or enum record_status for records */
  uint64_t free_capacity; /* for PEER_TASK_RUN: tasks it would accept now */
  struct slice body;
};

/* The PEER_RECORD messages replicate the records of submissions among the
   members of a group: coord/submission_register.h.  */
struct peer_record_put
{
  uint64_t id;
  uint64_t incarnation;          /* of the sender's group, at present */
  uint64_t accepted_incarnation; /* when the executor accepted the record */
  struct slice key;
  struct slice team;
  uint64_t digest_high;
  uint64_t digest_low;
  int64_t issued_wall_ms;
  int64_t deadline_wall_ms;
  struct slice executor;
  uint64_t executor_boot_id; /* boot_id of the executor */
  uint64_t start_watermark;  /* tasks below it may have started */
  uint64_t state;
  struct slice body;   /* the submission; empty once ended */
  struct slice answer; /* empty while open */
};

struct peer_record_advance
{
  uint64_t id;
  uint64_t incarnation;
  struct slice key;
  uint64_t start_watermark;
};

struct peer_record_done
{
  uint64_t id;
  uint64_t incarnation;
  struct slice key;
  uint64_t state;
  struct slice answer;
};

struct peer_record_synced
{
  uint64_t id;
  uint64_t incarnation;
  int64_t evicted_wall_ms; /* keys issued up to here may be evicted */
};

/* From the entry that executes a submission to one that has free capacity: run
   one of its tasks there.  */
struct peer_task_run
{
  uint64_t id;
  struct slice task;
  struct slice kind;
  struct slice payload;
  int64_t timeout_ms;
};

/* Stops a task of a PEER_TASK_RUN.  */
struct peer_task_stop
{
  struct slice task;
};

/* Raft between keepers: votes with pre-vote, log replication and
   snapshots.  */
struct peer_vote
{
  uint64_t term;
  uint64_t last_index;
  uint64_t last_term;
  uint64_t pre_vote;
};

struct peer_vote_reply
{
  uint64_t term;
  uint64_t granted;
  uint64_t pre_vote;
};

struct peer_append
{
  uint64_t term;
  uint64_t previous_index;
  uint64_t previous_term;
  uint64_t commit_index;
  uint64_t round; /* returned in the reply; proves leadership for reads */
  struct slice entries;
};

struct peer_append_reply
{
  uint64_t term;
  uint64_t accepted;
  uint64_t match_index; /* if not accepted: the index to try next */
  uint64_t round;
};

struct peer_snapshot
{
  uint64_t term;
  uint64_t last_index;
  uint64_t last_term;
  uint64_t round;
  struct slice data;
};

/* Between keepers of an open deployment: identity, role and voters.  */
struct peer_keeper_heartbeat
{
  uint64_t disk_id; /* regenerated with every empty data folder */
  uint64_t term;
  uint64_t is_leader;
  uint64_t is_reply; /* set in a reply, which gets none itself */
  struct slice domain;
  struct slice control_address; /* address and port of its control API */
  uint64_t voters_term;         /* term of the list of voters */
  struct slice voters;          /* JSON array of their addresses */
};

/* From an entry of an open deployment to a keeper.  */
struct peer_entry_heartbeat
{
  uint64_t boot_id;
  uint64_t assignment_term;
  uint64_t assignment_number;
  uint64_t config_version;
  uint64_t leaving;
  uint64_t unassigned; /* 1 until the first assignment since its start */
  struct slice domain;
  struct slice targets; /* JSON: the targets it owns, with fencing tokens */
};

/* From the keepers' leader to one entry: the targets assigned to it, and the
   dispatchers.  */
struct peer_assignment
{
  uint64_t term;
  uint64_t number;
  struct slice text;
};

/* From any keeper to an entry.  TEXT is a JSON array of the addresses of the
   keepers that the sender knows.  */
struct peer_keepers
{
  struct slice text;
};

/* From the keepers' leader to an entry: the service configuration.  */
struct peer_service_config
{
  uint64_t version;
  struct slice text;
};

/* From the entry that serves the caller to the one that dispatches the job.
 */
struct peer_job
{
  uint64_t id;      /* unique within the sending process */
  int64_t echo_ms;  /* the latest sent_ms of a PEER_CAPACITY; 0: none */
  int64_t lease_ms; /* from echo_ms on (coord/job_lease) */
  struct slice key;
  struct slice queue;
  struct slice service;
  uint64_t priority;
  uint64_t attempts;   /* failed runs of a task after which the job fails */
  int64_t age_ms;      /* since the caller's request was read */
  int64_t deadline_ms; /* time left until the caller stops waiting */

  /* The job is on time if it ends within the stretch times the expected run
     time of its critical path, plus the floor.  */
  int64_t floor_ms;
  uint64_t stretch_milli;

  uint64_t is_part; /* a range of the only step's tasks: struct job_part */
  uint64_t part_step;
  uint64_t part_first;
  uint64_t part_run;
  struct slice steps; /* packed by job_spec_pack_steps */
  struct slice payload;
};

struct peer_job_end
{
  uint64_t id;
  uint64_t result;   /* enum job_result */
  int64_t retry_ms;  /* if refused: time until the caller should retry */
  int64_t waited_ms; /* until the first start; -1 if nothing started */
  uint64_t reason;   /* enum refusal_reason */
};

struct peer_job_cancel
{
  uint64_t id;
};

/* From an entry to a dispatcher, periodically: renews the leases of the jobs
   that the entry has sent and still needs.  The dispatcher replies with
   PEER_CAPACITY, and stops the jobs whose leases are not renewed.  */
struct peer_keepalive
{
  int64_t echo_ms;     /* the latest sent_ms of a PEER_CAPACITY; 0: none */
  struct slice leases; /* from echo_ms on; packed by job_renewal_pack */
};

/* From a dispatcher to an entry: its free capacity for each service.  */
struct peer_capacity
{
  int64_t sent_ms;     /* the dispatcher's clock */
  struct slice packed; /* by dispatch_capacity_pack */
};

/* PEER_PING and PEER_PONG have no content.  */
struct peer_ping
{
  uint64_t unused;
};

struct peer_message
{
  enum peer_message_type type;
  uint64_t clock;
  union
  {
    struct peer_hello hello;
    struct peer_heartbeat heartbeat;
    struct peer_group_heartbeat group_heartbeat;
    struct peer_group_heartbeat_reply group_heartbeat_reply;
    struct peer_call call;
    struct peer_reply reply;
    struct peer_record_put record_put;
    struct peer_record_advance record_advance;
    struct peer_record_done record_done;
    struct peer_record_synced record_synced;
    struct peer_task_run task_run;
    struct peer_task_stop task_stop;
    struct peer_vote vote;
    struct peer_vote_reply vote_reply;
    struct peer_append append;
    struct peer_append_reply append_reply;
    struct peer_snapshot snapshot;
    struct peer_keeper_heartbeat keeper_heartbeat;
    struct peer_entry_heartbeat entry_heartbeat;
    struct peer_assignment assignment;
    struct peer_service_config service_config;
    struct peer_keepers keepers;
    struct peer_job job;
    struct peer_job_end job_end;
    struct peer_job_cancel job_cancel;
    struct peer_keepalive keepalive;
    struct peer_capacity capacity;
    struct peer_ping ping;
  } u;
};

/* Appends M to BUFFER.  */
void peer_message_pack (const struct peer_message *m, msgpack_sbuffer *buffer);

/* Decodes M from LENGTH bytes at DATA; slices of M point into DATA.  Returns
   false if DATA is not exactly one complete message of a known type, or if a
   text in it is not UTF-8.  */
bool peer_message_unpack (struct peer_message *m, const char *data,
                          size_t length);

/* Returns whether DATA is a sequence of msgpack integers and byte strings that
   ends within LENGTH.  Unless ARRAY_LIMIT is 0, an array header of at most
   ARRAY_LIMIT elements must come first.  To be called before unpacking, since
   msgpack allocates the size that a header declares before it reads the
   elements.  */
bool peer_message_is_flat (const char *data, size_t length,
                           uint32_t array_limit);

/* Returns whether messages of TYPE are control traffic, not task traffic.  */
bool peer_message_is_control (enum peer_message_type type);

#endif
