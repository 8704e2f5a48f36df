#include "soak/Soak.h"

#include <algorithm>
#include <csignal>

namespace porttiller::soak {

namespace {

constexpr Millis kBeatGap{ 400 };
constexpr Millis kExitWait{ 10'000 };
constexpr Millis kRecoverWait{ 20'000 };
constexpr Millis kSlowWork{ 700 };
constexpr Millis kTick{ 5 };

bool
IsOnBox(FaultKind aKind)
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
             .mDrain = Millis(4000) })
  , mServerMutexes(static_cast<std::size_t>(aOptions.mSchedule.mBoxes))
  , mDraining(static_cast<std::size_t>(aOptions.mSchedule.mBoxes), false)
{
  for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
    mBeats.emplace_back([this, box] {
      while (!mStop) {
        {
          const std::lock_guard lock(mServerMutexes.at(box));
          if (!mDraining.at(box)) {
            mFleet.Server(box).Beat();
          }
        }
        std::this_thread::sleep_for(kBeatGap);
      }
    });
  }
}

Soak::~Soak()
{
  mStop = true;
  for (auto& beat : mBeats) {
    beat.join();
  }
}

SoakResult
Soak::Run()
{
  mClients = std::make_unique<Clients>(
    mFleet,
    ClientOptions{ .mSeed = mOptions.mSchedule.mSeed,
                   .mBoxes = mOptions.mSchedule.mBoxes,
                   .mPerBox = mOptions.mClientsPerBox });
  const auto start = Now();
  auto coming = MakeSchedule(mOptions.mSchedule);
  std::vector<Fault> inForce;
  while (!coming.empty() || !inForce.empty()) {
    const auto now = Now() - start;
    while (!coming.empty() && coming.front().mBegin <= now) {
      inForce.push_back(coming.front());
      Begin(coming.front());
      coming.erase(coming.begin());
    }
    const auto over = [&](const Fault& aFault) {
      return aFault.mBegin + aFault.mLength <= now;
    };
    for (const auto& fault : inForce) {
      if (over(fault)) {
        End(fault);
      }
    }
    std::erase_if(inForce, over);
    std::this_thread::sleep_for(kTick);
  }
  Heal();
  SoakResult result;
  Recover(result);
  mEvidence.mRequests = mClients->Stop();
  result.mRequests = mEvidence.mRequests.size();
  result.mServed = static_cast<std::size_t>(
    std::count_if(mEvidence.mRequests.begin(),
                  mEvidence.mRequests.end(),
                  [](const SentRequest& aRequest) {
                    return aRequest.mReply.mStatus == 200;
                  }));
  for (auto& line : BrokenPromises(mFleet, mEvidence)) {
    result.mBroken.push_back(std::move(line));
  }
  return result;
}

void
Soak::SetServer(int aBox, const standin::MeshServerFaults& aFaults)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  mFleet.Server(aBox).Set(aFaults);
}

void
Soak::Begin(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (IsOnBox(aFault.mKind)) {
    BeginOnBox(aFault);
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
      mFleet.Store().ForgetHistory();
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
    default:
      mFleet.Configure("/extra/");
      mClients->ExpectRoute("/extra/");
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
    default:
      EndOnBox(aFault);
      break;
  }
}

void
Soak::BeginOnBox(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (mDown.contains(box)) {
    return; // it is about to start again anyway
  }
  if (aFault.mKind != FaultKind::kReloadBox) {
    mEvidence.mDisturbances.push_back(
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
Soak::EndOnBox(const Fault& aFault)
{
  const int box = aFault.mBox;
  if (aFault.mKind == FaultKind::kPauseBox && mPaused.erase(box) > 0) {
    mFleet.SignalBox(box, SIGCONT);
    NoteEnd(aFault);
  }
  const bool ends =
    aFault.mKind == FaultKind::kKillBox || aFault.mKind == FaultKind::kStopBox;
  if (!ends || !mDown.contains(box)) {
    return;
  }
  if (mPaused.erase(box) > 0) {
    mFleet.SignalBox(box, SIGCONT); // or it could not end
  }
  mFleet.WaitForBoxExit(box, kExitWait);
  mFleet.StartBox(box);
  mDown.erase(box);
  NoteEnd(aFault);
}

// A disturbance may last longer than planned: other faults of the soak wait for
// boxes that do not answer.
void
Soak::NoteEnd(const Fault& aFault)
{
  for (auto& disturbance : mEvidence.mDisturbances) {
    if (disturbance.mBox == aFault.mBox &&
        disturbance.mPlanned == aFault.mBegin) {
      disturbance.mEnd = std::max(disturbance.mEnd, Now());
    }
  }
}

void
Soak::RestartServer(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (!mDraining.at(aBox)) {
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
  mFleet.Server(aBox).Tell("instances.heartbeat", R"({"State":"draining"})");
}

void
Soak::BeginReplacement(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (mDraining.at(aBox)) {
    return;
  }
  mDraining.at(aBox) = true;
  auto& server = mFleet.Server(aBox);
  if (server.Beat("draining")) {
    mEvidence.mAcks.push_back({ &server, Now() });
  }
}

void
Soak::EndReplacement(int aBox)
{
  const std::lock_guard lock(mServerMutexes.at(aBox));
  if (!mDraining.at(aBox)) {
    return;
  }
  mDraining.at(aBox) = false;
  if (mFleet.Server(aBox).Leave()) {
    mEvidence.mAcks.push_back({ &mFleet.Server(aBox), Now() });
  }
  mFleet.ReplaceServer(aBox);
}

// Whatever a fault left behind that was cut short by another one.
void
Soak::Heal()
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

// With everything well again every box serves every route.
void
Soak::Recover(SoakResult& aResult)
{
  for (int box = 0; box < mOptions.mSchedule.mBoxes; ++box) {
    for (const std::string prefix : { "/once/", "/safe/", "/extra/" }) {
      int tries = 0;
      const bool served = fleet::WaitUntil(kRecoverWait, [&] {
        const auto id =
          "end-" + std::to_string(box) + prefix + std::to_string(++tries);
        const auto method = prefix == "/once/" ? "POST" : "GET";
        return mFleet.Send(box, method, prefix + "x", id).mStatus == 200;
      });
      if (!served) {
        aResult.mBroken.push_back("recovery: box " + std::to_string(box) +
                                  " does not serve " + prefix);
      }
    }
  }
}

} // namespace porttiller::soak
