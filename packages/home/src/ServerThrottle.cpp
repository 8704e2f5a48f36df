#include "porttiller/home/ServerThrottle.h"

#include "porttiller/telemetry/Log.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr int kRateDecimals = 3;
// A server that names less is asked at this rate whether it still does: without
// an answer, its limit would never end.
constexpr double kMinRate = 0.2; // requests per second
// How often a single answer without the limit lets the next request pass early,
// to confirm that the limit has ended.
constexpr Millis kConfirmInterval{ 2000 };
constexpr Millis kMinRetryAfter{ 50 };
constexpr Millis kMaxRetryAfter{ 2000 };

std::string
ToText(std::optional<double> aRate)
{
  return aRate ? Poco::NumberFormatter::format(*aRate, kRateDecimals) : "none";
}

} // namespace

ServerThrottle::ServerThrottle(ServerIncarnation aServer)
  : mServer(std::move(aServer))
{
}

void
ServerThrottle::OnSent(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mSent.Add(aNow);
}

bool
ServerThrottle::OnAnswer(const ServerSignals& aSignals,
                         const std::string& aRequestId,
                         std::size_t aSenders,
                         TimePoint aSent,
                         TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (aSignals.mUnreadableLimit && !mUnreadable) {
    LogLine(LogLevel::kWarning, "server_limit_unreadable")
      .With("server", mServer.ToString())
      .With("request", aRequestId)
      .With("limit_in_force", ToText(mLimit.Rate()));
  }
  mUnreadable = aSignals.mUnreadableLimit;
  bool tightened = false;
  const auto before = mLimit.Rate();
  if (!mUnreadable && mLimit.OnAnswer(aSignals.mLimit, aSent, aNow)) {
    LogLimit(aRequestId, "answer", aNow);
    tightened = OnLimitChanged(before, aSenders, aNow);
  }
  if (mLimit.IsUnconfirmed()) {
    Confirm(aNow);
  }
  if (aSignals.mLeaving && !mLeaving) {
    mLeaving = true;
    tightened = true;
    LogLine(LogLevel::kInfo, "server_leaving")
      .With("server", mServer.ToString())
      .With("request", aRequestId)
      .With("source", "answer");
  }
  return tightened;
}

bool
ServerThrottle::OnReport(const LimitNote& aLimit,
                         std::size_t aSenders,
                         TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto before = mLimit.Rate();
  if (!mLimit.OnReport(aLimit.mRate, aNow - aLimit.mAge)) {
    return false;
  }
  LogLimit("", "entry", aNow);
  return OnLimitChanged(before, aSenders, aNow);
}

// Returns whether the limit is lower than before.
bool
ServerThrottle::OnLimitChanged(std::optional<double> aBefore,
                               std::size_t aSenders,
                               TimePoint aNow)
{
  mRejected = 0;
  const auto rate = mLimit.Rate();
  if (!rate) {
    mPacer = RequestPacer();
    return false;
  }
  const double used = std::max(*rate, kMinRate);
  if (aBefore) {
    mInterval.OnRateChanged(mPacer.Rate(), used);
  } else {
    mInterval.Start(used, aSenders);
  }
  mPacer.SetRate(used, aNow);
  return !aBefore || *rate < *aBefore;
}

void
ServerThrottle::Confirm(TimePoint aNow)
{
  if (aNow >= mNextConfirmAt) {
    mNextConfirmAt = aNow + kConfirmInterval;
    mPacer.Return();
  }
}

void
ServerThrottle::LogLimit(const std::string& aRequestId,
                         const char* aSource,
                         TimePoint aNow) const
{
  const auto age =
    std::chrono::duration_cast<Millis>(aNow - mLimit.HeardAt()).count();
  LogLine(LogLevel::kInfo, "server_limit")
    .With("server", mServer.ToString())
    .With("limit", ToText(mLimit.Rate()))
    .With("request", aRequestId)
    .With("source", aSource)
    .With("age_ms", mLimit.Rate() ? age : 0)
    .With("sent_in_4_s", mSent.Count(aNow))
    .With("rejected_before", mRejected);
}

void
ServerThrottle::OnEnded()
{
  const std::lock_guard lock(mMutex);
  LogLine(LogLevel::kInfo, "server_leaving_ended")
    .With("server", mServer.ToString());
  mLimit = NamedLimit();
  mPacer = RequestPacer();
  mLeaving = false;
}

std::optional<TimePoint>
ServerThrottle::Reserve(Micros aMaxWait, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mLimit.Rate()) {
    return aNow;
  }
  mInterval.OnUnused(mPacer.Unused(aNow));
  const auto start = mPacer.Reserve(aMaxWait, aNow);
  if (!start) {
    ++mRejected;
    mInterval.OnRejected();
  }
  return start;
}

void
ServerThrottle::Return()
{
  const std::lock_guard lock(mMutex);
  if (mLimit.Rate()) {
    mPacer.Return();
  }
}

Millis
ServerThrottle::RetryAfter(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  if (!mLimit.Rate()) {
    return kMinRetryAfter;
  }
  const auto wait = std::chrono::ceil<Millis>(mPacer.WaitTime(aNow));
  return std::clamp(
    std::max(wait, mInterval.Value()), kMinRetryAfter, kMaxRetryAfter);
}

std::optional<double>
ServerThrottle::Limit() const
{
  const std::lock_guard lock(mMutex);
  return mLimit.Rate();
}

bool
ServerThrottle::IsLeaving() const
{
  const std::lock_guard lock(mMutex);
  return mLeaving;
}

ServerDemand
ServerThrottle::Demand() const
{
  const std::lock_guard lock(mMutex);
  ServerDemand demand{ .mLeaving = mLeaving };
  if (const auto rate = mLimit.Rate()) {
    demand.mLimit = { .mRate = *rate, .mInterval = mInterval.Value() };
  }
  return demand;
}

int
ServerThrottle::RecentlySent(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  return mSent.Count(aNow);
}

std::string
ServerThrottle::Dump() const
{
  const std::lock_guard lock(mMutex);
  return "limit=" + ToText(mLimit.Rate()) +
         " sent_in_4_s=" + std::to_string(mSent.Count(Now())) +
         " interval_ms=" + std::to_string(mInterval.Value().count()) +
         " rejected=" + std::to_string(mRejected) +
         " says_leaving=" + (mLeaving ? "true" : "false");
}

} // namespace porttiller
