/* A retry budget: a token bucket that limits retries to a share of the first
   attempts, so that a burst of failures cannot multiply the traffic.  */
#ifndef COORD_RETRY_BUDGET_H
#define COORD_RETRY_BUDGET_H

#include <stdbool.h>

struct retry_budget
{
  double ratio;  /* tokens earned per first attempt */
  double tokens; /* retries available */
};

void retry_budget_init (struct retry_budget *b, double ratio);

/* Counts a first attempt.  */
void retry_budget_earn (struct retry_budget *b);

/* Takes a token for one retry.  Returns false if none is left.  */
bool retry_budget_spend (struct retry_budget *b);

#endif
