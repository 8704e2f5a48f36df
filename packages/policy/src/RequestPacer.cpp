#include "porttiller/policy/RequestPacer.h"

#include <algorithm>
#include <cassert>

namespace porttiller {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr Millis kMaxDebt{ 4000 };

Micros
Scaled(Micros aTime, double aFactor)
{
  return Micros(
    static_cast<Micros::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

Micros
RequestPacer::Spacing() const
{
  return Micros(static_cast<Micros::rep>(kMicrosPerSecond / mRate));
}

// The time in which an empty bucket becomes full.
Micros
RequestPacer::SavedTime() const
{
  return std::max(Scaled(Spacing(), mOptions.mBurst), mOptions.mSavedTime);
}

void
RequestPacer::SetRate(double aRate, TimePoint aNow)
{
  assert(aRate > 0.0);
  const double before = mRate;
  const auto missing = std::max<Micros>(Micros(0), mFullAt - aNow);
  mRate = aRate;
  // Requests that are missing, or reserved ahead, stay so, but not for much
  // longer than any window over which a limit is judged.
  mFullAt =
    aNow + (before == 0.0
              ? SavedTime()
              : std::min(Scaled(missing, before / aRate),
                         SavedTime() + std::max<Micros>(Spacing(), kMaxDebt)));
}

std::optional<TimePoint>
RequestPacer::Reserve(Micros aMaxWait, TimePoint aNow)
{
  const auto wait = WaitTime(aNow);
  if (wait > aMaxWait) {
    return std::nullopt;
  }
  mFullAt = std::max(mFullAt, aNow) + Spacing();
  return aNow + wait;
}

Micros
RequestPacer::WaitTime(TimePoint aNow) const
{
  const auto startAt = mFullAt - SavedTime() + Spacing();
  return std::max<Micros>(Micros(0), startAt - aNow);
}

void
RequestPacer::Return()
{
  mFullAt -= Spacing();
}

double
RequestPacer::Unused(TimePoint aNow) const
{
  const auto full = std::max<Micros>(Micros(0), aNow - mFullAt);
  return std::chrono::duration<double>(full).count() * mRate;
}

} // namespace porttiller
