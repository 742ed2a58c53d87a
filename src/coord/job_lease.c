#include "coord/job_lease.h"

enum
{
  /* Part of the caller's delay that no lease covers: until an entry learns of
     its caller's broken connection, and until a target has ended a run whose
     lease is over.  */
  RETRY_MARGIN_MS = 100,

  /* The longest delay of callers that the settings allow.  */
  GRANT_MAX_MS = 60000
};

static int64_t
not_negative (int64_t ms)
{
  return ms < 0 ? 0 : ms;
}

void
lease_echo_receive (struct lease_echo *e, int64_t sent_ms, int64_t now)
{
  if (sent_ms > e->latest.sent_ms)
    e->latest = (struct lease_stamp){ sent_ms, now };
}

void
lease_echo_confirm (struct lease_echo *e)
{
  e->confirmed = e->latest;
}

int64_t
job_lease_limit_ms (int64_t retry_ms)
{
  return not_negative (retry_ms - RETRY_MARGIN_MS);
}

int64_t
job_lease_grant_ms (const struct lease_echo *e, int64_t limit_ms,
                    int64_t deadline_ms)
{
  int64_t until_deadline
      = deadline_ms + JOB_LEASE_STOP_MS - e->confirmed.received_ms;
  int64_t granted = until_deadline < limit_ms ? until_deadline : limit_ms;

  if (e->confirmed.sent_ms == 0)
    return 0;
  return not_negative (granted - (e->latest.sent_ms - e->confirmed.sent_ms));
}

int64_t
job_lease_pass_on_ms (const struct lease_echo *e, int64_t end_ms)
{
  if (e->latest.sent_ms == 0)
    return 0;
  return not_negative (end_ms - e->latest.received_ms);
}

int64_t
job_lease_left_ms (int64_t end_ms, int64_t now)
{
  return not_negative (end_ms - now);
}

int64_t
job_lease_end_ms (int64_t echo_ms, int64_t granted_ms, int64_t now)
{
  if (echo_ms <= 0 || echo_ms > now || granted_ms < 0
      || granted_ms > GRANT_MAX_MS)
    return 0;
  return echo_ms + granted_ms;
}

bool
job_lease_is_ending (int64_t end_ms, int64_t now)
{
  return job_lease_left_ms (end_ms, now) < JOB_LEASE_STOP_MS;
}
