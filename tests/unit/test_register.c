/* The submission register of a whole replica group under random loss of
   messages, restarts, lagging views and resubmission everywhere.

   Invariants: no task starts twice; a task that a survivor calls not run is
   never started; a key whose tasks started is never taken as new.  */
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

struct world
{
  struct prng q;
  struct node nodes[GROUP];
  struct group group; /* what the quorum has decided */
  uint64_t next_boot;
  bool started[KEYS][TASKS];
  bool called_not_run[KEYS][TASKS];
  bool refused[KEYS]; /* told "not run", and not submitted again since */
  uint32_t starts;
  uint32_t taken_over;
  const char *broken;
};

static const char *const vms[GROUP] = { "a", "b", "c" };

static bool
lost (struct world *w)
{
  return prng_next (&w->q, 12) == 0;
}

static struct node *
node_of (struct world *w, const struct group_member *m)
{
  for (int i = 0; i < GROUP; i++)
    if (strcmp (vms[i], m->vm) == 0 && w->nodes[i].up
        && w->nodes[i].reg.boot_id == m->boot_id)
      return &w->nodes[i];
  return NULL;
}

static void
boot (struct world *w, int i)
{
  struct node *n = &w->nodes[i];

  submission_register_init (&n->reg, vms[i], ++w->next_boot, 900000, 1000);
  n->up = true;
}

/* The view of the quorum reaches node N, now or later.  */
static void learn (struct world *w, struct node *n);

/* The quorum drops the members that are down, takes the others in, and each
   of them gets all records of a synced one.  */
static void
change_group (struct world *w)
{
  struct group next = { .incarnation = w->group.incarnation + 1,
                        .complete_since = w->group.complete_since };
  uint32_t synced = 0;

  snprintf (next.domain, sizeof next.domain, "shop");
  for (int i = 0; i < GROUP; i++)
    {
      struct group_member *m = &next.members[next.member_count];
      const struct group_member *old = group_member_find (&w->group, vms[i]);
      bool same = old != NULL && old->boot_id == w->nodes[i].reg.boot_id;

      if (!w->nodes[i].up)
        continue;
      snprintf (m->vm, sizeof m->vm, "%s", vms[i]);
      m->boot_id = w->nodes[i].reg.boot_id;
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
  w->group = next;
}

static int
key_number (const struct submission *s)
{
  return atoi (strrchr (s->id, 'k') + 1);
}

/* A record that had not begun is continued once every member has it; of the
   others the answer is written, and told once every member has it.  */
static void
on_taken_over (void *arg, struct submission *s)
{
  struct world *w = arg;

  w->taken_over++;
  s->state = s->may_start == 0 ? SUBMISSION_PREPARING : SUBMISSION_ENDING;
  s->answer = strdup ("lost");
}

static void
tell (struct world *w, struct submission *s)
{
  int key = key_number (s);

  for (uint32_t i = s->may_start; i < TASKS; i++)
    {
      if (w->started[key][i])
        w->broken = "a started task was called not run";
      w->called_not_run[key][i] = true;
    }
}

static void
learn (struct world *w, struct node *n)
{
  if (submission_register_set_group (&n->reg, &w->group))
    submission_register_take_over (&n->reg, on_taken_over, w);
}

/* Sends every record of the sync source to the unsynced members.  */
static void
sync_members (struct world *w)
{
  for (int i = 0; i < GROUP; i++)
    {
      struct node *source = &w->nodes[i];

      if (!source->up || source->reg.group.incarnation != w->group.incarnation
          || !submission_register_is_sync_source (&source->reg))
        continue;
      for (uint32_t j = 0; j < w->group.member_count; j++)
        {
          struct node *to = node_of (w, &w->group.members[j]);
          bool all = true;

          if (to == NULL || w->group.members[j].synced
              || to->reg.group.incarnation != w->group.incarnation)
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
          w->group.members[j].synced = all;
        }
    }
}

/* Whether every other member of N's view took S up to MAY_START.  *ANY_LOST
   tells whether a message or its reply was lost.  */
static bool
replicate (struct world *w, struct node *n, struct submission *s,
           uint32_t may_start, bool *any_lost)
{
  const struct group *g = &n->reg.group;
  bool all = true;

  *any_lost = false;
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      struct node *to = node_of (w, &g->members[i]);
      struct peer_message m;

      if (to == n)
        continue;
      submission_register_fill_put (&n->reg, s, &m);
      m.u.record_put.may_start = may_start;
      if (s->state == SUBMISSION_ENDING)
        {
          m.u.record_put.state = SUBMISSION_ENDED;
          m.u.record_put.answer = slice_of (s->answer);
        }
      if (to == NULL || lost (w))
        {
          *any_lost = true;
          all = false;
          continue;
        }
      if (submission_register_put (&to->reg, &m.u.record_put) != RECORD_OK)
        all = false;
      else if (lost (w))
        {
          *any_lost = true;
          all = false;
        }
    }
  return all;
}

/* Whether every other member has dropped S.  */
static bool
drop_everywhere (struct world *w, struct node *n, const struct submission *s)
{
  const struct group *g = &n->reg.group;
  struct peer_record_done m = { .incarnation = g->incarnation,
                                .key = slice_of (s->id),
                                .state = SUBMISSION_PREPARING };

  for (uint32_t i = 0; i < g->member_count; i++)
    {
      struct node *to = node_of (w, &g->members[i]);

      if (to == n)
        continue;
      if (to == NULL || lost (w)
          || submission_register_end (&to->reg, &m) != RECORD_OK)
        return false;
    }
  return true;
}

static void
start (struct world *w, struct submission *s, uint32_t task)
{
  int key = key_number (s);

  if (w->started[key][task])
    w->broken = "a task was started twice";
  if (w->called_not_run[key][task])
    w->broken = "a task called not run was started";
  if (w->refused[key])
    w->broken = "a task of a refused submission was started";
  w->started[key][task] = true;
  w->starts++;
}

/* N runs some tasks of the records that it executes.  A node that the quorum
   has dropped without its knowledge does so too.  */
static void
execute_one (struct world *w, struct node *n, struct submission *s)
{
  bool any_lost;

  if (s->state == SUBMISSION_PREPARING)
    {
      if (replicate (w, n, s, 0, &any_lost))
        s->state = SUBMISSION_OPEN;
    }
  else if (s->state == SUBMISSION_ENDING)
    {
      if (!replicate (w, n, s, s->may_start, &any_lost))
        return;
      s->state = SUBMISSION_ENDED;
      tell (w, s);
    }
  else if (s->next_task < s->may_start && s->next_task < TASKS)
    start (w, s, s->next_task++);
  else if (s->may_start < TASKS
           && replicate (w, n, s, s->may_start + 2, &any_lost))
    s->may_start += 2;
}

static void
execute (struct world *w, struct node *n)
{
  for (struct submission *s = n->reg.records; s != NULL; s = s->hh.next)
    if (s->state != SUBMISSION_ENDED && s->executor_boot_id == n->reg.boot_id
        && strcmp (s->executor, n->reg.vm) == 0 && prng_next (&w->q, 4) == 0)
      execute_one (w, n, s);
}

static void
submit (struct world *w, struct node *n, int key)
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
    if (w->started[key][i])
      w->broken = "a key whose tasks started was taken as new";
  s->may_start = prng_next (&w->q, 4);
  w->refused[key] = false;
  if (replicate (w, n, s, s->may_start, &any_lost))
    {
      s->state = SUBMISSION_OPEN;
      return;
    }
  if (!any_lost && drop_everywhere (w, n, s))
    w->refused[key] = true;
  submission_register_drop (&n->reg, s);
}

static void
step (struct world *w)
{
  int i = (int)prng_next (&w->q, GROUP);
  struct node *n = &w->nodes[i];

  switch (prng_next (&w->q, 60))
    {
    case 0:
      if (n->up)
        submission_register_done (&n->reg);
      n->up = false;
      break;
    case 1:
    case 2:
      if (!n->up)
        boot (w, i);
      break;
    case 3:
    case 4:
      change_group (w);
      break;
    case 5:
    case 6:
      sync_members (w);
      break;
    default:
      if (!n->up)
        break;
      if (prng_next (&w->q, 3) == 0)
        learn (w, n);
      submit (w, n, (int)prng_next (&w->q, KEYS));
      execute (w, n);
      break;
    }
}

static void
test_random (void)
{
  uint32_t starts = 0;
  uint32_t taken_over = 0;

  for (uint64_t seed = first_seed (); seed <= last_seed (); seed++)
    {
      struct world *w = calloc (1, sizeof *w);
      int steps = 0;

      prng_init (&w->q, seed);
      for (int i = 0; i < GROUP; i++)
        boot (w, i);
      change_group (w);
      while (steps++ < STEPS && w->broken == NULL)
        step (w);
      if (w->broken != NULL)
        printf ("seed %llu, step %d: %s\n", (unsigned long long)seed, steps,
                w->broken);
      CU_ASSERT_PTR_NULL (w->broken);
      starts += w->starts;
      taken_over += w->taken_over;
      for (int i = 0; i < GROUP; i++)
        if (w->nodes[i].up)
          submission_register_done (&w->nodes[i].reg);
      free (w);
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

/* Where ended records do not fit, the oldest go, and keys as old as they are
   never taken as new.  */
static void
test_bytes (void)
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

  CU_add_test (s, "random loss, restarts and views", test_random);
  CU_add_test (s, "verdicts", test_verdicts);
  CU_add_test (s, "the bound of bytes", test_bytes);
}
