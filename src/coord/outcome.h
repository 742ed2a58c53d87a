/* The outcome of a task's run.

   OUTCOME_NOT_RUN may be reported only with a proof.  It is constructed only
   by outcome_not_run, and enum not_run_proof lists all valid proofs.  */
#ifndef COORD_OUTCOME_H
#define COORD_OUTCOME_H

enum outcome_kind
{
  OUTCOME_DONE,   /* ran and returned a result */
  OUTCOME_FAILED, /* ran and failed */
  OUTCOME_UNKNOWN,
  OUTCOME_NOT_RUN
};

enum not_run_proof
{
  PROOF_NONE,
  PROOF_REFUSED_EARLY,   /* refused before it was accepted */
  PROOF_NEVER_SENT,      /* no byte left this process */
  PROOF_NOT_CONNECTED,   /* no connection to the target was made */
  PROOF_TARGET_REFUSED,  /* the target refused */
  PROOF_PEER_REFUSED,    /* the entry that owns the target refused */
  PROOF_ABOVE_WATERMARK, /* above the lost executor's start watermark */
  PROOF_STILL_QUEUED     /* was still queued at this executor */
};

struct outcome
{
  enum outcome_kind kind;
  enum not_run_proof proof;
};

struct outcome outcome_done (void);
struct outcome outcome_failed (void);
struct outcome outcome_unknown (void);
struct outcome outcome_not_run (enum not_run_proof proof);

/* The outcome as callers see it: done, failed, unknown or not_run.  */
const char *outcome_name (struct outcome o);

/* The proof as a word for logs.  */
const char *not_run_proof_name (enum not_run_proof proof);

#endif
