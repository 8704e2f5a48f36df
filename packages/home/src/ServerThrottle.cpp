#include "porttiller/home/ServerThrottle.h"

#include "porttiller/telemetry/Log.h"

#include <Poco/NumberFormatter.h>

namespace porttiller {

namespace {

constexpr int kRateDecimals = 3;

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

void
ServerThrottle::OnAnswer(const ServerSignals& aSignals,
                         const std::string& aRequestId,
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
  if (!mUnreadable && mLimit.OnAnswer(aSignals.mLimit, aSent, aNow)) {
    LogLimit(aRequestId, aNow);
  }
  if (aSignals.mLeaving && !mLeaving) {
    mLeaving = true;
    LogLine(LogLevel::kInfo, "server_leaving")
      .With("server", mServer.ToString())
      .With("request", aRequestId)
      .With("source", "answer");
  }
}

void
ServerThrottle::LogLimit(const std::string& aRequestId, TimePoint aNow) const
{
  LogLine(LogLevel::kInfo, "server_limit")
    .With("server", mServer.ToString())
    .With("limit", ToText(mLimit.Rate()))
    .With("request", aRequestId)
    .With("source", "answer")
    .With("sent_in_4_s", mSent.Count(aNow));
}

std::optional<double>
ServerThrottle::Limit() const
{
  const std::lock_guard lock(mMutex);
  return mLimit.Rate();
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
         " says_leaving=" + (mLeaving ? "true" : "false");
}

} // namespace porttiller
