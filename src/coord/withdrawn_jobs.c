#include "coord/withdrawn_jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  /* A repeated cancellation is recorded again only if it extends the time by
     this much, so that ids are not sent around for differences of clocks.  */
  EXTENSION_MS = 1000
};

void
withdrawn_jobs_init (struct withdrawn_jobs *w, uint32_t limit)
{
  memset (w, 0, sizeof *w);
  w->limit = limit;
}

static void
remove_job (struct withdrawn_jobs *w, struct withdrawn_job *j)
{
  if (w->by_key != NULL)
    HASH_DEL (w->by_key, j);
  DL_DELETE (w->by_time, j);
  DL_DELETE2 (w->first, j, earlier, later);
  free (j);
}

void
withdrawn_jobs_done (struct withdrawn_jobs *w)
{
  while (w->by_time != NULL)
    remove_job (w, w->by_time);
}

static struct withdrawn_job *
find (const struct withdrawn_jobs *w, const char *key)
{
  struct withdrawn_job *j;

  HASH_FIND (hh, w->by_key, key, strlen (key), j);
  return j;
}

/* Inserts J by its time.  The search begins at the latest: ids are mostly
   learnt in the order of their times.  */
static void
insert_by_time (struct withdrawn_jobs *w, struct withdrawn_job *j)
{
  struct withdrawn_job *at = w->by_time == NULL ? NULL : w->by_time->prev;

  while (at != NULL && at->withdrawn_ms > j->withdrawn_ms)
    at = at == w->by_time ? NULL : at->prev;
  if (at == NULL)
    DL_PREPEND (w->by_time, j);
  else
    DL_APPEND_ELEM (w->by_time, at, j);
}

bool
withdrawn_jobs_add (struct withdrawn_jobs *w, int64_t now, const char *key,
                    int64_t withdrawn_ms, enum withdrawn_source source)
{
  struct withdrawn_job *j = find (w, key);

  if (now - withdrawn_ms >= WITHDRAWN_MS || strlen (key) >= sizeof j->key
      || (j != NULL && withdrawn_ms < j->withdrawn_ms + EXTENSION_MS))
    return false;
  if (j != NULL)
    remove_job (w, j);
  j = calloc (1, sizeof *j);
  snprintf (j->key, sizeof j->key, "%s", key);
  j->withdrawn_ms = withdrawn_ms;
  j->number = ++w->number;
  j->source = source;
  HASH_ADD_STR (w->by_key, key, j);
  insert_by_time (w, j);
  DL_APPEND2 (w->first, j, earlier, later);
  if (HASH_COUNT (w->by_key) > w->limit && w->by_time != NULL)
    {
      remove_job (w, w->by_time);
      w->evicted++;
    }
  return true;
}

bool
withdrawn_jobs_has (const struct withdrawn_jobs *w, int64_t now,
                    const char *key)
{
  const struct withdrawn_job *j = find (w, key);

  return j != NULL && now - j->withdrawn_ms < WITHDRAWN_MS;
}

uint32_t
withdrawn_jobs_expire (struct withdrawn_jobs *w, int64_t now)
{
  uint32_t count = 0;

  while (w->by_time != NULL && now - w->by_time->withdrawn_ms >= WITHDRAWN_MS)
    {
      remove_job (w, w->by_time);
      count++;
    }
  return count;
}

const struct withdrawn_job *
withdrawn_jobs_after (const struct withdrawn_jobs *w, uint64_t number)
{
  const struct withdrawn_job *j = w->first == NULL ? NULL : w->first->earlier;

  if (j == NULL || j->number <= number)
    return NULL;
  while (j != w->first && j->earlier->number > number)
    j = j->earlier;
  return j;
}

uint32_t
withdrawn_jobs_count (const struct withdrawn_jobs *w)
{
  return HASH_COUNT (w->by_key);
}
