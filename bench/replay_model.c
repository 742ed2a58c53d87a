#include "bench/replay_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "coord/job_lease.h"
#include "coord/job_router.h"
#include "coord/run_admission.h"
#include "coord/run_scheduler.h"
#include "coord/run_speeds.h"
#include "coord/task_delegation.h"

enum
{
  /* One-way latency between an entry, a dispatcher and a target.  */
  HOP_MS = 1,
  ROUND_TRIP_MS = 2 * HOP_MS,

  SLOTS = 8,
  TARGET_MEMORY_MB = 131072,
  TASK_MEMORY_MB = 64,
  STRETCH_MILLI = 1600,
  FLOOR_MS = 60,
  CALLER_TIMEOUT_MS = 2500,

  /* A job ends late, rather than too late, up to this many times its
     objective.  */
  LATE_OBJECTIVES = 3,

  WINDOW_MS = 2000,
  POLL_MS = 60,

  /* Period of the swing of the domains' shares of the jobs.  */
  SWING_MS = 15000,

  /* Offset between the entries' reports of free capacity, which do not arrive
     at the same time.  */
  REPORT_STAGGER_MS = 7,

  /* Time after the load ends in which the open jobs end.  */
  TAIL_MS = 6000
};

/* Share of its worth that a late job earns.  */
static const double late_share = 0.2;

/* Standard deviations of the lognormal distributions: run time of a job's
   tasks, number of tasks, cores, run time within a job, estimate.  */
static const double task_sigma = 0.4;
static const double count_sigma = 0.4;
static const double cpu_sigma = 0.2;
static const double within_job_sigma = 0.15;
static const double estimate_sigma = 0.4;
static const double max_factor = 4;

struct model_job
{
  struct model *model;
  struct job_spec spec;
  uint32_t class;
  uint32_t entry;
  int64_t arrived_ms;
  int64_t objective_ms;
  int64_t timeout_ms;
  double work;
  double worth;
  double *task_ms;
  enum refusal_reason reason; /* of its last refusal */
  char tried[ROUTE_PRIORITY_TRY_LIMIT][NAME_BYTES];
  uint32_t tried_count;
};

/* Tasks that one dispatcher has delegated to another.  */
struct model_delegation
{
  struct job_spec spec;
  double *task_ms;
  uint32_t from;
  uint32_t to;
  struct run_job *job; /* NULL once FROM has revoked them */
  struct run_job *run; /* at TO */
  uint32_t first;
  uint32_t count;
  enum job_result result;
  bool returned; /* MODEL_RETURN was handled */
  bool revoked;  /* MODEL_REVOKE was handled */
  struct model_delegation *next;
};

enum model_event_type
{
  MODEL_SUBMIT,
  MODEL_DELEGATE,
  MODEL_RETURN,
  MODEL_REVOKE,
  MODEL_BEGAN,
  MODEL_ENDED
};

/* An event of the simulation.  */
struct model_event
{
  enum model_event_type type;
  uint32_t dispatcher; /* unset for MODEL_RETURN and MODEL_REVOKE */
  struct model_job *job;
  struct model_delegation *delegation;
  struct run_target *target;
  char task[TASK_NAME_BYTES];
  uint64_t run;
  bool stopped;
  int64_t begin_ms; /* of the run that ends */
  struct model_event *next;
};

/* The size and the result of a job that has ended.  */
struct model_outcome
{
  double work;
  bool on_time;
  bool late;
};

struct model_outcomes
{
  struct model_outcome *items;
  size_t count;
  size_t size;
};

struct model
{
  const struct replay_setup *setup;
  struct replay_result *result;
  uint64_t random;
  int64_t now;
  int64_t horizon;
  struct model_event **events; /* lists by ms, up to the horizon */

  struct run_scheduler *schedulers;
  uint32_t dispatcher_count;

  /* The capacity of every dispatcher as last reported to each entry, then to
     each dispatcher: one row of dispatcher_count elements per recipient.  */
  struct route_dispatcher *dispatchers;

  uint32_t entry_count;
  struct model_delegation *delegations; /* delegated and not returned */
  uint64_t next_key;
  double busy_cpu_ms;
  double *window_worth;
  double *window_earned;
  struct model_outcomes outcomes[REPLAY_CLASS_LIMIT];
};

/* The argument of a scheduler's callbacks.  */
struct callback_arg
{
  struct model *model;
  uint32_t dispatcher;
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
    .dispatchers = 1,
    .entries = 3,
    .cpu_milli = 64000,
    .capacity_report_ms = 150,
    .load = 1,
    .burst = 1,
  };
}

void
replay_setup_customer1 (struct replay_setup *s)
{
  *s = (struct replay_setup){
    .seed = 1,
    .length_ms = 10000,
    .classes = { { "thumb", 206, 60, 8, 8000, 3.84, 0 },
                 { "preview", 600, 200, 2, 8000, 3.2, 1 },
                 { "proof", 37.5, 900, 4, 8000, 28.8, 2 } },
    .class_count = 3,
    .domains = 3,
    .targets = 117,
    .dispatchers = 5,
    .entries = 12,
    .cpu_milli = 16000,
    .capacity_report_ms = 150,
    .delegation_enabled = true,
    .load = 1,
    .burst = 1,
    .speeds = { 1.0, 1.0, 1.3 },
    .speed_count = 3,
    .deadline_slack_ms = 1500,
    .entries_dispatch = true,
    .priorities = true,
  };
}

void
replay_setup_customer2 (struct replay_setup *s)
{
  replay_setup_customer1 (s);
  s->classes[0] = (struct replay_class){ "thumb", 181, 51, 8, 16000, 6.53, 0 };
  s->classes[1]
      = (struct replay_class){ "preview", 528, 170, 2, 16000, 5.44, 1 };
  s->classes[2] = (struct replay_class){ "proof", 33, 760, 4, 16000, 48.6, 2 };
  s->cpu_milli = 32000;
  s->equal_targets = true;
  s->speeds[0] = 0.55;
  s->speeds[1] = 1.2;
  s->speeds[2] = 1.2;
  s->speeds[3] = 1.2;
  s->speed_count = 4;
}

static double
uniform (struct model *m)
{
  m->random ^= m->random << 13;
  m->random ^= m->random >> 7;
  m->random ^= m->random << 17;
  return (double)(m->random >> 11) / 9007199254740992.0;
}

/* Returns a lognormal random factor of mean 1, at most MAX_FACTOR.  */
static double
draw_factor (struct model *m, double sigma)
{
  double u = uniform (m);
  double v = uniform (m);
  double normal = sqrt (-2 * log (u < 1e-12 ? 1e-12 : u)) * cos (2 * M_PI * v);
  double x = exp (sigma * normal - sigma * sigma / 2);

  return x > max_factor ? max_factor : x;
}

static void
schedule_event (struct model *m, int64_t at, const struct model_event *e)
{
  struct model_event *copy;

  if (at >= m->horizon)
    return;
  copy = malloc (sizeof *copy);
  *copy = *e;
  LL_APPEND (m->events[at], copy);
}

/* Returns the event that ends RUN of TASK, unless a stop was sent, and sets AT
   to its time; NULL if there is none.  */
static struct model_event *
find_end (struct model *m, const char *task, uint64_t run, int64_t *at)
{
  for (*at = m->now; *at < m->horizon; ++*at)
    {
      struct model_event *e;

      LL_FOREACH (m->events[*at], e)
      if (e->type == MODEL_ENDED && e->run == run && !e->stopped
          && strcmp (e->task, task) == 0)
        return e;
    }
  return NULL;
}

/* Returns the run times of the tasks of J.  */
static const double *
task_times (const struct run_job *j)
{
  if (j->spec.part.is_part)
    return ((const struct model_delegation *)j->user_data)->task_ms;
  return ((const struct model_job *)j->user_data)->task_ms;
}

static bool
in_burst (const struct model *m)
{
  return m->now >= m->setup->burst_from_ms && m->now < m->setup->burst_to_ms;
}

/* Returns the lasting factor on the run times of target NUMBER.  It must not
   coincide with the target's size or dispatcher, which have a period of 3.  */
static double
speed_of (const struct model *m, uint32_t number)
{
  uint32_t n = m->setup->speed_count;

  return n == 0 ? 1 : m->setup->speeds[(number / 3 * 2 + number) % n];
}

/* Returns the factor on the run time of a run that starts on T now.  */
static double
slowdown_of (const struct model *m, const struct run_target *t)
{
  uint32_t number = (uint32_t)strtoul (t->spec.id + 1, NULL, 10);
  bool slow = in_burst (m) && number * 37 % 100 < m->setup->slow_percent;

  return speed_of (m, number) * (slow ? m->setup->slowdown : 1);
}

static void
on_start (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  struct callback_arg *a = arg;
  struct model *m = a->model;
  const double *task_ms = task_times (j);
  struct model_event e = { .dispatcher = a->dispatcher,
                           .target = t,
                           .run = j->tasks[task].run };
  double ms = task_ms[task] * slowdown_of (m, t);

  run_job_task_name (j, task, e.task);
  e.type = MODEL_BEGAN;
  schedule_event (m, m->now + ROUND_TRIP_MS, &e);
  e.type = MODEL_ENDED;
  e.begin_ms = m->now + ROUND_TRIP_MS;
  schedule_event (m, m->now + ROUND_TRIP_MS + (int64_t)ceil (ms), &e);
  if (m->now < m->setup->length_ms)
    m->busy_cpu_ms += ms * (double)j->spec.steps[0].cpu_milli;
}

static void
on_stop (void *arg, struct run_target *t, struct run_job *j, uint32_t task)
{
  struct callback_arg *a = arg;
  struct model *m = a->model;
  struct model_event stopped;
  char name[TASK_NAME_BYTES];
  int64_t at;
  struct model_event *e;

  (void)t;
  run_job_task_name (j, task, name);
  e = find_end (m, name, j->tasks[task].run, &at);
  if (e == NULL)
    return;
  stopped = *e;
  stopped.stopped = true;
  LL_DELETE (m->events[at], e);
  free (e);
  schedule_event (m, m->now + ROUND_TRIP_MS, &stopped);
}

/* Counts a refusal of J, by its reason and by whether all of its tasks would
   have fit on free targets.  */
static void
count_refusal (struct model *m, const struct model_job *j)
{
  struct replay_class_result *c = &m->result->classes[j->class];
  uint32_t tasks = job_spec_task_count (&j->spec);
  uint32_t sum = 0;
  uint32_t most = 0;

  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    {
      uint32_t n = run_admission_fitting (&m->schedulers[d], &j->spec, m->now);

      sum += n;
      most = n > most ? n : most;
    }
  c->refused++;
  c->refused_by[j->reason]++;
  if (most >= tasks)
    c->fit_at_one[j->reason]++;
  else if (sum >= tasks)
    c->fit_at_several[j->reason]++;
}

static void
note_outcome (struct model_outcomes *o, struct model_outcome outcome)
{
  if (o->count == o->size)
    {
      o->size = o->size == 0 ? 1024 : 2 * o->size;
      o->items = realloc (o->items, o->size * sizeof *o->items);
    }
  o->items[o->count++] = outcome;
}

static void
count_result (struct model *m, struct model_job *j, enum job_result result)
{
  struct replay_class_result *c = &m->result->classes[j->class];
  struct model_outcome outcome = { .work = j->work };
  int64_t took = m->now + HOP_MS - j->arrived_ms;
  size_t window = (size_t)(j->arrived_ms / WINDOW_MS);
  double earned = 0;

  if (result == JOB_REFUSED)
    count_refusal (m, j);
  else if (result == JOB_DONE && took <= j->objective_ms)
    {
      c->on_time++;
      outcome.on_time = true;
      earned = j->worth;
    }
  else if (result == JOB_DONE && took <= LATE_OBJECTIVES * j->objective_ms)
    {
      c->late++;
      outcome.late = true;
      earned = j->worth * late_share;
    }
  else
    c->too_late++;
  c->jobs++;
  c->total_worth += j->worth;
  c->earned += earned;
  m->window_worth[window] += j->worth;
  m->window_earned[window] += earned;
  note_outcome (&m->outcomes[j->class], outcome);
  free (j->task_ms);
  free (j);
}

static void route (struct model *m, struct model_job *j);

static void
handle_refusal (struct model *m, struct model_job *j,
                enum refusal_reason reason)
{
  j->reason = reason;
  if (reason == REFUSAL_EXPIRED
      || j->tried_count
             == job_router_try_limit (&m->schedulers[0].priorities, &j->spec))
    count_result (m, j, JOB_REFUSED);
  else
    route (m, j);
}

static struct route_dispatcher *
known_dispatchers (const struct model *m, uint32_t recipient)
{
  return &m->dispatchers[(size_t)recipient * m->dispatcher_count];
}

static void
delegation_ended (struct model *m, struct model_delegation *d,
                  enum job_result result)
{
  struct model_event e = { .type = MODEL_RETURN, .delegation = d };

  d->run = NULL;
  d->result = result;
  schedule_event (m, m->now + HOP_MS, &e);
}

static void
delegation_free (struct model_delegation *d)
{
  free (d->task_ms);
  free (d);
}

static void
handle_delegate (struct model *m, struct model_delegation *d)
{
  enum refusal_reason reason;
  int64_t retry_ms;

  d->run = run_scheduler_submit (&m->schedulers[d->to], m->now, &d->spec, d,
                                 &reason, &retry_ms);
  if (d->run == NULL)
    delegation_ended (m, d, JOB_REFUSED);
}

/* Frees D, which FROM has revoked, unless its result is still on the way.  */
static void
free_revoked (struct model_delegation *d)
{
  if (d->revoked && (d->run != NULL || d->returned))
    delegation_free (d);
}

static void
handle_return (struct model *m, struct model_delegation *d)
{
  d->returned = true;
  if (d->job == NULL)
    free_revoked (d);
  else
    {
      LL_DELETE (m->delegations, d);
      m->result->delegations++;
      m->result->delegations_refused += d->result == JOB_REFUSED;
      if (d->result == JOB_REFUSED)
        task_delegation_refused (
            &known_dispatchers (m, m->entry_count + d->from)[d->to], m->now);
      run_scheduler_delegation_ended (&m->schedulers[d->from], m->now, d->job,
                                      d->first, d->count, d->result,
                                      REFUSAL_NONE);
      delegation_free (d);
    }
}

static void
handle_revoke (struct model *m, struct model_delegation *d)
{
  d->revoked = true;
  if (d->run != NULL)
    run_scheduler_cancel (&m->schedulers[d->to], m->now, d->run);
  free_revoked (d);
}

static void
on_revoke (void *arg, struct run_job *j)
{
  struct callback_arg *a = arg;
  struct model_delegation *d;
  struct model_delegation *next;

  LL_FOREACH_SAFE (a->model->delegations, d, next)
  if (d->job == j)
    {
      struct model_event e = { .type = MODEL_REVOKE, .delegation = d };

      LL_DELETE (a->model->delegations, d);
      d->job = NULL;
      schedule_event (a->model, a->model->now + ROUND_TRIP_MS, &e);
    }
}

static void
on_finished (void *arg, struct run_job *run, enum job_result result,
             enum refusal_reason reason, int64_t retry_ms)
{
  struct callback_arg *a = arg;

  (void)retry_ms;
  if (run->spec.part.is_part)
    delegation_ended (a->model, run->user_data, result);
  else if (result == JOB_REFUSED)
    handle_refusal (a->model, run->user_data, reason);
  else
    count_result (a->model, run->user_data, result);
}

static const struct run_scheduler_output output
    = { on_start, on_stop, on_finished, on_revoke, NULL };

static void
add_free_capacity (struct route_capacity *r, const struct run_target *t)
{
  uint64_t cpu = t->spec.cpu_milli - t->cpu_used;

  r->free_cpu_milli += cpu;
  free_capacity_add (&r->free_by_target, cpu);
}

/* Reports the present free capacity of DISPATCHER to RECIPIENT, an entry or,
   from entry_count on, a dispatcher.  */
static void
report_capacity (struct model *m, uint32_t recipient, uint32_t dispatcher)
{
  struct route_dispatcher *d = &known_dispatchers (m, recipient)[dispatcher];
  const struct run_scheduler *s = &m->schedulers[dispatcher];
  struct route_capacity *r = &d->capacities[0];

  memset (r, 0, sizeof *r);
  snprintf (r->service, sizeof r->service, "svc");
  for (uint32_t i = 0; i < s->target_count; i++)
    if (s->targets[i]->phase == TARGET_READY)
      {
        r->cpu_milli += run_speeds_cpu (s->targets[i]);
        add_free_capacity (r, s->targets[i]);
      }
  r->work_ahead = run_scheduler_backlog (s, "svc", INT64_MAX).work_ahead;
  r->ranked = run_scheduler_ranked_work (s, "svc");
  d->capacity_count = 1;
  d->reachable = true;
  d->echo.confirmed = (struct lease_stamp){ m->now, m->now };
  d->reported_ms = m->now;
}

/* The dispatcher on the VM of ENTRY, or dispatcher_count if it has none.  */
static uint32_t
own_dispatcher (const struct model *m, uint32_t entry)
{
  const struct replay_setup *s = m->setup;
  uint32_t number = entry % s->entries;

  if (!s->entries_dispatch || number >= s->dispatchers)
    return m->dispatcher_count;
  return entry / s->entries * s->dispatchers + number;
}

static void
refresh_own_capacity (struct model *m, uint32_t entry)
{
  uint32_t own = own_dispatcher (m, entry);

  if (own != m->dispatcher_count)
    report_capacity (m, entry, own);
}

/* Sends J to the dispatcher chosen by its entry, or refuses it if there is
   none.  */
static void
route (struct model *m, struct model_job *j)
{
  char domain[NAME_BYTES];
  struct route_dispatcher *d;
  struct model_event e = { .type = MODEL_SUBMIT, .job = j };

  refresh_own_capacity (m, j->entry);
  snprintf (domain, sizeof domain, "d%u", j->entry / m->setup->entries);
  d = job_router_next (known_dispatchers (m, j->entry), m->dispatcher_count,
                       domain, &m->schedulers[0].priorities, &j->spec,
                       (const char (*)[NAME_BYTES])j->tried, j->tried_count,
                       m->now);
  if (d == NULL)
    {
      count_result (m, j, JOB_REFUSED);
      return;
    }
  memcpy (j->tried[j->tried_count++], d->vm, NAME_BYTES);
  job_router_sent (d, &j->spec);
  m->result->left_domain += strcmp (d->domain, domain) != 0;
  e.dispatcher = (uint32_t)(d - known_dispatchers (m, j->entry));
  schedule_event (m, m->now + HOP_MS, &e);
}

static void
handle_submit (struct model *m, uint32_t dispatcher, struct model_job *j)
{
  enum refusal_reason reason;
  int64_t retry_ms;

  j->spec.age_ms = m->now - j->arrived_ms;
  j->spec.deadline_ms = j->timeout_ms - j->spec.age_ms;
  j->spec.lease_ms = j->spec.deadline_ms + JOB_LEASE_STOP_MS;
  if (run_scheduler_submit (&m->schedulers[dispatcher], m->now, &j->spec, j,
                            &reason, &retry_ms)
      == NULL)
    handle_refusal (m, j, reason);
}

static void
handle_event (struct model *m, const struct model_event *e)
{
  struct run_scheduler *s = &m->schedulers[e->dispatcher];

  switch (e->type)
    {
    case MODEL_SUBMIT:
      handle_submit (m, e->dispatcher, e->job);
      break;
    case MODEL_DELEGATE:
      handle_delegate (m, e->delegation);
      break;
    case MODEL_RETURN:
      handle_return (m, e->delegation);
      break;
    case MODEL_REVOKE:
      handle_revoke (m, e->delegation);
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

/* Returns the entry at which a job arrives.  */
static uint32_t
draw_entry (struct model *m)
{
  const struct replay_setup *s = m->setup;
  double x = uniform (m) * s->domains;
  double turn = (double)(m->now % SWING_MS) / SWING_MS;

  for (uint32_t d = 0; d + 1 < s->domains && s->swing > 0; d++)
    {
      double phase = turn + (double)d / s->domains;
      double share = 1 + s->swing * sin (2 * M_PI * phase);

      if (x < share)
        return (uint32_t)((d + x / share) * s->entries);
      x -= share;
    }
  if (s->swing > 0)
    {
      double phase = turn + (double)(s->domains - 1) / s->domains;
      double share = 1 + s->swing * sin (2 * M_PI * phase);

      x = s->domains - 1 + fmin (x / share, 0.999);
    }
  return (uint32_t)(x * s->entries);
}

/* Returns a new random job of class NUMBER.  */
static struct model_job *
draw_job (struct model *m, uint32_t number)
{
  const struct replay_class *c = &m->setup->classes[number];
  struct model_job *j = calloc (1, sizeof *j);
  double task_ms = c->task_ms * draw_factor (m, task_sigma);
  double cpu = c->cpu * draw_factor (m, cpu_sigma);
  double tasks = round (c->tasks * draw_factor (m, count_sigma));
  double longest = 0;
  double work = 0;

  j->model = m;
  j->class = number;
  j->entry = draw_entry (m);
  j->arrived_ms = m->now;
  j->spec.step_count = 1;
  j->spec.steps[0] = (struct job_step){
    .count = tasks < 1 ? 1 : (uint32_t)tasks,
    .cpu_milli = (uint64_t)(cpu > 1.5 * c->cpu ? 1.5 * c->cpu : cpu),
    .memory_mb = TASK_MEMORY_MB,
    .estimate_ms = (int64_t)ceil (task_ms * draw_factor (m, estimate_sigma)),
  };
  j->task_ms = calloc (j->spec.steps[0].count, sizeof *j->task_ms);
  for (uint32_t i = 0; i < j->spec.steps[0].count; i++)
    {
      j->task_ms[i] = task_ms * draw_factor (m, within_job_sigma);
      longest = fmax (longest, j->task_ms[i]);
      work += j->task_ms[i] * (double)j->spec.steps[0].cpu_milli;
    }
  j->work = work;
  j->timeout_ms = m->setup->deadline_slack_ms == 0
                      ? CALLER_TIMEOUT_MS
                      : (int64_t)longest + m->setup->deadline_slack_ms;
  j->worth = c->worth
             * fmin (4, 0.3 + 0.7 * work / (c->task_ms * c->tasks * c->cpu));
  j->objective_ms
      = (int64_t)(longest * STRETCH_MILLI / STRETCH_SCALE) + FLOOR_MS;
  snprintf (j->spec.key, sizeof j->spec.key, "%016llx",
            (unsigned long long)++m->next_key);
  snprintf (j->spec.queue, sizeof j->spec.queue, "%s", c->name);
  snprintf (j->spec.service, sizeof j->spec.service, "svc");
  j->spec.priority = c->priority;
  j->spec.attempts = 3;
  j->spec.stretch_milli = STRETCH_MILLI;
  j->spec.floor_ms = FLOOR_MS;
  j->spec.payload = slice_of ("");
  return j;
}

static void
draw_arrivals (struct model *m)
{
  const struct replay_setup *s = m->setup;

  for (uint32_t c = 0; c < s->class_count; c++)
    {
      bool loaded = s->loaded_classes == 0 || (s->loaded_classes >> c & 1);
      double x = loaded ? s->load * (in_burst (m) ? s->burst : 1) : 1;
      double expected = s->classes[c].per_s * x / 1000;

      uint32_t draws = (uint32_t)ceil (expected);

      for (uint32_t i = 0; i < draws; i++)
        if (uniform (m) < expected / draws)
          route (m, draw_job (m, c));
    }
}

/* Makes draining_percent of the targets drain when the burst starts.  */
static void
drain_targets (struct model *m)
{
  uint32_t n = m->setup->draining_percent;

  if (n == 0 || m->now != m->setup->burst_from_ms)
    return;
  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    for (uint32_t i = 0; i < m->schedulers[d].target_count * n / 100; i++)
      m->schedulers[d].targets[i]->spec.draining = true;
}

/* Delegates tasks that wait at DISPATCHER, by the free capacities queried
   last.  */
static void
delegate_tasks (struct model *m, uint32_t dispatcher)
{
  struct delegation_offer offers[DELEGATION_OFFER_LIMIT];
  struct route_dispatcher *known
      = known_dispatchers (m, m->entry_count + dispatcher);
  struct run_scheduler *s = &m->schedulers[dispatcher];
  uint32_t n = task_delegation_choose (
      s, known, m->dispatcher_count, known[dispatcher].vm,
      known[dispatcher].domain, m->now, offers);

  for (uint32_t i = 0; i < n; i++)
    {
      struct model_delegation *d = calloc (1, sizeof *d);
      struct model_event e = { .type = MODEL_DELEGATE, .delegation = d };

      task_delegation_spec (&offers[i], m->now, &d->spec);
      d->from = dispatcher;
      d->to = (uint32_t)(offers[i].to - known);
      e.dispatcher = d->to;
      d->job = offers[i].job;
      d->first = offers[i].first;
      d->count = offers[i].count;
      d->task_ms = malloc (d->count * sizeof *d->task_ms);
      memcpy (d->task_ms, task_times (d->job) + d->first,
              d->count * sizeof *d->task_ms);
      LL_PREPEND (m->delegations, d);
      run_scheduler_delegate (s, m->now, d->job, d->first, d->count);
      schedule_event (m, m->now + HOP_MS, &e);
    }
}

/* Queries the free capacities of the dispatchers that production would query
   for tasks that wait at DISPATCHER.  */
static void
query_some (struct model *m, uint32_t dispatcher)
{
  struct route_dispatcher *queried[DELEGATION_QUERY_LIMIT];
  struct route_dispatcher *known
      = known_dispatchers (m, m->entry_count + dispatcher);
  uint32_t n = task_delegation_query (
      known, m->dispatcher_count, known[dispatcher].vm,
      known[dispatcher].domain, m->now, queried);

  for (uint32_t i = 0; i < n; i++)
    report_capacity (m, m->entry_count + dispatcher,
                     (uint32_t)(queried[i] - known));
}

/* Queries the free capacities of all dispatchers if tasks wait at DISPATCHER
   and a query is due.  */
static void
query_capacity (struct model *m, uint32_t dispatcher)
{
  if (m->setup->entries_dispatch)
    {
      if (task_delegation_is_needed (&m->schedulers[dispatcher]))
        query_some (m, dispatcher);
      return;
    }
  if (m->now % DELEGATION_QUERY_MS == 0
      && task_delegation_is_needed (&m->schedulers[dispatcher]))
    for (uint32_t d = 0; d < m->dispatcher_count; d++)
      report_capacity (m, m->entry_count + dispatcher, d);
}

/* Reports the progress of the runs on T to the scheduler S.  */
static void
poll_target (struct model *m, struct run_scheduler *s, struct run_target *t)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    {
      const struct run_ref *r = &t->runs[i];
      char name[TASK_NAME_BYTES];
      int64_t at;
      const struct model_event *e;

      run_job_task_name (r->job, r->task, name);
      e = find_end (m, name, r->job->tasks[r->task].run, &at);
      if (e != NULL && m->now > e->begin_ms)
        run_scheduler_running (
            s, m->now, t, name, e->run,
            (uint32_t)((m->now - e->begin_ms) * 100 / (at - e->begin_ms + 1)));
    }
}

static void
poll_all_targets (struct model *m)
{
  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    for (uint32_t i = 0; i < m->schedulers[d].target_count; i++)
      if ((m->now + i) % POLL_MS == 0)
        poll_target (m, &m->schedulers[d], m->schedulers[d].targets[i]);
}

static void
step (struct model *m)
{
  struct model_event *e;

  drain_targets (m);
  for (uint32_t i = 0; i < m->entry_count; i++)
    if ((m->now + (int64_t)(REPORT_STAGGER_MS * i))
            % m->setup->capacity_report_ms
        == 0)
      for (uint32_t d = 0; d < m->dispatcher_count; d++)
        report_capacity (m, i, d);
  if (m->setup->entries_dispatch && m->now % m->setup->capacity_report_ms == 0)
    for (uint32_t i = 0; i < m->dispatcher_count; i++)
      for (uint32_t d = 0; d < m->dispatcher_count; d++)
        report_capacity (m, m->entry_count + i, d);
  while ((e = m->events[m->now]) != NULL)
    {
      LL_DELETE (m->events[m->now], e);
      handle_event (m, e);
      free (e);
    }
  if (m->setup->slow_percent != 0)
    poll_all_targets (m);
  if (m->now < m->setup->length_ms)
    draw_arrivals (m);
  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    {
      run_scheduler_pass (&m->schedulers[d], m->now);
      if (m->setup->delegation_enabled)
        {
          query_capacity (m, d);
          delegate_tasks (m, d);
        }
    }
}

static uint64_t
target_cpu_milli (const struct replay_setup *s, uint32_t number)
{
  return number % 3 == 2 && !s->equal_targets ? s->cpu_milli * 3 / 2
                                              : s->cpu_milli;
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
      uint32_t dispatcher = s->dispatchers == 0
                                ? 0
                                : domain * s->dispatchers + i % s->dispatchers;

      snprintf (t.id, sizeof t.id, "t%u", i);
      snprintf (t.service, sizeof t.service, "svc");
      t.cpu_milli = target_cpu_milli (s, i);
      run_scheduler_add_target (&m->schedulers[dispatcher], &t)->phase
          = TARGET_READY;
    }
}

static void
set_priorities (const struct model *m, struct run_scheduler *s)
{
  struct queue_rule rules[REPLAY_CLASS_LIMIT] = { 0 };

  for (uint32_t c = 0; c < m->setup->class_count; c++)
    {
      snprintf (rules[c].name, sizeof rules[c].name, "%s",
                m->setup->classes[c].name);
      snprintf (rules[c].service, sizeof rules[c].service, "svc");
      rules[c].priority = m->setup->classes[c].priority;
    }
  service_priorities_set (&s->priorities, rules, m->setup->class_count);
}

static void
model_init (struct model *m, const struct replay_setup *s,
            struct replay_result *r, struct callback_arg *args)
{
  size_t windows = (size_t)(s->length_ms / WINDOW_MS + 1);
  uint32_t record_count;

  memset (m, 0, sizeof *m);
  memset (r, 0, sizeof *r);
  m->setup = s;
  m->result = r;
  m->random = s->seed * 0x9e3779b97f4a7c15u + 1;
  m->horizon = s->length_ms + TAIL_MS;
  m->events = calloc ((size_t)m->horizon, sizeof (struct model_event *));
  m->dispatcher_count = s->dispatchers == 0 ? 1 : s->domains * s->dispatchers;
  m->entry_count = s->domains * s->entries;
  m->schedulers = calloc (m->dispatcher_count, sizeof *m->schedulers);
  record_count = m->dispatcher_count * (m->entry_count + m->dispatcher_count);
  m->dispatchers = calloc (record_count, sizeof *m->dispatchers);
  m->window_worth = calloc (windows, sizeof (double));
  m->window_earned = calloc (windows, sizeof (double));
  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    {
      args[d] = (struct callback_arg){ m, d };
      run_scheduler_init (&m->schedulers[d], &output, &args[d]);
      if (s->priorities)
        set_priorities (m, &m->schedulers[d]);
    }
  for (uint32_t i = 0; i < record_count; i++)
    {
      uint32_t dispatcher = i % m->dispatcher_count;

      snprintf (m->dispatchers[i].vm, NAME_BYTES, "o%u", dispatcher);
      snprintf (m->dispatchers[i].domain, NAME_BYTES, "d%u",
                s->dispatchers == 0 ? 0 : dispatcher / s->dispatchers);
    }
  add_targets (m);
}

static int
compare_work (const void *a, const void *b)
{
  const struct model_outcome *x = a;
  const struct model_outcome *y = b;

  return x->work < y->work ? 1 : x->work > y->work ? -1 : 0;
}

static void
summarize_range (const struct model_outcomes *o, size_t from, size_t to,
                 struct replay_size_result *r)
{
  for (size_t i = from; i < to; i++)
    {
      r->jobs++;
      r->on_time += o->items[i].on_time;
      r->late += o->items[i].late;
    }
}

static void
summarize_sizes (struct model *m)
{
  for (uint32_t c = 0; c < m->setup->class_count; c++)
    {
      struct model_outcomes *o = &m->outcomes[c];
      size_t tenth = o->count / 10;

      if (o->count == 0)
        continue;
      qsort (o->items, o->count, sizeof *o->items, compare_work);
      summarize_range (o, 0, tenth, &m->result->classes[c].largest);
      summarize_range (o, tenth, 3 * tenth,
                       &m->result->classes[c].next_largest);
    }
}

static void
summarize (struct model *m)
{
  struct replay_result *r = m->result;
  const struct replay_setup *s = m->setup;
  double cpu = 0;

  for (uint32_t i = 0; i < s->domains * s->targets; i++)
    cpu += (double)target_cpu_milli (s, i);
  summarize_sizes (m);
  r->utilization = m->busy_cpu_ms / (cpu * (double)s->length_ms);
  for (uint32_t c = 0; c < s->class_count; c++)
    {
      r->all.jobs += r->classes[c].jobs;
      r->all.on_time += r->classes[c].on_time;
      r->all.late += r->classes[c].late;
      r->all.refused += r->classes[c].refused;
      r->all.too_late += r->classes[c].too_late;
      r->all.total_worth += r->classes[c].total_worth;
      r->all.earned += r->classes[c].earned;
    }
  r->min_window_share = 1;
  for (int64_t w = 0; w < s->length_ms / WINDOW_MS; w++)
    if (m->window_worth[w] > 0)
      r->min_window_share = fmin (r->min_window_share,
                                  m->window_earned[w] / m->window_worth[w]);
}

static void
model_done (struct model *m)
{
  for (uint32_t d = 0; d < m->dispatcher_count; d++)
    run_scheduler_done (&m->schedulers[d]);
  free (m->schedulers);
  free (m->dispatchers);
  free (m->events);
  free (m->window_worth);
  free (m->window_earned);
  for (uint32_t c = 0; c < REPLAY_CLASS_LIMIT; c++)
    free (m->outcomes[c].items);
}

void
replay_run (const struct replay_setup *s, struct replay_result *r)
{
  struct model m;
  struct callback_arg *args
      = calloc ((size_t)s->domains * (s->dispatchers + 1), sizeof *args);

  model_init (&m, s, r, args);
  for (; m.now < m.horizon; m.now++)
    step (&m);
  summarize (&m);
  model_done (&m);
  free (args);
}
