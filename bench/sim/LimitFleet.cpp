#include "sim/LimitFleet.h"

#include <algorithm>
#include <cmath>

namespace porttiller::bench {

namespace {

constexpr Micros kTick{ 125'000 };
constexpr Micros kReplyTimeout{ 400'000 };
constexpr Micros kReporterExpiry{ 3'000'000 };
// Allowance until the other boxes detect that a box is dead.
constexpr Micros kFailureDetectionTime{ 2'000'000 };
constexpr std::size_t kCollectorsPerZone = 2;
const LimitBounds kBounds;

double
SecondsOf(Micros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

WorkspaceName
NameOf(std::size_t aWorkspace)
{
  return WorkspaceName("w" + std::to_string(aWorkspace));
}

} // namespace

LimitFleet::LimitFleet(LimitFleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mNow(Micros(1'000'000))
  , mBoxes(static_cast<std::size_t>(mOptions.mBoxes))
  , mWorkspaces(mOptions.mWorkspaces)
  , mWindows(mWorkspaces.size())
  , mLimits(mWorkspaces.size())
{
  mOutcome.mWorkspaces.resize(mWorkspaces.size());
  for (std::size_t i = 0; i < mWorkspaces.size(); ++i) {
    mLimits[i].emplace_back(mNow, mWorkspaces[i].mLimit);
    mBuckets.emplace_back(mWorkspaces[i].mLimit.mBurst, mNow);
  }
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    mBoxes[static_cast<std::size_t>(box)].mZone = box % mOptions.mZones;
    Start(box);
  }
  for (std::size_t i = 0; i < mWorkspaces.size(); ++i) {
    At(mNow + kTick * 4, [this, i] { Arrive(i); });
  }
}

double
LimitFleet::Uniform()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
LimitFleet::At(TimePoint aTime, std::function<void()> aTask)
{
  mEvents.push({ aTime, mOrder++, std::move(aTask) });
}

void
LimitFleet::Start(int aBox)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  box.mGate = std::make_unique<LimitGate>();
  box.mGate->SetBoxes(mBoxes.size());
  box.mReporter = std::make_unique<UseReporter>();
  box.mCollector = std::make_unique<UsageCollector>(
    UsageCollectorOptions{ .mBounds = kBounds });
  box.mGrants.clear();
  box.mSentGrants.clear();
  box.mReporters.clear();
  box.mDown = false;
  const int incarnation = ++box.mIncarnation;
  if (mOptions.mScheme == LimitScheme::kCollected) {
    const auto first = Micros(
      static_cast<Micros::rep>(Uniform() * static_cast<double>(kTick.count())));
    At(mNow + first, [this, aBox, incarnation] { Tick(aBox, incarnation); });
  }
}

void
LimitFleet::Cut(int aBox, Micros aFrom, Micros aUntil)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  At(TimePoint(aFrom), [&box] { box.mCut = true; });
  At(TimePoint(aUntil), [&box] { box.mCut = false; });
}

void
LimitFleet::CutInbound(int aBox, Micros aFrom, Micros aUntil)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  At(TimePoint(aFrom), [&box] { box.mInboundCut = true; });
  At(TimePoint(aUntil), [&box] { box.mInboundCut = false; });
}

void
LimitFleet::Kill(int aBox, Micros aAt, Micros aDown)
{
  At(TimePoint(aAt), [this, aBox] {
    auto& box = mBoxes[static_cast<std::size_t>(aBox)];
    box.mDown = true;
    ++box.mIncarnation;
  });
  At(TimePoint(aAt + aDown), [this, aBox] { Start(aBox); });
}

void
LimitFleet::ChangeLimit(std::size_t aWorkspace, Micros aAt, RequestLimit aLimit)
{
  At(TimePoint(aAt), [this, aWorkspace, aLimit] {
    mWorkspaces[aWorkspace].mLimit = aLimit;
    mLimits[aWorkspace].emplace_back(mNow, aLimit);
  });
}

void
LimitFleet::Send(int aFrom,
                 int aTo,
                 std::size_t aItems,
                 std::function<void()> aTask)
{
  ++mMessages;
  mItems += aItems;
  auto& from = mBoxes[static_cast<std::size_t>(aFrom)];
  auto& to = mBoxes[static_cast<std::size_t>(aTo)];
  ++from.mMessages;
  if (from.mCut || to.mCut || to.mInboundCut || to.mDown) {
    return;
  }
  const auto delay =
    static_cast<double>(mOptions.mDelay.count()) * (1.0 + Uniform());
  At(mNow + Micros(static_cast<Micros::rep>(delay)),
     [&to, incarnation = to.mIncarnation, aTask = std::move(aTask)] {
       if (!to.mDown && to.mIncarnation == incarnation) {
         ++to.mMessages;
         aTask();
       }
     });
}

// The first live boxes of a zone that aAsker can reach, by number.
std::vector<int>
LimitFleet::CollectorsOf(int aZone, int aAsker) const
{
  std::vector<int> found;
  const bool askerCut = mBoxes[static_cast<std::size_t>(aAsker)].mCut;
  for (int box = 0; box < mOptions.mBoxes && found.size() < kCollectorsPerZone;
       ++box) {
    const auto& each = mBoxes[static_cast<std::size_t>(box)];
    const bool unreachable = (each.mCut || askerCut) && box != aAsker;
    if (each.mZone == aZone && !unreachable && !each.mDown) {
      found.push_back(box);
    }
  }
  return found;
}

std::optional<RequestLimit>
LimitFleet::LimitOf(const WorkspaceName& aName) const
{
  return mWorkspaces[std::stoul(aName.Value().substr(1))].mLimit;
}

double
LimitFleet::LiveShare(int aBox) const
{
  const auto live =
    mBoxes[static_cast<std::size_t>(aBox)].mCut
      ? 1
      : std::count_if(mBoxes.begin(), mBoxes.end(), [](const Box& aEach) {
          return !aEach.mCut && !aEach.mDown;
        });
  return static_cast<double>(live) / static_cast<double>(mBoxes.size());
}

void
LimitFleet::Tick(int aBox, int aIncarnation)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  if (box.mIncarnation != aIncarnation || box.mDown) {
    return;
  }
  box.mReportThisTick = !box.mReportThisTick;
  if (box.mReportThisTick) {
    Report(aBox);
  }
  Collect(aBox);
  At(mNow + kTick, [this, aBox, aIncarnation] { Tick(aBox, aIncarnation); });
}

void
LimitFleet::Report(int aBox)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  std::vector<BoxName> collectors;
  for (const int each : CollectorsOf(box.mZone, aBox)) {
    collectors.emplace_back(std::to_string(each));
  }
  const auto report = box.mReporter->Next(*box.mGate, collectors, mNow);
  if (!report) {
    return;
  }
  const int to = std::stoi(report->mCollector.Value());
  auto& collector = mBoxes[static_cast<std::size_t>(to)];
  if (to == aBox) {
    box.mCollector->OnEntryUse(report->mUses);
    box.mGate->OnGrants(box.mGrants, box.mCollector->Warming(mNow), mNow);
    box.mReporter->OnReply(report->mReplyToken, true, mNow);
    return;
  }
  const auto replied = std::make_shared<bool>(false);
  Send(aBox,
       to,
       report->mUses.size(),
       [this, aBox, to, &box, &collector, report = *report, replied] {
         collector.mReporters[aBox] = mNow;
         collector.mCollector->OnEntryUse(report.mUses);
         if (report.mReplyToken == 0) {
           return;
         }
         Send(to,
              aBox,
              collector.mGrants.size(),
              [this,
               &box,
               grants = collector.mGrants,
               warming = collector.mCollector->Warming(mNow),
               replyToken = report.mReplyToken,
               replied] {
                *replied = true;
                box.mGate->OnGrants(grants, warming, mNow);
                box.mReporter->OnReply(replyToken, true, mNow);
              });
       });
  if (report->mReplyToken != 0) {
    At(mNow + kReplyTimeout,
       [this,
        &box,
        incarnation = box.mIncarnation,
        replyToken = report->mReplyToken,
        replied] {
         if (!*replied && box.mIncarnation == incarnation) {
           box.mReporter->OnReply(replyToken, false, mNow);
         }
       });
  }
}

void
LimitFleet::Collect(int aBox)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  if (box.mCollector->Idle()) {
    return;
  }
  const auto uses = box.mCollector->TakeZoneUse();
  box.mCollector->SetPart(LiveShare(aBox));
  box.mGrants = box.mCollector->Grant(
    [this](const WorkspaceName& aName) { return LimitOf(aName); }, mNow);
  for (int zone = 0; zone < mOptions.mZones && !uses.empty(); ++zone) {
    for (const int other : CollectorsOf(zone, aBox)) {
      if (other != aBox) {
        auto& collector = mBoxes[static_cast<std::size_t>(other)];
        Send(aBox, other, uses.size(), [&collector, uses] {
          collector.mCollector->OnZoneUse(uses);
        });
      }
    }
  }
  if (box.mGrants == box.mSentGrants) {
    return;
  }
  box.mSentGrants = box.mGrants;
  std::erase_if(box.mReporters, [this](const auto& aReporter) {
    return aReporter.second + kReporterExpiry < mNow;
  });
  for (const auto& [entry, lastReport] : box.mReporters) {
    auto& reporter = mBoxes[static_cast<std::size_t>(entry)];
    Send(aBox,
         entry,
         box.mGrants.size(),
         [this,
          &reporter,
          warming = box.mCollector->Warming(mNow),
          grants = box.mGrants] {
           reporter.mGate->OnGrants(grants, warming, mNow);
         });
  }
}

// Poisson arrivals, each at a random entry.
void
LimitFleet::Arrive(std::size_t aWorkspace)
{
  const auto& workspace = mWorkspaces[aWorkspace];
  const bool hot = mNow >= TimePoint(mOptions.mHotFrom) &&
                   mNow < TimePoint(mOptions.mHotUntil);
  const double rate = workspace.mUsualRate * (hot ? workspace.mHotFactor : 1.0);
  const double gap = -std::log(1.0 - Uniform()) / std::max(rate, 1e-3);
  const int box =
    static_cast<int>(Uniform() * static_cast<double>(mOptions.mBoxes));
  if (!mBoxes[static_cast<std::size_t>(box)].mDown) {
    Offer(aWorkspace, box);
  }
  At(mNow + Micros(static_cast<Micros::rep>(gap * 1e6)),
     [this, aWorkspace] { Arrive(aWorkspace); });
}

void
LimitFleet::Offer(std::size_t aWorkspace, int aBox)
{
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  ++mOffers;
  const auto& limit = mWorkspaces[aWorkspace].mLimit;
  if (mOptions.mScheme == LimitScheme::kCentral && !box.mCut &&
      !mBoxes[0].mCut && !mBoxes[0].mDown && aBox != 0) {
    // The oracle's bucket decides: exact, at two messages a request.
    ++mCentralRequests;
    mMessages += 2;
    mItems += 2;
    box.mMessages += 2;
    mBoxes[0].mMessages += 2;
    auto& [tokens, at] = mBuckets[aWorkspace];
    const double now = std::min(
      limit.mBurst, tokens + SecondsOf(mNow - at) * limit.mRatePerSecond);
    Judge(aWorkspace, now >= 1.0);
    return;
  }
  const auto verdict = box.mGate->Offer(
    NameOf(aWorkspace), limit, Priority::kNormal, mNow, mRandom());
  Judge(aWorkspace, verdict.mAdmitted);
  if (!verdict.mAdmitted && !box.mCut && !box.mInboundCut) {
    ++mOutcome.mWorkspaces[aWorkspace].mRejectedConnected;
  }
}

void
LimitFleet::Judge(std::size_t aWorkspace, bool aAdmitted)
{
  auto& outcome = mOutcome.mWorkspaces[aWorkspace];
  const auto& limit = mWorkspaces[aWorkspace].mLimit;
  ++outcome.mOffered;
  auto& [tokens, at] = mBuckets[aWorkspace];
  tokens = std::min(limit.mBurst,
                    tokens + SecondsOf(mNow - at) * limit.mRatePerSecond);
  at = mNow;
  const bool hadRoom = tokens >= 1.0;
  tokens = std::max(0.0, tokens - 1.0);
  if (!aAdmitted) {
    outcome.mRejectedBelowLimit += hadRoom ? 1 : 0;
    return;
  }
  ++outcome.mAdmitted;
  auto& window = mWindows[aWorkspace];
  window.push_back(mNow);
  const auto begin = mNow - Micros(kBounds.mWindow);
  while (window.front() <= begin) {
    window.pop_front();
  }
  // A lower limit applies one window after it is in force on all boxes.
  auto& limits = mLimits[aWorkspace];
  while (limits.size() > 1 &&
         limits[1].first + Micros(kBounds.mWindow) + kFailureDetectionTime <
           mNow) {
    limits.pop_front();
  }
  double allowed = 0.0;
  for (const auto& [since, each] : limits) {
    allowed =
      std::max(allowed,
               each.mRatePerSecond * SecondsOf(Micros(kBounds.mWindow)) +
                 each.mBurst + ToleranceOf(each, kBounds));
  }
  outcome.mWorstWindow = std::max(outcome.mWorstWindow,
                                  static_cast<double>(window.size()) / allowed);
}

LimitOutcome
LimitFleet::Run()
{
  const auto end = mNow + mOptions.mLength;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mTask();
  }
  const double boxSeconds =
    SecondsOf(mOptions.mLength) * static_cast<double>(mBoxes.size());
  mOutcome.mMessagesPerBoxSecond = static_cast<double>(mMessages) / boxSeconds;
  mOutcome.mItemsPerBoxSecond = static_cast<double>(mItems) / boxSeconds;
  for (const auto& box : mBoxes) {
    mOutcome.mMessagesOfBusiest = std::max(mOutcome.mMessagesOfBusiest,
                                           static_cast<double>(box.mMessages) /
                                             SecondsOf(mOptions.mLength));
  }
  mOutcome.mCentralShare =
    static_cast<double>(mCentralRequests) /
    static_cast<double>(std::max<std::uint64_t>(1, mOffers));
  return mOutcome;
}

} // namespace porttiller::bench
