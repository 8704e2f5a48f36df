// The fault matrix of a request. Each fault begins before the requests are sent
// or while they wait, run and are answered, for requests that may run only once
// and for repeatable ones. Afterwards every reported outcome must be true.
#include "fleet/Traffic.h"
#include "standin/LinkStandIn.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <thread>
#include <utility>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr const char* kQuickTiming =
  R"(, "timing": { "attempt_patience_ms": 150, "revoke_timeout_ms": 100,
     "probe_interval_ms": 200 })";

// Box 0 is the entry and has no server; boxes 1 and 2 have one each, and box 1
// is reached through links.
class Matrix
{
public:
  Matrix()
    : mFleet({ .mBoxes = 3,
               .mFirstServerBox = 1,
               .mSlots = 6,
               .mFloorSlots = 12,
               .mExtraSettings = kQuickTiming })
    , mHomeLink(mFleet.HomeAddress(1))
    , mControlLink(mFleet.ControlAddress(1))
  {
    mFleet.PutBox(1, mHomeLink.Address(), mControlLink.Address());
    REQUIRE(mFleet.WaitInForce(0, Millis(10'000)));
    for (int i = 0; i < mFleet.ServerCount(); ++i) {
      mFleet.Server(i).Set({ .mServiceMs = 30 });
    }
  }

  Fleet mFleet;
  standin::LinkStandIn mHomeLink;
  standin::LinkStandIn mControlLink;
};

struct Fault
{
  const char* mName;
  std::function<void(Matrix&)> mBegin;
  std::function<void(Matrix&)> mEnd;
};

void
SetServer(Matrix& aMatrix, const standin::ServerBehaviour& aBehaviour)
{
  aMatrix.mFleet.Server(0).Set(aBehaviour);
}

void
RestoreServer(Matrix& aMatrix)
{
  SetServer(aMatrix, { .mServiceMs = 30 });
}

// Starts a new incarnation of box 1 and waits until it serves. Each cell of the
// matrix begins with it.
void
RestartBox(Matrix& aMatrix)
{
  aMatrix.mFleet.StartBox(1);
  CHECK(aMatrix.mFleet.WaitInForce(1, Millis(10'000)));
  CHECK(aMatrix.mFleet.WaitUntilUsed(0, 0, Millis(20'000)));
}

// For faults that need no begin or that end by themselves.
void
Nothing(Matrix&)
{
}

const std::vector<Fault> kFaults = {
  { "none", Nothing, Nothing },
  { "home-killed",
    [](Matrix& aMatrix) { aMatrix.mFleet.SignalBox(1, SIGKILL); },
    Nothing },
  { "home-frozen",
    [](Matrix& aMatrix) { aMatrix.mFleet.SignalBox(1, SIGSTOP); },
    [](Matrix& aMatrix) { aMatrix.mFleet.SignalBox(1, SIGCONT); } },
  { "home-stops",
    [](Matrix& aMatrix) { aMatrix.mFleet.SignalBox(1, SIGTERM); },
    Nothing },
  { "requests-cut",
    [](Matrix& aMatrix) { aMatrix.mHomeLink.CutForward(true); },
    [](Matrix& aMatrix) { aMatrix.mHomeLink.CutForward(false); } },
  { "answers-cut",
    [](Matrix& aMatrix) { aMatrix.mHomeLink.CutBackward(true); },
    [](Matrix& aMatrix) { aMatrix.mHomeLink.CutBackward(false); } },
  { "control-cut",
    [](Matrix& aMatrix) {
      aMatrix.mHomeLink.CutBackward(true);
      aMatrix.mControlLink.CutForward(true);
    },
    [](Matrix& aMatrix) {
      aMatrix.mHomeLink.CutBackward(false);
      aMatrix.mControlLink.CutForward(false);
    } },
  { "connections-reset",
    [](Matrix& aMatrix) { aMatrix.mHomeLink.Reset(); },
    Nothing },
  { "half-answers",
    [](Matrix& aMatrix) { SetServer(aMatrix, { .mHalfPercent = 50 }); },
    RestoreServer },
  { "server-closes",
    [](Matrix& aMatrix) { SetServer(aMatrix, { .mCloseEvery = 2 }); },
    RestoreServer },
  { "server-fails",
    [](Matrix& aMatrix) { SetServer(aMatrix, { .mFailPercent = 50 }); },
    RestoreServer },
  { "server-slow",
    [](Matrix& aMatrix) { SetServer(aMatrix, { .mServiceMs = 2000 }); },
    RestoreServer },
  { "server-drains",
    [](Matrix& aMatrix) { SetServer(aMatrix, { .mDraining = true }); },
    RestoreServer },
  { "platform-away",
    [](Matrix& aMatrix) { aMatrix.mFleet.Platform().SetDown(true); },
    [](Matrix& aMatrix) { aMatrix.mFleet.Platform().SetDown(false); } },
  { "platform-slow",
    [](Matrix& aMatrix) { aMatrix.mFleet.Platform().SetSlow(Millis(500)); },
    [](Matrix& aMatrix) { aMatrix.mFleet.Platform().SetSlow(Millis(0)); } },
};

// Runs one cell of the matrix: the fault begins before or during the traffic
// and ends after it, which lets delayed messages arrive.
void
RunCell(Matrix& aMatrix,
        const Fault& aFault,
        const std::string& aMethod,
        bool aDuringTraffic)
{
  const std::string cell = std::string(aFault.mName) + " " + aMethod +
                           (aDuringTraffic ? " during" : " before");
  CAPTURE(cell);
  TrafficOptions options{ .mMethod = aMethod,
                          .mRequests = 48,
                          .mDeadline = Millis(600),
                          .mIdPrefix = cell };
  RestartBox(aMatrix);
  if (!aDuringTraffic) {
    aFault.mBegin(aMatrix);
  }
  std::vector<RequestRecord> records;
  std::thread traffic([&] { records = SendTraffic(aMatrix.mFleet, options); });
  if (aDuringTraffic) {
    std::this_thread::sleep_for(Millis(60));
    aFault.mBegin(aMatrix);
  }
  traffic.join();
  aFault.mEnd(aMatrix);
  // Delayed requests arrive in this time.
  std::this_thread::sleep_for(Millis(200));
  const auto summary = CheckTraffic(aMatrix.mFleet, records, options);
  MESSAGE(cell << ": " << ToText(summary));
  CHECK(summary.mViolations.empty());
  CHECK(summary.mNoAnswer == 0);
}

} // namespace

TEST_CASE("Every caller receives the true outcome when two faults overlap")
{
  const auto find = [](const std::string& aName) -> const Fault& {
    return *std::find_if(
      kFaults.begin(), kFaults.end(), [&](const Fault& aFault) {
        return aFault.mName == aName;
      });
  };
  const std::vector<std::pair<const char*, const char*>> pairs = {
    { "home-frozen", "platform-away" },
    { "home-killed", "control-cut" },
    { "answers-cut", "half-answers" },
    { "server-closes", "connections-reset" },
    { "server-slow", "home-stops" },
    { "requests-cut", "server-drains" },
  };
  Matrix matrix;
  for (const auto& [one, two] : pairs) {
    const auto& first = find(one);
    const auto& second = find(two);
    const auto name = std::string(one) + "+" + two;
    const Fault both{ name.c_str(),
                      [&](Matrix& aMatrix) {
                        first.mBegin(aMatrix);
                        second.mBegin(aMatrix);
                      },
                      [&](Matrix& aMatrix) {
                        second.mEnd(aMatrix);
                        first.mEnd(aMatrix);
                      } };
    RunCell(matrix, both, "POST", true);
    RunCell(matrix, both, "GET", true);
  }
}

TEST_CASE("Every caller receives the true outcome under each fault")
{
  Matrix matrix;
  for (const auto& fault : kFaults) {
    for (const char* method : { "POST", "GET" }) {
      for (const bool duringTraffic : { false, true }) {
        RunCell(matrix, fault, method, duringTraffic);
      }
    }
  }
}
