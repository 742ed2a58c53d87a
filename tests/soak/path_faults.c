#include "tests/soak/path_faults.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "tests/soak/soak.h"

enum
{
  PATH_FAULT_LIMIT = 128,
  PAIR_FAULT_LIMIT = 16
};

/* How a target handles the requests of one VM.  */
struct pair_fault
{
  const struct fake_worker *worker;
  const char *from;
  enum worker_behaviour behaviour;
  int64_t until_ms; /* 0: unused */
};

static struct path_fault
    path_faults[PATH_FAULT_LIMIT]; /* until_ms 0: unused */
static struct pair_fault pair_faults[PAIR_FAULT_LIMIT];

static int
domain_of (int index)
{
  int nodes = (int)soak.node_count;

  if (index < nodes)
    return (int)soak.nodes[index].domain;
  return (index - nodes) % (int)soak.domain_count;
}

static bool
affects (const struct path_fault *f, int from, int to)
{
  int nodes = (int)soak.node_count;

  switch (f->scope)
    {
    case PATH_PAIR:
      return from == f->from && to == f->to;
    case PATH_PEERS:
      return from == f->from && to != from && to < nodes;
    case PATH_TARGETS:
      return from == f->from && to >= nodes;
    case PATH_KEEPERS:
      return from == f->from && to != from && to < (int)soak.keeper_count;
    default:
      return domain_of (from) == f->from && domain_of (to) != f->from;
    }
}

static void
apply_to (const struct path_fault *f, int from, int to, bool on)
{
  if (f->loss_percent != 0)
    fault_proxy_lose (&soak.proxy, from, to, on ? f->loss_percent : 0);
  else if (f->delay_ms == 0)
    fault_proxy_cut (&soak.proxy, from, to, on);
  else
    fault_proxy_delay (&soak.proxy, from, to, on ? f->delay_ms : 0);
}

static void
apply (const struct path_fault *f, bool on)
{
  int count = (int)soak.proxy.count;

  for (int i = 0; i < count; i++)
    for (int j = 0; j < count; j++)
      if (affects (f, i, j))
        {
          apply_to (f, i, j, on);
          if (f->both)
            apply_to (f, j, i, on);
        }
}

static void
print_fault (const struct path_fault *f)
{
  static const char *const scopes[]
      = { "path", "paths to VMs", "paths to targets", "paths to keepers",
          "domain" };
  char to[64] = "";

  if (f->scope == PATH_PAIR)
    snprintf (to, sizeof to, " to %s", soak.proxy.addresses[f->to]);
  if (f->scope == PATH_DOMAIN)
    printf ("%" PRId64 " ms: domain zone-%d", soak_elapsed_ms (), f->from);
  else
    printf ("%" PRId64 " ms: %s of %s%s", soak_elapsed_ms (), scopes[f->scope],
            soak.proxy.addresses[f->from], to);
  if (f->loss_percent != 0)
    printf (": loses %u%%", f->loss_percent);
  else if (f->delay_ms == 0)
    printf (": cut");
  else
    printf (": delay %" PRId64 " ms", f->delay_ms);
  printf ("%s until %" PRId64 "\n", f->both ? " both ways" : "",
          f->until_ms - soak.begin_ms);
}

void
path_faults_start (const struct path_fault *f)
{
  for (int i = 0; i < PATH_FAULT_LIMIT; i++)
    if (path_faults[i].until_ms == 0)
      {
        path_faults[i] = *f;
        apply (f, true);
        print_fault (f);
        return;
      }
}

void
path_faults_misbehave (const struct fake_worker *w, const char *from,
                       enum worker_behaviour behaviour, int64_t until_ms)
{
  for (int i = 0; i < PAIR_FAULT_LIMIT; i++)
    if (pair_faults[i].until_ms == 0)
      {
        pair_faults[i] = (struct pair_fault){ w, from, behaviour, until_ms };
        printf ("%" PRId64 " ms: %s (%s) misbehaves towards %s: %d until "
                "%" PRId64 "\n",
                soak_elapsed_ms (), w->id, w->address, from, (int)behaviour,
                until_ms - soak.begin_ms);
        return;
      }
}

enum worker_behaviour
path_faults_behaviour (const struct fake_worker *w, const char *from)
{
  for (int i = 0; i < PAIR_FAULT_LIMIT; i++)
    if (pair_faults[i].until_ms != 0 && pair_faults[i].worker == w
        && strcmp (pair_faults[i].from, from) == 0)
      return pair_faults[i].behaviour;
  return w->behaviour;
}

void
path_faults_end (int64_t now, bool all)
{
  bool ended = false;

  for (int i = 0; i < PATH_FAULT_LIMIT; i++)
    if (path_faults[i].until_ms != 0
        && (all || now >= path_faults[i].until_ms))
      {
        apply (&path_faults[i], false);
        path_faults[i].until_ms = 0;
        ended = true;
      }
  for (int i = 0; i < PAIR_FAULT_LIMIT; i++)
    if (all || now >= pair_faults[i].until_ms)
      pair_faults[i].until_ms = 0;
  if (ended)
    fault_proxy_flush (&soak.proxy);
}
