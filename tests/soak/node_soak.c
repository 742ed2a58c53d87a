/* Soak test of ragwort-node: runs real keeper and entry processes on loopback
   addresses, while fake workers, callers and an operator in this process use
   the platform's protocol.  Faults overlap and follow one another within a
   second: processes are killed (also without a sign to their peers), paused,
   stalled, stopped gracefully and restarted, single ones and many of a domain
   at the same time; a keeper's disk is full or wiped; the connections between
   VMs, and from VMs to targets, go through a proxy that delays, black-holes,
   cuts (also in one direction) and resets them; the connections of callers
   break, at many entries in the moment in which paths of entries fail; workers
   ignore requests, send no replies, execute requests late, reset connections,
   fail or do not end their runs, drain, restart and have slow clocks.

   Checked throughout, from what callers and workers observe:
   - no task runs twice at the same time,
   - no run outlives the time after which its caller sends the job again,
   - a job whose attempts were all refused has run no task,
   - every request is answered in time, unless its entry was killed or paused,
   - a graceful stop interrupts no request,
   - a read never returns a configuration older than an acknowledged one,
   - once the faults have ended, requests are served again.  */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include "base/now.h"
#include "tests/soak/soak.h"

struct soak soak = { .seed = 1, .first_net = 31, .seconds = 20 };

static char root[128];
static int64_t last_tick_ms;
static int64_t latest_ms; /* the longest delay of a tick */
static int64_t recent_latest_ms;
static int64_t recent_latest_at_ms;

static uint32_t
next_random (uint64_t *state, uint32_t limit)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (uint32_t)(*state >> 11) % limit;
}

uint32_t
soak_random_fault (uint32_t limit)
{
  return next_random (&soak.fault_random, limit);
}

uint32_t
soak_random_stall (uint32_t limit)
{
  return next_random (&soak.stall_random, limit);
}

uint32_t
soak_random_load (uint32_t limit)
{
  return next_random (&soak.load_random, limit);
}

int64_t
soak_elapsed_ms (void)
{
  return now_ms () - soak.begin_ms;
}

int64_t
soak_last_tick_ms (void)
{
  return last_tick_ms;
}

bool
soak_faults_ended (void)
{
  return soak_elapsed_ms () >= soak.seconds * 1000;
}

void
soak_violation (const char *what, const char *id)
{
  soak.violations++;
  printf ("%" PRId64 " ms: %s: %s\n", soak_elapsed_ms (), what, id);
}

void
soak_log (const char *what, const char *id)
{
  printf ("%" PRId64 " ms: %s %s\n", soak_elapsed_ms (), what, id);
}

/* Records how late this process's own loop is: its workers and callers are
   late by as much.  */
static void
record_tick (int64_t now)
{
  int64_t late_ms = now - last_tick_ms - TICK_MS;

  last_tick_ms = now;
  if (late_ms > latest_ms)
    latest_ms = late_ms;
  if (late_ms < recent_latest_ms
      && now - recent_latest_at_ms < RECENTLY_LATE_MS)
    return;
  recent_latest_ms = late_ms;
  recent_latest_at_ms = now;
}

int64_t
soak_recently_late_ms (void)
{
  int64_t late_ms = now_ms () - last_tick_ms - TICK_MS;

  return late_ms > recent_latest_ms ? late_ms : recent_latest_ms;
}

static void
end_fault_phase (void)
{
  static bool ended;

  if (ended || !soak_faults_ended ())
    return;
  ended = true;
  soak_log ("the faults end", "");
  for (uint32_t i = 0; i < soak.worker_count; i++)
    soak.workers[i].behaviour = WORKER_NORMAL;
  soak_end_faults (now_ms (), true);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  (void)arg;
  record_tick (now);
  for (uint32_t i = 0; i < soak.worker_count; i++)
    fake_worker_tick (&soak.workers[i], now);
  soak_check_runs (now);
  soak_update_nodes (now);
  soak_inject_fault (now);
  soak_stall_nodes (now);
  soak_end_faults (now, false);
  end_fault_phase ();
  soak_send_heartbeats (now);
  soak_send_changes (now);
  soak_send_calls (now);
  if (soak_elapsed_ms () > soak.seconds * 1000 + SETTLE_MS + FINAL_PHASE_MS
                               + DEADLINE_MS + ANSWER_SLACK_MS)
    event_base_loopbreak (soak.base);
}

/* Sets up node I; entries use the second of the soak's networks.  */
static bool
set_up_node (uint32_t i)
{
  struct node *n = &soak.nodes[i];
  uint32_t number = i < soak.keeper_count ? i : i - soak.keeper_count;

  n->index = i;
  n->domain = number % soak.domain_count;
  snprintf (n->address, sizeof n->address, "127.0.%d.%d",
            i < soak.keeper_count ? soak.first_net : soak.first_net + 1,
            number + 1);
  snprintf (n->folder, sizeof n->folder, "%s/node-%d", root, i);
  return mkdir (n->folder, 0700) == 0
         && fault_proxy_add (&soak.proxy, n->address, PEER_PORT, false)
                == (int)i;
}

static bool
set_up_worker (uint32_t i)
{
  struct fake_worker *w = &soak.workers[i];
  char id[16];
  char zone[16];
  char address[WORKER_ADDRESS_BYTES];
  const struct worker_setup setup = { .id = id,
                                      .address = address,
                                      .port = WORKER_PORT,
                                      .listen_port = LISTEN_PORT,
                                      .zone = zone,
                                      .seed = soak.seed + i + 1,
                                      .events = &soak_worker_events };

  snprintf (id, sizeof id, "w%d", i);
  snprintf (zone, sizeof zone, "zone-%u", i % soak.domain_count);
  snprintf (address, sizeof address, "127.0.%d.%d", soak.first_net + 2, i + 1);
  return fake_worker_start (w, soak.base, &setup)
         && fault_proxy_add (&soak.proxy, w->address, WORKER_PORT, true)
                == soak_worker_index (i);
}

static bool
set_up (void)
{
  snprintf (root, sizeof root, "/tmp/ragwort-soak-XXXXXX");
  if (mkdtemp (root) == NULL)
    return false;
  for (uint32_t i = 0; i < soak.node_count; i++)
    if (!set_up_node (i))
      return false;
  for (uint32_t i = 0; i < soak.worker_count; i++)
    if (!set_up_worker (i))
      return false;
  for (uint32_t i = 0; i < soak.node_count; i++)
    soak_start_node (&soak.nodes[i], true);
  return true;
}

/* Kills the processes that this program started; removes the folder, or
   keeps it with the logs if KEEP.  */
static void
tear_down (bool keep)
{
  for (uint32_t i = 0; i < soak.node_count; i++)
    if (soak.nodes[i].pid != 0)
      {
        kill (soak.nodes[i].pid, SIGKILL);
        waitpid (soak.nodes[i].pid, NULL, 0);
      }
  if (keep)
    {
      printf ("logs are kept in %s\n", root);
      return;
    }
  soak_remove_folder (root);
}

static void
free_all (void)
{
  for (uint32_t i = 0; i < soak.worker_count; i++)
    fake_worker_done (&soak.workers[i]);
  fault_proxy_done (&soak.proxy);
  soak_free_runs ();
  soak_free_jobs ();
  soak_free_nodes ();
}

/* The connections of the proxy and of the workers need more descriptors than
   the usual limit.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
main (int argc, char **argv)
{
  const struct timeval tick = now_timeval (TICK_MS);
  struct event *timer;

  soak_parse_options (argc, argv);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  raise_descriptor_limit ();
  soak.fault_random = soak.seed * 0x9E3779B97F4A7C15U + 1;
  soak.stall_random = soak.seed * 0x94D049BB133111EBU + 1;
  soak.load_random = soak.seed * 0xD1B54A32D192ED03U + 1;
  soak.base = event_base_new ();
  fault_proxy_init (&soak.proxy, soak.base, LISTEN_PORT, soak_find_vm,
                    soak.seed);
  soak.begin_ms = now_ms ();
  last_tick_ms = soak.begin_ms;
  soak.fault_due_ms = soak.begin_ms + SETTLE_MS;
  soak.seconds += SETTLE_MS / 1000;
  printf ("seed %" PRIu64 ": 0 ms is %" PRId64 " in the logs, %u keepers, "
          "%u entries, %u workers, %u calls/s\n",
          soak.seed, now_wall_ms (), soak.keeper_count, soak.entry_count,
          soak.worker_count, soak.calls_per_second);
  if (!set_up ())
    {
      printf ("node_soak: cannot set up\n");
      return 2;
    }
  timer = event_new (soak.base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (soak.base);
  if (soak.changes_acked == 0)
    soak_violation ("no document was acknowledged", "");
  soak_finish_calls ();
  printf ("%u changes acknowledged, loop late by %" PRId64
          " ms at most, %u violations\n",
          soak.changes_acked, latest_ms, soak.violations);
  tear_down (soak.keep_logs || soak.violations != 0);
  event_free (timer);
  free_all ();
  event_base_free (soak.base);
  return soak.violations == 0 ? 0 : 1;
}
