#include "tests/soak/soak.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include "base/now.h"
#include "tests/soak/path_faults.h"

enum
{
  DRAIN_MS
  = 2000 /* the shortest time from its notice to the end of a target */
};

static int64_t wiped_ms;

/* Returns the number of keepers without a fault.  Faults hit one keeper at a
   time, so that a majority stays healthy.  */
static uint32_t
healthy_keepers (void)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < soak.keeper_count; i++)
    count += !soak_is_disturbed (&soak.nodes[i]) && !soak.nodes[i].disk_full;
  return count;
}

/* Simulates a full disk at N by a file size limit of that process, or lifts
   the limit.  */
static void
set_disk_full (struct node *n, bool disk_full)
{
  struct rlimit limit = { RLIM_INFINITY, RLIM_INFINITY };

  if (disk_full)
    limit.rlim_cur = FULL_DISK_BYTES;
  if (prlimit (n->pid, RLIMIT_FSIZE, &limit, NULL) != 0)
    return;
  n->disk_full = disk_full;
  n->disk_full_until_ms = now_ms () + 500 + soak_random_fault (3000);
  soak_log (disk_full ? "disk is full" : "disk has space again", n->address);
}

/* Kills N and removes its data; it restarts with an empty disk.  */
static void
wipe_node (struct node *n)
{
  char folder[300];

  soak_kill_node (n);
  snprintf (folder, sizeof folder, "%s/data", n->folder);
  soak_remove_folder (folder);
  wiped_ms = now_ms ();
  soak_log ("disk wiped", n->address);
}

static struct node *
random_keeper (void)
{
  return &soak.nodes[soak_random_fault (soak.keeper_count)];
}

static void
inject_disk_fault (int64_t now)
{
  struct node *n = random_keeper ();

  if (healthy_keepers () < soak.keeper_count || now - wiped_ms < WIPE_GAP_MS)
    return;
  if (soak_random_fault (2) == 0)
    set_disk_full (n, true);
  else
    wipe_node (n);
}

/* Resets, black-holes, cuts or delays the path between two random VMs, or
   between a VM and a target that runs a task of it.  */
static void
inject_path_fault (int64_t now)
{
  struct path_fault f = { .scope = PATH_PAIR };
  bool to_target = soak_random_fault (2) == 0;
  uint32_t kind = soak_random_fault (4);
  const struct live_run *l = soak_random_run ();

  f.from = (int)soak_random_fault (soak.node_count);
  f.to = (int)soak_random_fault (soak.node_count);
  f.both = soak_random_fault (2) == 0;
  f.until_ms = now + 300 + soak_random_fault (3000);
  if (to_target && l != NULL)
    {
      f.from = (int)l->starter->index;
      f.to = soak_worker_index ((uint32_t)(l->worker - soak.workers));
    }
  if (f.from == f.to)
    return;
  if (kind < 2)
    printf ("%" PRId64 " ms: path %s to %s: %s\n", soak_elapsed_ms (),
            soak.proxy.addresses[f.from], soak.proxy.addresses[f.to],
            kind == 0 ? "reset" : "black-holed");
  switch (kind)
    {
    case 0:
      fault_proxy_reset (&soak.proxy, f.from, f.to);
      break;
    case 1:
      fault_proxy_blackhole (&soak.proxy, f.from, f.to, 1);
      break;
    case 2:
      path_faults_start (&f);
      break;
    default:
      f.delay_ms = 20 + soak_random_fault (DELAY_MAX_MS);
      path_faults_start (&f);
    }
}

void
soak_restart_worker (uint32_t i)
{
  struct fake_worker *w = &soak.workers[i];

  fake_worker_restart (w, now_ms ());
  fault_proxy_reset (&soak.proxy, soak_worker_index (i), PROXY_ANY);
  soak_log ("reborn", w->id);
}

/* Cuts target I off from all VMs; its runs and heartbeats go on.  */
static void
cut_worker (int64_t now, uint32_t i)
{
  struct path_fault f = { .scope = PATH_PEERS, .from = soak_worker_index (i) };

  f.both = soak_random_fault (2) == 0;
  f.until_ms = now + 300 + soak_random_fault (3000);
  path_faults_start (&f);
}

static void
inject_worker_fault (int64_t now)
{
  uint32_t i = soak_random_fault (soak.worker_count);
  struct fake_worker *w = &soak.workers[i];
  uint32_t kind = soak_random_fault (8);

  if (w->behaviour != WORKER_NORMAL)
    w->behaviour = WORKER_NORMAL;
  else if (kind == 0)
    soak_restart_worker (i);
  else if (kind == 1 && w->drain_until_ms == 0)
    {
      w->drain_until_ms = now + DRAIN_MS + soak_random_fault (2000);
      soak_log ("drains", w->id);
    }
  else if (kind == 2)
    cut_worker (now, i);
  else
    {
      w->behaviour = (enum worker_behaviour) (1 + soak_random_fault (7));
      soak_log ("misbehaves from now on", w->id);
    }
}

static void
end_drains (int64_t now, bool all)
{
  for (uint32_t i = 0; i < soak.worker_count; i++)
    if (soak.workers[i].drain_until_ms != 0
        && (all || now >= soak.workers[i].drain_until_ms))
      soak_restart_worker (i);
}

void
soak_end_faults (int64_t now, bool all)
{
  path_faults_end (now, all);
  end_drains (now, all);
  for (uint32_t i = 0; i < soak.keeper_count; i++)
    if (soak.nodes[i].disk_full && soak.nodes[i].pid != 0
        && (all || now >= soak.nodes[i].disk_full_until_ms))
      set_disk_full (&soak.nodes[i], false);
}

/* Makes a target mishandle the requests of the VM that has started a run
   there.  */
static void
inject_pair_fault (int64_t now)
{
  const struct live_run *l = soak_random_run ();
  enum worker_behaviour b = WORKER_NO_REPLY + soak_random_fault (5);
  int64_t until_ms = now + 300 + soak_random_fault (3000);

  if (l != NULL)
    path_faults_misbehave (l->worker, l->starter->address, b, until_ms);
}

static void
inject_node_fault (void)
{
  struct node *n = &soak.nodes[soak_random_fault (soak.node_count)];

  if (soak_is_disturbed (n)
      || (soak_is_keeper (n) && healthy_keepers () < soak.keeper_count))
    return;
  switch (soak_random_fault (4))
    {
    case 0:
      soak_kill_node (n);
      break;
    case 1:
      soak_power_off_node (n);
      break;
    case 2:
      soak_pause_node (n);
      break;
    default:
      soak_stop_node (n);
    }
}

void
soak_inject_fault (int64_t now)
{
  soak_continue_series (now);
  if (soak_elapsed_ms () > soak.seconds * 1000 || now < soak.fault_due_ms)
    return;
  soak.fault_due_ms
      = now + soak.fault_gap_ms / 2 + soak_random_fault (soak.fault_gap_ms);
  soak.faults++;
  if (soak_random_fault (100) < soak.restart_percent)
    {
      soak_start_restart_fault (now);
      return;
    }
  switch (soak_random_fault (15))
    {
    case 0:
      inject_worker_fault (now);
      break;
    case 1:
    case 2:
      inject_pair_fault (now);
      break;
    case 3:
    case 4:
      inject_node_fault ();
      break;
    case 5:
    case 6:
      inject_path_fault (now);
      break;
    case 7:
      inject_disk_fault (now);
      break;
    case 8:
    case 9:
    case 10:
      soak_start_series (now);
      break;
    case 11:
    case 12:
      soak_start_caller_fault (now);
      break;
    case 13:
      soak_start_burst (now);
      break;
    default:
      soak_start_mass_fault (now);
    }
}
