#include "porttiller/home/ServerBreaker.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
constexpr Millis kUsual{ 100 };
constexpr Millis kLong{ 1000 };

const HomeAnswer kServed{ .mOutcome = Outcome::kRun,
                          .mHttp = { .mStatus = 200 } };
const HomeAnswer kTimedOut{ .mOutcome = Outcome::kUnknown,
                            .mReason = kTimeoutReason };
const HomeAnswer kCut{ .mOutcome = Outcome::kUnknown,
                       .mReason = "server-closed" };

HomeRequest
Request(std::uint64_t aNumber)
{
  return { .mAttempt = AttemptId(BoxName("a"), Incarnation(1), aNumber) };
}

// Of requests that take 50 to 200 ms.
RouteTimes
UsualTimes()
{
  constexpr int kAnswers = 20;
  RouteTimes times;
  for (int i = 0; i < kAnswers; ++i) {
    times.Observe("", kUsual / 2);
    times.Observe("", kUsual * 2);
  }
  return times;
}

// One attempt from its start at aAt to its end.
void
Play(ServerBreaker& aBreaker,
     std::uint64_t aNumber,
     const HomeAnswer& aAnswer,
     Micros aTime,
     TimePoint aAt = kStart)
{
  const auto request = Request(aNumber);
  aBreaker.OnStarted(request, aAt);
  aBreaker.OnEnded(request, aAnswer, aTime, aAt + aTime);
}

} // namespace

TEST_CASE("A late request among answered ones leaves the server open to all")
{
  const RouteTimes times = UsualTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  for (std::uint64_t i = 2; i < 6; ++i) {
    Play(breaker, i, kServed, kUsual, kStart + kUsual * i);
  }
  CHECK(breaker.Admit(Request(6), true, kStart + kLong));
  breaker.OnEnded(Request(1), kTimedOut, kLong, kStart + kLong);
  CHECK(breaker.Admit(Request(7), true, kStart + kLong));
}

TEST_CASE("A late request alone closes the server until it is answered")
{
  const RouteTimes times = UsualTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  CHECK(breaker.Admit(Request(2), true, kStart + kUsual * 2));
  CHECK_FALSE(breaker.Admit(Request(3), true, kStart + kLong));
  breaker.OnEnded(Request(1), kServed, kLong, kStart + kLong);
  CHECK(breaker.Admit(Request(4), true, kStart + kLong));
}

TEST_CASE("Silence of two requests at once tells before their deadlines do")
{
  const RouteTimes times = UsualTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  CHECK(breaker.Admit(Request(2), true, kStart + kUsual * 2));
  breaker.OnStarted(Request(3), kStart);
  CHECK_FALSE(breaker.Admit(Request(4), true, kStart + kUsual * 2));
}

TEST_CASE("Requests whose entries gave them up tell of their server, too")
{
  const RouteTimes times = UsualTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  auto request = Request(1);
  request.mCancelled = Cancellation::Make();
  request.mCancelled->Cancel();
  breaker.OnStarted(request, kStart);
  breaker.OnEnded(request, kCut, kLong, kStart + kLong);
  CHECK_FALSE(breaker.Admit(Request(2), true, kStart + kLong));
}

TEST_CASE("What a full server refuses says nothing of its health")
{
  const RouteTimes times = UsualTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  const HomeAnswer full{ .mOutcome = Outcome::kNotRun,
                         .mRefusal = Refusal::kServerBusy };
  for (std::uint64_t i = 1; i < 10; ++i) {
    Play(breaker, i, full, Millis(1));
  }
  CHECK(breaker.Admit(Request(10), true, kStart + kLong));
}
