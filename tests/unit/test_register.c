/* Tests of the submission register.  The random test simulates a replica group
   with lost messages, restarts, members that learn late of a new incarnation,
   and keys that are submitted to any member again.

   Invariants: no task is started twice; a task that was reported as not run is
   never started; a key whose tasks were started is never accepted as new.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "coord/submission_register.h"
#include "tests/unit/suites.h"

enum
{
  GROUP = 3,
  KEYS = 40,
  TASKS = 12,
  STEPS = 4000,
  WALL_MS = 1000000000
};

struct node
{
  struct submission_register reg;
  bool up;
};

struct simulation
{
  struct prng prng;
  struct node nodes[GROUP];
  struct group group; /* as decided by the quorum */
  uint64_t last_boot_id;
  bool started[KEYS][TASKS];
  bool reported_not_run[KEYS][TASKS];
  bool refused[KEYS]; /* answered "not run", and not submitted again since */
  uint32_t starts;
  uint32_t taken_over;
  const char *violation;
};

static const char *const vms[GROUP] = { "a", "b", "c" };

/* Draws whether a message or its reply is lost.  */
static bool
is_lost (struct simulation *sim)
{
  return prng_next (&sim->prng, 12) == 0;
}

/* The running node with the VM and boot id of M, or NULL.  */
static struct node *
node_of (struct simulation *sim, const struct group_member *m)
{
  for (int i = 0; i < GROUP; i++)
    if (strcmp (vms[i], m->vm) == 0 && sim->nodes[i].up
        && sim->nodes[i].reg.boot_id == m->boot_id)
      return &sim->nodes[i];
  return NULL;
}

static void
boot (struct simulation *sim, int i)
{
  struct node *n = &sim->nodes[i];

  submission_register_init (&n->reg, vms[i], ++sim->last_boot_id, 900000,
                            1000);
  n->up = true;
}

/* Node N learns the current group, and takes over records of executors that
   are no longer in it.  */
static void update_group (struct simulation *sim, struct node *n);

/* The quorum decides on a new incarnation of the group: all nodes that are up.
   Members without the records are not synced until sync_members has sent them
   all; if no synced member is left, the records of earlier incarnations are
   lost.  */
static void
change_group (struct simulation *sim)
{
  struct group next = { .incarnation = sim->group.incarnation + 1,
                        .complete_since = sim->group.complete_since };
  uint32_t synced = 0;

  snprintf (next.domain, sizeof next.domain, "shop");
  for (int i = 0; i < GROUP; i++)
    {
      struct group_member *m = &next.members[next.member_count];
      const struct group_member *old = group_member_find (&sim->group, vms[i]);
      bool same = old != NULL && old->boot_id == sim->nodes[i].reg.boot_id;

      if (!sim->nodes[i].up)
        continue;
      snprintf (m->vm, sizeof m->vm, "%s", vms[i]);
      m->boot_id = sim->nodes[i].reg.boot_id;
      m->synced = same && old->synced;
      synced += m->synced;
      next.member_count++;
    }
  if (synced == 0)
    {
      next.complete_since = next.incarnation;
      for (uint32_t i = 0; i < next.member_count; i++)
        next.members[i].synced = true;
    }
  sim->group = next;
}

static int
key_number (const struct submission *s)
{
  return atoi (strrchr (s->id, 'k') + 1);
}

/* A record without started tasks is executed once every member has stored it.
   For the others an answer is written, which is sent once every member has
   stored it.  */
static void
on_taken_over (void *arg, struct submission *s)
{
  struct simulation *sim = arg;

  sim->taken_over++;
  s->state
      = s->start_watermark == 0 ? SUBMISSION_PREPARING : SUBMISSION_ENDING;
  s->answer = strdup ("lost");
}

/* The answer of S is sent: tasks from its start_watermark on are reported as
   not run.  */
static void
send_answer (struct simulation *sim, struct submission *s)
{
  int key = key_number (s);

  for (uint32_t i = s->start_watermark; i < TASKS; i++)
    {
      if (sim->started[key][i])
        sim->violation = "a task was reported as not run after its start";
      sim->reported_not_run[key][i] = true;
    }
}

static void
update_group (struct simulation *sim, struct node *n)
{
  if (submission_register_set_group (&n->reg, &sim->group))
    submission_register_take_over (&n->reg, on_taken_over, sim);
}

/* Sends every record of the sync source to the unsynced members.  */
static void
sync_members (struct simulation *sim)
{
  for (int i = 0; i < GROUP; i++)
    {
      struct node *source = &sim->nodes[i];

      if (!source->up
          || source->reg.group.incarnation != sim->group.incarnation
          || !submission_register_is_sync_source (&source->reg))
        continue;
      for (uint32_t j = 0; j < sim->group.member_count; j++)
        {
          struct node *to = node_of (sim, &sim->group.members[j]);
          bool all = true;

          if (to == NULL || sim->group.members[j].synced
              || to->reg.group.incarnation != sim->group.incarnation)
            continue;
          for (struct submission *s = source->reg.records; s != NULL;
               s = s->hh.next)
            {
              struct peer_message m;

              submission_register_fill_put (&source->reg, s, &m);
              all = all
                    && submission_register_put (&to->reg, &m.u.record_put)
                           == RECORD_OK;
            }
          to->reg.synced = to->reg.synced || all;
          sim->group.members[j].synced = all;
        }
    }
}

/* Sends S with START_WATERMARK to every other member of the group that N
   knows.  Returns whether all accepted it; sets *ANY_LOST if a message or its
   reply was lost.  */
static bool
replicate (struct simulation *sim, struct node *n, struct submission *s,
           uint32_t start_watermark, bool *any_lost)
{
  const struct group *g = &n->reg.group;
  bool all = true;

  *any_lost = false;
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      struct node *to = node_of (sim, &g->members[i]);
      struct peer_message m;

      if (to == n)
        continue;
      submission_register_fill_put (&n->reg, s, &m);
      m.u.record_put.start_watermark = start_watermark;
      if (s->state == SUBMISSION_ENDING)
        {
          m.u.record_put.state = SUBMISSION_ENDED;
          m.u.record_put.answer = slice_of (s->answer);
        }
      if (to == NULL || is_lost (sim))
        {
          *any_lost = true;
          all = false;
          continue;
        }
      if (submission_register_put (&to->reg, &m.u.record_put) != RECORD_OK)
        all = false;
      else if (is_lost (sim))
        {
          *any_lost = true;
          all = false;
        }
    }
  return all;
}

/* Has every other member remove S.  Returns whether all did.  */
static bool
drop_everywhere (struct simulation *sim, struct node *n,
                 const struct submission *s)
{
  const struct group *g = &n->reg.group;
  struct peer_record_done m = { .incarnation = g->incarnation,
                                .key = slice_of (s->id),
                                .state = SUBMISSION_PREPARING };

  for (uint32_t i = 0; i < g->member_count; i++)
    {
      struct node *to = node_of (sim, &g->members[i]);

      if (to == n)
        continue;
      if (to == NULL || is_lost (sim)
          || submission_register_end (&to->reg, &m) != RECORD_OK)
        return false;
    }
  return true;
}

static void
start (struct simulation *sim, struct submission *s, uint32_t task)
{
  int key = key_number (s);

  if (sim->started[key][task])
    sim->violation = "a task was started twice";
  if (sim->reported_not_run[key][task])
    sim->violation = "a task was started after it was reported as not run";
  if (sim->refused[key])
    sim->violation = "a task of a refused submission was started";
  sim->started[key][task] = true;
  sim->starts++;
}

/* Does one step of the execution of S on N: replicates it, raises its
   start_watermark, starts a task or sends its answer.  A node that does not
   know yet that the quorum has removed it does so too.  */
static void
execute_one (struct simulation *sim, struct node *n, struct submission *s)
{
  bool any_lost;

  if (s->state == SUBMISSION_PREPARING)
    {
      if (replicate (sim, n, s, 0, &any_lost))
        s->state = SUBMISSION_OPEN;
    }
  else if (s->state == SUBMISSION_ENDING)
    {
      if (!replicate (sim, n, s, s->start_watermark, &any_lost))
        return;
      s->state = SUBMISSION_ENDED;
      send_answer (sim, s);
    }
  else if (s->next_task < s->start_watermark && s->next_task < TASKS)
    start (sim, s, s->next_task++);
  else if (s->start_watermark < TASKS
           && replicate (sim, n, s, s->start_watermark + 2, &any_lost))
    s->start_watermark += 2;
}

/* Continues some of the records that N executes.  */
static void
execute (struct simulation *sim, struct node *n)
{
  for (struct submission *s = n->reg.records; s != NULL; s = s->hh.next)
    if (s->state != SUBMISSION_ENDED && s->executor_boot_id == n->reg.boot_id
        && strcmp (s->executor, n->reg.vm) == 0
        && prng_next (&sim->prng, 4) == 0)
      execute_one (sim, n, s);
}

/* A caller submits KEY to N; nothing happens unless N owns the key.  */
static void
submit (struct simulation *sim, struct node *n, int key)
{
  struct submission_digest digest = { 1, (uint64_t)key };
  struct submission_key k = { .bare = false, .issued_wall_ms = WALL_MS };
  const struct group_member *owner;
  enum submit_verdict v;
  struct submission *s;
  bool any_lost;

  k.incarnation = 1 + (uint64_t)key % 12;
  snprintf (k.text, sizeof k.text, "shop.%d.1.k%d", 1 + key % 12, key);
  snprintf (k.domain, sizeof k.domain, "shop");
  owner = group_owner (&n->reg.group, k.text);
  if (owner == NULL || strcmp (owner->vm, n->reg.vm) != 0)
    return;
  v = submission_register_submit (&n->reg, WALL_MS, &k, "t", digest, &s);
  if (v != SUBMIT_NEW)
    return;
  for (int i = 0; i < TASKS; i++)
    if (sim->started[key][i])
      sim->violation = "a key whose tasks were started was accepted as new";
  s->start_watermark = prng_next (&sim->prng, 4);
  sim->refused[key] = false;
  if (replicate (sim, n, s, s->start_watermark, &any_lost))
    {
      s->state = SUBMISSION_OPEN;
      return;
    }
  if (!any_lost && drop_everywhere (sim, n, s))
    sim->refused[key] = true;
  submission_register_drop (&n->reg, s);
}

/* A random event at a random node.  */
static void
step (struct simulation *sim)
{
  int i = (int)prng_next (&sim->prng, GROUP);
  struct node *n = &sim->nodes[i];

  switch (prng_next (&sim->prng, 60))
    {
    case 0:
      if (n->up)
        submission_register_done (&n->reg);
      n->up = false;
      break;
    case 1:
    case 2:
      if (!n->up)
        boot (sim, i);
      break;
    case 3:
    case 4:
      change_group (sim);
      break;
    case 5:
    case 6:
      sync_members (sim);
      break;
    default:
      if (!n->up)
        break;
      if (prng_next (&sim->prng, 3) == 0)
        update_group (sim, n);
      submit (sim, n, (int)prng_next (&sim->prng, KEYS));
      execute (sim, n);
      break;
    }
}

static void
test_random_faults (void)
{
  uint32_t starts = 0;
  uint32_t taken_over = 0;

  for (uint64_t seed = first_seed (); seed <= last_seed (); seed++)
    {
      struct simulation *sim = calloc (1, sizeof *sim);
      int steps = 0;

      prng_init (&sim->prng, seed);
      for (int i = 0; i < GROUP; i++)
        boot (sim, i);
      change_group (sim);
      while (steps++ < STEPS && sim->violation == NULL)
        step (sim);
      if (sim->violation != NULL)
        printf ("seed %llu, step %d: %s\n", (unsigned long long)seed, steps,
                sim->violation);
      CU_ASSERT_PTR_NULL (sim->violation);
      starts += sim->starts;
      taken_over += sim->taken_over;
      for (int i = 0; i < GROUP; i++)
        if (sim->nodes[i].up)
          submission_register_done (&sim->nodes[i].reg);
      free (sim);
    }
  CU_ASSERT_TRUE (starts > 0);
  if (first_seed () != last_seed ())
    CU_ASSERT_TRUE (taken_over > 10);
}

static void
test_verdicts (void)
{
  struct submission_register r;
  struct group g
      = { .domain = "shop",
          .incarnation = 5,
          .complete_since = 4,
          .complete_since_wall_ms = WALL_MS,
          .members = { { .vm = "a", .boot_id = 9, .synced = true } },
          .member_count = 1 };
  struct submission_key k = { .text = "shop.5.1.x",
                              .domain = "shop",
                              .incarnation = 5,
                              .issued_wall_ms = WALL_MS };
  struct submission_digest one = { 1, 1 };
  struct submission_digest two = { 2, 2 };
  struct submission *s;
  int64_t now = WALL_MS + 1000;

  submission_register_init (&r, "a", 9, 60000, 2);
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_NOT_MEMBER);
  submission_register_set_group (&r, &g);
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_NEW);
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_KNOWN);
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", two, &s),
                   SUBMIT_CONFLICT);
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "u", two, &s),
                   SUBMIT_NEW);
  snprintf (k.text, sizeof k.text, "shop.5.1.y");
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_FULL);
  k.incarnation = 3;
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_RECORDS_LOST);
  k.incarnation = 6;
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_FUTURE);
  k.incarnation = 5;
  CU_ASSERT_EQUAL (
      submission_register_submit (&r, WALL_MS + 61000, &k, "t", one, &s),
      SUBMIT_EXPIRED);
  k.bare = true;
  k.incarnation = 0;
  CU_ASSERT_EQUAL (submission_register_submit (&r, now, &k, "t", one, &s),
                   SUBMIT_RECORDS_LOST);
  submission_register_done (&r);
}

/* When ended records exceed bytes_limit the oldest are evicted, and keys as
   old as those are never accepted as new.  */
static void
test_bytes_limit (void)
{
  struct submission_register r;
  struct group g
      = { .domain = "shop",
          .incarnation = 1,
          .complete_since = 1,
          .members = { { .vm = "a", .boot_id = 9, .synced = true } },
          .member_count = 1 };
  struct submission_key k = { .domain = "shop", .incarnation = 1 };
  struct submission_digest one = { 1, 1 };
  struct submission *s;

  submission_register_init (&r, "a", 9, 900000, 100000);
  submission_register_set_group (&r, &g);
  r.bytes_limit = 50 * sizeof *s;
  for (int i = 0; i < 100; i++)
    {
      snprintf (k.text, sizeof k.text, "shop.1.%d.x", i);
      k.issued_wall_ms = WALL_MS + i * 1000L;
      CU_ASSERT_EQUAL (
          submission_register_submit (&r, WALL_MS + 100000, &k, "t", one, &s),
          SUBMIT_NEW);
      submission_end (s);
    }
  CU_ASSERT_EQUAL (submission_register_expire (&r, WALL_MS + 100000), 55);
  CU_ASSERT_EQUAL (HASH_COUNT (r.records), 45);
  snprintf (k.text, sizeof k.text, "shop.1.54.x");
  k.issued_wall_ms = WALL_MS + 54000;
  CU_ASSERT_EQUAL (
      submission_register_submit (&r, WALL_MS + 100000, &k, "t", one, &s),
      SUBMIT_EXPIRED);
  snprintf (k.text, sizeof k.text, "shop.1.55.x");
  k.issued_wall_ms = WALL_MS + 55000;
  CU_ASSERT_EQUAL (
      submission_register_submit (&r, WALL_MS + 100000, &k, "t", one, &s),
      SUBMIT_KNOWN);
  submission_register_reset (&r, 10);
  CU_ASSERT_EQUAL (HASH_COUNT (r.records), 0);
  CU_ASSERT_EQUAL (r.boot_id, 10);
  CU_ASSERT_EQUAL (r.bytes_limit, 50 * sizeof *s);
  CU_ASSERT_EQUAL (r.capacity, 100000);
  submission_register_done (&r);
}

void
suite_register (void)
{
  CU_pSuite s = CU_add_suite ("submission register", NULL, NULL);

  CU_add_test (s, "invariants hold with random loss and restarts",
               test_random_faults);
  CU_add_test (s, "a submission gets the right verdict", test_verdicts);
  CU_add_test (s, "the oldest records exceeding the limit are evicted",
               test_bytes_limit);
}
