#include "tests/soak/soak.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include "base/now.h"

/* A delay or cut of the path between two VMs.  */
struct path_fault
{
  int from;
  int to;
  bool both;        /* in both directions */
  int64_t until_ms; /* 0: unused */
};

static struct path_fault path_faults[PATH_FAULT_LIMIT];
static int64_t wiped_ms;

/* Returns the number of keepers without a fault.  Faults hit one keeper at a
   time, so that a majority stays healthy.  */
static uint32_t
healthy_keepers (void)
{
  uint32_t count = 0;

  for (int i = 0; i < KEEPERS; i++)
    count += soak.nodes[i].pid != 0 && !soak.nodes[i].paused
             && !soak.nodes[i].stopping && !soak.nodes[i].disk_full;
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

static void
inject_disk_fault (int64_t now)
{
  struct node *n = &soak.nodes[soak_random_fault (KEEPERS)];

  if (healthy_keepers () < KEEPERS || now - wiped_ms < WIPE_GAP_MS)
    return;
  if (soak_random_fault (2) == 0)
    set_disk_full (n, true);
  else
    wipe_node (n);
}

static void
apply_path_fault (const struct path_fault *f, bool cut, int64_t delay_ms)
{
  fault_proxy_cut (&soak.proxy, f->from, f->to, cut);
  fault_proxy_delay (&soak.proxy, f->from, f->to, delay_ms);
  if (!f->both)
    return;
  fault_proxy_cut (&soak.proxy, f->to, f->from, cut);
  fault_proxy_delay (&soak.proxy, f->to, f->from, delay_ms);
}

/* Resets, black-holes, cuts or delays the path between two random VMs.  At
   most PATH_FAULT_LIMIT cuts and delays last at the same time.  */
static void
inject_path_fault (int64_t now)
{
  struct path_fault f = { .from = (int)soak_random_fault (NODES),
                          .to = (int)soak_random_fault (NODES) };
  uint32_t kind = soak_random_fault (4);

  if (f.from == f.to)
    return;
  printf ("%" PRId64 " ms: path %s to %s: %u\n", soak_elapsed_ms (),
          soak.nodes[f.from].address, soak.nodes[f.to].address, kind);
  if (kind == 0)
    fault_proxy_reset (&soak.proxy, f.from, f.to);
  else if (kind == 1)
    fault_proxy_blackhole (&soak.proxy, f.from, f.to);
  for (int i = 0; i < PATH_FAULT_LIMIT && kind > 1; i++)
    if (path_faults[i].until_ms == 0)
      {
        f.both = soak_random_fault (2) == 0;
        f.until_ms = now + 300 + soak_random_fault (3000);
        path_faults[i] = f;
        apply_path_fault (
            &f, kind == 2,
            kind == 3 ? 20 + (int64_t)soak_random_fault (DELAY_MAX_MS) : 0);
        return;
      }
}

void
soak_end_faults (int64_t now, bool all)
{
  for (int i = 0; i < PATH_FAULT_LIMIT; i++)
    if (path_faults[i].until_ms != 0
        && (all || now >= path_faults[i].until_ms))
      {
        apply_path_fault (&path_faults[i], false, 0);
        path_faults[i].until_ms = 0;
      }
  for (int i = 0; i < KEEPERS; i++)
    if (soak.nodes[i].disk_full && soak.nodes[i].pid != 0
        && (all || now >= soak.nodes[i].disk_full_until_ms))
      set_disk_full (&soak.nodes[i], false);
}

static void
inject_worker_fault (void)
{
  struct fake_worker *w = &soak.workers[soak_random_fault (WORKERS)];

  if (w->behaviour != WORKER_NORMAL)
    w->behaviour = WORKER_NORMAL;
  else if (soak_random_fault (6) == 0)
    {
      fake_worker_restart (w, now_ms ());
      soak_log ("reborn", w->id);
    }
  else
    {
      w->behaviour = (enum worker_behaviour) (1 + soak_random_fault (4));
      soak_log ("misbehaves from now on", w->id);
    }
}

static void
inject_node_fault (void)
{
  struct node *n = &soak.nodes[soak_random_fault (NODES)];

  if (n->pid == 0 || n->paused || n->stopping
      || (soak_is_keeper (n) && healthy_keepers () < KEEPERS))
    return;
  switch (soak_random_fault (3))
    {
    case 0:
      soak_kill_node (n);
      break;
    case 1:
      soak_pause_node (n);
      break;
    default:
      soak_stop_node (n);
    }
}

void
soak_inject_fault (int64_t now)
{
  if (soak_elapsed_ms () > soak.seconds * 1000 || now < soak.fault_due_ms)
    return;
  soak.fault_due_ms
      = now + FAULT_GAP_MS / 2 + soak_random_fault (FAULT_GAP_MS);
  soak.faults++;
  switch (soak_random_fault (6))
    {
    case 0:
    case 1:
      inject_worker_fault ();
      break;
    case 2:
    case 3:
      inject_node_fault ();
      break;
    case 4:
      inject_path_fault (now);
      break;
    default:
      inject_disk_fault (now);
    }
}
