#include "fleet/ThrottleLog.h"

#include <algorithm>
#include <utility>

namespace porttiller::fleet {

ThrottleLog::ThrottleLog(std::string aLimitHeader, std::string aLeavingHeader)
  : mLimitHeader(std::move(aLimitHeader))
  , mLeavingHeader(std::move(aLeavingHeader))
{
}

void
ThrottleLog::OnSent(const std::string& aId, int aBox)
{
  const std::lock_guard lock(mMutex);
  mSent[aId] = { .mBox = aBox, .mAt = Now() };
}

void
ThrottleLog::OnArrival(const std::string& aId, const std::string& aServer)
{
  const std::lock_guard lock(mMutex);
  const auto now = Now();
  Arrival arrival{ .mAt = now };
  if (const auto sent = mSent.find(aId); sent != mSent.end()) {
    const auto& told = mTold[{ sent->second.mBox, aServer }];
    arrival.mAfterLimit = told.mLimit && now >= *told.mLimit + kToldDelay;
    arrival.mAfterLeaving =
      told.mLeaving && sent->second.mAt > *told.mLeaving + kDrainTime;
  }
  mArrivals[aServer].push_back(arrival);
}

bool
ThrottleLog::OnReply(int aBox, const Reply& aReply)
{
  const bool limit = !HeaderValue(aReply.mHeaders, mLimitHeader).empty();
  const bool leaving = !HeaderValue(aReply.mHeaders, mLeavingHeader).empty();
  // The body of a stand-in begins with its name.
  const auto server = aReply.mBody.substr(0, aReply.mBody.find('|'));
  const std::lock_guard lock(mMutex);
  auto& told = mTold[{ aBox, server }];
  if (limit && !told.mLimit) {
    told.mLimit = Now();
  }
  if (leaving && !told.mLeaving) {
    told.mLeaving = Now();
  }
  return limit || leaving;
}

void
ThrottleLog::Excuse(int aBox)
{
  const std::lock_guard lock(mMutex);
  std::erase_if(mTold,
                [&](const auto& aTold) { return aTold.first.first == aBox; });
}

void
ThrottleLog::Forget(const std::string& aServer)
{
  const std::lock_guard lock(mMutex);
  std::erase_if(
    mTold, [&](const auto& aTold) { return aTold.first.second == aServer; });
}

int
ThrottleLog::WorstWindow(const std::string& aServer, TimePoint aNamedAt) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mArrivals.find(aServer);
  if (it == mArrivals.end()) {
    return 0;
  }
  int worst = 0;
  const auto& arrivals = it->second;
  for (auto last = arrivals.begin(); last != arrivals.end(); ++last) {
    if (last->mAt < aNamedAt + kContactTime) {
      continue;
    }
    const auto count =
      std::count_if(arrivals.begin(), last + 1, [&](const Arrival& aEach) {
        return aEach.mAfterLimit && aEach.mAt > last->mAt - kWindow;
      });
    worst = std::max(worst, static_cast<int>(count));
  }
  return worst;
}

int
ThrottleLog::Allowed(double aLimit)
{
  constexpr double kWindowS = 4.0;
  return static_cast<int>(kLimitFactor * aLimit * kWindowS + kLimitSlack);
}

int
ThrottleLog::AfterLeaving(const std::string& aServer) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mArrivals.find(aServer);
  return it == mArrivals.end()
           ? 0
           : static_cast<int>(std::count_if(
               it->second.begin(), it->second.end(), [](const Arrival& aEach) {
                 return aEach.mAfterLeaving;
               }));
}

int
ThrottleLog::Arrivals(const std::string& aServer, TimePoint aFrom) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mArrivals.find(aServer);
  return it == mArrivals.end()
           ? 0
           : static_cast<int>(std::count_if(
               it->second.begin(), it->second.end(), [&](const Arrival& aEach) {
                 return aEach.mAt >= aFrom;
               }));
}

} // namespace porttiller::fleet
