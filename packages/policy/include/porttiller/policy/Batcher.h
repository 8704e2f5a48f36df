// When changes that arrive one by one are passed on together. Answers two
// loads: a start of many boxes, where whoever rebuilds its view for each record
// that arrives does N rebuilds of N records; and a fleet whose boxes and
// servers are replaced one after the other, where changes do not end and a
// rebuild costs as much as the fleet is large.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct BatcherOptions
{
  // Between two batches. A change after a rest passes at once, so that a single
  // one is in force as soon as before.
  Millis mGap{ 200 };
  // Batches that take long come less often: the rest behind one is so many
  // times what it took, so that at most a tenth of the time goes into them.
  int mRestPerCost = 9;
  // Never more: servers that join are to be used, and those that drain to be
  // left alone, within the two seconds that a drain lasts.
  Millis mMaxGap{ 1000 };
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
  // That batch is done.
  void OnBatchDone(TimePoint aNow);

private:
  const BatcherOptions mOptions;
  bool mPlanned = false;
  std::optional<TimePoint> mLast; // begin of the last batch
  Millis mGap;                    // behind that one
};

} // namespace porttiller
