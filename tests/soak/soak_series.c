#include <inttypes.h>
#include <stdio.h>
#include "base/now.h"
#include "tests/soak/path_faults.h"
#include "tests/soak/soak.h"

enum
{
  PLAN_LIMIT = 64,
  FOLLOW_MAX_MS = 900,
  FOLLOW_COUNT_MAX = 3,
  CUT_MIN_MS = 400,
  CUT_MAX_MS = 3000,
  ROLL_MIN_MS = 300,
  ROLL_MAX_MS = 1000,
  RESTART_DIVISOR = 5, /* one in so many targets restarts at a time */
  RESTART_MIN_MS = 1000,
  RESTART_MAX_MS = 2000,
  RESTART_LOSS_PERCENT = 30,
  RESTART_JOBS = 20 /* sent to the owner of the targets at once */
};

enum series_kind
{
  SERIES_KILL,
  SERIES_POWER_OFF,
  SERIES_PAUSE,
  SERIES_STOP,
  SERIES_BREAK_CALLERS,   /* the connections of callers to VM */
  SERIES_RESET,           /* the connections of VM */
  SERIES_SILENCE_PEERS,   /* those to other VMs, for good */
  SERIES_SILENCE_TARGETS, /* those to targets, for good */
  SERIES_SILENCE_HALF,    /* every second of those to targets */
  SERIES_CUT_PEERS,       /* VM from the other VMs */
  SERIES_CUT_KEEPERS,     /* VM from the keepers, which may replace it */
  SERIES_CUT_PATH,        /* the path from VM to OTHER */
  SERIES_CUT_TARGETS      /* VM from all targets */
};

/* A fault that is due at a later time.  */
struct planned_fault
{
  int64_t due_ms; /* 0: unused */
  enum series_kind kind;
  struct node *node;
  int other; /* index in the fault proxy */
};

static struct planned_fault plan[PLAN_LIMIT];

static void
plan_fault (int64_t due_ms, enum series_kind kind, struct node *n, int other)
{
  for (int i = 0; i < PLAN_LIMIT; i++)
    if (plan[i].due_ms == 0)
      {
        plan[i] = (struct planned_fault){ due_ms, kind, n, other };
        return;
      }
}

static void
start_cut (int64_t now, enum path_scope scope, int from, int to)
{
  struct path_fault f = { .scope = scope, .from = from, .to = to };

  f.both = soak_random_fault (2) == 0;
  f.until_ms = now + CUT_MIN_MS + soak_random_fault (CUT_MAX_MS - CUT_MIN_MS);
  path_faults_start (&f);
}

static void
inject (int64_t now, enum series_kind kind, struct node *n, int other)
{
  if (kind <= SERIES_STOP && soak_is_disturbed (n))
    return;
  switch (kind)
    {
    case SERIES_KILL:
      soak_kill_node (n);
      break;
    case SERIES_POWER_OFF:
      soak_power_off_node (n);
      break;
    case SERIES_PAUSE:
      soak_pause_node (n);
      break;
    case SERIES_STOP:
      soak_stop_node (n);
      break;
    case SERIES_BREAK_CALLERS:
      soak_break_callers (n);
      break;
    case SERIES_RESET:
      soak_node_event (n, "connections reset");
      fault_proxy_reset (&soak.proxy, n->index, PROXY_ANY);
      break;
    case SERIES_SILENCE_PEERS:
      soak_node_event (n, "connections to VMs go silent");
      fault_proxy_blackhole (&soak.proxy, n->index, PROXY_VMS, 1);
      break;
    case SERIES_SILENCE_TARGETS:
      soak_node_event (n, "connections to targets go silent");
      fault_proxy_blackhole (&soak.proxy, n->index, PROXY_TARGETS, 1);
      break;
    case SERIES_SILENCE_HALF:
      soak_node_event (n, "half of the connections to targets go silent");
      fault_proxy_blackhole (&soak.proxy, n->index, PROXY_TARGETS, 2);
      break;
    case SERIES_CUT_KEEPERS:
      start_cut (now, PATH_KEEPERS, n->index, 0);
      break;
    case SERIES_CUT_PEERS:
      start_cut (now, PATH_PEERS, n->index, 0);
      break;
    case SERIES_CUT_PATH:
      start_cut (now, PATH_PAIR, n->index, other);
      break;
    case SERIES_CUT_TARGETS:
      start_cut (now, PATH_TARGETS, n->index, 0);
      break;
    }
}

void
soak_continue_series (int64_t now)
{
  for (int i = 0; i < PLAN_LIMIT; i++)
    if (plan[i].due_ms != 0 && now >= plan[i].due_ms)
      {
        if (!soak_faults_ended ())
          inject (now, plan[i].kind, plan[i].node, plan[i].other);
        plan[i].due_ms = 0;
      }
}

/* Plans a fault at the VM that has started L, or on its paths.  */
static void
plan_follow_up (int64_t now, const struct live_run *l)
{
  static const enum series_kind kinds[]
      = { SERIES_PAUSE,           SERIES_KILL,          SERIES_POWER_OFF,
          SERIES_CUT_PATH,        SERIES_CUT_PATH,      SERIES_CUT_TARGETS,
          SERIES_SILENCE_TARGETS, SERIES_SILENCE_PEERS, SERIES_CUT_KEEPERS };
  uint32_t draw = soak_random_fault (sizeof kinds / sizeof kinds[0]);
  int64_t due_ms = now + soak_random_fault (FOLLOW_MAX_MS);
  bool to_target = soak_random_fault (2) == 0;
  int other = to_target
                  ? soak_worker_index ((uint32_t)(l->worker - soak.workers))
                  : (int)soak_caller_entry (l)->index;

  plan_fault (due_ms, kinds[draw], l->starter, other);
}

void
soak_start_series (int64_t now)
{
  static const enum series_kind kinds[]
      = { SERIES_KILL,          SERIES_POWER_OFF,    SERIES_POWER_OFF,
          SERIES_PAUSE,         SERIES_RESET,        SERIES_CUT_PEERS,
          SERIES_BREAK_CALLERS, SERIES_BREAK_CALLERS };
  const struct live_run *l = soak_random_run ();
  uint32_t draw = soak_random_fault (sizeof kinds / sizeof kinds[0]);
  uint32_t count = 1 + soak_random_fault (FOLLOW_COUNT_MAX);
  struct node *entry;

  if (l == NULL)
    return;
  entry = soak_caller_entry (l);
  soak_log ("series at the entry of", l->run.task);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct live_run *other = i == 0 ? l : soak_random_run ();

      if (other != NULL)
        plan_follow_up (now, other);
    }
  inject (now, kinds[draw], entry, 0);
}

/* Injects a fault of KIND at about half of the entries of DOMAIN: all at once,
   or STEP_MS apart.  */
static void
hit_domain (int64_t now, uint32_t domain, enum series_kind kind, bool in_turn)
{
  int64_t due_ms = now;

  for (uint32_t i = soak.keeper_count; i < soak.node_count; i++)
    {
      struct node *n = &soak.nodes[i];

      if (n->domain != domain || soak_random_fault (2) == 0)
        continue;
      if (!in_turn)
        inject (now, kind, n, 0);
      else
        plan_fault (due_ms, kind, n, 0);
      due_ms += ROLL_MIN_MS + soak_random_fault (ROLL_MAX_MS - ROLL_MIN_MS);
    }
}

/* Injects a fault of KIND at all VMs from FIRST up to END at once; their disks
   keep what they hold.  */
static void
hit_all (int64_t now, uint32_t first, uint32_t end, enum series_kind kind)
{
  for (uint32_t i = first; i < end; i++)
    inject (now, kind, &soak.nodes[i], 0);
}

void
soak_start_mass_fault (int64_t now)
{
  static const enum series_kind kinds[]
      = { SERIES_KILL, SERIES_POWER_OFF, SERIES_PAUSE, SERIES_STOP,
          SERIES_RESET };
  enum
  {
    KINDS = sizeof kinds / sizeof kinds[0]
  };
  uint32_t domain = soak_random_fault (soak.domain_count);
  uint32_t draw = soak_random_fault (KINDS + 6);

  printf ("%" PRId64 " ms: mass fault %u in zone-%u\n", soak_elapsed_ms (),
          draw, domain);
  if (draw < KINDS)
    hit_domain (now, domain, kinds[draw], false);
  else if (draw == KINDS)
    hit_domain (now, domain, SERIES_STOP, true);
  else if (draw == KINDS + 1)
    hit_all (now, 0, soak.keeper_count, SERIES_KILL);
  else if (draw == KINDS + 2)
    hit_all (now, 0, soak.node_count, SERIES_POWER_OFF);
  else if (draw == KINDS + 3)
    start_cut (now, PATH_PEERS, (int)soak_random_fault (soak.keeper_count), 0);
  else
    start_cut (now, PATH_DOMAIN, (int)domain, 0);
}

/* Breaks the connections of callers to most of the entries of one failure
   domain, or of two, and starts a fault of the paths of most of them in the
   same moment.  */
void
soak_start_caller_fault (int64_t now)
{
  static const enum series_kind kinds[] = { SERIES_SILENCE_TARGETS,
                                            SERIES_SILENCE_HALF,
                                            SERIES_SILENCE_PEERS,
                                            SERIES_CUT_TARGETS,
                                            SERIES_CUT_PEERS,
                                            SERIES_RESET,
                                            SERIES_PAUSE };
  uint32_t draw = soak_random_fault (sizeof kinds / sizeof kinds[0]);
  uint32_t one = soak_random_fault (soak.domain_count);
  uint32_t other = soak_random_fault (soak.domain_count);

  printf ("%" PRId64 " ms: callers' fault %u in zone-%u and zone-%u\n",
          soak_elapsed_ms (), draw, one, other);
  for (uint32_t i = soak.keeper_count; i < soak.node_count; i++)
    {
      struct node *n = &soak.nodes[i];

      if (n->domain != one && n->domain != other)
        continue;
      if (soak_random_fault (4) != 0)
        inject (now, kinds[draw], n, 0);
      if (soak_random_fault (4) != 0)
        inject (now, SERIES_BREAK_CALLERS, n, 0);
    }
}

/* Restarts target I, which the keepers do not hear of until UNTIL_MS, while
   packets get lost between it and N.  */
static void
restart_behind_cut (uint32_t i, const struct node *n, int64_t until_ms)
{
  struct path_fault f = { .scope = PATH_PAIR,
                          .from = (int)n->index,
                          .to = soak_worker_index (i),
                          .both = true,
                          .loss_percent = RESTART_LOSS_PERCENT,
                          .until_ms = until_ms };

  soak.workers[i].unheard_until_ms = until_ms;
  path_faults_start (&f);
  soak_restart_worker (i);
}

/* Restarts up to LIMIT targets where N was the last to start a run, of those
   that run something now or of the others.  Returns their number.  */
static uint32_t
restart_targets_of (const struct node *n, uint32_t limit, bool are_busy,
                    int64_t until_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < soak.worker_count && count < limit; i++)
    if (soak.last_starters[i] == n
        && (soak.workers[i].run_count != 0) == are_busy
        && soak.workers[i].started_ms < until_ms - RESTART_MAX_MS)
      {
        restart_behind_cut (i, n, until_ms);
        count++;
      }
  return count;
}

void
soak_start_restart_fault (int64_t now)
{
  const struct live_run *l = soak_random_run ();
  uint32_t limit = soak.worker_count / RESTART_DIVISOR;
  int64_t until_ms = now + RESTART_MIN_MS
                     + soak_random_fault (RESTART_MAX_MS - RESTART_MIN_MS);
  uint32_t next = soak_random_fault (4);
  struct node *entry;
  struct node *n;

  if (l == NULL)
    return;
  entry = soak_caller_entry (l);
  n = l->starter; /* L ends when its target restarts */
  /* An owner learns at once that a target where its runs went on has
     restarted; of an idle one it learns by its next call.  */
  limit -= restart_targets_of (n, limit, false, until_ms);
  restart_targets_of (n, limit, true, until_ms);
  soak_send_large_jobs (n, RESTART_JOBS);
  if (next == 0)
    plan_fault (now + soak_random_fault (FOLLOW_MAX_MS), SERIES_POWER_OFF, n,
                0);
  else if (next == 1)
    plan_fault (now + soak_random_fault (FOLLOW_MAX_MS), SERIES_BREAK_CALLERS,
                entry, 0);
}
