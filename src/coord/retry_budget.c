#include "coord/retry_budget.h"

#define SAVED_MAXIMUM 20.0
#define SAVED_AT_START 3.0

void
retry_budget_init (struct retry_budget *b, double ratio)
{
  b->ratio = ratio;
  b->saved = SAVED_AT_START;
}

void
retry_budget_earn (struct retry_budget *b)
{
  b->saved += b->ratio;
  if (b->saved > SAVED_MAXIMUM)
    b->saved = SAVED_MAXIMUM;
}

bool
retry_budget_spend (struct retry_budget *b)
{
  if (b->saved < 1)
    return false;
  b->saved -= 1;
  return true;
}
