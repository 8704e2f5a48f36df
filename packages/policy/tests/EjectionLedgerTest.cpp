#include "porttiller/policy/EjectionLedger.h"

#include "porttiller/policy/EjectionMachine.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>
#include <memory>
#include <optional>

using namespace porttiller;

namespace {

LedgerEntry
Entry(int aIndex, std::uint64_t aIncarnation = 1)
{
  return { .mServer = BackendServerName("s" + std::to_string(aIndex)),
           .mBox = BoxName("b" + std::to_string(aIndex)),
           .mIncarnation = Incarnation(aIncarnation),
           .mSlots = 3 };
}

CapacityView
Capacity(int aServers, int aFloor)
{
  CapacityView view{ .mFloorSlots = aFloor };
  for (int i = 0; i < aServers; ++i) {
    view.mServers.push_back({ Entry(i).mServer, 3, false });
  }
  return view;
}

// The ledger object at the platform and the writes to it that are in flight.
class Store
{
public:
  struct Write
  {
    std::uint64_t mIfVersion;
    EjectionLedger mLedger;
  };

  bool Apply(const Write& aWrite)
  {
    if (aWrite.mIfVersion != mVersion) {
      return false;
    }
    mLedger = aWrite.mLedger;
    ++mVersion;
    return true;
  }

  EjectionLedger mLedger;
  std::uint64_t mVersion = 1;
  std::vector<Write> mInFlight; // may still arrive, or never
};

// One home with one server; calls the policy library as the daemon does.
class FakeHome
{
public:
  FakeHome(int aIndex, TimePoint aNow)
    : mIndex(aIndex)
  {
    Restart(aNow);
  }

  void Restart(TimePoint aNow)
  {
    ++mIncarnation;
    mMachine = std::make_unique<EjectionMachine>(
      EjectionOptions{ .mDemoteWithoutPeers = true,
                       .mConfirmingPolls = 1,
                       .mBaseRemovalTime = Millis(20'000),
                       .mRampTime = Millis(200) },
      aNow);
  }

  void Tick(Store& aStore, const CapacityView& aView, TimePoint aNow)
  {
    for (const auto& action : mMachine->OnTick(aNow)) {
      if (std::holds_alternative<AskPeers>(action)) {
        mMachine->OnPeers({}, 3, aNow);
      } else if (std::holds_alternative<RequestPermission>(action)) {
        mMachine->OnPermission(Request(aStore, aView), aNow);
      } else {
        mMachine->OnReleased(Release(aStore), aNow);
      }
    }
  }

  // Separate from Tick, so that it cannot hide an ejection beyond the floor.
  void EnforceFloor(const Store& aStore,
                    const CapacityView& aView,
                    TimePoint aNow)
  {
    for (const auto& entry : aStore.mLedger.Excess(aView)) {
      if (entry.mServer == Entry(mIndex).mServer) {
        mMachine->OnFloorBroken(aNow);
      }
    }
  }

  int mIndex;
  std::uint64_t mIncarnation = 0;
  std::unique_ptr<EjectionMachine> mMachine;

private:
  // Returns the outcome of the write as far as the writer knows it.
  std::optional<bool> Write(Store& aStore, const EjectionLedger& aNext)
  {
    const Store::Write write{ aStore.mVersion, aNext };
    switch (Draw(0, 5)) {
      case 0: // in flight; answer lost, and reading back shows no change yet
        aStore.mInFlight.push_back(write);
        return std::nullopt;
      case 1: // takes effect; answer lost, and reading back fails too
        aStore.Apply(write);
        return std::nullopt;
      case 2: // the platform is unavailable
        return std::nullopt;
      default:
        return aStore.Apply(write);
    }
  }

  PermissionAnswer Request(Store& aStore, const CapacityView& aView)
  {
    const auto own = Entry(mIndex, mIncarnation);
    const auto clean =
      aStore.mLedger.WithoutEarlierIncarnations(own.mBox, own.mIncarnation);
    const auto next = clean.WithEjection(own, aView);
    if (!next) {
      if (!aStore.mLedger.Holds(own.mServer, own.mIncarnation)) {
        return PermissionAnswer::kFloor;
      }
      const auto dropped = Write(aStore, clean.WithoutServer(own.mServer));
      return dropped == true ? PermissionAnswer::kFloor
                             : PermissionAnswer::kUnavailable;
    }
    return Write(aStore, *next) == true ? PermissionAnswer::kGranted
                                        : PermissionAnswer::kUnavailable;
  }

  bool Release(Store& aStore)
  {
    return Write(aStore, aStore.mLedger.WithoutServer(Entry(mIndex).mServer)) ==
           true;
  }
};

constexpr int kHomes = 4;
constexpr int kSlots = 3;

std::vector<FakeHome>
MakeHomes(TimePoint aNow)
{
  std::vector<FakeHome> homes;
  homes.reserve(kHomes);
  for (int i = 0; i < kHomes; ++i) {
    homes.emplace_back(i, aNow);
  }
  return homes;
}

int
WorkingSlots(const std::vector<FakeHome>& aHomes)
{
  int slots = 0;
  for (const auto& home : aHomes) {
    slots += home.mMachine->Ejected() ? 0 : kSlots;
  }
  return slots;
}

void
Step(std::vector<FakeHome>& aHomes,
     Store& aStore,
     const CapacityView& aView,
     TimePoint& aNow)
{
  auto& home = aHomes[Draw<std::size_t>(0, kHomes)];
  aNow += Millis(Draw(0, 20) == 0 ? 4000 : 50);
  switch (Draw(0, 10)) {
    case 0:
      if (Draw(0, 8) == 0) {
        home.Restart(aNow);
      }
      break;
    case 1: // a delayed write arrives
      if (!aStore.mInFlight.empty()) {
        aStore.Apply(aStore.mInFlight.front());
        aStore.mInFlight.erase(aStore.mInFlight.begin());
      }
      break;
    case 2:
      home.mMachine->OnEvidence({ .mLatency = Micros(100) }, aNow);
      break;
    case 3:
    case 4:
      for (int i = 0; i < 30; ++i) {
        home.mMachine->OnEvidence({ .mFailed = true }, aNow + i * Millis(100));
      }
      break;
    default: // one home ticks; the others are paused
      home.Tick(aStore, aView, aNow);
      break;
  }
}

} // namespace

TEST_CASE("WithEjection enforces the floor, and an ejected server that dies "
          "counts once")
{
  auto view = Capacity(3, 6);
  const auto one = EjectionLedger().WithEjection(Entry(0), view);
  REQUIRE(one.has_value());
  CHECK(one->WithEjection(Entry(1), view).error() == FloorError::kFloor);
  // Ejected and dead: no further capacity is lost.
  view.mServers[0].mDeparted = true;
  CHECK(one->Excess(view).empty());
  view.mServers[2].mDeparted = true;
  view.mServers[0].mDeparted = false;
  REQUIRE(one->Excess(view).size() == 1);
  CHECK(one->Excess(view)[0] == Entry(0));
}

TEST_CASE(
  "A new incarnation clears the entries of the box's earlier incarnations")
{
  const EjectionLedger ledger({ Entry(0, 1), Entry(1, 1) });
  const auto next =
    ledger.WithoutEarlierIncarnations(BoxName("b0"), Incarnation(2));
  CHECK(next.Entries() == std::vector<LedgerEntry>{ Entry(1, 1) });
}

TEST_CASE("The ejections of all homes together leave the floor")
{
  // Includes lost, delayed and duplicate writes, pauses, restarts and
  // concurrent homes.
  const bool ok = rc::check([] {
    const int floor = Draw(0, kHomes * kSlots + 1);
    const auto view = Capacity(kHomes, floor);
    TimePoint now{ Millis(1000) };
    Store store;
    auto homes = MakeHomes(now);
    const auto steps = Draw(1, 300);
    for (int step = 0; step < steps; ++step) {
      Step(homes, store, view, now);
      RC_ASSERT(WorkingSlots(homes) >= floor);
    }
  });
  CHECK(ok);
}

TEST_CASE(
  "After boxes die or the floor is raised, ejections end until the floor holds")
{
  const bool ok = rc::check([] {
    auto view = Capacity(kHomes, Draw(0, kHomes * kSlots + 1));
    TimePoint now{ Millis(1000) };
    Store store;
    auto homes = MakeHomes(now);
    for (int step = 0; step < 100; ++step) {
      Step(homes, store, view, now);
    }
    const auto dead = Draw<std::size_t>(0, kHomes);
    view.mServers[dead].mDeparted = true;
    store.mInFlight.clear();
    for (int round = 0; round < 100; ++round) {
      now += Millis(100);
      for (auto& home : homes) {
        if (home.mIndex != static_cast<int>(dead)) {
          home.Tick(store, view, now);
          home.EnforceFloor(store, view, now);
        }
      }
    }
    int working = 0;
    int ejected = 0;
    for (const auto& home : homes) {
      if (home.mIndex == static_cast<int>(dead)) {
        continue;
      }
      working += home.mMachine->Ejected() ? 0 : kSlots;
      ejected += home.mMachine->Ejected() ? 1 : 0;
    }
    RC_ASSERT(working >= view.mFloorSlots || ejected == 0);
  });
  CHECK(ok);
}
