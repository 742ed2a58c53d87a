/* Replication of records to the members of a replica group.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/now.h"
#include "controller/replica_controller.h"
#include "tests/unit/suites.h"

enum
{
  PORT = 17740,
  SOURCE = 0,
  MEMBERS = 3,
  CONNECT_MS = 500,
  RETRY_MS = 25, /* from a refused sync to the next */
  SYNCS = 40,
  SYNCS_SPARE = 2,
  WAIT_MS = 8000,
  INCARNATION = 1,
  BOOT_ID = 1
};

struct member
{
  struct settings settings;
  struct peer_network *network;
  uint32_t syncs; /* received */
};

/* Refuses to be synced.  */
static void
on_message (void *arg, struct peer_conn *from, const struct peer_message *m)
{
  struct member *member = arg;
  struct peer_message reply = { .type = PEER_REPLY };

  if (m->type != PEER_RECORD_SYNCED)
    return;
  member->syncs++;
  reply.u.reply.id = m->u.record_synced.id;
  reply.u.reply.status = RECORD_BEHIND;
  reply.u.reply.body = slice_of ("");
  peer_conn_send (from, &reply);
}

static void
on_link (void *arg, const char *vm, bool up)
{
  (void)arg;
  (void)vm;
  (void)up;
}

static const struct peer_network_events events = { on_message, on_link, NULL };

static void
start_member (struct member *m, struct event_base *base, int host)
{
  struct error e;

  memset (m, 0, sizeof *m);
  snprintf (m->settings.vm, sizeof m->settings.vm, "127.%d.42.%d",
            1 + (int)(getpid () % 250), host);
  memcpy (m->settings.address, m->settings.vm, ADDRESS_BYTES);
  snprintf (m->settings.environment, sizeof m->settings.environment, "test");
  snprintf (m->settings.peer_secret, sizeof m->settings.peer_secret,
            "0123456789abcdef");
  m->settings.peer_port = PORT;
  m->settings.open_membership = true;
  m->settings.record_timeout_ms = 1000;
  m->network
      = peer_network_new (base, &m->settings, (uint64_t)host, &events, m, &e);
  CU_ASSERT_PTR_NOT_NULL_FATAL (m->network);
}

static void
run_for (struct event_base *base, int64_t ms)
{
  struct timeval t = now_timeval (ms);

  event_base_loopexit (base, &t);
  event_base_dispatch (base);
}

/* Two members refuse to be synced: each is tried again on its own.  */
static void
test_refused_syncs (void)
{
  struct event_base *base = event_base_new ();
  struct member *m = calloc (MEMBERS, sizeof *m);
  struct entry *n = calloc (1, sizeof *n);
  struct group *g = &n->submissions.group;
  int64_t start;

  for (int i = 0; i < MEMBERS; i++)
    {
      start_member (&m[i], base, i + 1);
      memcpy (g->members[i].vm, m[i].settings.vm, NAME_BYTES);
      g->members[i].boot_id = BOOT_ID;
      g->members[i].synced = i == SOURCE;
      if (i != SOURCE)
        peer_network_connect_address (m[SOURCE].network, m[i].settings.vm,
                                      PORT);
    }
  g->member_count = MEMBERS;
  g->incarnation = INCARNATION;
  n->base = base;
  n->settings = &m[SOURCE].settings;
  n->network = m[SOURCE].network;
  n->submissions.boot_id = BOOT_ID;
  memcpy (n->submissions.vm, m[SOURCE].settings.vm, NAME_BYTES);
  run_for (base, CONNECT_MS);
  start = now_ms ();
  replica_sync_others (n);
  while ((m[1].syncs < SYNCS || m[2].syncs < SYNCS)
         && now_ms () < start + WAIT_MS)
    run_for (base, RETRY_MS);
  for (int i = 1; i < MEMBERS; i++)
    {
      CU_ASSERT (m[i].syncs >= SYNCS);
      CU_ASSERT (m[i].syncs <= (now_ms () - start) / RETRY_MS + SYNCS_SPARE);
    }
  g->incarnation++;
  run_for (base, CONNECT_MS);
  for (int i = 0; i < MEMBERS; i++)
    peer_network_free (m[i].network);
  free (m);
  free (n);
  event_base_free (base);
}

void
suite_replica (void)
{
  CU_pSuite s = CU_add_suite ("replica", NULL, NULL);

  CU_add_test (s, "a failed sync starts one for every unsynced member",
               test_refused_syncs);
}
