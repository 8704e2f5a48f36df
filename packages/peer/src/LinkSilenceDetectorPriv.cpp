#include "LinkSilenceDetectorPriv.h"

#include <algorithm>

namespace porttiller {

LinkSilenceDetector::LinkSilenceDetector(LinkSilenceOptions aOptions)
  : mOptions(aOptions)
{
}

void
LinkSilenceDetector::OnOpened(const std::string& aRoute, TimePoint aNow)
{
  mLinks[aRoute] = { .mOpened = aNow };
}

void
LinkSilenceDetector::OnClosed(const std::string& aRoute)
{
  mLinks.erase(aRoute);
}

TimePoint
LinkSilenceDetector::SilenceDeadline(const Link& aLink) const
{
  const auto replyTime = aLink.mReplyTime.value_or(Micros(0));
  const auto at = *aLink.mOldestUnanswered +
                  std::max<Micros>(mOptions.mMinSilence,
                                   mOptions.mReplyTimeFactor * replyTime);
  return aLink.mLastReply
           ? at
           : std::max(at, aLink.mOpened + mOptions.mFirstReplyTimeout);
}

void
LinkSilenceDetector::OnRequest(const std::string& aRoute, TimePoint aNow)
{
  auto& link = mLinks.at(aRoute);
  if (!link.mOldestUnanswered) {
    link.mOldestUnanswered = aNow;
    ScheduleCheck(aRoute, link);
  }
}

// A check that is due earlier schedules the next one when it runs.
void
LinkSilenceDetector::ScheduleCheck(const std::string& aRoute, Link& aLink)
{
  const auto at = SilenceDeadline(aLink);
  if (!aLink.mNextCheck || at < *aLink.mNextCheck) {
    aLink.mNextCheck = at;
    mChecks.emplace(at, aRoute);
  }
}

void
LinkSilenceDetector::OnReply(const std::string& aRoute, TimePoint aNow)
{
  if (const auto it = mLinks.find(aRoute); it != mLinks.end()) {
    it->second.mLastReply = aNow;
    it->second.mOldestUnanswered.reset();
  }
}

void
LinkSilenceDetector::OnReplyTime(const std::string& aRoute, Micros aTime)
{
  if (const auto it = mLinks.find(aRoute); it != mLinks.end()) {
    it->second.mReplyTime = aTime;
  }
}

std::map<std::string, Millis>
LinkSilenceDetector::TakeSilent(TimePoint aNow)
{
  std::map<std::string, Millis> silent;
  while (!mChecks.empty() && mChecks.begin()->first <= aNow) {
    const auto [at, route] = *mChecks.begin();
    mChecks.erase(mChecks.begin());
    const auto it = mLinks.find(route);
    if (it == mLinks.end() || it->second.mNextCheck != at) {
      continue; // closed, or rescheduled to an earlier time
    }
    auto& link = it->second;
    link.mNextCheck.reset();
    if (!link.mOldestUnanswered) {
      continue;
    }
    if (SilenceDeadline(link) > aNow) {
      ScheduleCheck(route, link);
    } else {
      silent[route] =
        std::chrono::duration_cast<Millis>(aNow - *link.mOldestUnanswered);
    }
  }
  return silent;
}

std::optional<TimePoint>
LinkSilenceDetector::NextCheck() const
{
  return mChecks.empty() ? std::nullopt : std::optional(mChecks.begin()->first);
}

bool
LinkSilenceDetector::IsQuiet(const std::string& aRoute, TimePoint aNow) const
{
  const auto since = TimeSinceReply(aRoute, aNow);
  return since && *since > mOptions.mQuietAfter;
}

std::optional<Millis>
LinkSilenceDetector::TimeSinceReply(const std::string& aRoute,
                                    TimePoint aNow) const
{
  const auto it = mLinks.find(aRoute);
  if (it == mLinks.end() || !it->second.mLastReply) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(aNow - *it->second.mLastReply);
}

} // namespace porttiller
