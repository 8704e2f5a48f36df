// Bounds second attempts to a share of the first ones, so that retries cannot
// multiply an overload.
#pragma once

namespace porttiller {

struct RetryBudgetOptions
{
  double mShare = 0.2;  // retries for each first attempt
  double mBurst = 10.0; // retries that may be saved up
};

// Not thread-safe: its owner holds the service's lock.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  // Tokens in hand stay, up to the new burst.
  void SetOptions(const RetryBudgetOptions& aOptions);
  void OnFirstAttempt();
  // Takes one retry; false when the budget is spent.
  bool TryRetry();

private:
  RetryBudgetOptions mOptions;
  double mTokens;
};

} // namespace porttiller
