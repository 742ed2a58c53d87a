/* What is known of a task's run.

   OUTCOME_NOT_RUN may be claimed only with a proof; outcome_not_run is its one
   constructor, and the proofs list every way to it.  */
#ifndef COORD_OUTCOME_H
#define COORD_OUTCOME_H

enum outcome_kind
{
  OUTCOME_DONE,   /* ran and gave a result */
  OUTCOME_FAILED, /* ran and failed */
  OUTCOME_UNKNOWN,
  OUTCOME_NOT_RUN
};

enum not_run_proof
{
  PROOF_NONE,
  PROOF_REFUSED_EARLY,   /* refused before it was accepted */
  PROOF_NEVER_SENT,      /* no byte left this process */
  PROOF_NOT_CONNECTED,   /* the target's connection was never established */
  PROOF_TARGET_REFUSED,  /* the target itself says so */
  PROOF_PEER_REFUSED,    /* the entry that owns the target says so */
  PROOF_ABOVE_WATERMARK, /* the lost executor never had leave to start it */
  PROOF_STILL_QUEUED     /* this executor had not started it */
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

/* The word that callers see: done, failed, unknown or not_run.  */
const char *outcome_word (struct outcome o);
const char *not_run_proof_word (enum not_run_proof proof);

#endif
