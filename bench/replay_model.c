#include "bench/replay_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "coord/job_router.h"
#include "coord/run_scheduler.h"
#include "coord/task_delegation.h"

enum
{
  /* One way between an entry, a dispatcher and a target.  */
  HOP_MS = 1,
  ROUND_TRIP_MS = 2 * HOP_MS,

  SLOTS = 8,
  TARGET_MEMORY_MB = 131072,
  TASK_MEMORY_MB = 64,
  STRETCH_MILLI = 1600,
  FLOOR_MS = 60,
  CALLER_PATIENCE_MS = 2500,
  LATE_OBJECTIVES = 3,
  WINDOW_MS = 2000,
  LOOK_MS = 60,

  /* Entries hear of capacities at different moments.  */
  ROOM_STAGGER_MS = 7,

  /* Time for what is open at the end to come to its own end.  */
  TAIL_MS = 6000
};

static const double late_share = 0.2;

/* Spread of the drawn figures, as the sigma of a lognormal.  */
static const double task_spread = 0.4;
static const double count_spread = 0.4;
static const double cpu_spread = 0.2;
static const double uneven_spread = 0.15;
static const double estimate_spread = 0.4;
static const double largest = 4;

struct model_job
{
  struct model *model;
  struct job_spec spec;
  uint32_t class;
  uint32_t entry;
  int64_t arrived_ms;
  int64_t objective_ms;
  double worth;
  double *task_ms;
  char tried[ROUTE_TRY_LIMIT][NAME_BYTES];
  uint32_t tried_count;
};

/* Tasks that one dispatcher has lent to another.  */
struct model_part
{
  struct job_spec spec;
  double *task_ms;
  uint32_t lender;
  uint32_t taker;
  struct run_job *job; /* NULL once the lender does not want them */
  struct run_job *run; /* at the taker */
  uint32_t first;
  uint32_t count;
  enum job_result result;
  struct model_part *next;
};

enum model_event_type
{
  MODEL_SUBMIT,
  MODEL_LEND,
  MODEL_RETURN,
  MODEL_RECALL,
  MODEL_BEGAN,
  MODEL_ENDED
};

/* Something that happens at a moment.  */
struct model_event
{
  enum model_event_type type;
  uint32_t owner; /* dispatcher */
  struct model_job *job;
  struct model_part *part;
  struct run_target *target;
  char task[RUN_NAME_BYTES];
  uint64_t run;
  bool stopped;
  int64_t begin_ms; /* of the run that ends */
  struct model_event *next;
};

struct model
{
  const struct replay_setup *setup;
  struct replay_result *result;
  uint64_t random;
  int64_t now;
  int64_t horizon;
  struct model_event **moments; /* by ms, to the horizon */

  struct run_scheduler *owners;
  uint32_t owner_count;
  struct route_dispatcher *views; /* of each owner: the entries', then the
                                     owners' own */
  uint32_t entry_count;
  struct model_part *parts; /* lent and not returned */
  uint64_t next_key;
  double busy_cpu_ms;
  double *window_owed;
  double *window_earned;
};

/* Which scheduler a callback speaks for.  */
struct model_owner
{
  struct model *model;
  uint32_t number;
};

void
replay_setup_sofnets (struct replay_setup *s)
{
  *s = (struct replay_setup){
    .seed = 1,
    .length_ms = 30000,
    .classes = { { "short", 34.4, 60, 8, 27000, 0.0291, 0 },
                 { "long", 6.25, 900, 4, 27000, 0.16, 2 },
                 { "middle", 100, 200, 2, 27000, 0.01, 1 } },
    .class_count = 3,
    .domains = 3,
    .targets = 16,
    .owners = 1,
    .entries = 3,
    .cpu_milli = 64000,
    .room_ms = 150,
    .load = 1,
    .burst = 1,
  };
}

static double
uniform (struct model *m)
{
  m->random ^= m->random << 13;
  m->random ^= m->random >> 7;
  m->random ^= m->random << 17;
  return (double)(m->random >> 11) / 9007199254740992.0;
}

/* A lognormal of mean 1, at most LARGEST.  */
static double
spread (struct model *m, double sigma)
{
  double u = uniform (m);
  double v = uniform (m);
  double normal = sqrt (-2 * log (u < 1e-12 ? 1e-12 : u)) * cos (2 * M_PI * v);
  double x = exp (sigma * normal - sigma * sigma / 2);

  return x > largest ? largest : x;
}

static void
happen (struct model *m, int64_t at, const struct model_event *e)
{
  struct model_event *copy;

  if (at >= m->horizon)
    return;
  copy = malloc (sizeof *copy);
  *copy = *e;
  LL_APPEND (m->moments[at], copy);
}

static struct model_event *
find_end (struct model *m, const char *task, uint64_t run, int64_t *at)
{
  for (*at = m->now; *at < m->horizon; ++*at)
    {
      struct model_event *e;

      LL_FOREACH (m->moments[*at], e)
      if (e->type == MODEL_ENDED && e->run == run && !e->stopped
          && strcmp (e->task, task) == 0)
        return e;
    }
  return NULL;
}

/* How long the tasks of J take.  */
static const double *
task_times (const struct run_job *j)
{
  if (j->spec.part.is_part)
    return ((const struct model_part *)j->user_data)->task_ms;
  return ((const struct model_job *)j->user_data)->task_ms;
}

static bool
in_burst (const struct model *m)
{
  return m->now >= m->setup->burst_from_ms && m->now < m->setup->burst_to_ms;
}

/* How much longer a run that begins on T now takes.  */
static double
slowness_of (const struct model *m, const struct run_target *t)
{
  uint32_t number = (uint32_t)strtoul (t->spec.id + 1, NULL, 10);

  return in_burst (m) && number * 37 % 100 < m->setup->slow_percent
             ? m->setup->slow
             : 1;
}

static void
on_start (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  struct model_owner *o = arg;
  struct model *m = o->model;
  const double *task_ms = task_times (j);
  struct model_event e
      = { .owner = o->number, .target = t, .run = j->tasks[task].run };
  double ms = task_ms[task] * slowness_of (m, t);

  run_job_task_name (j, task, e.task);
  e.type = MODEL_BEGAN;
  happen (m, m->now + ROUND_TRIP_MS, &e);
  e.type = MODEL_ENDED;
  e.begin_ms = m->now + ROUND_TRIP_MS;
  happen (m, m->now + ROUND_TRIP_MS + (int64_t)ceil (ms), &e);
  if (m->now < m->setup->length_ms)
    m->busy_cpu_ms += ms * (double)j->spec.steps[0].cpu_milli;
}

static void
on_stop (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  struct model_owner *o = arg;
  struct model *m = o->model;
  struct model_event stopped;
  char name[RUN_NAME_BYTES];
  int64_t at;
  struct model_event *e;

  (void)t;
  run_job_task_name (j, task, name);
  e = find_end (m, name, j->tasks[task].run, &at);
  if (e == NULL)
    return;
  stopped = *e;
  stopped.stopped = true;
  LL_DELETE (m->moments[at], e);
  free (e);
  happen (m, m->now + ROUND_TRIP_MS, &stopped);
}

static void
count_end (struct model *m, struct model_job *j, enum job_result result)
{
  struct replay_class_result *c = &m->result->classes[j->class];
  int64_t took = m->now + HOP_MS - j->arrived_ms;
  size_t window = (size_t)(j->arrived_ms / WINDOW_MS);
  double earned = 0;

  if (result == JOB_REFUSED)
    c->refused++;
  else if (result == JOB_DONE && took <= j->objective_ms)
    {
      c->on_time++;
      earned = j->worth;
    }
  else if (result == JOB_DONE && took <= LATE_OBJECTIVES * j->objective_ms)
    {
      c->late++;
      earned = j->worth * late_share;
    }
  else
    c->hopeless++;
  c->jobs++;
  c->owed += j->worth;
  c->earned += earned;
  m->window_owed[window] += j->worth;
  m->window_earned[window] += earned;
  free (j->task_ms);
  free (j);
}

static void route (struct model *m, struct model_job *j);

static void
take_refusal (struct model *m, struct model_job *j, enum refusal_reason reason)
{
  if (reason == REFUSAL_EXPIRED || j->tried_count == ROUTE_TRY_LIMIT)
    count_end (m, j, JOB_REFUSED);
  else
    route (m, j);
}

static struct route_dispatcher *
views_of (const struct model *m, uint32_t entry)
{
  return &m->views[(size_t)entry * m->owner_count];
}

static void
part_ended (struct model *m, struct model_part *p, enum job_result result)
{
  struct model_event e = { .type = MODEL_RETURN, .part = p };

  p->run = NULL;
  p->result = result;
  happen (m, m->now + HOP_MS, &e);
}

static void
part_free (struct model_part *p)
{
  free (p->task_ms);
  free (p);
}

static void
take_part (struct model *m, struct model_part *p)
{
  enum refusal_reason reason;
  int64_t retry_ms;

  p->run = run_scheduler_submit (&m->owners[p->taker], m->now, &p->spec, p,
                                 &reason, &retry_ms);
  if (p->run == NULL)
    part_ended (m, p, JOB_REFUSED);
}

static void
take_return (struct model *m, struct model_part *p)
{
  if (p->job != NULL)
    {
      LL_DELETE (m->parts, p);
      m->result->parts++;
      m->result->parts_sent_back += p->result == JOB_REFUSED;
      if (p->result == JOB_REFUSED)
        task_delegation_refused (
            &views_of (m, m->entry_count + p->lender)[p->taker], m->now);
      run_scheduler_delegation_ended (&m->owners[p->lender], m->now, p->job,
                                      p->first, p->count, p->result,
                                      REFUSAL_NONE);
      part_free (p);
    }
}

static void
take_recall (struct model *m, struct model_part *p)
{
  if (p->run != NULL)
    run_scheduler_cancel (&m->owners[p->taker], m->now, p->run);
  part_free (p);
}

static void
on_recall (void *arg, struct run_job *j)
{
  struct model_owner *o = arg;
  struct model_part *p;
  struct model_part *next;

  LL_FOREACH_SAFE (o->model->parts, p, next)
  if (p->job == j)
    {
      struct model_event e = { .type = MODEL_RECALL, .part = p };

      LL_DELETE (o->model->parts, p);
      p->job = NULL;
      happen (o->model, o->model->now + ROUND_TRIP_MS, &e);
    }
}

static void
on_finished (void *arg, struct run_job *run, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  struct model_owner *o = arg;

  (void)retry_ms;
  if (run->spec.part.is_part)
    part_ended (o->model, run->user_data, result);
  else if (result == JOB_REFUSED)
    take_refusal (o->model, run->user_data, reason);
  else
    count_end (o->model, run->user_data, result);
}

static const struct run_scheduler_output output
    = { on_start, on_stop, on_finished, on_recall, NULL };

static void
add_free (struct route_capacity *r, const struct run_target *t)
{
  uint64_t cpu = t->spec.cpu_milli - t->cpu_used;

  r->free_cpu_milli += cpu;
  free_capacity_add (&r->free_by_target, cpu);
}

/* Has ENTRY know the room of OWNER as it is.  */
static void
tell_room (struct model *m, uint32_t entry, uint32_t owner)
{
  struct route_dispatcher *d = &views_of (m, entry)[owner];
  const struct run_scheduler *s = &m->owners[owner];
  struct route_capacity *r = &d->capacities[0];

  memset (r, 0, sizeof *r);
  snprintf (r->service, sizeof r->service, "svc");
  for (uint32_t i = 0; i < s->target_count; i++)
    if (s->targets[i]->phase == TARGET_READY)
      {
        r->cpu_milli += s->targets[i]->spec.cpu_milli;
        add_free (r, s->targets[i]);
      }
  r->work_ahead = run_scheduler_backlog (s, "svc", INT64_MAX).work_ahead;
  d->capacity_count = 1;
  d->reachable = true;
  d->reported_ms = m->now;
}

/* Sends J to the dispatcher that its entry chooses.  */
static void
route (struct model *m, struct model_job *j)
{
  char domain[NAME_BYTES];
  struct route_dispatcher *d;
  struct model_event e = { .type = MODEL_SUBMIT, .job = j };

  snprintf (domain, sizeof domain, "d%u", j->entry / m->setup->entries);
  d = job_router_choose (views_of (m, j->entry), m->owner_count, domain,
                         &j->spec, (const char (*)[NAME_BYTES])j->tried,
                         j->tried_count, m->now);
  if (d == NULL)
    {
      count_end (m, j, JOB_REFUSED);
      return;
    }
  memcpy (j->tried[j->tried_count++], d->vm, NAME_BYTES);
  job_router_sent (d, &j->spec);
  e.owner = (uint32_t)(d - views_of (m, j->entry));
  happen (m, m->now + HOP_MS, &e);
}

static void
take_job (struct model *m, uint32_t owner, struct model_job *j)
{
  enum refusal_reason reason;
  int64_t retry_ms;

  j->spec.age_ms = m->now - j->arrived_ms;
  j->spec.deadline_ms = CALLER_PATIENCE_MS - j->spec.age_ms;
  if (run_scheduler_submit (&m->owners[owner], m->now, &j->spec, j, &reason,
                            &retry_ms)
      == NULL)
    take_refusal (m, j, reason);
}

static void
take_event (struct model *m, const struct model_event *e)
{
  struct run_scheduler *s = &m->owners[e->owner];

  switch (e->type)
    {
    case MODEL_SUBMIT:
      take_job (m, e->owner, e->job);
      break;
    case MODEL_LEND:
      take_part (m, e->part);
      break;
    case MODEL_RETURN:
      take_return (m, e->part);
      break;
    case MODEL_RECALL:
      take_recall (m, e->part);
      break;
    case MODEL_BEGAN:
      run_scheduler_start_result (s, m->now, e->target, e->task, e->run,
                                  START_ACCEPTED);
      break;
    case MODEL_ENDED:
      run_scheduler_ended (s, m->now, e->target, e->task, e->run,
                           e->stopped ? RUN_END_STOPPED : RUN_END_DONE);
      break;
    }
}

/* A job of class C, drawn.  */
static struct model_job *
draw_job (struct model *m, uint32_t c)
{
  const struct replay_class *k = &m->setup->classes[c];
  struct model_job *j = calloc (1, sizeof *j);
  double task_ms = k->task_ms * spread (m, task_spread);
  double cpu = k->cpu * spread (m, cpu_spread);
  double tasks = round (k->tasks * spread (m, count_spread));
  double longest = 0;
  double work = 0;

  j->model = m;
  j->class = c;
  j->entry = (uint32_t)(uniform (m) * m->entry_count);
  j->arrived_ms = m->now;
  j->spec.step_count = 1;
  j->spec.steps[0] = (struct job_step){
    .count = tasks < 1 ? 1 : (uint32_t)tasks,
    .cpu_milli = (uint64_t)(cpu > 1.5 * k->cpu ? 1.5 * k->cpu : cpu),
    .memory_mb = TASK_MEMORY_MB,
    .estimate_ms = (int64_t)ceil (task_ms * spread (m, estimate_spread)),
  };
  j->task_ms = calloc (j->spec.steps[0].count, sizeof *j->task_ms);
  for (uint32_t i = 0; i < j->spec.steps[0].count; i++)
    {
      j->task_ms[i] = task_ms * spread (m, uneven_spread);
      longest = fmax (longest, j->task_ms[i]);
      work += j->task_ms[i] * (double)j->spec.steps[0].cpu_milli;
    }
  j->worth = k->worth
             * fmin (4, 0.3 + 0.7 * work / (k->task_ms * k->tasks * k->cpu));
  j->objective_ms
      = (int64_t)(longest * STRETCH_MILLI / STRETCH_SCALE) + FLOOR_MS;
  snprintf (j->spec.key, sizeof j->spec.key, "%016llx",
            (unsigned long long)++m->next_key);
  snprintf (j->spec.queue, sizeof j->spec.queue, "%s", k->name);
  snprintf (j->spec.service, sizeof j->spec.service, "svc");
  j->spec.priority = k->priority;
  j->spec.attempts = 3;
  j->spec.stretch_milli = STRETCH_MILLI;
  j->spec.floor_ms = FLOOR_MS;
  j->spec.payload = slice_of ("");
  return j;
}

static void
draw_arrivals (struct model *m)
{
  double x = m->setup->load * (in_burst (m) ? m->setup->burst : 1) / 1000;

  for (uint32_t c = 0; c < m->setup->class_count; c++)
    if (uniform (m) < m->setup->classes[c].per_s * x)
      route (m, draw_job (m, c));
}

/* Has the share of targets that is lost in the burst be there or not.  */
static void
set_lost (struct model *m)
{
  uint32_t n = m->setup->lost_percent;

  if (n == 0 || m->now != m->setup->burst_from_ms)
    return;
  for (uint32_t o = 0; o < m->owner_count; o++)
    for (uint32_t i = 0; i < m->owners[o].target_count * n / 100; i++)
      m->owners[o].targets[i]->spec.draining = true;
}

/* Lends what waits at OWNER, by capacities that were asked for a moment ago.
 */
static void
lend (struct model *m, uint32_t owner)
{
  struct delegation_offer offers[DELEGATION_OFFER_LIMIT];
  struct route_dispatcher *views = views_of (m, m->entry_count + owner);
  struct run_scheduler *s = &m->owners[owner];
  uint32_t n
      = task_delegation_choose (s, views, m->owner_count, views[owner].vm,
                                views[owner].domain, m->now, offers);

  for (uint32_t i = 0; i < n; i++)
    {
      struct model_part *p = calloc (1, sizeof *p);
      struct model_event e = { .type = MODEL_LEND, .part = p };

      task_delegation_spec (&offers[i], m->now, &p->spec);
      p->lender = owner;
      p->taker = (uint32_t)(offers[i].to - views);
      e.owner = p->taker;
      p->job = offers[i].job;
      p->first = offers[i].first;
      p->count = offers[i].count;
      p->task_ms = malloc (p->count * sizeof *p->task_ms);
      memcpy (p->task_ms, task_times (p->job) + p->first,
              p->count * sizeof *p->task_ms);
      LL_PREPEND (m->parts, p);
      run_scheduler_delegate (s, m->now, p->job, p->first, p->count);
      happen (m, m->now + HOP_MS, &e);
    }
}

/* Has each dispatcher with waiting tasks know the capacities of the others. */
static void
ask_rooms (struct model *m, uint32_t owner)
{
  if (m->now % DELEGATION_QUERY_MS == 0
      && task_delegation_is_needed (&m->owners[owner]))
    for (uint32_t o = 0; o < m->owner_count; o++)
      tell_room (m, m->entry_count + owner, o);
}

/* Has the dispatcher see how far the runs on T have come.  */
static void
look (struct model *m, struct run_scheduler *s, struct run_target *t)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    {
      const struct run_ref *p = &t->runs[i];
      char name[RUN_NAME_BYTES];
      int64_t at;
      const struct model_event *e;

      run_job_task_name (p->job, p->task, name);
      e = find_end (m, name, p->job->tasks[p->task].run, &at);
      if (e != NULL && m->now > e->begin_ms)
        run_scheduler_running (
            s, m->now, t, name, e->run,
            (uint32_t)((m->now - e->begin_ms) * 100 / (at - e->begin_ms + 1)));
    }
}

static void
look_at_all (struct model *m)
{
  for (uint32_t o = 0; o < m->owner_count; o++)
    for (uint32_t i = 0; i < m->owners[o].target_count; i++)
      if ((m->now + i) % LOOK_MS == 0)
        look (m, &m->owners[o], m->owners[o].targets[i]);
}

static void
step (struct model *m)
{
  struct model_event *e;

  set_lost (m);
  for (uint32_t i = 0; i < m->entry_count; i++)
    if ((m->now + (int64_t)(ROOM_STAGGER_MS * i)) % m->setup->room_ms == 0)
      for (uint32_t o = 0; o < m->owner_count; o++)
        tell_room (m, i, o);
  while ((e = m->moments[m->now]) != NULL)
    {
      LL_DELETE (m->moments[m->now], e);
      take_event (m, e);
      free (e);
    }
  if (m->setup->slow_percent != 0)
    look_at_all (m);
  if (m->now < m->setup->length_ms)
    draw_arrivals (m);
  for (uint32_t o = 0; o < m->owner_count; o++)
    {
      run_scheduler_pass (&m->owners[o], m->now);
      if (m->setup->lends)
        {
          ask_rooms (m, o);
          lend (m, o);
        }
    }
}

static void
add_targets (struct model *m)
{
  const struct replay_setup *s = m->setup;

  for (uint32_t i = 0; i < s->domains * s->targets; i++)
    {
      struct run_target_spec t
          = { .slots = SLOTS, .memory_mb = TARGET_MEMORY_MB };
      uint32_t domain = i / s->targets;
      uint32_t owner = s->owners == 0 ? 0 : domain * s->owners + i % s->owners;

      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      t.cpu_milli = i % 3 == 2 ? s->cpu_milli * 3 / 2 : s->cpu_milli;
      run_scheduler_add_target (&m->owners[owner], &t)->phase = TARGET_READY;
    }
}

static void
model_init (struct model *m, const struct replay_setup *s,
            struct replay_result *r, struct model_owner *args)
{
  size_t windows = (size_t)(s->length_ms / WINDOW_MS + 1);
  uint32_t views;

  memset (m, 0, sizeof *m);
  memset (r, 0, sizeof *r);
  m->setup = s;
  m->result = r;
  m->random = s->seed * 0x9e3779b97f4a7c15u + 1;
  m->horizon = s->length_ms + TAIL_MS;
  m->moments = calloc ((size_t)m->horizon, sizeof (struct model_event *));
  m->owner_count = s->owners == 0 ? 1 : s->domains * s->owners;
  m->entry_count = s->domains * s->entries;
  m->owners = calloc (m->owner_count, sizeof *m->owners);
  views = m->owner_count * (m->entry_count + m->owner_count);
  m->views = calloc (views, sizeof *m->views);
  m->window_owed = calloc (windows, sizeof (double));
  m->window_earned = calloc (windows, sizeof (double));
  for (uint32_t o = 0; o < m->owner_count; o++)
    {
      args[o] = (struct model_owner){ m, o };
      run_scheduler_init (&m->owners[o], &output, &args[o]);
    }
  for (uint32_t i = 0; i < views; i++)
    {
      uint32_t owner = i % m->owner_count;

      snprintf (m->views[i].vm, NAME_BYTES, "o%u", owner);
      snprintf (m->views[i].domain, NAME_BYTES, "d%u",
                s->owners == 0 ? 0 : owner / s->owners);
    }
  add_targets (m);
}

static void
sum_up (struct model *m)
{
  struct replay_result *r = m->result;
  const struct replay_setup *s = m->setup;
  double cpu = 0;

  for (uint32_t i = 0; i < s->domains * s->targets; i++)
    cpu += (double)(i % 3 == 2 ? s->cpu_milli * 3 / 2 : s->cpu_milli);
  r->busy = m->busy_cpu_ms / (cpu * (double)s->length_ms);
  for (uint32_t c = 0; c < s->class_count; c++)
    {
      r->all.jobs += r->classes[c].jobs;
      r->all.on_time += r->classes[c].on_time;
      r->all.late += r->classes[c].late;
      r->all.refused += r->classes[c].refused;
      r->all.hopeless += r->classes[c].hopeless;
      r->all.owed += r->classes[c].owed;
      r->all.earned += r->classes[c].earned;
    }
  r->worst_window = 1;
  for (int64_t w = 0; w < s->length_ms / WINDOW_MS; w++)
    if (m->window_owed[w] > 0)
      r->worst_window
          = fmin (r->worst_window, m->window_earned[w] / m->window_owed[w]);
}

static void
model_done (struct model *m)
{
  for (uint32_t o = 0; o < m->owner_count; o++)
    run_scheduler_done (&m->owners[o]);
  free (m->owners);
  free (m->views);
  free (m->moments);
  free (m->window_owed);
  free (m->window_earned);
}

void
replay_run (const struct replay_setup *s, struct replay_result *r)
{
  struct model m;
  struct model_owner *args
      = calloc ((size_t)s->domains * (s->owners + 1), sizeof *args);

  model_init (&m, s, r, args);
  for (; m.now < m.horizon; m.now++)
    step (&m);
  sum_up (&m);
  model_done (&m);
  free (args);
}
