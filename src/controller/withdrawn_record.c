#include "controller/withdrawn_record.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "base/counters.h"
#include "base/event_ring.h"
#include "base/json_text.h"

enum
{
  /* The most ids in one call: about 30 kB.  */
  IDS_MAXIMUM = 1000
};

const char withdrawn_from_keeper[] = "keeper";
const char withdrawn_from_entry[] = "entry";

static const char *
source_name (enum withdrawn_source source)
{
  switch (source)
    {
    case WITHDRAWN_HERE:
      return "here";
    case WITHDRAWN_ENTRY:
      return withdrawn_from_entry;
    case WITHDRAWN_KEEPER:
      break;
    }
  return withdrawn_from_keeper;
}

bool
withdrawn_record_add (struct withdrawn_jobs *w, int64_t now, const char *key,
                      int64_t withdrawn_ms, enum withdrawn_source source)
{
  uint64_t evicted = w->evicted;

  if (!withdrawn_jobs_add (w, now, key, withdrawn_ms, source))
    return false;
  counters_add (COUNTER_WITHDRAWN_ADDED, 1);
  event_ring_add (EVENT_WITHDRAWN_LEARNT, key,
                  "from=%s ms_ago=%" PRId64 " count=%u", source_name (source),
                  now - withdrawn_ms, withdrawn_jobs_count (w));
  if (w->evicted == evicted)
    return true;
  counters_add (COUNTER_WITHDRAWN_EVICTED, w->evicted - evicted);
  event_ring_add (EVENT_WITHDRAWN_EVICTED, key, "evicted=%" PRIu64 " limit=%u",
                  w->evicted, w->limit);
  return true;
}

void
withdrawn_record_expire (struct withdrawn_jobs *w, int64_t now)
{
  counters_add (COUNTER_WITHDRAWN_EXPIRED, withdrawn_jobs_expire (w, now));
}

void
withdrawn_feed_reset (struct withdrawn_feed *f)
{
  f->acked = 0;
  f->pending = false;
  f->generation++;
}

char *
withdrawn_record_next (const struct withdrawn_jobs *w, int64_t now,
                       struct withdrawn_feed *f, bool all)
{
  const struct withdrawn_job *j;
  json_t *list;
  uint32_t count = 0;

  if (f->pending || now < f->next_ms || f->acked == w->number)
    return NULL;
  list = json_array ();
  f->sent = f->acked;
  for (j = withdrawn_jobs_after (w, f->acked);
       j != NULL && count < IDS_MAXIMUM; j = j->later)
    {
      f->sent = j->number;
      if (j->source == WITHDRAWN_KEEPER && !all)
        continue;
      json_array_append_new (list, json_from_text (j->key));
      json_array_append_new (list, json_integer (now - j->withdrawn_ms));
      count++;
    }
  if (count == 0)
    {
      f->acked = w->number;
      json_decref (list);
      return NULL;
    }
  f->pending = true;
  return json_encode_new (list);
}

void
withdrawn_record_sent (struct withdrawn_feed *f, int64_t now, bool answered)
{
  if (!f->pending)
    return;
  f->pending = false;
  if (answered)
    f->acked = f->sent;
  else
    f->next_ms = now + WITHDRAWN_RETRY_MS;
}

void
withdrawn_record_receive (struct withdrawn_jobs *w, int64_t now,
                          const struct peer_call *c, withdrawn_learnt learnt,
                          void *arg)
{
  json_t *list = json_loadb (c->body.data, c->body.length, 0, NULL);
  enum withdrawn_source source = slice_equals (c->team, withdrawn_from_entry)
                                     ? WITHDRAWN_ENTRY
                                     : WITHDRAWN_KEEPER;

  for (size_t i = 0; i + 1 < json_array_size (list); i += 2)
    {
      const char *key = json_string_value (json_array_get (list, i));
      int64_t age = json_integer_value (json_array_get (list, i + 1));

      if (key != NULL && age >= 0 && age < WITHDRAWN_MS
          && withdrawn_record_add (w, now, key, now - age, source)
          && learnt != NULL)
        learnt (arg, now, key);
    }
  json_decref (list);
}

struct peer_message
withdrawn_record_message (const char *body, const char *from)
{
  struct peer_message m = { .type = PEER_CALL };

  m.u.call = (struct peer_call){ .method = METHOD_WITHDRAWN,
                                 .team = slice_of (from),
                                 .key = slice_of (""),
                                 .timeout_ms = WITHDRAWN_CALL_MS,
                                 .body = slice_of (body) };
  return m;
}
