#include "coord/retry_budget.h"

#define MAX_TOKENS 20.0
#define INITIAL_TOKENS 3.0

void
retry_budget_init (struct retry_budget *b, double ratio)
{
  b->ratio = ratio;
  b->tokens = INITIAL_TOKENS;
}

void
retry_budget_earn (struct retry_budget *b)
{
  b->tokens += b->ratio;
  if (b->tokens > MAX_TOKENS)
    b->tokens = MAX_TOKENS;
}

bool
retry_budget_spend (struct retry_budget *b)
{
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}
