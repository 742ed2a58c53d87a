#include "tests/unit/fake_port.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/now.h"

static struct fake_target targets[FAKE_TARGET_LIMIT];
static uint32_t target_count;

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_POLL
};

/* A call that waits for its answer.  */
struct fake_call
{
  struct target_port *port;
  enum call_kind kind;
  struct event *timer;
  int64_t sent_ms;
  enum port_outcome outcome;
  bool lost; /* the target never received it */
  bool never_sent;
  uint32_t restarts; /* of the target when it received the call */
  struct port_poll_request request;
  port_done done;
  port_poll_done poll_done;
  void *arg;
  struct fake_call *prev;
  struct fake_call *next;
};

struct target_port
{
  struct event_base *base;
  struct fake_target *target;
  uint32_t restarts; /* of the target when the port was opened */
  struct fake_call *calls;
};

void
fake_port_reset (void)
{
  memset (targets, 0, sizeof targets);
  target_count = 0;
}

struct fake_target *
fake_port_target (const char *id)
{
  for (uint32_t i = 0; i < target_count; i++)
    if (strcmp (targets[i].id, id) == 0)
      return &targets[i];
  snprintf (targets[target_count].id, sizeof targets[0].id, "%s", id);
  return &targets[target_count++];
}

/* The present time on the clock of T.  */
static int64_t
clock_of (const struct fake_target *t)
{
  int64_t now = now_ms ();

  return now - (now - t->slow_since_ms) * t->slow_percent / 100
         - t->clock_zero_ms;
}

/* A lease is never shortened by a later request.  */
static void
extend_lease (struct fake_target *t, int64_t end_ms)
{
  int64_t longest = clock_of (t) + t->lease_limit_ms;

  if (t->lease_limit_ms != 0 && end_ms > longest)
    end_ms = longest;
  if (end_ms > t->lease_end_ms)
    t->lease_end_ms = end_ms;
}

int64_t
fake_port_lease_end_ms (const struct fake_target *t)
{
  return t->slow_since_ms
         + (t->clock_zero_ms + t->lease_end_ms - t->slow_since_ms) * 100
               / (100 - t->slow_percent);
}

static bool
holds_lease (const struct fake_target *t)
{
  return clock_of (t) <= t->lease_end_ms;
}

uint32_t
fake_port_running (const char *task)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < target_count; i++)
    for (uint32_t r = 0; r < targets[i].run_count; r++)
      n += targets[i].runs[r].running && holds_lease (&targets[i])
           && strcmp (targets[i].runs[r].task, task) == 0;
  return n;
}

uint32_t
fake_port_starts (void)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < target_count; i++)
    n += targets[i].starts;
  return n;
}

void
fake_port_restart (struct fake_target *t)
{
  t->fencing_token = 0;
  t->last_end = 0;
  t->run_count = 0;
  t->lease_end_ms = 0;
  t->restarts++;
  t->clock_zero_ms = now_ms ();
  t->slow_since_ms = now_ms ();
}

static void
end_run (struct fake_target *t, struct fake_run *r, enum run_end how)
{
  r->running = false;
  r->how = how;
  r->end_number = ++t->last_end;
}

void
fake_port_end_run (struct fake_target *t, const char *task, enum run_end how)
{
  for (uint32_t i = 0; i < t->run_count; i++)
    if (t->runs[i].running && strcmp (t->runs[i].task, task) == 0)
      end_run (t, &t->runs[i], how);
}

void
fake_port_check_lease (struct fake_target *t)
{
  if (holds_lease (t))
    return;
  for (uint32_t i = 0; i < t->run_count; i++)
    if (t->runs[i].running)
      end_run (t, &t->runs[i], RUN_END_LAPSED);
}

static struct target_port *
port_open (struct event_base *base, const struct run_target_spec *t)
{
  struct target_port *p = calloc (1, sizeof *p);

  p->base = base;
  p->target = fake_port_target (t->id);
  p->restarts = p->target->restarts;
  return p;
}

static void
call_free (struct fake_call *c)
{
  DL_DELETE (c->port->calls, c);
  event_free (c->timer);
  free (c);
}

static void
port_close (struct target_port *p)
{
  while (p->calls != NULL)
    call_free (p->calls);
  free (p);
}

static void
answer_poll (struct fake_call *c, const struct port_reply *reply)
{
  struct fake_target *t = c->port->target;
  struct port_running running[FAKE_RUN_LIMIT];
  struct port_end ends[FAKE_RUN_LIMIT];
  struct port_poll_reply poll_reply
      = { .reply = *reply, .running = running, .ends = ends };

  for (uint32_t i = 0; i < t->run_count; i++)
    {
      const struct fake_run *r = &t->runs[i];

      if (r->running)
        {
          struct port_running *p = &running[poll_reply.running_count++];

          memset (p, 0, sizeof *p);
          memcpy (p->task, r->task, sizeof p->task);
          p->run = r->run;
        }
      else if (r->end_number > c->request.acked_number)
        {
          struct port_end *p = &ends[poll_reply.end_count++];

          memcpy (p->task, r->task, sizeof p->task);
          p->number = r->end_number;
          p->run = r->run;
          p->how = r->how;
        }
    }
  c->poll_done (c->arg, &poll_reply);
}

static void
on_due (evutil_socket_t fd, short what, void *arg)
{
  struct fake_call c = *(struct fake_call *)arg;
  struct port_reply reply = { .outcome = c.outcome,
                              .has_clock = true,
                              .clock_ms = clock_of (c.port->target),
                              .sent_ms = c.sent_ms,
                              .received_ms = now_ms () };

  (void)fd;
  (void)what;
  call_free (arg);
  if (c.port->target->unresponsive || c.lost
      || c.restarts != c.port->target->restarts)
    {
      reply.outcome = PORT_NO_ANSWER;
      reply.has_clock = false;
    }
  else if ((c.kind == CALL_POLL || c.never_sent)
           && c.port->restarts != c.port->target->restarts)
    reply.outcome = PORT_OTHER_INCARNATION;
  reply.never_sent = c.never_sent;
  if (c.kind == CALL_POLL)
    answer_poll (&c, &reply);
  else
    c.done (c.arg, &reply);
}

static struct fake_call *
call_new (struct target_port *p, enum call_kind kind, uint64_t fencing_token,
          void *arg)
{
  struct fake_call *c = calloc (1, sizeof *c);
  struct timeval soon = now_timeval (2);

  c->port = p;
  c->kind = kind;
  c->arg = arg;
  c->sent_ms = now_ms ();
  c->restarts = p->target->restarts;
  c->timer = evtimer_new (p->base, on_due, c);
  evtimer_add (c->timer, &soon);
  DL_APPEND (p->calls, c);
  if (fencing_token < p->target->fencing_token)
    c->outcome = PORT_FENCED;
  else
    {
      c->outcome = PORT_DONE;
      p->target->fencing_token = fencing_token;
    }
  return c;
}

static void
port_start (struct target_port *p, const struct port_start *s, port_done done,
            void *arg)
{
  struct fake_call *c = call_new (p, CALL_START, s->fencing_token, arg);
  struct fake_target *t = p->target;
  uint32_t running;

  c->done = done;
  c->never_sent = t->has_connections && p->restarts != t->restarts;
  if (c->never_sent)
    return;
  if (t->lose_starts != 0)
    {
      t->lose_starts--;
      c->lost = true;
      return;
    }
  if (c->outcome != PORT_DONE || t->run_count == FAKE_RUN_LIMIT)
    return;
  snprintf (t->runs[t->run_count].task, TASK_NAME_BYTES, "%s", s->task);
  t->runs[t->run_count].run = s->run;
  t->runs[t->run_count].running = true;
  t->run_count++;
  t->starts++;
  extend_lease (t, s->lease_end_ms);
  running = fake_port_running (s->task);
  if (running > t->max_concurrent_runs)
    t->max_concurrent_runs = running;
}

static void
port_stop (struct target_port *p, const char *task, uint64_t run,
           uint64_t fencing_token, port_done done, void *arg)
{
  struct fake_call *c = call_new (p, CALL_STOP, fencing_token, arg);

  c->done = done;
  if (p->target->lose_stops != 0)
    {
      p->target->lose_stops--;
      c->lost = true;
      return;
    }
  for (uint32_t i = 0; c->outcome == PORT_DONE && i < p->target->run_count;
       i++)
    {
      struct fake_run *r = &p->target->runs[i];

      if (r->running && r->run == run && strcmp (r->task, task) == 0)
        end_run (p->target, r, RUN_END_STOPPED);
    }
}

static void
port_poll (struct target_port *p, const struct port_poll_request *request,
           port_poll_done done, void *arg)
{
  struct fake_call *c = call_new (p, CALL_POLL, request->fencing_token, arg);

  c->request = *request;
  c->poll_done = done;
  if (c->outcome == PORT_DONE)
    extend_lease (p->target, request->lease_end_ms);
}

const struct target_port_ops fake_port_ops
    = { port_open, port_close, port_start, port_stop, port_poll };
