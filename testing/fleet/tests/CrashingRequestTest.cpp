// Requests that crash each backend server that runs them.
#include "fleet/MeshFleet.h"
#include "fleet/Traffic.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kBoxes = 6;
constexpr const char* kMarker = "crash";
// The users' bounds: after a request has crashed three servers and this time
// has passed, at most three further arrivals.
constexpr std::size_t kCrashes = 3;
constexpr Millis kContactTime{ 3000 };
constexpr std::ptrdiff_t kMaxLateArrivals = 3;
constexpr int kClients = 6;
constexpr Millis kClientGap{ 60 };
constexpr Millis kCrashingGap{ 500 };
constexpr double kMinServedShare = 0.95;
constexpr Millis kLong{ 20'000 };
constexpr std::string_view kQuarantinedMark = "=quarantined/"; // in /state

MeshFleetOptions
Options()
{
  return { .mBoxes = kBoxes,
           .mPortBase = 28'000,
           .mLinks = true,
           .mCrashMarker = kMarker,
           .mWork = Millis(50) };
}

struct CrashingRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
};

const CrashingRequest kSafeRequest{ "GET", "/safe/crash", "" };
const CrashingRequest kOnceRequest{ "POST", "/once/crash", "the same body" };

bool
IsQuarantined(const MeshFleet& aFleet, int aBox)
{
  return aFleet.State(aBox).find(kQuarantinedMark) != std::string::npos;
}

// Sends the request to the first aBoxes boxes in turn until box 0 has
// quarantined it; false if it does not.
bool
SendUntilQuarantined(MeshFleet& aFleet,
                     const CrashingRequest& aRequest,
                     int aBoxes)
{
  int sent = 0;
  return WaitUntil(kLong, [&] {
    ++sent;
    aFleet.Send(sent % aBoxes,
                aRequest.mMethod,
                aRequest.mTarget,
                "x" + std::to_string(sent),
                aRequest.mBody);
    return IsQuarantined(aFleet, 0);
  });
}

// Sends the crashing requests in turn to all boxes, and other requests beside
// them, until aLength has passed.
class CrashTraffic
{
public:
  CrashTraffic(MeshFleet& aFleet, std::vector<CrashingRequest> aRequests)
    : mFleet(aFleet)
    , mRequests(std::move(aRequests))
  {
  }

  // Counts other requests that are sent aSettled after the start or later.
  void Run(Millis aLength, Millis aSettled)
  {
    const auto start = Now();
    const auto end = start + aLength;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < mRequests.size(); ++i) {
      threads.emplace_back([this, i, end] {
        for (int n = 0; Now() < end; ++n) {
          const auto& request = mRequests[i];
          mFleet.Send(
            { .mBox = static_cast<int>(i + n) % kBoxes,
              .mMethod = request.mMethod,
              .mTarget = request.mTarget,
              .mId = "x" + std::to_string(i) + "-" + std::to_string(n),
              .mBody = request.mBody,
              .mTimeout = Millis(1500) });
          std::this_thread::sleep_for(kCrashingGap);
        }
      });
    }
    for (int client = 0; client < kClients; ++client) {
      threads.emplace_back([this, client, end, from = start + aSettled] {
        for (int n = 0; Now() < end; ++n) {
          SendOther(client, n, from);
          std::this_thread::sleep_for(kClientGap);
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }

  const ServedCount& Others() const { return mOthers; }

private:
  void SendOther(int aClient, int aNumber, TimePoint aFrom)
  {
    const auto id = std::to_string(aClient) + "-" + std::to_string(aNumber);
    const bool once = aNumber % 3 == 0;
    const bool popular = aNumber % 3 == 1;
    const bool counted = Now() >= aFrom;
    const auto reply =
      mFleet.Send({ .mBox = (aClient + aNumber) % kBoxes,
                    .mMethod = once ? "POST" : "GET",
                    .mTarget = (once ? "/once/" : "/safe/") +
                               (popular ? std::string("popular") : id),
                    .mId = "o" + id,
                    .mBody = once ? "body " + id : "",
                    .mTimeout = Millis(1500) });
    if (counted) {
      ++mOthers.mSent;
      mOthers.mServed += reply.mStatus == 200 ? 1 : 0;
    }
  }

  MeshFleet& mFleet;
  const std::vector<CrashingRequest> mRequests;
  ServedCount mOthers;
};

std::ptrdiff_t
LateArrivals(const CrashRecord& aRecord)
{
  if (aRecord.mCrashes.size() < kCrashes) {
    return 0;
  }
  const auto bound = aRecord.mCrashes[kCrashes - 1] + kContactTime;
  return std::count_if(aRecord.mArrivals.begin(),
                       aRecord.mArrivals.end(),
                       [&](TimePoint aAt) { return aAt > bound; });
}

// Checks the bound on late arrivals of each target.
void
CheckLateArrivals(MeshFleet& aFleet, std::size_t aTargets)
{
  const auto records = aFleet.EndCrashes();
  CHECK(records.size() == aTargets);
  for (const auto& [target, record] : records) {
    MESSAGE(target << ": " << record.mArrivals.size() << " arrivals, "
                   << record.mCrashes.size() << " crashes, "
                   << LateArrivals(record) << " late");
    CHECK(record.mCrashes.size() >= kCrashes);
    CHECK(LateArrivals(record) <= kMaxLateArrivals);
  }
}

} // namespace

TEST_CASE("A request that crashed three servers is not sent to further ones")
{
  for (const auto& request : { kSafeRequest, kOnceRequest }) {
    MeshFleet fleet(Options());
    CrashTraffic traffic(fleet, { request });
    traffic.Run(Millis(14'000), Millis(8000));
    MESSAGE("served beside it: " << traffic.Others().Share());
    CheckLateArrivals(fleet, 1);
    CHECK(traffic.Others().Share() >= kMinServedShare);
  }
}

TEST_CASE("Eight requests that crash servers at the same time")
{
  std::vector<CrashingRequest> requests;
  for (int i = 0; i < 8; ++i) {
    const auto number = std::to_string(i);
    requests.push_back(
      i % 2 == 0 ? CrashingRequest{ "GET", "/safe/crash" + number, "" }
                 : CrashingRequest{ "POST", "/once/crash" + number, "body" });
  }
  MeshFleet fleet(Options());
  CrashTraffic traffic(fleet, requests);
  traffic.Run(Millis(25'000), Millis(18'000));
  MESSAGE("served beside them: " << traffic.Others().Share());
  CheckLateArrivals(fleet, requests.size());
  CHECK(traffic.Others().Share() >= kMinServedShare);
}

TEST_CASE("Boxes that were paused or restarted learn of a crashing request")
{
  constexpr int kPaused = 4; // this box and all after it
  constexpr int kRestarted = 3;
  MeshFleet fleet(Options());
  for (int box = kPaused; box < kBoxes; ++box) {
    fleet.SignalBox(box, SIGSTOP);
  }
  CHECK(SendUntilQuarantined(fleet, kSafeRequest, kRestarted));
  fleet.SignalBox(kRestarted, SIGKILL);
  fleet.WaitForBoxExit(kRestarted, kLong);
  fleet.StartBox(kRestarted);
  for (int box = kPaused; box < kBoxes; ++box) {
    fleet.SignalBox(box, SIGCONT);
  }
  const auto arrivals = fleet.CrashArrivals();
  CHECK(arrivals >= kCrashes);
  for (int box = 0; box < kBoxes; ++box) {
    CAPTURE(box);
    CHECK(WaitUntil(kLong, [&] { return IsQuarantined(fleet, box); }));
    const auto reply =
      fleet.Send(box, "GET", "/safe/crash", "late" + std::to_string(box));
    CHECK(reply.mStatus == 503);
    CHECK(!HeaderValue(reply.mHeaders, "Retry-After").empty());
  }
  CHECK(fleet.CrashArrivals() == arrivals);
}

TEST_CASE("A crashing request stays quarantined when all boxes restart at once")
{
  MeshFleet fleet(Options());
  CHECK(SendUntilQuarantined(fleet, kOnceRequest, kBoxes));
  CHECK(
    WaitUntil(kLong, [&] { return fleet.Store().Count("crash-records") > 0; }));
  for (int box = 0; box < kBoxes; ++box) {
    fleet.SignalBox(box, SIGKILL);
    fleet.WaitForBoxExit(box, kLong);
  }
  const auto arrivals = fleet.CrashArrivals();
  for (int box = 0; box < kBoxes; ++box) {
    fleet.StartBox(box);
  }
  for (int box = 0; box < kBoxes; ++box) {
    CHECK(WaitUntil(kLong, [&] { return IsQuarantined(fleet, box); }));
    CHECK(fleet
            .Send(box,
                  "POST",
                  "/once/crash",
                  "y" + std::to_string(box),
                  kOnceRequest.mBody)
            .mStatus == 503);
  }
  CHECK(fleet.CrashArrivals() == arrivals);
}

TEST_CASE("An operator clears a crashing request on all boxes")
{
  MeshFleet fleet(Options());
  CHECK(SendUntilQuarantined(fleet, kSafeRequest, kBoxes));
  CHECK(WaitUntil(kLong, [&] { return IsQuarantined(fleet, 1); }));
  CHECK(fleet.MetricsOf(0).find("porttiller_quarantined_requests 1") !=
        std::string::npos);
  const auto state = fleet.State(0);
  const auto digest = state.substr(state.find(kQuarantinedMark) - 32, 32);
  CHECK_FALSE(fleet.ClearRequest(0, std::string(32, 'f')));
  CHECK(fleet.ClearRequest(0, digest));
  for (int box = 0; box < kBoxes; ++box) {
    CHECK(WaitUntil(kLong, [&] { return !IsQuarantined(fleet, box); }));
  }
  CHECK(WaitUntil(kLong,
                  [&] { return fleet.Store().Count("crash-records") == 0; }));
}

TEST_CASE("Servers that crash by themselves quarantine no request")
{
  MeshFleet fleet(Options());
  std::atomic<bool> stop{ false };
  std::thread crashes([&] {
    for (int n = 0; !stop; ++n) {
      // Two of six at a time, in turn; each is back when its turn comes again.
      fleet.CrashServer(2 * n % kBoxes);
      fleet.CrashServer((2 * n + 1) % kBoxes);
      std::this_thread::sleep_for(Millis(900));
    }
  });
  CrashTraffic traffic(fleet, {});
  traffic.Run(Millis(10'000), Millis(0));
  stop = true;
  crashes.join();
  MESSAGE("served meanwhile: " << traffic.Others().Share());
  fleet.EndCrashes();
  for (int box = 0; box < kBoxes; ++box) {
    CHECK(fleet.LogOf(box).find("\"verdict\":\"quarantined\"") ==
          std::string::npos);
  }
}
