/* A submission, that is, a job or a single request of a caller, with its
   tasks.  Reference counted: submission_hold adds a reference and
   submission_release drops one, and frees the submission with the last.  */
#ifndef COORD_SUBMISSION_H
#define COORD_SUBMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include <uthash.h>
#include "coord/outcome.h"
#include "coord/submission_key.h"

enum
{
  RECORD_ID_BYTES = KEY_BYTES + NAME_BYTES,
  TASKS_PER_JOB_LIMIT = 200
};

enum submission_state
{
  SUBMISSION_PREPARING, /* the record is being replicated */
  SUBMISSION_OPEN,
  SUBMISSION_ENDING, /* the answer is being replicated */
  SUBMISSION_ENDED
};

struct submission_task
{
  char kind[NAME_BYTES];
  char *payload;
  char *result;
  struct outcome outcome;
  char sent_to[NAME_BYTES + ADDRESS_BYTES + 8]; /* target id or VM name */
};

struct submission;

/* A callback for the end of the submission.  */
struct submission_waiter
{
  void (*done) (void *arg, struct submission *s);
  void *arg;
  struct submission_waiter *next;
};

struct submission_digest
{
  uint64_t high;
  uint64_t low;
};

struct submission
{
  uint32_t references;

  /* identity */
  char id[RECORD_ID_BYTES]; /* TEAM/KEY */
  char team[NAME_BYTES];
  struct submission_digest digest;
  int64_t issued_wall_ms;
  uint64_t accepted_incarnation;

  /* the member that executes it */
  char executor[NAME_BYTES];
  uint64_t executor_boot_id;

  /* state that the group's members share */
  enum submission_state state;
  uint32_t start_watermark; /* tasks below it may have started */
  char *body;               /* canonical text of the tasks, while open */
  char *answer;             /* once ended */
  uint32_t retained_bytes;  /* size of the record once ended */

  int64_t deadline_wall_ms;

  /* state of the executor alone */
  int64_t accepted_ms;
  int64_t deadline_ms;
  bool single; /* a single request rather than a job */
  bool idempotent;
  bool cancelled;
  bool advance_pending; /* a higher start_watermark is being replicated */
  bool queued;
  struct submission_task *tasks;
  uint32_t task_count;
  uint32_t next_task;
  uint16_t *returned; /* tasks to start again, since they have not run */
  uint32_t returned_count;
  uint32_t running;
  uint32_t finished;
  uint32_t failed;
  bool unregistered;  /* a request without a key, which has no record */
  bool marked_failed; /* will end as failed; starts no further task */
  const char *reason; /* why it failed, a stable code, or NULL */
  int status;         /* the HTTP status that goes with the answer */
  struct submission_waiter *waiters;

  struct submission *queue_next;
  struct submission *open_next; /* the executor's open submissions */
  struct submission *open_prev;
  UT_hash_handle hh;
};

/* A new submission with one reference, which the caller owns.  */
struct submission *submission_new (const char *team, const char *key);
struct submission *submission_hold (struct submission *s);
void submission_release (struct submission *s);

/* The canonical JSON text of VALUE, which does not depend on the order of
   members or on whitespace; the caller frees it.  */
char *submission_canonical_text (const json_t *value);
struct submission_digest submission_digest_of (const char *canonical_text);

/* Sets the tasks from VALUE, a validated submission, and the body to its
   canonical TEXT, which S owns from now on.  */
void submission_set_tasks (struct submission *s, const json_t *value,
                           char *text);

/* Sets the tasks from the body, as received from another member.  Returns
   false if it is not a submission.  */
bool submission_parse_body (struct submission *s);

/* The key part of the id.  */
const char *submission_key_text (const struct submission *s);

void submission_add_waiter (struct submission *s,
                            void (*done) (void *arg, struct submission *s),
                            void *arg);

/* Removes the waiter added with ARG, if there is one.  */
void submission_remove_waiter (struct submission *s, const void *arg);

/* Calls and removes all waiters.  */
void submission_notify (struct submission *s);

/* The number of tasks that are yet to start.  */
uint32_t submission_tasks_left (const struct submission *s);

/* Returns the index of the next task to start; there must be one.  */
uint32_t submission_take_task (struct submission *s);

/* Puts back a task that was started and has provably not run.  */
void submission_return_task (struct submission *s, uint32_t index);

/* Whether no task runs and none is to be started any more.  */
bool submission_is_finished (const struct submission *s);

/* Writes the answer from the tasks' outcomes: complete with all results, or
   failed with none.  REASON is NULL or a stable code for the failure.  */
void submission_write_answer (struct submission *s, const char *reason);

/* Writes the answer of a submission whose executor was lost: tasks below
   start_watermark are unknown, the others have not run.  */
void submission_write_lost_answer (struct submission *s);

/* Marks S as ended and frees its body.  */
void submission_end (struct submission *s);

/* Whether the answer has been written and its state is complete.  */
bool submission_is_complete (const struct submission *s);

#endif
