// Requests during the planned stop of one box of a calm fleet: what a server
// has begun is answered, and what cannot end in time is rejected as not run.
#include "fleet/MeshFleet.h"
#include "fleet/RawCaller.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 24'500;
constexpr int kBoxes = 3;
constexpr Millis kNotice{ 2000 };
constexpr Millis kDrain{ 5000 };
constexpr Millis kExitWait{ 20'000 };

// Callers on kept connections through all boxes, which send until they are
// stopped.
class Callers
{
public:
  explicit Callers(MeshFleet& aFleet)
    : mFleet(aFleet)
  {
    for (int box = 0; box < kBoxes; ++box) {
      for (const bool once : { true, false }) {
        mCallers.push_back(
          std::async(std::launch::async, [=, this] { Call(box, once); }));
      }
    }
  }

  void Stop()
  {
    mStop = true;
    for (auto& caller : mCallers) {
      caller.get();
    }
  }

  std::atomic<int> mServed{ 0 };
  // Through the box that stops: rejected or closed, and run by no server.
  std::atomic<int> mNotRun{ 0 };
  // Run by a server, and answered with a failure or not at all.
  std::atomic<int> mLost{ 0 };
  // Through another box, and not served.
  std::atomic<int> mFailedElsewhere{ 0 };

private:
  void Call(int aBox, bool aOnce)
  {
    HttpPool pool({ .mAddress = mFleet.CallerAddress(aBox) });
    for (int i = 0; !mStop; ++i) {
      const auto id = "p-" + std::to_string(aBox) + (aOnce ? "-o-" : "-s-") +
                      std::to_string(i);
      const auto reply = mFleet.Send({ .mBox = aBox,
                                       .mMethod = aOnce ? "POST" : "GET",
                                       .mTarget = aOnce ? "/once/x" : "/safe/x",
                                       .mId = id,
                                       .mPool = &pool });
      if (reply.mStatus == 200) {
        ++mServed;
        continue;
      }
      CAPTURE(id);
      CAPTURE(reply.mStatus);
      const bool ran = mFleet.RunsOf(id) > 0;
      CHECK_FALSE(ran);
      mLost += ran ? 1 : 0;
      mNotRun += !ran && aBox == 0 ? 1 : 0;
      mFailedElsewhere += aBox != 0 ? 1 : 0;
      std::this_thread::sleep_for(Millis(20));
    }
  }

  MeshFleet& mFleet;
  std::atomic<bool> mStop{ false };
  std::vector<std::future<void>> mCallers;
};

// Sends a request with a body in two parts and returns all that comes back.
class SlowUpload
{
public:
  SlowUpload(const MeshFleet& aFleet, const MeshRequest& aRequest)
  {
    mSocket.connect(
      Poco::Net::SocketAddress(aFleet.CallerAddress(aRequest.mBox)));
    mSocket.setReceiveTimeout(Poco::Timespan(10, 0));
    Send(HeadOf(aRequest) + "Content-Length: 10\r\n\r\nhello");
  }

  std::string Finish()
  {
    try {
      Send("world");
    } catch (const Poco::Exception&) {
      return "";
    }
    return ReadToEnd(mSocket);
  }

private:
  void Send(const std::string& aText)
  {
    mSocket.sendBytes(aText.data(), static_cast<int>(aText.size()));
  }

  Poco::Net::StreamSocket mSocket;
};

MeshFleetOptions
Options(Millis aWork)
{
  return { .mBoxes = kBoxes,
           .mPortBase = kPortBase,
           .mDrainNotice = kNotice,
           .mDrain = kDrain,
           .mWork = aWork };
}

} // namespace

TEST_CASE("A planned stop in calm loses no request that a server has begun")
{
  for (const Millis work : { Millis(300), Millis(1500), Millis(2500) }) {
    CAPTURE(work.count());
    MeshFleet fleet(Options(work));
    Callers callers(fleet);
    std::this_thread::sleep_for(Millis(1000));
    fleet.SignalBox(0, SIGTERM);
    CHECK(fleet.WaitForBoxExit(0, kExitWait) == 0);
    std::this_thread::sleep_for(Millis(500));
    callers.Stop();
    CHECK(callers.mServed > 0);
    CHECK(callers.mLost == 0);
    CHECK(callers.mFailedElsewhere == 0);
  }
}

TEST_CASE("A second signal does not shorten a planned stop")
{
  MeshFleet fleet(Options(Millis(1500)));
  auto reply = std::async(std::launch::async, [&] {
    return fleet.Send(0, "POST", "/once/x", "second");
  });
  std::this_thread::sleep_for(Millis(300));
  fleet.SignalBox(0, SIGTERM);
  std::this_thread::sleep_for(Millis(200));
  fleet.SignalBox(0, SIGTERM);
  CHECK(reply.get().mStatus == 200);
  CHECK(fleet.WaitForBoxExit(0, kExitWait) == 0);
}

TEST_CASE("A request that is read late in a planned stop is rejected if it "
          "cannot end in time")
{
  constexpr Millis kWork{ 2500 };
  MeshFleet fleet(Options(kWork));
  SlowUpload early(fleet,
                   { .mMethod = "POST", .mTarget = "/once/x", .mId = "early" });
  std::this_thread::sleep_for(Millis(100));
  const auto signalled = Now();
  fleet.SignalBox(0, SIGTERM);
  auto first = std::async(std::launch::async, [&] { return early.Finish(); });
  // Begun while the box still accepts connections.
  std::this_thread::sleep_until(signalled + kNotice / 2);
  std::vector<std::future<std::string>> lateAnswers;
  for (const bool once : { true, false }) {
    lateAnswers.push_back(std::async(std::launch::async, [&, once] {
      SlowUpload late(fleet,
                      { .mMethod = "POST",
                        .mTarget = once ? "/once/x" : "/safe/x",
                        .mId = once ? "late-once" : "late-safe" });
      std::this_thread::sleep_until(signalled + kDrain - kWork / 2);
      return late.Finish();
    }));
  }
  const auto earlyAnswer = first.get();
  CAPTURE(earlyAnswer);
  CHECK(earlyAnswer.starts_with("HTTP/1.1 200 "));
  for (auto& late : lateAnswers) {
    const auto answer = late.get();
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 503 "));
  }
  CHECK(fleet.RunsOf("late-once") == 0);
  CHECK(fleet.RunsOf("late-safe") == 0);
  CHECK(fleet.WaitForBoxExit(0, kExitWait) == 0);
}

// In the native dialect, where no home is asked for other servers before it
// rejects.
TEST_CASE("Requests of other boxes outlast a planned stop in the native "
          "dialect")
{
  Fleet fleet({ .mBoxes = kBoxes,
                .mPortBase = kPortBase,
                .mExtraSettings = R"(,"timing":{"drain_ms":4000,)"
                                  R"("drain_notice_ms":1500})" });
  for (int server = 0; server < kBoxes; ++server) {
    fleet.Server(server).Set({ .mServiceMs = 2500 });
  }
  std::atomic<bool> stop{ false };
  std::atomic<int> served{ 0 };
  std::vector<std::future<void>> callers;
  constexpr int kCallers = 14;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [&, caller] {
      for (int i = 0; !stop; ++i) {
        const auto id = "n-" + std::to_string(caller) + "-" + std::to_string(i);
        const auto reply = fleet.Send(1 + caller % (kBoxes - 1),
                                      "POST",
                                      "/x",
                                      "",
                                      { { "X-Request-Id", id } });
        CAPTURE(id);
        CAPTURE(reply.mOutcome);
        CAPTURE(reply.mBody);
        CHECK(reply.mStatus == 200);
        served += reply.mStatus == 200 ? 1 : 0;
        // Spreads the calls over the stop.
        std::this_thread::sleep_for(Millis(50 + 50 * caller));
      }
    }));
  }
  std::this_thread::sleep_for(Millis(1000));
  fleet.SignalBox(0, SIGTERM);
  // Its home accepts requests as long as its entry waits for this answer, at
  // most for half of the stop.
  std::this_thread::sleep_for(Millis(1300));
  CHECK(fleet.Send(0, "POST", "/x", "").mStatus == 200);
  CHECK(fleet.WaitForBoxExit(0, kExitWait) == 0);
  stop = true;
  for (auto& caller : callers) {
    caller.get();
  }
  CHECK(served > 0);
}
