// A token bucket that bounds retries to a share of the first attempts, so that
// retries cannot amplify an overload.
#pragma once

#include "porttiller/core/Time.h"

namespace porttiller {

struct RetryBudgetOptions
{
  double mShare = 0.2;  // retries for each first attempt
  double mBurst = 10.0; // retries that may be saved without any request
  // Further retries that may be saved, for each first attempt of the last
  // window. Failures come in bursts: without saved retries, the budget of a
  // busy entry goes unused before a burst and is spent as soon as one begins.
  double mSavedShare = 0.0;
  Millis mWindow{ 10'000 };
};

// Who asks for a retry. A budget that hedges and sheddable requests may use up
// has nothing left when failures begin: in quiet time, requests with long tails
// are hedged often enough to keep it empty.
enum class RetryUse
{
  kAny,       // admitted while one retry is left
  kSheddable, // leaves a quarter of a budget that is half empty
  kHedge      // leaves half of the budget
};

// Not thread-safe: its owner holds the service's lock.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  // Keeps the saved retries, up to the limit of the new options.
  void SetOptions(const RetryBudgetOptions& aOptions);
  void OnFirstAttempt(TimePoint aNow);
  // Takes one retry; false when the budget is spent.
  bool TryRetry();
  // Takes a retry that was admitted earlier, when Affords(1) held. The budget
  // may become negative.
  void Spend() { mTokens -= 1.0; }
  // Whether aRetries are available.
  bool Affords(int aRetries) const;
  // Whether a retry of aUse is available. The parts that it must leave are
  // counted after it is taken: the budget of one home often holds fewer than
  // eight retries, whose last quarter would else be less than one. A full
  // budget that affords a retry admits any.
  bool Admits(RetryUse aUse) const;
  // Retries left, as a share of those that may be saved; negative once more
  // were spent.
  double FillLevel() const;

private:
  double Limit() const;

  RetryBudgetOptions mOptions;
  double mTokens;
  double mRecentFirstAttempts = 0.0; // decays exponentially over a window
  TimePoint mLastFirstAttemptAt;
};

} // namespace porttiller
