#include "porttiller/control/LimitController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/core/Rendezvous.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

// Entries report every other tick; collectors exchange use and compute grants
// every tick.
constexpr Millis kTick{ 125 };
constexpr std::size_t kCollectorsPerZone = 2;
constexpr Millis kFindCollectorsInterval{ 1000 };
constexpr Millis kReplyTimeout{ 400 };
// Grants are no longer sent to an entry that has not reported for this time; it
// requests them again before it relies on them.
constexpr Millis kReporterLifetime{ 3000 };
// Relative change of a share that is sent at once; a smaller one goes out with
// the next reply to a report.
constexpr double kMinShareChange = 0.15;
constexpr Millis kMinGrantInterval{ 250 };

bool
SameWorkspaces(const WorkspaceGrants& aOne, const WorkspaceGrants& aOther)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    aOther.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.mWorkspace == aRight.mWorkspace;
                    });
}

// Both must hold the same workspaces.
bool
SharesChanged(const WorkspaceGrants& aOne, const WorkspaceGrants& aOther)
{
  for (std::size_t i = 0; i < aOne.size(); ++i) {
    for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
      const auto one = aOne[i].mShares.at(priority);
      const auto other = aOther[i].mShares.at(priority);
      if (std::abs(one - other) > kMinShareChange * std::max(one, other)) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

LimitBounds
LimitBoundsOf(const Settings& aSettings)
{
  const auto& limits = aSettings.mWorkspaceLimits;
  return { .mWindow = limits.mWindow,
           .mOver = limits.mOver,
           .mSlack = limits.mSlack };
}

LimitController::LimitController(
  const Settings& aSettings,
  PeerTransport& aTransport,
  WorkspaceGate& aGate,
  Metrics& aMetrics,
  std::function<std::vector<BoxName>()> aLiveBoxes)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mGate(aGate)
  , mMetrics(aMetrics)
  , mLiveBoxes(std::move(aLiveBoxes))
  , mCollector({ .mBounds = LimitBoundsOf(aSettings) })
{
}

void
LimitController::Stop()
{
  mTicker.reset();
}

void
LimitController::Apply(const SnapshotPtr& aSnapshot)
{
  {
    const std::lock_guard lock(mMutex);
    mSnapshot = aSnapshot;
  }
  if (!mTicker && !aSnapshot->mWorkspaces->Empty()) {
    mTicker = std::make_unique<Ticker>(kTick, [this] { Tick(); });
  }
}

// Under mMutex.
std::optional<RequestLimit>
LimitController::LimitOf(const WorkspaceName& aWorkspace) const
{
  const auto spec =
    mSnapshot ? mSnapshot->mWorkspaces->Find(aWorkspace) : nullptr;
  if (!spec || !spec->Limited()) {
    return std::nullopt;
  }
  return RequestLimit{ .mRatePerSecond = spec->mRatePerSecond,
                       .mBurst = spec->mBurst };
}

void
LimitController::Tick()
{
  if (Now() >= mNextFindCollectors) {
    FindCollectors();
    mNextFindCollectors = Now() + kFindCollectorsInterval;
  }
  mReportThisTick = !mReportThisTick;
  if (mReportThisTick) {
    Report();
  }
  Collect();
}

void
LimitController::FindCollectors()
{
  SnapshotPtr snapshot;
  {
    const std::lock_guard lock(mMutex);
    snapshot = mSnapshot;
  }
  std::map<AvailabilityZone, std::vector<BoxName>> zones;
  std::size_t live = 0;
  for (const auto& box : mLiveBoxes()) {
    if (const auto* spec = snapshot->FindBox(box)) {
      zones[spec->mZone].push_back(box);
      ++live;
    }
  }
  Collectors found;
  for (const auto& [zone, boxes] : zones) {
    const auto owners =
      RendezvousOwners("workspaces/" + zone.Value(), boxes, kCollectorsPerZone);
    for (const auto& owner : owners) {
      const auto& spec = *snapshot->FindBox(owner);
      if (zone == mSettings.mZone) {
        found.mOwnZone.push_back(spec);
      }
      if (owner != mSettings.mBox) {
        found.mOthers.push_back(spec);
      }
    }
  }
  const auto known = std::max<std::size_t>(1, snapshot->mBoxes.size());
  mCollectors = std::move(found);
  mGate.SetBoxes(known);
  // In a network partition each side grants the part of a limit that matches
  // its number of live boxes; an isolated box collects for itself and grants
  // the part of one box.
  const std::lock_guard lock(mMutex);
  mCollector.SetPart(
    std::min(1.0, static_cast<double>(live) / static_cast<double>(known)));
}

void
LimitController::Report()
{
  std::vector<BoxName> names;
  for (const auto& collector : mCollectors.mOwnZone) {
    names.push_back(collector.mName);
  }
  const auto report = mGate.NextReport(names);
  for (const auto& collector : mCollectors.mOwnZone) {
    if (report && collector.mName == report->mCollector) {
      SendReport(collector, *report);
    }
  }
}

void
LimitController::SendReport(const BoxSpec& aCollector, const UseReport& aReport)
{
  if (aCollector.mName == mSettings.mBox) {
    WorkspaceGrants grants;
    bool warming = false;
    {
      const std::lock_guard lock(mMutex);
      mCollector.OnEntryUse(aReport.mUses);
      grants = mGrants;
      warming = mCollector.Warming(Now());
    }
    mGate.OnGrants(grants, warming);
    mGate.OnReply(aReport.mReplyToken, true);
    return;
  }
  wire::Envelope message;
  EncodeUses(aReport.mUses, *message.mutable_workspace_report());
  if (aReport.mReplyToken == 0) {
    mTransport.SendOneWay(aCollector.mControlAddress, std::move(message));
    return;
  }
  mTransport.Send(
    aCollector.mControlAddress,
    std::move(message),
    kReplyTimeout,
    [this, replyToken = aReport.mReplyToken](const PeerResult& aResult) {
      const bool replied = aResult && aResult->has_workspace_grants();
      if (replied) {
        OnGrants(aResult->workspace_grants());
      }
      mGate.OnReply(replyToken, replied);
    });
}

wire::Envelope
LimitController::OnReport(const wire::Envelope& aMessage)
{
  const auto& report = aMessage.workspace_report();
  const auto uses = DecodeUses(report);
  wire::Envelope reply;
  auto* grants = reply.mutable_workspace_grants();
  const std::lock_guard lock(mMutex);
  if (report.from_collector()) {
    mCollector.OnZoneUse(uses);
  } else {
    mReporters[BoxName(aMessage.from_box())] = Now();
    mCollector.OnEntryUse(uses);
  }
  EncodeGrants(mGrants, *grants);
  grants->set_warming(mCollector.Warming(Now()));
  return reply;
}

void
LimitController::OnGrants(const wire::WorkspaceGrants& aMessage)
{
  mGate.OnGrants(DecodeGrants(aMessage), aMessage.warming());
}

void
LimitController::Collect()
{
  WorkspaceUses uses;
  WorkspaceGrants grants;
  bool warming = false;
  {
    const std::lock_guard lock(mMutex);
    if (mCollector.Idle()) {
      return;
    }
    uses = mCollector.TakeZoneUse();
    grants = mCollector.Grant(
      [this](const WorkspaceName& aName) { return LimitOf(aName); }, Now());
    mGrants = grants;
    warming = mCollector.Warming(Now());
    std::erase_if(mReporters, [](const auto& aReporter) {
      return aReporter.second + kReporterLifetime < Now();
    });
  }
  mMetrics.LimitedWorkspaces().Set(static_cast<double>(grants.size()));
  if (!uses.empty()) {
    Exchange(uses);
  }
  const bool workspacesChanged = !SameWorkspaces(grants, mSentGrants);
  if (workspacesChanged) {
    LogChanges(grants);
  }
  if (workspacesChanged ||
      (Now() >= mNextGrantSend && SharesChanged(grants, mSentGrants))) {
    SendGrants(grants, warming);
    mSentGrants = grants;
    mNextGrantSend = Now() + kMinGrantInterval;
  }
}

void
LimitController::Exchange(const WorkspaceUses& aUses)
{
  wire::Envelope message;
  auto* report = message.mutable_workspace_report();
  EncodeUses(aUses, *report);
  report->set_from_collector(true);
  for (const auto& collector : mCollectors.mOthers) {
    mTransport.SendOneWay(collector.mControlAddress, message);
  }
}

void
LimitController::SendGrants(const WorkspaceGrants& aGrants, bool aWarming)
{
  std::vector<BoxName> reporters;
  SnapshotPtr snapshot;
  {
    const std::lock_guard lock(mMutex);
    snapshot = mSnapshot;
    for (const auto& [box, lastReport] : mReporters) {
      reporters.push_back(box);
    }
  }
  wire::Envelope message;
  EncodeGrants(aGrants, *message.mutable_workspace_grants());
  message.mutable_workspace_grants()->set_warming(aWarming);
  for (const auto& reporter : reporters) {
    if (const auto* spec = snapshot->FindBox(reporter)) {
      mTransport.SendOneWay(spec->mControlAddress, message);
    }
  }
}

void
LimitController::LogChanges(const WorkspaceGrants& aGrants)
{
  const auto missingIn = [](const WorkspaceGrants& aSet,
                            const WorkspaceGrants& aOther) {
    WorkspaceGrants missing;
    std::set_difference(aSet.begin(),
                        aSet.end(),
                        aOther.begin(),
                        aOther.end(),
                        std::back_inserter(missing),
                        [](const auto& aLeft, const auto& aRight) {
                          return aLeft.mWorkspace < aRight.mWorkspace;
                        });
    return missing;
  };
  for (const auto& grant : missingIn(aGrants, mSentGrants)) {
    constexpr double kPermille = 1000.0;
    const auto least =
      *std::min_element(grant.mShares.begin(), grant.mShares.end());
    LogLine(LogLevel::kInfo, "workspace_limit")
      .With("workspace", grant.mWorkspace.Value())
      .With("state", "held")
      .With("share_permille", static_cast<std::int64_t>(least * kPermille));
  }
  for (const auto& grant : missingIn(mSentGrants, aGrants)) {
    LogLine(LogLevel::kInfo, "workspace_limit")
      .With("workspace", grant.mWorkspace.Value())
      .With("state", "free");
  }
}

std::string
LimitController::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mCollector.Dump();
}

} // namespace porttiller
