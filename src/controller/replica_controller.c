#include "controller/replica_controller.h"

#include <stdlib.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/now.h"

enum
{
  RETRY_MS = 25,
  SYNC_WINDOW = 32
};

/* One change of one record, sent to all other members.  */
struct round
{
  struct entry *entry;
  struct submission *submission;
  enum peer_message_type type;
  uint32_t start_watermark;
  int64_t until_ms;
  uint64_t end_state; /* of PEER_RECORD_DONE */
  uint32_t pending;
  bool refused;
  bool reply_lost;
  replica_callback done;
};

/* The part of a round that concerns one member.  */
struct round_member
{
  struct round *round;
  char vm[NAME_BYTES];
  uint64_t boot_id;
};

static void member_send (struct round_member *rm);

static void
round_check (struct round *r)
{
  enum replica_outcome outcome = REPLICA_ACKED;

  if (r->pending != 0)
    return;
  if (r->refused)
    outcome = r->reply_lost ? REPLICA_UNKNOWN : REPLICA_REFUSED;
  r->done (r->entry, r->submission, outcome);
  submission_release (r->submission);
  free (r);
}

static void
member_finish (struct round_member *rm, bool acked)
{
  struct round *r = rm->round;

  r->refused = r->refused || !acked;
  r->pending--;
  free (rm);
  round_check (r);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  member_send (arg);
}

/* Retries after RETRY_MS, unless this VM has left the group, the member has
   left it (which counts as acknowledged: it need not store the record any
   more) or UNTIL_MS has passed.  */
static void
member_retry (struct round_member *rm)
{
  struct entry *n = rm->round->entry;
  const struct group *g = &n->submissions.group;
  struct timeval t = now_timeval (RETRY_MS);

  if (!group_has_member (g, n->settings->vm, n->boot_id))
    member_finish (rm, false);
  else if (!group_has_member (g, rm->vm, rm->boot_id))
    member_finish (rm, true);
  else if (now_ms () >= rm->round->until_ms)
    member_finish (rm, false);
  else
    event_base_once (n->base, -1, EV_TIMEOUT, on_retry, rm, &t);
}

static void
on_member_reply (void *arg, enum call_outcome outcome,
                 const struct peer_reply *reply)
{
  struct round_member *rm = arg;

  if (outcome == CALL_REPLIED && reply->status == RECORD_OK)
    {
      member_finish (rm, true);
      return;
    }
  if (outcome == CALL_NO_REPLY)
    rm->round->reply_lost = true;
  if (outcome == CALL_REPLIED)
    {
      counters_add (COUNTER_RECORD_REFUSALS, 1);
      if (reply->status == RECORD_MISSING)
        rm->round->type = PEER_RECORD_PUT;
    }
  member_retry (rm);
}

static void
fill_message (const struct round *r, struct peer_message *m)
{
  const struct submission_register *reg = &r->entry->submissions;
  const struct submission *s = r->submission;

  memset (m, 0, sizeof *m);
  m->type = r->type;
  switch (r->type)
    {
    case PEER_RECORD_ADVANCE:
      m->u.record_advance = (struct peer_record_advance){
        0, reg->group.incarnation, slice_of (s->id), r->start_watermark
      };
      break;
    case PEER_RECORD_DONE:
      m->u.record_done = (struct peer_record_done){
        0, reg->group.incarnation, slice_of (s->id), r->end_state,
        slice_of (s->answer == NULL ? "" : s->answer)
      };
      break;
    default:
      submission_register_fill_put (reg, s, m);
      if (r->start_watermark > s->start_watermark)
        m->u.record_put.start_watermark = r->start_watermark;
      if (s->state == SUBMISSION_ENDING)
        {
          m->u.record_put.state = SUBMISSION_ENDED;
          m->u.record_put.answer = slice_of (s->answer);
        }
      break;
    }
}

static void
member_send (struct round_member *rm)
{
  struct entry *n = rm->round->entry;
  struct peer_message m;

  if (!group_has_member (&n->submissions.group, rm->vm, rm->boot_id))
    {
      member_retry (rm);
      return;
    }
  fill_message (rm->round, &m);
  counters_add (COUNTER_RECORD_MESSAGES, 1);
  peer_network_call (n->network, rm->vm, &m, n->settings->record_timeout_ms,
                     on_member_reply, rm);
}

static struct round *
round_new (struct entry *n, struct submission *s, enum peer_message_type type,
           int64_t until_ms, replica_callback done)
{
  struct round *r = calloc (1, sizeof *r);

  r->entry = n;
  r->submission = submission_hold (s);
  r->type = type;
  r->start_watermark = s->start_watermark;
  r->end_state = SUBMISSION_ENDED;
  r->until_ms = until_ms;
  r->done = done;
  return r;
}

static void
round_start (struct round *r)
{
  struct entry *n = r->entry;
  const struct group *g = &n->submissions.group;

  r->pending = 1;
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      struct round_member *rm;

      if (strcmp (g->members[i].vm, n->settings->vm) == 0)
        continue;
      rm = calloc (1, sizeof *rm);
      rm->round = r;
      memcpy (rm->vm, g->members[i].vm, sizeof rm->vm);
      rm->boot_id = g->members[i].boot_id;
      r->pending++;
      member_send (rm);
    }
  r->pending--;
  round_check (r);
}

void
replica_put (struct entry *n, struct submission *s, int64_t until_ms,
             replica_callback done)
{
  round_start (round_new (n, s, PEER_RECORD_PUT, until_ms, done));
}

void
replica_advance (struct entry *n, struct submission *s,
                 uint32_t start_watermark, int64_t until_ms,
                 replica_callback done)
{
  struct round *r = round_new (n, s, PEER_RECORD_ADVANCE, until_ms, done);

  r->start_watermark = start_watermark;
  round_start (r);
}

void
replica_end (struct entry *n, struct submission *s, int64_t until_ms,
             replica_callback done)
{
  round_start (round_new (n, s, PEER_RECORD_DONE, until_ms, done));
}

void
replica_drop (struct entry *n, struct submission *s, int64_t until_ms,
              replica_callback done)
{
  struct round *r = round_new (n, s, PEER_RECORD_DONE, until_ms, done);

  r->end_state = SUBMISSION_PREPARING;
  round_start (r);
}

/* Sends all records to one new member, at most SYNC_WINDOW at a time, then
   PEER_RECORD_SYNCED.  Abandoned when the group's incarnation changes; the new
   incarnation starts its own run.  */
struct sync_run
{
  struct entry *entry;
  char vm[NAME_BYTES];
  uint64_t incarnation;
  struct submission **records;
  uint32_t count;
  uint32_t next;
  uint32_t outstanding;
  bool failed;
};

static void sync_continue (struct sync_run *r);
static void sync_start (struct entry *n, const char *vm);

static void
sync_finish (struct sync_run *r)
{
  for (uint32_t i = 0; i < r->count; i++)
    submission_release (r->records[i]);
  free (r->records);
  free (r);
}

static void
on_sync_reply (void *arg, enum call_outcome outcome,
               const struct peer_reply *reply)
{
  struct sync_run *r = arg;

  r->outstanding--;
  if (outcome != CALL_REPLIED || reply->status != RECORD_OK)
    r->failed = true;
  sync_continue (r);
}

/* Whether the member of R still needs it.  */
static bool
is_needed (const struct sync_run *r)
{
  const struct submission_register *s = &r->entry->submissions;
  const struct group_member *m = group_member_find (&s->group, r->vm);

  return s->group.incarnation == r->incarnation && m != NULL && !m->synced
         && submission_register_is_sync_source (s);
}

static void
on_sync_again (evutil_socket_t fd, short what, void *arg)
{
  struct sync_run *r = arg;

  (void)fd;
  (void)what;
  if (is_needed (r))
    sync_start (r->entry, r->vm);
  sync_finish (r);
}

static void
sync_send_end (struct sync_run *r)
{
  struct peer_message m = { .type = PEER_RECORD_SYNCED };

  m.u.record_synced.incarnation = r->incarnation;
  m.u.record_synced.evicted_wall_ms = r->entry->submissions.evicted_wall_ms;
  r->next++;
  r->outstanding++;
  peer_network_call (r->entry->network, r->vm, &m,
                     r->entry->settings->record_timeout_ms * 4, on_sync_reply,
                     r);
}

static void
sync_continue (struct sync_run *r)
{
  struct timeval t = now_timeval (RETRY_MS);

  while (!r->failed && r->next < r->count && r->outstanding < SYNC_WINDOW)
    {
      struct peer_message m;

      submission_register_fill_put (&r->entry->submissions,
                                    r->records[r->next++], &m);
      r->outstanding++;
      peer_network_call (r->entry->network, r->vm, &m,
                         r->entry->settings->record_timeout_ms * 4,
                         on_sync_reply, r);
    }
  if (r->outstanding != 0)
    return;
  if (r->failed)
    event_base_once (r->entry->base, -1, EV_TIMEOUT, on_sync_again, r, &t);
  else if (r->next == r->count)
    sync_send_end (r);
  else
    sync_finish (r);
}

static void
sync_start (struct entry *n, const char *vm)
{
  struct sync_run *r = calloc (1, sizeof *r);
  struct submission *s;

  r->entry = n;
  memcpy (r->vm, vm, sizeof r->vm);
  r->incarnation = n->submissions.group.incarnation;
  r->records
      = calloc (HASH_COUNT (n->submissions.records) + 1, sizeof *r->records);
  for (s = n->submissions.records; s != NULL; s = s->hh.next)
    r->records[r->count++] = submission_hold (s);
  sync_continue (r);
}

void
replica_sync_others (struct entry *n)
{
  const struct group *g = &n->submissions.group;

  if (!submission_register_is_sync_source (&n->submissions))
    return;
  for (uint32_t i = 0; i < g->member_count; i++)
    if (!g->members[i].synced)
      sync_start (n, g->members[i].vm);
}

static enum record_status
handle_synced (struct entry *n, const struct peer_record_synced *m)
{
  if (m->incarnation != n->submissions.group.incarnation)
    return m->incarnation < n->submissions.group.incarnation ? RECORD_STALE
                                                             : RECORD_BEHIND;
  if (!n->submissions.synced)
    event_ring_add (EVENT_GROUP_SYNCED, n->settings->vm, "%u records",
                    HASH_COUNT (n->submissions.records));
  n->submissions.synced = true;
  if (m->evicted_wall_ms > n->submissions.evicted_wall_ms)
    n->submissions.evicted_wall_ms = m->evicted_wall_ms;
  n->last_heartbeat_ms = 0;
  return RECORD_OK;
}

void
replica_receive (struct entry *n, struct peer_conn *from,
                 const struct peer_message *m)
{
  struct peer_message reply = { .type = PEER_REPLY };
  enum record_status status;

  switch (m->type)
    {
    case PEER_RECORD_PUT:
      status = submission_register_put (&n->submissions, &m->u.record_put);
      break;
    case PEER_RECORD_ADVANCE:
      status = submission_register_advance (&n->submissions,
                                            &m->u.record_advance);
      break;
    case PEER_RECORD_DONE:
      status = submission_register_end (&n->submissions, &m->u.record_done);
      break;
    default:
      status = handle_synced (n, &m->u.record_synced);
      break;
    }
  memcpy (&reply.u.reply.id, &m->u, sizeof reply.u.reply.id);
  reply.u.reply.status = status;
  reply.u.reply.body = slice_of ("");
  peer_conn_send (from, &reply);
}
