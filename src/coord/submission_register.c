#include "coord/submission_register.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
submission_register_init (struct submission_register *r, const char *vm,
                          uint64_t boot_id, int64_t window_ms,
                          uint32_t capacity)
{
  memset (r, 0, sizeof *r);
  snprintf (r->vm, sizeof r->vm, "%s", vm);
  r->boot_id = boot_id;
  r->window_ms = window_ms;
  r->evicted_wall_ms = INT64_MIN;
  r->capacity = capacity;
}

void
submission_register_done (struct submission_register *r)
{
  struct submission *s;
  struct submission *next;

  HASH_ITER (hh, r->records, s, next)
  {
    HASH_DEL (r->records, s);
    submission_release (s);
  }
}

void
submission_register_reset (struct submission_register *r, uint64_t boot_id)
{
  struct submission_register empty;

  submission_register_init (&empty, r->vm, boot_id, r->window_ms, r->capacity);
  empty.bytes_limit = r->bytes_limit;
  submission_register_done (r);
  *r = empty;
}

struct submission *
submission_register_find (const struct submission_register *r, const char *id)
{
  struct submission *s;

  HASH_FIND_STR (r->records, id, s);
  return s;
}

static void
make_executor (const struct submission_register *r, struct submission *s)
{
  snprintf (s->executor, sizeof s->executor, "%s", r->vm);
  s->executor_boot_id = r->boot_id;
  s->accepted_incarnation = r->group.incarnation;
}

static bool
is_executor (const struct submission_register *r, const struct submission *s)
{
  return s->executor_boot_id == r->boot_id && strcmp (s->executor, r->vm) == 0;
}

static enum submit_verdict
check_record (const struct submission_register *r, const struct submission *s,
              struct submission_digest digest)
{
  if (s->digest.high != digest.high || s->digest.low != digest.low)
    return SUBMIT_CONFLICT;
  if (s->state == SUBMISSION_ENDED || is_executor (r, s))
    return SUBMIT_KNOWN;
  return SUBMIT_ELSEWHERE;
}

/* Decides on a key that has no record.  It is a new submission only if this
   group cannot have had a record of it and removed or lost it.  */
static enum submit_verdict
check_new_key (const struct submission_register *r, int64_t wall_ms,
               const struct submission_key *k)
{
  const struct group *g = &r->group;

  if (k->issued_wall_ms > wall_ms + MAX_CLOCK_SKEW_MS)
    return SUBMIT_FUTURE;
  if (k->incarnation > g->incarnation)
    return SUBMIT_FUTURE;
  if (k->issued_wall_ms + r->window_ms < wall_ms
      || k->issued_wall_ms <= r->evicted_wall_ms)
    return SUBMIT_EXPIRED;
  if (!k->bare && k->incarnation < g->complete_since)
    return SUBMIT_RECORDS_LOST;
  if (k->bare && g->complete_since > 1
      && k->issued_wall_ms < g->complete_since_wall_ms + MAX_CLOCK_SKEW_MS)
    return SUBMIT_RECORDS_LOST;
  if (HASH_COUNT (r->records) >= r->capacity)
    return SUBMIT_FULL;
  return SUBMIT_NEW;
}

enum submit_verdict
submission_register_submit (struct submission_register *r, int64_t now_wall_ms,
                            const struct submission_key *k, const char *team,
                            struct submission_digest digest,
                            struct submission **found)
{
  char id[RECORD_ID_BYTES] = "";
  enum submit_verdict v;
  struct submission *s;

  *found = NULL;
  if (!group_has_member (&r->group, r->vm, r->boot_id))
    return SUBMIT_NOT_MEMBER;
  if (!r->synced)
    return SUBMIT_NOT_SYNCED;
  snprintf (id, sizeof id, "%s/%s", team, k->text);
  s = submission_register_find (r, id);
  if (s != NULL)
    {
      *found = s;
      return check_record (r, s, digest);
    }
  v = check_new_key (r, now_wall_ms, k);
  if (v != SUBMIT_NEW)
    return v;
  s = submission_new (team, k->text);
  s->digest = digest;
  s->issued_wall_ms = k->issued_wall_ms;
  s->state = SUBMISSION_PREPARING;
  make_executor (r, s);
  HASH_ADD_STR (r->records, id, s);
  *found = s;
  return SUBMIT_NEW;
}

void
submission_register_drop (struct submission_register *r, struct submission *s)
{
  HASH_DEL (r->records, s);
  submission_release (s);
}

/* Returns RECORD_OK if a message of INCARNATION may be applied.  */
static enum record_status
check_incarnation (const struct submission_register *r, uint64_t incarnation)
{
  if (incarnation < r->group.incarnation)
    return RECORD_STALE;
  if (incarnation > r->group.incarnation)
    return RECORD_BEHIND;
  return RECORD_OK;
}

static void
set_text (char **to, struct slice from)
{
  free (*to);
  *to = NULL;
  if (from.length == 0)
    return;
  *to = malloc (from.length + 1);
  memcpy (*to, from.data, from.length);
  (*to)[from.length] = '\0';
}

static void
end_record (struct submission *s, struct slice answer)
{
  set_text (&s->answer, answer);
  submission_end (s);
}

/* Whether the version of S in message M, which was accepted at incarnation
   MESSAGE_ACCEPTED, replaces ours: it is of the same executor and ours has not
   ended, or of another one that accepted it no earlier.  */
static bool
put_replaces (const struct submission *s, const struct peer_record_put *m,
              uint64_t message_accepted)
{
  bool same = s->executor_boot_id == m->executor_boot_id
              && slice_equals (m->executor, s->executor);

  if (same)
    return s->state != SUBMISSION_ENDED;
  return message_accepted >= s->accepted_incarnation;
}

static struct submission *
add_record (struct submission_register *r, const struct peer_record_put *m)
{
  char team[NAME_BYTES];
  char key[KEY_BYTES];
  struct submission *s;

  if (!slice_copy (m->team, team, sizeof team)
      || !slice_copy (m->key, key, sizeof key))
    return NULL;
  s = submission_new (team, key);
  s->digest = (struct submission_digest){ m->digest_high, m->digest_low };
  s->issued_wall_ms = m->issued_wall_ms;
  HASH_ADD_STR (r->records, id, s);
  return s;
}

enum record_status
submission_register_put (struct submission_register *r,
                         const struct peer_record_put *m)
{
  enum record_status status = check_incarnation (r, m->incarnation);
  char id[RECORD_ID_BYTES] = "";
  struct submission *s;

  if (status != RECORD_OK)
    return status;
  snprintf (id, sizeof id, "%.*s/%.*s", (int)m->team.length, m->team.data,
            (int)m->key.length, m->key.data);
  s = submission_register_find (r, id);
  if (s == NULL)
    s = add_record (r, m);
  else if (!put_replaces (s, m, m->accepted_incarnation))
    return RECORD_OK;
  if (s == NULL)
    return RECORD_MISSING;
  if (s->executor_boot_id != m->executor_boot_id
      || m->start_watermark > s->start_watermark)
    s->start_watermark = (uint32_t)m->start_watermark;
  s->digest = (struct submission_digest){ m->digest_high, m->digest_low };
  slice_copy (m->executor, s->executor, sizeof s->executor);
  s->executor_boot_id = m->executor_boot_id;
  s->accepted_incarnation = m->accepted_incarnation;
  if (m->state == SUBMISSION_ENDED)
    {
      end_record (s, m->answer);
      return RECORD_OK;
    }
  s->state = SUBMISSION_OPEN;
  set_text (&s->body, m->body);
  s->deadline_wall_ms = m->deadline_wall_ms;
  return RECORD_OK;
}

/* The record with this ID, for a message of INCARNATION, or NULL if the
   message may not be applied or there is no such record.  Sets *STATUS to the
   reply.  */
static struct submission *
find_for_message (const struct submission_register *r, uint64_t incarnation,
                  struct slice id, enum record_status *status)
{
  char text[RECORD_ID_BYTES] = "";
  struct submission *s;

  *status = check_incarnation (r, incarnation);
  if (*status != RECORD_OK)
    return NULL;
  slice_copy (id, text, sizeof text);
  s = submission_register_find (r, text);
  if (s == NULL)
    *status = RECORD_MISSING;
  return s;
}

enum record_status
submission_register_advance (struct submission_register *r,
                             const struct peer_record_advance *m)
{
  enum record_status status;
  struct submission *s = find_for_message (r, m->incarnation, m->key, &status);

  if (s != NULL && m->start_watermark > s->start_watermark)
    s->start_watermark = (uint32_t)m->start_watermark;
  return status;
}

enum record_status
submission_register_end (struct submission_register *r,
                         const struct peer_record_done *m)
{
  enum record_status status;
  struct submission *s = find_for_message (r, m->incarnation, m->key, &status);

  if (m->state != SUBMISSION_PREPARING)
    {
      if (s != NULL)
        end_record (s, m->answer);
      return status;
    }
  if (s != NULL && s->state != SUBMISSION_ENDED)
    submission_register_drop (r, s);
  return status == RECORD_MISSING ? RECORD_OK : status;
}

bool
submission_register_set_group (struct submission_register *r,
                               const struct group *g)
{
  const struct group_member *own;

  if (g->incarnation < r->group.incarnation)
    return false;
  own = group_member_find (g, r->vm);
  if (own != NULL && own->boot_id == r->boot_id && own->synced)
    r->synced = true;
  if (g->incarnation == r->group.incarnation)
    {
      r->group = *g;
      return false;
    }
  r->group = *g;
  return true;
}

void
submission_register_take_over (struct submission_register *r,
                               void (*each) (void *arg, struct submission *s),
                               void *arg)
{
  struct submission *s;
  struct submission *next;

  if (!r->synced || !group_has_member (&r->group, r->vm, r->boot_id))
    return;
  HASH_ITER (hh, r->records, s, next)
  {
    const struct group_member *owner = group_owner (&r->group, s->id);

    if (s->state == SUBMISSION_ENDED || is_executor (r, s))
      continue;
    if (group_has_member (&r->group, s->executor, s->executor_boot_id))
      continue;
    if (owner == NULL || strcmp (owner->vm, r->vm) != 0)
      continue;
    make_executor (r, s);
    each (arg, s);
  }
}

bool
submission_register_is_sync_source (const struct submission_register *r)
{
  for (uint32_t i = 0; i < r->group.member_count; i++)
    if (r->group.members[i].synced)
      return strcmp (r->group.members[i].vm, r->vm) == 0
             && r->group.members[i].boot_id == r->boot_id;
  return false;
}

static bool
is_expired (const struct submission_register *r, const struct submission *s,
            int64_t now_wall_ms)
{
  int64_t retention_ms = r->window_ms + MAX_CLOCK_SKEW_MS;

  if (s->state != SUBMISSION_ENDED)
    retention_ms += ORPHAN_RECORD_MS;
  return s->issued_wall_ms + retention_ms <= now_wall_ms
         && (s->state == SUBMISSION_ENDED || !is_executor (r, s));
}

/* The data of an ended record that find_cutoff needs.  */
struct ended_record
{
  int64_t issued_wall_ms;
  uint32_t bytes;
};

static int
compare_issued (const void *a, const void *b)
{
  int64_t x = ((const struct ended_record *)a)->issued_wall_ms;
  int64_t y = ((const struct ended_record *)b)->issued_wall_ms;

  return x < y ? -1 : x > y;
}

/* The issue time up to which ended records have to be evicted, so that the
   others take at most MAX_BYTES of the present BYTES.  */
static int64_t
find_cutoff (const struct submission_register *r, uint64_t bytes,
             uint64_t max_bytes)
{
  struct ended_record *ended
      = calloc (HASH_COUNT (r->records) + 1, sizeof *ended);
  int64_t cutoff = r->evicted_wall_ms;
  uint32_t count = 0;

  for (const struct submission *s = r->records; s != NULL; s = s->hh.next)
    if (s->state == SUBMISSION_ENDED)
      ended[count++]
          = (struct ended_record){ s->issued_wall_ms, s->retained_bytes };
  qsort (ended, count, sizeof *ended, compare_issued);
  for (uint32_t i = 0; i < count && bytes > max_bytes; i++)
    {
      bytes -= ended[i].bytes;
      cutoff = ended[i].issued_wall_ms;
    }
  free (ended);
  return cutoff;
}

/* If ended records exceed bytes_limit, evicts the oldest until the others take
   at most nine tenths of it.  From then on, a key without a record that is as
   old as the evicted ones may be one of them.  */
static uint32_t
evict_oldest (struct submission_register *r, uint64_t bytes)
{
  uint32_t evicted = 0;
  struct submission *s;
  struct submission *next;

  if (r->bytes_limit == 0 || bytes <= r->bytes_limit)
    return 0;
  r->evicted_wall_ms = find_cutoff (r, bytes, r->bytes_limit / 10 * 9);
  HASH_ITER (hh, r->records, s, next)
  {
    if (s->state != SUBMISSION_ENDED || s->issued_wall_ms > r->evicted_wall_ms)
      continue;
    submission_register_drop (r, s);
    evicted++;
  }
  return evicted;
}

uint32_t
submission_register_expire (struct submission_register *r, int64_t now_wall_ms)
{
  uint32_t expired = 0;
  uint64_t bytes = 0;
  struct submission *s;
  struct submission *next;

  HASH_ITER (hh, r->records, s, next)
  {
    if (is_expired (r, s, now_wall_ms))
      {
        submission_register_drop (r, s);
        expired++;
      }
    else if (s->state == SUBMISSION_ENDED)
      bytes += s->retained_bytes;
  }
  return expired + evict_oldest (r, bytes);
}

void
submission_register_fill_put (const struct submission_register *r,
                              const struct submission *s,
                              struct peer_message *m)
{
  struct peer_record_put *p = &m->u.record_put;

  memset (m, 0, sizeof *m);
  m->type = PEER_RECORD_PUT;
  p->incarnation = r->group.incarnation;
  p->accepted_incarnation = s->accepted_incarnation;
  p->key = slice_of (submission_key_text (s));
  p->team = slice_of (s->team);
  p->digest_high = s->digest.high;
  p->digest_low = s->digest.low;
  p->issued_wall_ms = s->issued_wall_ms;
  p->deadline_wall_ms = s->deadline_wall_ms;
  p->executor = slice_of (s->executor);
  p->executor_boot_id = s->executor_boot_id;
  p->start_watermark = s->start_watermark;
  p->state = s->state == SUBMISSION_ENDED ? SUBMISSION_ENDED : SUBMISSION_OPEN;
  p->body = slice_of (s->body == NULL ? "" : s->body);
  p->answer = slice_of (
      s->state == SUBMISSION_ENDED && s->answer != NULL ? s->answer : "");
}
