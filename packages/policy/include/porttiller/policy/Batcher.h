// Decides when changes that arrive one by one are processed as a batch. It
// bounds the cost of two loads. When many boxes start, a node that rebuilt its
// view for each of N records would do N rebuilds of N records. When boxes and
// servers are replaced one after another, changes arrive continuously and each
// rebuild costs time proportional to the fleet.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct BatcherOptions
{
  // Between the starts of two batches. A change after an idle period is
  // processed at once, so a single change is not delayed.
  Millis mMinInterval{ 200 };
  // Idle time after a batch as a multiple of the time that it took, so that
  // batches use at most a tenth of the time.
  int mIdleRatio = 9;
  // Limit of the interval: a drain lasts two seconds, and within it joining
  // servers must be used and draining ones avoided.
  Millis mMaxInterval{ 1000 };
};

// Not thread-safe: its owner holds the lock of the data that changes.
class Batcher
{
public:
  explicit Batcher(BatcherOptions aOptions = {});

  // Records a change. Returns the delay until the batch that includes it if the
  // caller must schedule one; null if one is scheduled already.
  std::optional<Millis> OnChange(TimePoint aNow);
  // The scheduled batch starts; it includes all changes until now.
  void OnBatch(TimePoint aNow);
  // That batch is finished.
  void OnBatchDone(TimePoint aNow);

private:
  const BatcherOptions mOptions;
  bool mScheduled = false;
  std::optional<TimePoint> mLastBatch; // start of the last batch
  Millis mInterval;                    // from that start to the next batch
};

} // namespace porttiller
