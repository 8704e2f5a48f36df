// Bounds second attempts to a share of the first ones, so that retries cannot
// multiply an overload.
#pragma once

#include "porttiller/core/Time.h"

namespace porttiller {

struct RetryBudgetOptions
{
  double mShare = 0.2;  // retries for each first attempt
  double mBurst = 10.0; // retries that may be saved up, however few requests
  // Of the first attempts in the last window, so many more may be saved up.
  // Failures come in spells: a budget that a busy entry cannot save is empty
  // when the spell begins and unused before it.
  double mSavedShare = 0.0;
  Millis mWindow{ 10'000 };
};

// Not thread-safe: its owner holds the service's lock.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  // Tokens in hand stay, up to what the new options let it save.
  void SetOptions(const RetryBudgetOptions& aOptions);
  void OnFirstAttempt(TimePoint aNow);
  // Takes one retry; false when the budget is spent.
  bool TryRetry();
  // Takes one that was granted before, when the budget still had it.
  void Spend() { mTokens -= 1.0; }
  // Whether so many retries are in hand.
  bool Affords(int aRetries) const;

private:
  double Limit() const;

  RetryBudgetOptions mOptions;
  double mTokens;
  double mRecent = 0.0; // first attempts, fading over a window
  TimePoint mRecentAt;
};

} // namespace porttiller
