#include "porttiller/policy/NamedLimit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace porttiller {

bool
NamedLimit::OnAnswer(std::optional<double> aRate,
                     TimePoint aSent,
                     TimePoint aNow)
{
  mAnswered = true;
  const double rate = aRate.value_or(std::numeric_limits<double>::infinity());
  if (!mRate || rate <= *mRate) {
    const bool changed = aRate != mRate;
    mRate = aRate;
    mHeardAt = aRate ? aNow : mHeardAt;
    mRaise.reset();
    return changed;
  }
  if (aSent < mHeardAt) {
    return false;
  }
  if (!mRaise) {
    mRaise = rate;
    return false;
  }
  const double agreed = std::min(rate, *mRaise);
  mRate = std::isinf(agreed) ? std::nullopt : std::optional(agreed);
  mHeardAt = aNow;
  mRaise.reset();
  return true;
}

bool
NamedLimit::OnReport(double aRate, TimePoint aHeard)
{
  if (mAnswered || (mRate && aHeard <= mHeardAt)) {
    return false;
  }
  const bool changed = mRate != aRate;
  mRate = aRate;
  mHeardAt = aHeard;
  return changed;
}

} // namespace porttiller
