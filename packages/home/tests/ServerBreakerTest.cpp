#include "porttiller/home/ServerBreaker.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
constexpr Millis kTypicalTime{ 100 };
constexpr Millis kLong{ 1000 };

const HomeAnswer kServed{ .mOutcome = Outcome::kRun,
                          .mHttp = { .mStatus = 200 } };
const HomeAnswer kTimedOut{ .mOutcome = Outcome::kUnknown,
                            .mReason = kTimeoutReason };
const HomeAnswer kConnectionClosed{ .mOutcome = Outcome::kUnknown,
                                    .mReason = "server-closed" };

HomeRequest
Request(std::uint64_t aNumber)
{
  return { .mAttempt = AttemptId(BoxName("a"), Incarnation(1), aNumber) };
}

HomeRequest
LongRequest(std::uint64_t aNumber)
{
  auto request = Request(aNumber);
  request.mLongTarget = Millis(500);
  return request;
}

// The latencies of requests that take 50 to 200 ms.
RouteTimes
TypicalTimes()
{
  constexpr int kAnswers = 20;
  RouteTimes times;
  for (int i = 0; i < kAnswers; ++i) {
    times.Observe("", kTypicalTime / 2);
    times.Observe("", kTypicalTime * 2);
  }
  return times;
}

// Reports the start of an attempt at aAt and its end after aTime.
void
RunAttempt(ServerBreaker& aBreaker,
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

TEST_CASE("One late request among answered ones does not open the breaker")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  for (std::uint64_t i = 2; i < 6; ++i) {
    RunAttempt(breaker, i, kServed, kTypicalTime, kStart + kTypicalTime * i);
  }
  CHECK(breaker.Admit(Request(6), true, kStart + kLong));
  breaker.OnEnded(Request(1), kTimedOut, kLong, kStart + kLong);
  CHECK(breaker.Admit(Request(7), true, kStart + kLong));
}

TEST_CASE("A late request alone opens the breaker until it is answered")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  CHECK(breaker.Admit(Request(2), true, kStart + kTypicalTime * 2));
  CHECK_FALSE(breaker.Admit(Request(3), true, kStart + kLong));
  breaker.OnEnded(Request(1), kServed, kLong, kStart + kLong);
  CHECK(breaker.Admit(Request(4), true, kStart + kLong));
}

TEST_CASE("Two unanswered requests open the breaker before their deadlines")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(Request(1), kStart);
  CHECK(breaker.Admit(Request(2), true, kStart + kTypicalTime * 2));
  breaker.OnStarted(Request(3), kStart);
  CHECK_FALSE(breaker.Admit(Request(4), true, kStart + kTypicalTime * 2));
}

TEST_CASE("Requests that their entry abandoned count as unanswered")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  auto request = Request(1);
  request.mCancelled = Cancellation::Make();
  request.mCancelled->Cancel();
  breaker.OnStarted(request, kStart);
  breaker.OnEnded(request, kConnectionClosed, kLong, kStart + kLong);
  CHECK_FALSE(breaker.Admit(Request(2), true, kStart + kLong));
}

TEST_CASE("Rejections by a busy server do not open the breaker")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  const HomeAnswer full{ .mOutcome = Outcome::kNotRun,
                         .mRejectReason = RejectReason::kServerBusy };
  for (std::uint64_t i = 1; i < 10; ++i) {
    RunAttempt(breaker, i, full, Millis(1));
  }
  CHECK(breaker.Admit(Request(10), true, kStart + kLong));
}

TEST_CASE("A breaker tells silence from lost responses")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker silent(ServerIncarnation(BackendServerName("s")), times);
  silent.OnStarted(Request(1), kStart);
  silent.OnStarted(Request(2), kStart);
  REQUIRE(silent.IsDemoted(kStart + kLong));
  CHECK(silent.OpenedBySilence());
  silent.OnEnded(Request(1), kConnectionClosed, kLong, kStart + kLong);
  CHECK(silent.IsDemoted(kStart + kLong));
  CHECK_FALSE(silent.OpenedBySilence());

  ServerBreaker losing(ServerIncarnation(BackendServerName("s")), times);
  RunAttempt(losing, 1, kConnectionClosed, kTypicalTime);
  REQUIRE(losing.IsDemoted(kStart + kTypicalTime));
  CHECK_FALSE(losing.OpenedBySilence());
}

// Guards against demoting a server for one request of a heavy tail.
TEST_CASE("One late long request does not open the breaker, two do")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  breaker.OnStarted(LongRequest(1), kStart);
  CHECK(breaker.Admit(LongRequest(2), true, kStart + kLong * 60));
  breaker.OnStarted(LongRequest(3), kStart);
  CHECK_FALSE(breaker.Admit(LongRequest(4), true, kStart + kLong * 60));
  breaker.OnEnded(LongRequest(1), kServed, kLong * 60, kStart + kLong * 60);
  CHECK(breaker.Admit(LongRequest(5), true, kStart + kLong * 60));
}

// Long requests at the same server must not change when the others raise the
// alarm.
TEST_CASE("Requests that are not long are judged by themselves")
{
  const RouteTimes times = TypicalTimes();
  for (const bool withLong : { false, true }) {
    CAPTURE(withLong);
    ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
    breaker.OnStarted(Request(1), kStart);
    if (withLong) {
      breaker.OnStarted(LongRequest(2), kStart);
      breaker.OnEnded(
        LongRequest(2), kServed, kTypicalTime, kStart + kTypicalTime);
      breaker.OnStarted(LongRequest(3), kStart + kTypicalTime);
    }
    CHECK(breaker.Admit(Request(4), true, kStart + kTypicalTime * 2));
    CHECK_FALSE(breaker.Admit(Request(5), true, kStart + kLong));
    breaker.OnEnded(Request(1), kServed, kLong, kStart + kLong);
    CHECK(breaker.Admit(Request(6), true, kStart + kLong));
  }
}

namespace {

// Demotes the breaker by a request that ends in this way after aTime.
void
Demote(ServerBreaker& aBreaker, HomeAnswer aAnswer, Micros aTime)
{
  aAnswer.mServerClosed = aAnswer.mReason == kConnectionClosed.mReason;
  const auto request = LongRequest(1);
  aBreaker.OnStarted(request, kStart);
  aBreaker.OnEnded(request, aAnswer, aTime, kStart + aTime);
  REQUIRE(aBreaker.IsDemoted(kStart + aTime));
}

} // namespace

// Waiting for two responses of long requests keeps a server demoted for seconds
// after an episode of resets.
TEST_CASE("Two long trials that are not reset end a demotion by a reset")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  Demote(breaker, kConnectionClosed, Millis(2));
  const auto first = kStart + kLong;
  breaker.OnStarted(LongRequest(2), first);
  CHECK(breaker.IsDemoted(first + RunningTrials::kAcceptedAfter));
  const auto second = first + kTypicalTime;
  breaker.OnStarted(LongRequest(3), second);
  CHECK(breaker.IsDemoted(second + Millis(49)));
  CHECK_FALSE(breaker.IsDemoted(second + RunningTrials::kAcceptedAfter));
}

// A server that hangs, or breaks responses off, accepts requests as well.
TEST_CASE("Running trials do not end a demotion by another failure")
{
  const RouteTimes times = TypicalTimes();
  for (const auto time : { kLong, Millis(2) }) {
    CAPTURE(time.count());
    ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
    const HomeAnswer spoiled{ .mOutcome = Outcome::kUnknown,
                              .mReason = "server-spoiled-answer" };
    Demote(breaker, time == kLong ? kConnectionClosed : spoiled, time);
    for (std::uint64_t i = 2; i < 5; ++i) {
      breaker.OnStarted(LongRequest(i), kStart + kLong * i);
    }
    CHECK(breaker.IsDemoted(kStart + kLong * 4 + kTypicalTime));
  }
}

// An earlier reset must not make an error count as one.
TEST_CASE("Running trials do not end a demotion by errors after a reset")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  Demote(breaker, kConnectionClosed, Millis(2));
  const auto later = kStart + kLong;
  const HomeAnswer error{ .mOutcome = Outcome::kRun,
                          .mHttp = { .mStatus = 500 } };
  RunAttempt(breaker, 2, error, kTypicalTime, later);
  for (std::uint64_t i = 3; i < 6; ++i) {
    breaker.OnStarted(LongRequest(i), later + kLong);
  }
  CHECK(breaker.IsDemoted(later + kLong + RunningTrials::kAcceptedAfter));
}

TEST_CASE("Only trials of long requests are judged while they run")
{
  const RouteTimes times = TypicalTimes();
  ServerBreaker breaker(ServerIncarnation(BackendServerName("s")), times);
  Demote(breaker, kConnectionClosed, Millis(2));
  for (std::uint64_t i = 2; i < 5; ++i) {
    breaker.OnStarted(Request(i), kStart + kLong);
  }
  CHECK(breaker.IsDemoted(kStart + kLong + RunningTrials::kAcceptedAfter));
}
