#include "LinkSilencePriv.h"

#include <algorithm>

namespace porttiller {

LinkSilence::LinkSilence(LinkSilenceOptions aOptions)
  : mOptions(aOptions)
{
}

void
LinkSilence::OnMade(const std::string& aRoute, TimePoint aNow)
{
  mLinks[aRoute] = { .mMade = aNow };
}

void
LinkSilence::OnClosed(const std::string& aRoute)
{
  mLinks.erase(aRoute);
}

TimePoint
LinkSilence::SilentAt(const Link& aLink) const
{
  const auto usual = aLink.mReplyTime.value_or(Micros(0));
  const auto at =
    *aLink.mWaitsSince +
    std::max<Micros>(mOptions.mPatience, mOptions.mUsualReplies * usual);
  return aLink.mHeard ? at : std::max(at, aLink.mMade + mOptions.mUnheardTime);
}

void
LinkSilence::OnRequest(const std::string& aRoute, TimePoint aNow)
{
  auto& link = mLinks.at(aRoute);
  if (!link.mWaitsSince) {
    link.mWaitsSince = aNow;
    PlanLook(aRoute, link);
  }
}

// A look that is planned earlier plans the next one itself.
void
LinkSilence::PlanLook(const std::string& aRoute, Link& aLink)
{
  const auto at = SilentAt(aLink);
  if (!aLink.mLookAt || at < *aLink.mLookAt) {
    aLink.mLookAt = at;
    mLooks.emplace(at, aRoute);
  }
}

void
LinkSilence::OnHeard(const std::string& aRoute, TimePoint aNow)
{
  if (const auto it = mLinks.find(aRoute); it != mLinks.end()) {
    it->second.mHeard = aNow;
    it->second.mWaitsSince.reset();
  }
}

void
LinkSilence::OnReplyTime(const std::string& aRoute, Micros aTime)
{
  if (const auto it = mLinks.find(aRoute); it != mLinks.end()) {
    it->second.mReplyTime = aTime;
  }
}

std::map<std::string, Millis>
LinkSilence::TakeSilent(TimePoint aNow)
{
  std::map<std::string, Millis> silent;
  while (!mLooks.empty() && mLooks.begin()->first <= aNow) {
    const auto [at, route] = *mLooks.begin();
    mLooks.erase(mLooks.begin());
    const auto it = mLinks.find(route);
    if (it == mLinks.end() || it->second.mLookAt != at) {
      continue; // closed, or an earlier look was planned since
    }
    auto& link = it->second;
    link.mLookAt.reset();
    if (!link.mWaitsSince) {
      continue;
    }
    if (SilentAt(link) > aNow) {
      PlanLook(route, link);
    } else {
      silent[route] =
        std::chrono::duration_cast<Millis>(aNow - *link.mWaitsSince);
    }
  }
  return silent;
}

std::optional<TimePoint>
LinkSilence::NextLook() const
{
  return mLooks.empty() ? std::nullopt : std::optional(mLooks.begin()->first);
}

bool
LinkSilence::IsQuiet(const std::string& aRoute, TimePoint aNow) const
{
  const auto since = SinceHeard(aRoute, aNow);
  return since && *since > mOptions.mQuietTime;
}

std::optional<Millis>
LinkSilence::SinceHeard(const std::string& aRoute, TimePoint aNow) const
{
  const auto it = mLinks.find(aRoute);
  if (it == mLinks.end() || !it->second.mHeard) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(aNow - *it->second.mHeard);
}

} // namespace porttiller
