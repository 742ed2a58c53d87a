#include "coord/vm_load.h"

#include <string.h>

enum
{
  WINDOW_MS = 500,

  /* The VM becomes short above both and ceases to be below either.  A job
     passes the event loop about three times, and the objective of short jobs
     leaves 60 ms and 0.6 of their run time for all delays.  */
  SHORT_USED_PERCENT = 95,
  SHORT_LATE_MS = 50,
  NORMAL_USED_PERCENT = 85,
  NORMAL_LATE_MS = 20,

  /* Windows in a row until it does.  */
  CHANGE_WINDOWS = 2,

  /* The share of refused jobs rises and falls by a step a window, while others
     are still accepted: their load tells when the shortage is over.  */
  SHED_STEP_PERCENT = 10,
  SHED_MAX_PERCENT = 80,

  /* From this share on the VM is not ready, for at most UNREADY_MS and then
     not again for READY_MS: if all VMs are short, most are ready.  */
  UNREADY_SHED_PERCENT = 40,
  UNREADY_MS = 3000,
  READY_MS = 9000
};

void
vm_load_init (struct vm_load *l, uint32_t cpu_milli, int64_t now,
              int64_t cpu_us)
{
  memset (l, 0, sizeof *l);
  l->cpu_milli = cpu_milli;
  l->window_ms = now;
  l->window_cpu_us = cpu_us;
}

void
vm_load_tick (struct vm_load *l, int64_t duration, int64_t late)
{
  if (late > 0)
    l->weighted_late += late * duration;
}

bool
vm_load_is_due (const struct vm_load *l, int64_t now)
{
  return l->cpu_milli != 0 && now - l->window_ms >= WINDOW_MS;
}

/* Whether the last window speaks for a change of IS_SHORT.  */
static bool
indicates_change (const struct vm_load *l)
{
  if (l->is_short)
    return l->used_percent < NORMAL_USED_PERCENT
           || l->late_ms < NORMAL_LATE_MS;
  return l->used_percent >= SHORT_USED_PERCENT && l->late_ms >= SHORT_LATE_MS;
}

static void
update_shedding (struct vm_load *l, int64_t now)
{
  if (l->is_short && l->shed_percent < SHED_MAX_PERCENT)
    l->shed_percent += SHED_STEP_PERCENT;
  else if (!l->is_short && l->shed_percent != 0)
    l->shed_percent -= SHED_STEP_PERCENT;
  if (l->shed_percent < UNREADY_SHED_PERCENT || now < l->ready_until_ms)
    return;
  l->unready_until_ms = now + UNREADY_MS;
  l->ready_until_ms = l->unready_until_ms + READY_MS;
}

bool
vm_load_update (struct vm_load *l, int64_t now, int64_t cpu_us)
{
  int64_t window = now - l->window_ms;
  int64_t used_us = cpu_us - l->window_cpu_us;
  bool changed;

  if (window <= 0)
    return false;
  /* Microseconds over milliseconds are thousandths of a core.  */
  l->used_percent = l->cpu_milli == 0
                        ? 0
                        : (uint32_t)(used_us * 100 / window / l->cpu_milli);
  l->late_ms = l->weighted_late / window;
  l->window_ms = now;
  l->window_cpu_us = cpu_us;
  l->weighted_late = 0;
  l->streak = indicates_change (l) ? l->streak + 1 : 0;
  changed = l->streak >= CHANGE_WINDOWS;
  if (changed)
    {
      l->is_short = !l->is_short;
      l->streak = 0;
    }
  else
    update_shedding (l, now);
  return changed;
}

int64_t
vm_load_delay_ms (const struct vm_load *l)
{
  return l->is_short ? l->late_ms : 0;
}

bool
vm_load_sheds (struct vm_load *l)
{
  l->shed_credit += l->shed_percent;
  if (l->shed_credit < 100)
    return false;
  l->shed_credit -= 100;
  return true;
}

bool
vm_load_is_ready (const struct vm_load *l, int64_t now)
{
  return now >= l->unready_until_ms;
}
