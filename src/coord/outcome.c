#include "coord/outcome.h"

#include <assert.h>

struct outcome
outcome_done (void)
{
  return (struct outcome){ OUTCOME_DONE, PROOF_NONE };
}

struct outcome
outcome_failed (void)
{
  return (struct outcome){ OUTCOME_FAILED, PROOF_NONE };
}

struct outcome
outcome_unknown (void)
{
  return (struct outcome){ OUTCOME_UNKNOWN, PROOF_NONE };
}

struct outcome
outcome_not_run (enum not_run_proof proof)
{
  assert (proof != PROOF_NONE);
  return (struct outcome){ OUTCOME_NOT_RUN, proof };
}

const char *
outcome_name (struct outcome o)
{
  switch (o.kind)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_FAILED:
      return "failed";
    case OUTCOME_UNKNOWN:
      return "unknown";
    case OUTCOME_NOT_RUN:
      break;
    }
  return "not_run";
}

const char *
not_run_proof_name (enum not_run_proof proof)
{
  static const char *const words[] = {
    "none",           "refused_early", "never_sent",      "not_connected",
    "target_refused", "peer_refused",  "above_watermark", "still_queued"
  };

  return words[proof];
}
