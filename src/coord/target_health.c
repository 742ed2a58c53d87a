#include "coord/target_health.h"

#include <math.h>
#include <string.h>

enum
{
  FAULTS_TO_EJECT = 2,
  PROBE_PAUSE_MIN_MS = 400,
  PROBE_PAUSE_MAX_MS = 3200,
  EJECTED_LIMIT_PERCENT = 40
};

/* Weights in the moving average of the slowness: of a run that has ended, and
   of a progress report of one that has not.  */
static const double run_weight = 0.2;
static const double progress_weight = 0.3;

/* The excess of the slowness over 1 decays to 1/e in this time.  */
static const double slowness_decay_ms = 2000;

void
target_health_init (struct target_health *h)
{
  memset (h, 0, sizeof *h);
  h->slowness = 1;
}

void
target_health_fault (struct target_health *h, int64_t now, uint64_t job)
{
  if (h->fault_streak == 0 || h->last_fault_job != job)
    h->fault_streak++;
  h->last_fault_job = job;
  if (h->ejected)
    h->probe_at_ms = now + h->pause_ms;
}

double
target_health_slowness (const struct target_health *h, int64_t now)
{
  double age = now > h->slowness_at_ms ? (double)(now - h->slowness_at_ms) : 0;

  return 1 + (h->slowness - 1) * exp (-age / slowness_decay_ms);
}

static void
update_slowness (struct target_health *h, int64_t now, double ratio,
                 double weight)
{
  double before = target_health_slowness (h, now);

  h->slowness = before + weight * (ratio - before);
  h->slowness_at_ms = now;
}

void
target_health_progress (struct target_health *h, int64_t now, double ratio)
{
  update_slowness (h, now, ratio, progress_weight);
}

void
target_health_success (struct target_health *h, int64_t now, double ratio)
{
  h->fault_streak = 0;
  h->ejected = false;
  update_slowness (h, now, ratio, run_weight);
}

bool
target_health_should_eject (const struct target_health *h)
{
  return !h->ejected && h->fault_streak >= FAULTS_TO_EJECT;
}

void
target_health_eject (struct target_health *h, int64_t now)
{
  h->ejected = true;
  h->pause_ms = PROBE_PAUSE_MIN_MS;
  h->probe_at_ms = now + h->pause_ms;
}

bool
target_health_admits (const struct target_health *h, int64_t now,
                      uint32_t running)
{
  return !h->ejected || (running == 0 && now >= h->probe_at_ms);
}

void
target_health_run_started (struct target_health *h, int64_t now)
{
  if (!h->ejected)
    return;
  h->pause_ms *= 2;
  if (h->pause_ms > PROBE_PAUSE_MAX_MS)
    h->pause_ms = PROBE_PAUSE_MAX_MS;
  h->probe_at_ms = now + h->pause_ms;
}

uint32_t
target_health_ejected_limit (uint32_t total)
{
  return total * EJECTED_LIMIT_PERCENT / 100;
}
