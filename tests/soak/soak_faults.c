#include "tests/soak/soak.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include "base/now.h"

/* A disturbance of the path between two VMs.  */
struct harm
{
  int from;
  int to;
  bool both;        /* ways */
  int64_t until_ms; /* 0: none */
};

static struct harm harms[HARM_LIMIT];
static int64_t wiped_ms;

/* Keepers that run undisturbed; a majority of them is left alone.  */
static uint32_t
sound_keepers (void)
{
  uint32_t count = 0;

  for (int i = 0; i < KEEPERS; i++)
    count += soak.nodes[i].pid != 0 && !soak.nodes[i].paused
             && !soak.nodes[i].stopping && !soak.nodes[i].full;
  return count;
}

/* Has the disk of N take no more bytes, by a limit of that process alone.  */
static void
set_full (struct node *n, bool full)
{
  struct rlimit limit = { RLIM_INFINITY, RLIM_INFINITY };

  if (full)
    limit.rlim_cur = FULL_DISK_BYTES;
  if (prlimit (n->pid, RLIMIT_FSIZE, &limit, NULL) != 0)
    return;
  n->full = full;
  n->full_until_ms = now_ms () + 500 + soak_draw (3000);
  soak_note (full ? "disk is full" : "disk has room", n->address);
}

/* Kills N, which comes back with an empty disk.  */
static void
wipe_node (struct node *n)
{
  char folder[300];

  soak_kill_node (n);
  snprintf (folder, sizeof folder, "%s/data", n->folder);
  soak_remove_folder (folder);
  wiped_ms = now_ms ();
  soak_note ("lost its disk", n->address);
}

static void
fault_disk (int64_t now)
{
  struct node *n = &soak.nodes[soak_draw (KEEPERS)];

  if (sound_keepers () < KEEPERS || now - wiped_ms < WIPE_REST_MS)
    return;
  if (soak_draw (2) == 0)
    set_full (n, true);
  else
    wipe_node (n);
}

static void
set_harm (const struct harm *h, bool cut, int64_t delay_ms)
{
  fault_proxy_cut (&soak.proxy, h->from, h->to, cut);
  fault_proxy_delay (&soak.proxy, h->from, h->to, delay_ms);
  if (!h->both)
    return;
  fault_proxy_cut (&soak.proxy, h->to, h->from, cut);
  fault_proxy_delay (&soak.proxy, h->to, h->from, delay_ms);
}

/* Disturbs the path between two VMs for a while.  Keepers are cut off from
   each other as little as they are lost: a majority stays together.  */
static void
fault_path (int64_t now)
{
  struct harm h
      = { .from = (int)soak_draw (NODES), .to = (int)soak_draw (NODES) };
  uint32_t kind = soak_draw (4);

  if (h.from == h.to)
    return;
  printf ("%" PRId64 " ms: path %s to %s: %u\n", soak_elapsed_ms (),
          soak.nodes[h.from].address, soak.nodes[h.to].address, kind);
  if (kind == 0)
    fault_proxy_reset (&soak.proxy, h.from, h.to);
  else if (kind == 1)
    fault_proxy_silence (&soak.proxy, h.from, h.to);
  for (int i = 0; i < HARM_LIMIT && kind > 1; i++)
    if (harms[i].until_ms == 0)
      {
        h.both = soak_draw (2) == 0;
        h.until_ms = now + 300 + soak_draw (3000);
        harms[i] = h;
        set_harm (&h, kind == 2,
                  kind == 3 ? 20 + (int64_t)soak_draw (DELAY_MOST_MS) : 0);
        return;
      }
}

/* Ends the disturbances that are over, or all.  */
void
soak_end_harms (int64_t now, bool all)
{
  for (int i = 0; i < HARM_LIMIT; i++)
    if (harms[i].until_ms != 0 && (all || now >= harms[i].until_ms))
      {
        set_harm (&harms[i], false, 0);
        harms[i].until_ms = 0;
      }
  for (int i = 0; i < KEEPERS; i++)
    if (soak.nodes[i].full && soak.nodes[i].pid != 0
        && (all || now >= soak.nodes[i].full_until_ms))
      set_full (&soak.nodes[i], false);
}

static void
fault_worker (void)
{
  struct fake_worker *w = &soak.workers[soak_draw (WORKERS)];

  if (w->mood != WORKER_GOOD)
    w->mood = WORKER_GOOD;
  else if (soak_draw (6) == 0)
    {
      fake_worker_reborn (w, now_ms ());
      soak_note ("reborn", w->id);
    }
  else
    {
      w->mood = (enum worker_mood) (1 + soak_draw (4));
      soak_note ("out of order", w->id);
    }
}

static void
fault_node (void)
{
  struct node *n = &soak.nodes[soak_draw (NODES)];

  if (n->pid == 0 || n->paused || n->stopping
      || (soak_is_keeper (n) && sound_keepers () < KEEPERS))
    return;
  switch (soak_draw (3))
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
soak_make_fault (int64_t now)
{
  if (soak_elapsed_ms () > soak.seconds * 1000 || now < soak.fault_due_ms)
    return;
  soak.fault_due_ms = now + FAULT_GAP_MS / 2 + soak_draw (FAULT_GAP_MS);
  soak.faults++;
  switch (soak_draw (6))
    {
    case 0:
    case 1:
      fault_worker ();
      break;
    case 2:
    case 3:
      fault_node ();
      break;
    case 4:
      fault_path (now);
      break;
    default:
      fault_disk (now);
    }
}
