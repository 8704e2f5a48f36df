#include "soak/Soak.h"

#include <algorithm>
#include <csignal>

namespace porttiller::soak {

namespace {

constexpr Millis kHeartbeatInterval{ 400 };
constexpr Millis kExitWait{ 10'000 };
constexpr Millis kRecoveryWait{ 20'000 };
constexpr Millis kSlowWork{ 700 };
constexpr Millis kPollInterval{ 5 };
constexpr Millis kCrashingGap{ 250 };
constexpr double kLimit = 1.5; // requests per second
constexpr const char* kLimitText = "1.5";
constexpr Millis kCrashingTimeout{ 1500 };

bool
IsBoxFault(FaultKind aKind)
{
  return aKind == FaultKind::kKillBox || aKind == FaultKind::kStopBox ||
         aKind == FaultKind::kPauseBox || aKind == FaultKind::kReloadBox;
}

} // namespace

Soak::Soak(SoakOptions aOptions)
  : mOptions(aOptions)
  , mFleet({ .mBoxes = aOptions.mSchedule.mBoxes,
             .mPortBase = aOptions.mPortBase,
             .mLinks = true,
             .mStartTimes = true,
             .mDrainNotice = Millis(500),
             .mDrain = Millis(4000),
             .mCrashMarker = "crash",
             .mRestartCrashed = false })
  , mServerMutexes(static_cast<std::size_t>(aOptions.mSchedule.mBoxes))
  , mDraining(static_cast<std::size_t>(aOptions.mSchedule.mBoxes), false)
{
  for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
    mHeartbeats.emplace_back([this, box] {
      while (!mStop) {
        {
          const std::lock_guard lock(mServerMutexes.at(box));
          if (!mDraining.at(box) && !mFleet.IsDown(box)) {
            mFleet.Server(box).SendHeartbeat();
          }
        }
        std::this_thread::sleep_for(kHeartbeatInterval);
      }
    });
  }
}

Soak::~Soak()
{
  mStop = true;
  for (auto& thread : mHeartbeats) {
    thread.join();
  }
}

SoakResult
Soak::Run()
{
  mClients = std::make_unique<Clients>(
    mFleet,
    mThrottles,
    ClientOptions{ .mSeed = mOptions.mSchedule.mSeed,
                   .mBoxes = mOptions.mSchedule.mBoxes,
                   .mPerBox = mOptions.mClientsPerBox });
  const auto start = Now();
  auto pending = MakeSchedule(mOptions.mSchedule);
  std::vector<Fault> active;
  while (!pending.empty() || !active.empty()) {
    const auto now = Now() - start;
    while (!pending.empty() && pending.front().mBegin <= now) {
      active.push_back(pending.front());
      Begin(pending.front());
      pending.erase(pending.begin());
    }
    const auto isOver = [&](const Fault& aFault) {
      return aFault.mBegin + aFault.mLength <= now;
    };
    for (const auto& fault : active) {
      if (isOver(fault)) {
        End(fault);
      }
    }
    std::erase_if(active, isOver);
    StartCrashedServers();
    std::this_thread::sleep_for(kPollInterval);
  }
  for (auto& thread : mCrashers) {
    thread.join();
  }
  mCrashers.clear();
  ClearFaults();
  SoakResult result;
  CheckRecovery(result);
  mObservations.mRequests = mClients->Stop();
  mObservations.mCrashes = mFleet.EndCrashes();
  result.mRequests = mObservations.mRequests.size();
  result.mServed = static_cast<std::size_t>(
    std::count_if(mObservations.mRequests.begin(),
                  mObservations.mRequests.end(),
                  [](const SentRequest& aRequest) {
                    return aRequest.mReply.mStatus == 200;
                  }));
  result.mViolations.insert(result.mViolations.end(),
                            mDemandViolations.begin(),
                            mDemandViolations.end());
  for (auto& line : FindViolations(mFleet, mObservations)) {
    result.mViolations.push_back(std::move(line));
  }
  return result;
}

void
Soak::SetServer(int aBox, const standin::MeshServerFaults& aFaults)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  const auto demand = mDemands.find(aBox);
  if (demand != mDemands.end() && demand->second.mLimited) {
    CheckDemand(demand->second);
    mThrottles.Forget(demand->second.mId);
    mDemands.erase(demand);
  }
  mFleet.Server(aBox).Set(aFaults);
}

void
Soak::BeginDemand(const Fault& aFault)
{
  const int box = aFault.mBox;
  const std::lock_guard lock(mServerMutexes.at(box));
  if (mDraining.at(box) || mFleet.IsDown(box) || mDemands.contains(box)) {
    return;
  }
  auto& server = mFleet.Server(box);
  const bool limited = aFault.mKind == FaultKind::kServerLimited;
  const auto id = server.Id();
  mThrottles.Forget(id);
  mDemands[box] = {
    .mServer = &server, .mId = id, .mSince = Now(), .mLimited = limited
  };
  server.SetOnArrival([this, id](const std::string& aRequest) {
    mThrottles.OnArrival(aRequest, id);
  });
  server.Set({ .mLimit = limited ? kLimitText : "", .mLeaving = !limited });
}

void
Soak::EndDemand(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (aFault.mKind == FaultKind::kServerLimited) {
    SetServer(box, {});
    return;
  }
  const std::lock_guard lock(mServerMutexes.at(box));
  const auto it = mDemands.find(box);
  if (it == mDemands.end() || it->second.mLimited) {
    return;
  }
  CheckDemand(it->second);
  const bool same = &mFleet.Server(box) == it->second.mServer;
  mDemands.erase(it);
  if (same && !mDraining.at(box) && !mFleet.IsDown(box)) {
    mFleet.ReplaceServer(box);
  }
}

void
Soak::CheckDemand(const Demand& aDemand)
{
  const int late = mThrottles.AfterLeaving(aDemand.mId);
  const int worst = mThrottles.WorstWindow(aDemand.mId, aDemand.mSince);
  if (!aDemand.mLimited && late > 0) {
    mDemandViolations.push_back("leaving: " + std::to_string(late) +
                                " late requests to " + aDemand.mId);
  }
  if (aDemand.mLimited && worst > fleet::ThrottleLog::Allowed(kLimit)) {
    mDemandViolations.push_back("limit: " + std::to_string(worst) +
                                " requests in 4 s to " + aDemand.mId);
  }
}

void
Soak::Begin(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (IsBoxFault(aFault.mKind)) {
    BeginBoxFault(aFault);
    return;
  }
  switch (aFault.mKind) {
    case FaultKind::kStoreDown:
      mFleet.Store().SetDown(true);
      break;
    case FaultKind::kStoreCut:
      mFleet.StoreLink(box).CutForward(true);
      [[fallthrough]];
    case FaultKind::kStoreCutOneWay:
      mFleet.StoreLink(box).CutBackward(true);
      break;
    case FaultKind::kStoreReset:
      mFleet.StoreLink(box).Reset();
      break;
    case FaultKind::kStoreSilent:
      mFleet.StoreLink(box).Silence();
      break;
    case FaultKind::kServerSilent:
      mFleet.ServerLink(box).Silence();
      break;
    case FaultKind::kStoreForgets:
      mFleet.Store().CompactHistory();
      break;
    case FaultKind::kStoreLosesWrite:
      mFleet.Store().LoseWriteAnswers(1);
      break;
    case FaultKind::kServerCut:
      mFleet.ServerLink(box).CutForward(true);
      [[fallthrough]];
    case FaultKind::kServerCutOneWay:
      mFleet.ServerLink(box).CutBackward(true);
      break;
    case FaultKind::kServerReset:
      mFleet.ServerLink(box).Reset();
      break;
    case FaultKind::kServerSlow:
      SetServer(box, { .mWork = kSlowWork });
      break;
    case FaultKind::kServerFull:
      SetServer(box, { .mFull = true });
      break;
    case FaultKind::kServerSpoils:
      SetServer(box, { .mUnsigned = true });
      break;
    case FaultKind::kReplaceServer:
      BeginReplacement(box);
      break;
    case FaultKind::kRestartServer:
      RestartServer(box);
      break;
    case FaultKind::kForeignWriter:
      WriteForeignObjects(box);
      break;
    case FaultKind::kServerLimited:
    case FaultKind::kServerLeaves:
      BeginDemand(aFault);
      break;
    case FaultKind::kCrashingRequest:
      mCrashers.emplace_back([this, aFault] { RepeatCrashingRequest(aFault); });
      break;
    default:
      mFleet.Configure("/extra/");
      mClients->AddRoute("/extra/");
      break;
  }
}

void
Soak::End(const Fault& aFault)
{
  const int box = aFault.mBox;
  switch (aFault.mKind) {
    case FaultKind::kStoreDown:
      mFleet.Store().SetDown(false);
      break;
    case FaultKind::kStoreCut:
    case FaultKind::kStoreCutOneWay:
      mFleet.StoreLink(box).CutForward(false);
      mFleet.StoreLink(box).CutBackward(false);
      break;
    case FaultKind::kServerCut:
    case FaultKind::kServerCutOneWay:
      mFleet.ServerLink(box).CutForward(false);
      mFleet.ServerLink(box).CutBackward(false);
      break;
    case FaultKind::kServerSlow:
    case FaultKind::kServerFull:
    case FaultKind::kServerSpoils:
      SetServer(box, {});
      break;
    case FaultKind::kReplaceServer:
      EndReplacement(box);
      break;
    case FaultKind::kServerLimited:
    case FaultKind::kServerLeaves:
      EndDemand(aFault);
      break;
    default:
      EndBoxFault(aFault);
      break;
  }
}

void
Soak::BeginBoxFault(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (mDown.contains(box)) {
    return; // the box is down and will be restarted
  }
  if (aFault.mKind != FaultKind::kReloadBox) {
    mThrottles.Excuse(box);
    mObservations.mOutages.push_back(
      { box, Now(), Now() + aFault.mLength, aFault.mBegin });
  }
  switch (aFault.mKind) {
    case FaultKind::kKillBox:
      mFleet.SignalBox(box, SIGKILL);
      mDown.insert(box);
      break;
    case FaultKind::kStopBox:
      mFleet.SignalBox(box, SIGTERM);
      mDown.insert(box);
      break;
    case FaultKind::kPauseBox:
      mFleet.SignalBox(box, SIGSTOP);
      mPaused.insert(box);
      break;
    default:
      mFleet.SignalBox(box, SIGHUP);
      break;
  }
}

void
Soak::EndBoxFault(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (aFault.mKind == FaultKind::kPauseBox && mPaused.erase(box) > 0) {
    mFleet.SignalBox(box, SIGCONT);
    RecordOutageEnd(aFault);
  }
  const bool exits =
    aFault.mKind == FaultKind::kKillBox || aFault.mKind == FaultKind::kStopBox;
  if (!exits || !mDown.contains(box)) {
    return;
  }
  if (mPaused.erase(box) > 0) {
    mFleet.SignalBox(box, SIGCONT); // a paused process cannot exit
  }
  mFleet.WaitForBoxExit(box, kExitWait);
  mFleet.StartBox(box);
  mDown.erase(box);
  RecordOutageEnd(aFault);
}

// An outage may last longer than planned, because other faults of the soak wait
// for boxes that do not answer.
void
Soak::RecordOutageEnd(const Fault& aFault)
{
  mThrottles.Excuse(aFault.mBox);
  for (auto& outage : mObservations.mOutages) {
    if (outage.mBox == aFault.mBox && outage.mPlannedBegin == aFault.mBegin) {
      outage.mEnd = std::max(outage.mEnd, Now());
    }
  }
}

// Sends the request to all boxes in turn, also to those that are down.
void
Soak::RepeatCrashingRequest(const Fault& aFault)
{
  const auto number = std::to_string(aFault.mBox);
  const bool once = aFault.mBox % 2 == 1;
  const auto end = Now() + aFault.mLength;
  for (int i = 0; Now() < end; ++i) {
    mFleet.Send({ .mBox = (aFault.mBox + i) % mOptions.mSchedule.mBoxes,
                  .mMethod = once ? "POST" : "GET",
                  .mTarget = (once ? "/once/crash" : "/safe/crash") + number,
                  .mId = "x" + number + "-" + std::to_string(i),
                  .mBody = once ? "the same body" : "",
                  .mTimeout = kCrashingTimeout });
    std::this_thread::sleep_for(kCrashingGap);
  }
}

void
Soak::StartCrashedServers()
{
  for (const int box : mFleet.TakeRestartable()) {
    const std::lock_guard lock(mServerMutexes.at(box));
    mFleet.StartCrashed(box);
    mDraining.at(box) = false; // another server; its heartbeats begin
  }
}

void
Soak::RestartServer(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (!mDraining.at(aBox) && !mFleet.IsDown(aBox)) {
    mFleet.RestartServer(aBox); // the next heartbeat reports the new start
  }
}

void
Soak::WriteForeignObjects(int aBox)
{
  auto& store = mFleet.Store();
  const auto name = "other-" + std::to_string(aBox);
  store.Put({ "box-records", name }, R"({"state":"resting"})");
  store.Put({ "box-records", name + "-text" }, "\"\xff\"");
  store.Put({ "box-records", name + "-copy" },
            store.SpecOf({ "box-records", "box-0" }));
  store.Put({ "config", name }, "99999999999999999999");
  const std::lock_guard lock(mServerMutexes.at(aBox));
  mFleet.Server(aBox).SendOneWay("instances.heartbeat",
                                 R"({"State":"draining"})");
}

void
Soak::BeginReplacement(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (mDraining.at(aBox) || mFleet.IsDown(aBox)) {
    return;
  }
  mDraining.at(aBox) = true;
  auto& server = mFleet.Server(aBox);
  if (server.SendHeartbeat("draining")) {
    mObservations.mAcks.push_back({ &server, Now() });
  }
}

void
Soak::EndReplacement(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (!mDraining.at(aBox) || mFleet.IsDown(aBox)) {
    return;
  }
  mDraining.at(aBox) = false;
  if (mFleet.Server(aBox).Leave()) {
    mObservations.mAcks.push_back({ &mFleet.Server(aBox), Now() });
  }
  mFleet.ReplaceServer(aBox);
}

// Ends faults that are still active because they overlapped with others.
void
Soak::ClearFaults()
{
  mFleet.Store().SetDown(false);
  for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
    mFleet.StoreLink(box).CutForward(false);
    mFleet.StoreLink(box).CutBackward(false);
    mFleet.ServerLink(box).CutForward(false);
    mFleet.ServerLink(box).CutBackward(false);
    SetServer(box, {});
  }
  mFleet.Configure("/extra/");
}

// Checks that every box serves every route once all faults have ended.
void
Soak::CheckRecovery(SoakResult& aResult)
{
  const bool restarted = fleet::WaitUntil(kRecoveryWait, [&] {
    StartCrashedServers();
    for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
      if (mFleet.IsDown(box)) {
        return false;
      }
    }
    return true;
  });
  if (!restarted) {
    aResult.mViolations.push_back("recovery: crashed servers did not start");
  }
  for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
    for (const std::string prefix : { "/once/", "/safe/", "/extra/" }) {
      int attempts = 0;
      const bool served = fleet::WaitUntil(kRecoveryWait, [&] {
        const auto id =
          "end-" + std::to_string(box) + prefix + std::to_string(++attempts);
        const auto method = prefix == "/once/" ? "POST" : "GET";
        return mFleet.Send(box, method, prefix + "x", id).mStatus == 200;
      });
      if (!served) {
        aResult.mViolations.push_back("recovery: box " + std::to_string(box) +
                                      " does not serve " + prefix);
      }
    }
  }
}

} // namespace porttiller::soak
