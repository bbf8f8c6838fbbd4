// Limits retries to a share of the fresh requests, so that an outage does not
// multiply the load.
//
//   RetryBudget budget(0.2, 10);
//   budget.OnRequest();
//   if (budget.TryTake()) { ... retry ... }
//
// Each fresh request adds a fraction of a token, a retry takes one token, and
// the number of saved tokens is bounded.

#pragma once

#include <algorithm>

namespace limpetwood {

class RetryBudget
{
public:
  // `aShare` is the number of tokens that a fresh request adds.
  RetryBudget(double aShare, double aMaxTokens)
    : mShare(aShare)
    , mMaxTokens(aMaxTokens)
  {
  }

  void OnRequest() { mTokens = std::min(mTokens + mShare, mMaxTokens); }

  bool TryTake()
  {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mShare;
  double mMaxTokens;
  double mTokens = 1;
};

} // namespace limpetwood
