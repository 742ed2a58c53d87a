/* The retry budget: retries are a share of first sends, so that a burst of
   failures cannot multiply traffic.  */
#ifndef COORD_RETRY_BUDGET_H
#define COORD_RETRY_BUDGET_H

#include <stdbool.h>

struct retry_budget
{
  double ratio;
  double saved;
};

void retry_budget_init (struct retry_budget *b, double ratio);

/* Counts a first send.  */
void retry_budget_earn (struct retry_budget *b);

/* Takes one retry.  Returns false if there is none left.  */
bool retry_budget_spend (struct retry_budget *b);

#endif
