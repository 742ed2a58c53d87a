#include "tests/runner/script.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/now.h"
#include "tests/runner/checker.h"

enum
{
  POLL_MS = 10,
  GET_TIMEOUT_MS = 2000
};

const char *
line_option (const struct line *l, const char *name, const char *fallback)
{
  size_t n = strlen (name);

  for (int i = 0; i < l->option_count; i++)
    if (strncmp (l->options[i], name, n) == 0 && l->options[i][n] == '=')
      return l->options[i] + n + 1;
  return fallback;
}

int
line_option_int (const struct line *l, const char *name, int fallback)
{
  const char *v = line_option (l, name, NULL);

  return v == NULL ? fallback : atoi (v);
}

void
scenario_fail (struct scenario *s, const struct line *l, const char *format,
               ...)
{
  va_list args;

  s->failures++;
  printf ("%s:%d: ", s->path, l->number);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

uint64_t
scenario_random (struct scenario *s)
{
  s->random ^= s->random << 13;
  s->random ^= s->random >> 7;
  s->random ^= s->random << 17;
  return s->random;
}

/* Wakes the event loop, so that scenario_wait checks its condition again.  */
static void
on_poll (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
}

bool
scenario_wait (struct scenario *s, int64_t ms,
               bool (*done) (struct scenario *s, const void *arg),
               const void *arg)
{
  int64_t until_ms = now_ms () + ms;
  struct timeval poll = now_timeval (POLL_MS);
  struct event *timer = event_new (s->base, -1, EV_PERSIST, on_poll, NULL);
  bool result = false;

  event_add (timer, &poll);
  while (now_ms () < until_ms && !result)
    {
      event_base_loop (s->base, EVLOOP_ONCE);
      result = done != NULL && done (s, arg);
    }
  event_free (timer);
  return result;
}

static bool
is_done (struct scenario *s, const void *arg)
{
  (void)s;
  return ((const struct call *)arg)->done;
}

const struct call *
scenario_get (struct scenario *s, const struct cluster_vm *vm,
              const char *path)
{
  struct call *c;

  if (vm->pid == 0 || vm->frozen)
    return NULL;
  c = calls_send (&s->calls, vm, "GET", path, OPERATOR_TOKEN, NULL);
  scenario_wait (s, GET_TIMEOUT_MS, is_done, c);
  return c->done && !c->lost && c->status == 200 ? c : NULL;
}

static bool
parse (struct line *l)
{
  char *rest = NULL;

  l->word_count = 0;
  l->option_count = 0;
  l->text[strcspn (l->text, "#\n")] = '\0';
  for (char *w = strtok_r (l->text, " \t", &rest); w != NULL;
       w = strtok_r (NULL, " \t", &rest))
    {
      if (l->word_count == WORD_LIMIT || l->option_count == WORD_LIMIT)
        return false;
      if (strchr (w, '=') != NULL && strchr ("<>=", w[0]) == NULL)
        l->options[l->option_count++] = w;
      else
        l->words[l->word_count++] = w;
    }
  return l->word_count != 0;
}

static const struct verb *
find_verb (const char *name)
{
  static const struct verb *const lists[]
      = { cluster_verbs, call_verbs, measure_verbs };

  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    for (const struct verb *v = lists[i]; v->name != NULL; v++)
      if (strcmp (v->name, name) == 0)
        return v;
  return NULL;
}

/* Reports VMs that exited without being stopped.  A VM that refuses to start
   is followed by the verb "refused", which expects its exit.  */
static void
check_exits (struct scenario *s, const struct line *l)
{
  bool expected = strcmp (l->words[0], "refused") == 0;

  for (uint32_t i = 0; i < s->cluster.vm_count && !expected; i++)
    {
      struct cluster_vm *vm = &s->cluster.vms[i];
      int status = 0;

      if (vm->pid != 0 && !vm->stopping && cluster_reap (&vm->pid, &status))
        scenario_fail (s, l, "%s exited unexpectedly, status %d", vm->name,
                       status);
    }
}

void
scenario_run_line (struct scenario *s, struct line *l)
{
  const struct verb *v;

  if (!parse (l))
    return;
  check_exits (s, l);
  v = find_verb (l->words[0]);
  if (v == NULL || l->word_count - 1 < v->operands)
    scenario_fail (s, l, "%s: unknown verb, or operands are missing",
                   l->words[0]);
  else
    v->run (s, l);
}

uint32_t
scenario_run (struct scenario *s, const char *path)
{
  FILE *f = fopen (path, "r");
  struct line l = { 0 };

  s->path = path;
  if (f == NULL)
    {
      perror (path);
      return 1;
    }
  while (s->failures == 0 && fgets (l.text, sizeof l.text, f) != NULL)
    {
      l.number++;
      if (s->echo)
        printf ("> %s", l.text);
      fflush (stdout);
      scenario_run_line (s, &l);
    }
  fclose (f);
  return s->failures + checker_run (&s->cluster, &s->calls);
}
