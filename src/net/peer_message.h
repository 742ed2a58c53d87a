/* The typed messages between processes and their msgpack form: an array of
   the type number, the sender's hybrid clock and the fields in the order of
   the tables in peer_message.c.  */
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
  PEER_BEAT,
  PEER_BEAT_REPLY,
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
  PEER_KEEPER_BEAT,
  PEER_ENTRY_BEAT,
  PEER_ENTRY_VIEW,
  PEER_DOCUMENT,
  PEER_KEEPERS,
  PEER_JOB,
  PEER_JOB_END,
  PEER_JOB_CANCEL,
  PEER_KEEP,
  PEER_ROOM,
  PEER_PING, /* asks for a sign of life; the connection itself answers */
  PEER_PONG,
  PEER_MESSAGE_TYPES
};

/* What a PEER_CALL asks for.  */
enum peer_method
{
  METHOD_SUBMIT = 1,   /* body: job; key, team */
  METHOD_REQUEST,      /* body: single request; key, team */
  METHOD_ANNOUNCE,     /* body: announcement of a target */
  METHOD_LEAVE,        /* key: target */
  METHOD_CANCEL,       /* key, team */
  METHOD_LOOKUP,       /* key, team: answer of a job, without waiting */
  METHOD_PROPOSE,      /* body: a control command for the keepers' leader */
  METHOD_CONFIG_FETCH, /* the document in force */
  METHOD_TARGETS       /* body: what targets said to another keeper */
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
  uint64_t room; /* the tasks that it would take now */
  uint64_t total_slots;
  uint64_t queued_tasks;
  uint64_t draining;
};

/* From an entry to a keeper.  */
struct peer_beat
{
  uint64_t boot_id;
  uint64_t state_version;
  uint64_t config_number;
  uint64_t synced_incarnation;
  uint64_t leaving;
};

struct peer_beat_reply
{
  uint64_t is_leader;
  uint64_t term;
  struct slice leader;
  uint64_t state_version;
  struct slice state; /* empty where the entry has this version */
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
  uint64_t status; /* an HTTP status, or a record_status for records */
  uint64_t room;   /* to PEER_TASK_RUN: the tasks that it would take now */
  struct slice body;
};

struct peer_record_put
{
  uint64_t id;
  uint64_t incarnation;          /* the sender's present one */
  uint64_t accepted_incarnation; /* when its executor took the record */
  struct slice key;
  struct slice team;
  uint64_t digest_high;
  uint64_t digest_low;
  int64_t issued_wall_ms;
  int64_t deadline_wall_ms;
  struct slice executor;
  uint64_t executor_boot;
  uint64_t may_start;
  uint64_t state;
  struct slice body;   /* the submission, or empty when ended */
  struct slice answer; /* empty while open */
};

struct peer_record_advance
{
  uint64_t id;
  uint64_t incarnation;
  struct slice key;
  uint64_t may_start;
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
  int64_t forgotten_wall_ms; /* up to when the sender has forgotten records */
};

struct peer_task_run
{
  uint64_t id;
  struct slice task;
  struct slice kind;
  struct slice payload;
  int64_t timeout_ms;
};

struct peer_task_stop
{
  struct slice task;
};

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
  uint64_t round;
  struct slice entries;
};

struct peer_append_reply
{
  uint64_t term;
  uint64_t accepted;
  uint64_t match_index; /* or where to try next, when not accepted */
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

/* Between keepers of an open deployment: who I am and whom I follow.  */
struct peer_keeper_beat
{
  uint64_t disk_id; /* new with every empty data folder */
  uint64_t term;
  uint64_t is_leader;
  uint64_t is_reply; /* answers a beat, and is not to be answered */
  struct slice domain;
  struct slice control; /* address of its operators' and targets' port */
  uint64_t voters_term; /* of the list of voters */
  struct slice voters;  /* their addresses, a JSON array */
};

/* From an entry of an open deployment to a keeper.  */
struct peer_entry_beat
{
  uint64_t boot_id;
  uint64_t view_term;
  uint64_t view_number;
  uint64_t document_version;
  uint64_t leaving;
  uint64_t fresh; /* had no view since its start */
  struct slice domain;
  struct slice targets; /* JSON: what it owns, with fences */
};

/* From the leading keeper to one entry: its targets, and who dispatches.  */
struct peer_entry_view
{
  uint64_t term;
  uint64_t number;
  struct slice text;
};

/* From any keeper to an entry: the addresses of the keepers that it knows, as
   a JSON list.  */
struct peer_keepers
{
  struct slice text;
};

struct peer_document
{
  uint64_t version;
  struct slice text;
};

/* From the entry that holds a caller to the one that dispatches its job.  */
struct peer_job
{
  uint64_t id;     /* unique for the sending process */
  int64_t sent_ms; /* the sender's clock */
  struct slice key;
  struct slice queue;
  struct slice service;
  uint64_t priority;
  uint64_t attempts;
  int64_t age_ms;      /* since the caller's request was read */
  int64_t deadline_ms; /* left until the caller stops waiting */
  int64_t floor_ms;    /* added to the stretched work for the objective */
  uint64_t stretch_milli;
  uint64_t is_part; /* some tasks of the only step: struct job_part */
  uint64_t part_step;
  uint64_t part_first;
  uint64_t part_run;
  struct slice steps; /* job_spec_pack_steps */
  struct slice payload;
};

struct peer_job_end
{
  uint64_t id;
  uint64_t result; /* enum job_result */
  int64_t retry_ms;
  int64_t waited_ms; /* until the first start; -1 without one */
  uint64_t reason;   /* enum refusal_reason */
};

struct peer_job_cancel
{
  uint64_t id;
};

/* From an entry to a dispatcher: I am alive, and these jobs are wanted.  */
struct peer_keep
{
  int64_t sent_ms;
};

struct peer_room
{
  int64_t echo_ms;   /* sent_ms of the question */
  struct slice text; /* packed: service, free, total, backlog */
};

/* PEER_PING and PEER_PONG carry nothing.  */
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
    struct peer_beat beat;
    struct peer_beat_reply beat_reply;
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
    struct peer_keeper_beat keeper_beat;
    struct peer_entry_beat entry_beat;
    struct peer_entry_view entry_view;
    struct peer_document document;
    struct peer_keepers keepers;
    struct peer_job job;
    struct peer_job_end job_end;
    struct peer_job_cancel job_cancel;
    struct peer_keep keep;
    struct peer_room room;
    struct peer_ping ping;
  } u;
};

/* Appends M to BUFFER.  */
void peer_message_pack (const struct peer_message *m, msgpack_sbuffer *buffer);

/* Reads M from LENGTH bytes at DATA; slices of M point into DATA.  Returns
   false for anything that is not a whole message of a known type.  */
bool peer_message_unpack (struct peer_message *m, const char *data,
                          size_t length);

/* Whether DATA is a run of msgpack integers and byte strings that lie whole
   within LENGTH, after an array head of at most ARRAY_LIMIT elements where
   ARRAY_LIMIT is not 0.  Checked before unpacking, since msgpack allocates
   what a head promises before it reads the elements.  */
bool peer_message_is_flat (const char *data, size_t length,
                           uint32_t array_limit);

/* Whether messages of TYPE belong to control rather than to tasks.  */
bool peer_message_is_control (enum peer_message_type type);

#endif
