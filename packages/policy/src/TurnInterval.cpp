#include "porttiller/policy/TurnInterval.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr double kGrowth = 1.1;    // for each rejected request
constexpr double kShrink = 0.9;    // for each unused one
constexpr double kMaxUnused = 4.0; // that count at once
constexpr double kMinSeconds = 0.001;

} // namespace

void
TurnInterval::Set(double aSeconds)
{
  const double most = std::chrono::duration<double>(kMax).count();
  mSeconds = std::clamp(aSeconds, kMinSeconds, most);
}

void
TurnInterval::Start(double aRate, std::size_t aSenders)
{
  Set(static_cast<double>(std::max<std::size_t>(1, aSenders)) / aRate);
}

void
TurnInterval::OnRateChanged(double aBefore, double aRate)
{
  Set(mSeconds * aBefore / aRate);
}

void
TurnInterval::OnRejected()
{
  Set(mSeconds * kGrowth);
}

void
TurnInterval::OnUnused(double aUnused)
{
  Set(mSeconds * std::pow(kShrink, std::clamp(aUnused, 0.0, kMaxUnused)));
}

Millis
TurnInterval::Value() const
{
  return std::chrono::duration_cast<Millis>(
    std::chrono::duration<double>(mSeconds));
}

} // namespace porttiller
