// When changes that arrive one by one are passed on together. Answers a start
// of many boxes: of N boxes each hears of N others, and whoever rebuilds its
// view and tells its peers for each of them does N rebuilds of N records.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct BatcherOptions
{
  // Between two batches. A change after a rest passes at once, so that a single
  // one is in force as soon as before.
  Millis mGap{ 200 };
};

// Not thread-safe: its owner holds the lock of what changes.
class Batcher
{
public:
  explicit Batcher(BatcherOptions aOptions = {});

  // A change: the time until the batch that takes it, when one has to be
  // planned; null when one is planned already.
  std::optional<Millis> OnChange(TimePoint aNow);
  // The planned batch takes what has changed until now.
  void OnBatch(TimePoint aNow);

private:
  const BatcherOptions mOptions;
  bool mPlanned = false;
  std::optional<TimePoint> mLast;
};

} // namespace porttiller
