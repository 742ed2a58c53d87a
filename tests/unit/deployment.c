#include "tests/unit/deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/now.h"
#include "platform/service_config_json.h"
#include "tests/unit/fake_clock.h"
#include "tests/unit/fake_port.h"
#include "tests/unit/suites.h"

enum
{
  SEED_PORT = 1, /* not used: seeds are reached at PEER_PORT */
  PEER_PORT = 17720,
  CONTROL_PORT = 17721,
  STEP_MS = 20,
  PASSES_PER_MS = 4, /* for messages and their replies */
  HEARTBEAT_MS = 300
};

/* The second octet of this process's loopback addresses: test programs that
   run at the same time must not reach each other.  */
static int
process_net (void)
{
  return 1 + (int)(getpid () % 250);
}

static void
fill_settings (struct node_settings *s, const char *name, int net, int host,
               enum process_role role)
{
  memset (s, 0, sizeof *s);
  snprintf (s->name, sizeof s->name, "%s-%d", name, host);
  snprintf (s->peer.vm, sizeof s->peer.vm, "127.%d.%d.%d", process_net (), net,
            host);
  snprintf (s->peer.address, sizeof s->peer.address, "127.%d.%d.%d",
            process_net (), net, host);
  snprintf (s->peer.domain, sizeof s->peer.domain, "shop");
  snprintf (s->peer.environment, sizeof s->peer.environment, "test");
  snprintf (s->peer.peer_secret, sizeof s->peer.peer_secret,
            "0123456789abcdef");
  s->peer.peer_port = PEER_PORT;
  s->peer.open_membership = true;
  s->role = role;
  memcpy (s->control.address, s->peer.address, sizeof s->control.address);
  s->control.port = CONTROL_PORT;
  s->first_start = true;
  s->lost_keepers = 1;
  s->catch_up_ms = 4000;
  s->lease_limit_ms = 500;
  s->caller_retry_ms = 1300;
  s->seed_count = SEEDS;
  for (int i = 0; i < SEEDS; i++)
    {
      snprintf (s->seeds[i].address, sizeof s->seeds[i].address,
                "127.%d.21.%d", process_net (), i + 1);
      s->seeds[i].port = SEED_PORT;
    }
}

void
deployment_start_keeper (struct deployment *d, int i)
{
  struct error e;

  d->keepers[i] = calloc (1, sizeof *d->keepers[i]);
  CU_ASSERT_FATAL (quorum_keeper_start (
      d->keepers[i], d->base, &d->keeper_settings[i], (uint64_t)rand (), &e));
}

void
deployment_stop_keeper (struct deployment *d, int i)
{
  quorum_keeper_done (d->keepers[i]);
  free (d->keepers[i]);
  d->keepers[i] = NULL;
  d->keeper_settings[i].first_start = false;
}

void
deployment_start_entry (struct deployment *d, int i)
{
  struct error e;

  d->entries[i] = calloc (1, sizeof *d->entries[i]);
  CU_ASSERT_FATAL (job_entry_start (
      d->entries[i], d->base, &d->entry_settings[i], (uint64_t)rand (),
      &fake_port_ops, service_config_json_decode, &e));
}

void
deployment_stop_entry (struct deployment *d, int i)
{
  job_entry_done (d->entries[i]);
  free (d->entries[i]);
  d->entries[i] = NULL;
}

void
deployment_init (struct deployment *d)
{
  memset (d, 0, sizeof *d);
  fake_port_reset ();
  d->base = event_base_new ();
  for (int i = 0; i < KEEPERS; i++)
    {
      test_folder_make (d->folders[i]);
      fill_settings (&d->keeper_settings[i], "keeper", 21, i + 1, ROLE_KEEPER);
      snprintf (d->keeper_settings[i].peer.data_folder,
                sizeof d->keeper_settings[i].peer.data_folder, "%s/data",
                d->folders[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    fill_settings (&d->entry_settings[i], "entry", 22, i + 1, ROLE_ENTRY);
}

void
deployment_done (struct deployment *d)
{
  for (int i = 0; i < ENTRIES; i++)
    if (d->entries[i] != NULL)
      deployment_stop_entry (d, i);
  for (int i = 0; i < KEEPERS; i++)
    {
      if (d->keepers[i] != NULL)
        deployment_stop_keeper (d, i);
      test_folder_remove (d->folders[i]);
    }
  event_base_free (d->base);
}

struct quorum_keeper *
deployment_leader (const struct deployment *d)
{
  for (int i = 0; i < KEEPERS; i++)
    if (d->keepers[i] != NULL && quorum_keeper_leads (d->keepers[i]))
      return d->keepers[i];
  return NULL;
}

struct quorum_keeper *
deployment_follower (const struct deployment *d)
{
  for (int i = 0; i < KEEPERS; i++)
    if (d->keepers[i] != NULL && !quorum_keeper_leads (d->keepers[i]))
      return d->keepers[i];
  return NULL;
}

static void
on_heartbeat_done (void *arg, bool acknowledged)
{
  struct deployment *d = arg;

  d->heartbeats_acked += acknowledged;
}

/* Passes the heartbeats of all targets to a keeper once they are due.  */
static void
send_heartbeats (struct deployment *d)
{
  struct quorum_keeper *k = d->heartbeats_to_follower ? deployment_follower (d)
                                                      : deployment_leader (d);
  struct run_target_spec t;

  if (k == NULL || d->heartbeats_paused
      || now_ms () - d->heartbeat_sent_ms < HEARTBEAT_MS)
    return;
  d->heartbeat_sent_ms = now_ms ();
  d->sequence++;
  for (int i = 0; i < TARGETS; i++)
    {
      memset (&t, 0, sizeof t);
      snprintf (t.id, sizeof t.id, "t%d", i);
      snprintf (t.address, sizeof t.address, "127.0.0.1:1");
      snprintf (t.service, sizeof t.service, "svc");
      snprintf (t.domain, sizeof t.domain, "%s",
                d->two_domains && i % 2 != 0 ? "oven" : "shop");
      t.started_ms = 1;
      t.cpu_milli = 4000;
      t.memory_mb = 1000;
      t.slots = 8;
      t.sequence = d->sequence;
      t.draining = d->targets_draining;
      t.cold_until_ms = d->cold_ms == 0 ? 0 : now_ms () + d->cold_ms;
      target_relay_handle_heartbeat (&k->relay, now_ms (), &t,
                                     on_heartbeat_done, d);
    }
}

void
deployment_run_step (struct deployment *d)
{
  struct timeval t = now_timeval (STEP_MS);

  event_base_loopexit (d->base, &t);
  event_base_dispatch (d->base);
  send_heartbeats (d);
}

void
deployment_run_simulated_step (struct deployment *d)
{
  for (int ms = 0; ms < STEP_MS; ms++)
    {
      fake_clock_advance (1);
      for (int i = 0; i < PASSES_PER_MS; i++)
        event_base_loop (d->base, EVLOOP_NONBLOCK);
    }
  send_heartbeats (d);
}

static uint32_t
targets_owned (const struct deployment *d)
{
  uint32_t n = 0;

  for (int i = 0; i < ENTRIES; i++)
    if (d->entries[i] != NULL)
      n += d->entries[i]->target_count;
  return n;
}

void
deployment_run_until_owned (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (targets_owned (d) != TARGETS && now_ms () < end)
    deployment_run_step (d);
  CU_ASSERT_EQUAL_FATAL (targets_owned (d), TARGETS);
}

void
deployment_run_until_leader (struct deployment *d)
{
  int64_t end = now_ms () + WAIT_MS;

  while (deployment_leader (d) == NULL && now_ms () < end)
    deployment_run_step (d);
  CU_ASSERT_PTR_NOT_NULL_FATAL (deployment_leader (d));
}
