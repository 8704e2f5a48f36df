#include "soak/Schedule.h"

#include <algorithm>
#include <random>

namespace porttiller::soak {

namespace {

constexpr int kMinLengthMs = 300;
constexpr int kMaxLengthMs = 3000;
// Lets a stopped box complete its drain before it is started again.
constexpr Millis kStopLength{ 4500 };
// Requests may reach a draining server for two seconds after the
// acknowledgement.
constexpr Millis kReplaceLength{ 3500 };
// One fault in four hits the same box as the previous one, so that faults of a
// box overlap.
constexpr int kSameBoxOneIn = 4;
constexpr std::uint64_t kMaxCrashingRequests = 3;
constexpr std::uint64_t kMaxDemands = 4;
constexpr std::uint64_t kDemandsGenerator = 0x9e3779b97f4a7c15;
// Longer than the time after which the bounds hold.
constexpr Millis kMinDemandLength{ 3500 };

Millis
LengthOf(FaultKind aKind, int aDrawn)
{
  switch (aKind) {
    case FaultKind::kStopBox:
      return kStopLength;
    case FaultKind::kReplaceServer:
      return kReplaceLength;
    default:
      return Millis(aDrawn);
  }
}

// From a generator of their own, so that a seed keeps its other faults.
void
AddCrashingRequests(const ScheduleOptions& aOptions,
                    std::vector<Fault>& aFaults)
{
  std::mt19937_64 random(~aOptions.mSeed);
  const auto span = aOptions.mLength.count();
  const auto count = 1 + random() % kMaxCrashingRequests;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto begin =
      static_cast<Millis::rep>(random() % static_cast<std::uint64_t>(span / 2));
    const auto length = static_cast<Millis::rep>(
      random() % static_cast<std::uint64_t>(span - begin));
    aFaults.push_back({ Millis(begin),
                        Millis(length),
                        FaultKind::kCrashingRequest,
                        static_cast<int>(i) });
  }
}

// The same.
void
AddDemands(const ScheduleOptions& aOptions, std::vector<Fault>& aFaults)
{
  std::mt19937_64 random(aOptions.mSeed + kDemandsGenerator);
  const auto draw = [&](Millis aBelow) {
    return Millis(static_cast<Millis::rep>(
      random() % static_cast<std::uint64_t>(aBelow.count())));
  };
  const auto count = 1 + random() % kMaxDemands;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto length = kMinDemandLength + draw(kMinDemandLength);
    if (length < aOptions.mLength) {
      aFaults.push_back(
        { draw(aOptions.mLength - length),
          length,
          random() % 2 == 0 ? FaultKind::kServerLimited
                            : FaultKind::kServerLeaves,
          static_cast<int>(random() %
                           static_cast<std::uint64_t>(aOptions.mBoxes)) });
    }
  }
}

std::vector<Fault>
DrawFaults(const ScheduleOptions& aOptions)
{
  // The standard fixes the engine's numbers, but not those of distributions,
  // which could differ between platforms.
  std::mt19937_64 random(aOptions.mSeed);
  const auto draw = [&](int aBelow) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(aBelow));
  };
  std::vector<Fault> faults;
  int box = 0;
  Millis at{ 0 };
  for (;;) {
    at += Millis(1 + draw(2 * static_cast<int>(aOptions.mMeanGap.count())));
    const auto kind = static_cast<FaultKind>(draw(kFaultKinds));
    box = draw(kSameBoxOneIn) == 0 ? box : draw(aOptions.mBoxes);
    const auto length =
      LengthOf(kind, kMinLengthMs + draw(kMaxLengthMs - kMinLengthMs));
    if (at >= aOptions.mLength) {
      return faults;
    }
    if (at + length <= aOptions.mLength) {
      faults.push_back({ at, length, kind, box });
    }
  }
}

} // namespace

const char*
ToText(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::kKillBox:
      return "kill-box";
    case FaultKind::kStopBox:
      return "stop-box";
    case FaultKind::kPauseBox:
      return "pause-box";
    case FaultKind::kReloadBox:
      return "reload-box";
    case FaultKind::kStoreDown:
      return "store-down";
    case FaultKind::kStoreCut:
      return "store-cut";
    case FaultKind::kStoreCutOneWay:
      return "store-cut-one-way";
    case FaultKind::kStoreReset:
      return "store-reset";
    case FaultKind::kStoreForgets:
      return "store-forgets";
    case FaultKind::kStoreLosesWrite:
      return "store-loses-write";
    case FaultKind::kServerCut:
      return "server-cut";
    case FaultKind::kServerCutOneWay:
      return "server-cut-one-way";
    case FaultKind::kServerReset:
      return "server-reset";
    case FaultKind::kServerSlow:
      return "server-slow";
    case FaultKind::kServerFull:
      return "server-full";
    case FaultKind::kServerSpoils:
      return "server-spoils";
    case FaultKind::kReplaceServer:
      return "replace-server";
    case FaultKind::kConfigure:
      return "configure";
    case FaultKind::kRestartServer:
      return "restart-server";
    case FaultKind::kForeignWriter:
      return "foreign-writer";
    case FaultKind::kStoreSilent:
      return "store-silent";
    case FaultKind::kServerSilent:
      return "server-silent";
    case FaultKind::kCrashingRequest:
      return "crashing-request";
    case FaultKind::kServerLimited:
      return "server-limited";
    case FaultKind::kServerLeaves:
      break;
  }
  return "server-leaves";
}

std::vector<Fault>
MakeSchedule(const ScheduleOptions& aOptions)
{
  auto faults = DrawFaults(aOptions);
  AddCrashingRequests(aOptions, faults);
  AddDemands(aOptions, faults);
  std::stable_sort(
    faults.begin(), faults.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.mBegin < aRight.mBegin;
    });
  return faults;
}

} // namespace porttiller::soak
