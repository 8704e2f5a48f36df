#include "porttiller/policy/AttemptPlan.h"

#include "FuzzDraw.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

BackendServerName
Server(int aIndex)
{
  return BackendServerName("server-" + std::to_string(aIndex));
}

const RetrySource kAlways = [] { return true; };

} // namespace

TEST_CASE("A request that is not repeatable ends with its first unknown "
          "outcome")
{
  AttemptPlan plan(false);
  plan.OnSent(Server(1));
  plan.OnNotRun(Server(1), NotRunReason::kTryElsewhere, kAlways);
  CHECK(plan.MayAttempt());
  plan.OnSent(Server(2));
  CHECK_FALSE(plan.MayHedge(kAlways));
  plan.OnUnknown(kAlways);
  CHECK_FALSE(plan.MayAttempt());
  CHECK(plan.OutcomeWithoutAnswer() == Outcome::kUnknown);
}

TEST_CASE("When every server is demoted, one may be used as the last resort")
{
  // Guards against rejections by nine demoted servers using up all attempts, so
  // that none is left for the last resort.
  AttemptPlan plan(false);
  for (int i = 0; plan.MayAttempt() && !plan.LastResort(); ++i) {
    plan.OnSent(Server(i));
    plan.OnNotRun(Server(i), NotRunReason::kDemoted, kAlways);
  }
  CHECK(plan.LastResort());
  CHECK(plan.MayUse(Server(0)));
  CHECK(plan.MayAttempt());
}

TEST_CASE("After a server rejects a request, another one is tried only within "
          "the retry budget")
{
  AttemptPlan plan(true);
  plan.OnSent(Server(1));
  plan.OnNotRun(Server(1), NotRunReason::kOverloaded, [] { return false; });
  CHECK_FALSE(plan.MayAttempt());
  CHECK(plan.OutcomeWithoutAnswer() == Outcome::kNotRun);
}

TEST_CASE("A request that is not repeatable never runs twice")
{
  // The oracle counts the attempts that may have been run.
  const bool ok = rc::check([] {
    const bool repeatable = Draw(0, 2) == 0;
    AttemptPlan plan(repeatable);
    const auto retry = [] { return Draw(0, 2) == 0; };
    int maybeRun = 0;
    int attempts = 0;
    bool answered = false;
    while (plan.MayAttempt()) {
      const auto server = Server(Draw(0, 12));
      if (!plan.MayUse(server)) {
        continue;
      }
      plan.OnSent(server);
      RC_ASSERT(++attempts <= 8);
      switch (Draw(0, 4)) {
        case 0:
          ++maybeRun;
          answered = true;
          plan.OnAnswered(Draw(0, 2) == 0, retry);
          break;
        case 1:
          ++maybeRun;
          plan.OnUnknown(retry);
          break;
        default:
          plan.OnNotRun(server, static_cast<NotRunReason>(Draw(0, 5)), retry);
          break;
      }
    }
    RC_ASSERT(repeatable || maybeRun <= 1);
    if (!answered) {
      RC_ASSERT((plan.OutcomeWithoutAnswer() == Outcome::kNotRun) ==
                (maybeRun == 0));
    }
  });
  CHECK(ok);
}

TEST_CASE("An attempt at the last allowed server is not hedged")
{
  // Guards against abandoning a slow second attempt when no other server may be
  // tried, which loses its answer.
  const RetrySource retry = [] { return true; };
  AttemptPlan plan(true, { .mMaxServers = 2 });
  plan.OnSent(BackendServerName("a"));
  CHECK(plan.MayHedge(retry));
  plan.OnUnknown(retry);
  CHECK(plan.MayAttempt());
  CHECK_FALSE(plan.MayFailOverNext());
  plan.OnSent(BackendServerName("b"));
  CHECK_FALSE(plan.MayHedge(retry));
}

TEST_CASE("Attempts rejected by their home do not count as servers reached")
{
  const RetrySource retry = [] { return true; };
  AttemptPlan plan(false, { .mMaxServers = 1 });
  for (const char* name : { "a", "b", "c" }) {
    REQUIRE(plan.MayAttempt());
    plan.OnSent(BackendServerName(name));
    plan.OnNotRun(BackendServerName(name), NotRunReason::kTryElsewhere, retry);
  }
  CHECK(plan.MayAttempt());
  plan.OnSent(BackendServerName("d"));
  plan.OnNotRun(BackendServerName("d"), NotRunReason::kOverloaded, retry);
  CHECK_FALSE(plan.MayAttempt());
  CHECK(plan.OutcomeWithoutAnswer() == Outcome::kNotRun);
}

TEST_CASE(
  "A request that four homes reject for lack of capacity tries no fifth")
{
  AttemptPlan plan(false, { .mMaxAttempts = 12 });
  int attempts = 0;
  for (; plan.MayAttempt(); ++attempts) {
    plan.OnSent(Server(attempts));
    plan.OnNotRun(Server(attempts), NotRunReason::kNoCapacity, kAlways);
  }
  CHECK(attempts == 4);
  CHECK(plan.OutcomeWithoutAnswer() == Outcome::kNotRun);
}

TEST_CASE("A failed attempt spends no retry while a hedged one is running")
{
  int retries = 0;
  const RetrySource retry = [&] { return ++retries > 0; };
  AttemptPlan plan(true, { .mMaxServers = 3 });
  plan.OnSent(Server(1));
  REQUIRE(plan.MayHedge(retry));
  plan.OnSent(Server(2));
  plan.OnUnknown(retry);
  CHECK(retries == 1);
  CHECK_FALSE(plan.MayHedge(retry)); // the other attempt decides
  plan.OnAnswered(false, retry);
  CHECK(retries == 1);
  CHECK_FALSE(plan.MayAttempt());
}

TEST_CASE("Hedged attempts stay within the servers that may be reached")
{
  AttemptPlan plan(true, { .mMaxServers = 2 });
  plan.OnSent(Server(1));
  REQUIRE(plan.MayHedge(kAlways));
  plan.OnSent(Server(2));
  CHECK_FALSE(plan.MayHedge(kAlways));
}

namespace {

constexpr AttemptPlanOptions kLong{ .mMaxAttempts = 16, .mIsLong = true };
constexpr AttemptPlanOptions kLongInRounds{ .mMaxAttempts = 16,
                                            .mIsLong = true,
                                            .mRepeatsRounds = true };

// Asks servers from aFirst on until the plan allows no more, at most 50.
// Returns how many were asked.
int
AskAll(AttemptPlan& aPlan, NotRunReason aReason, int aFirst = 0)
{
  constexpr int kServers = 50;
  int asked = 0;
  while (asked < kServers && aPlan.MayAttempt() && !aPlan.LastResort()) {
    const auto server = Server(aFirst + asked);
    REQUIRE(aPlan.MayUse(server));
    aPlan.OnSent(server);
    aPlan.OnNotRun(server, aReason, kAlways);
    ++asked;
  }
  return asked;
}

} // namespace

TEST_CASE("Only for long requests up to 16 demoted servers precede the last "
          "resort")
{
  // Guards against four rejections as demoted leading to the last resort while
  // most of the other servers are well.
  for (const bool repeatable : { false, true }) {
    AttemptPlan plan(repeatable, kLong);
    CHECK(AskAll(plan, NotRunReason::kDemoted) == 16);
    CHECK(plan.LastResort());
    AttemptPlan other(repeatable, { .mMaxAttempts = 12 });
    CHECK(AskAll(other, NotRunReason::kDemoted) == 4);
    CHECK(other.LastResort());
  }
}

TEST_CASE("Rejections for lack of capacity count for long requests, too")
{
  AttemptPlan plan(false, kLong);
  AskAll(plan, NotRunReason::kNoCapacity);
  CHECK(plan.Attempts() == 4);
  CHECK_FALSE(plan.MayAttempt());
}

TEST_CASE("Each round allows as many homes as the first, then the last resort "
          "follows")
{
  AttemptPlan plan(false, kLongInRounds);
  CHECK(AskAll(plan, NotRunReason::kDemoted) == 16);
  CHECK_FALSE(plan.LastResort());
  CHECK_FALSE(plan.AsksDemoted());
  REQUIRE(plan.MayRepeatRound());
  plan.StartRound();
  CHECK(plan.AsksDemoted());
  CHECK(AskAll(plan, NotRunReason::kNoCapacity, 16) == 4);
  CHECK_FALSE(plan.LastResort());
  plan.EndRounds();
  CHECK_FALSE(plan.MayRepeatRound());
  CHECK_FALSE(plan.AsksDemoted());
  CHECK(plan.MayAttempt());
  CHECK(plan.LastResort());
  CHECK(plan.MayUse(Server(0)));
  CHECK_FALSE(plan.MayUse(Server(16)));
}

TEST_CASE("A round asks servers of earlier rounds only when no other is left")
{
  AttemptPlan plan(false, kLongInRounds);
  CHECK(AskAll(plan, NotRunReason::kNoCapacity) == 4);
  CHECK_FALSE(plan.AllowMore(true)); // the first round has no earlier one
  plan.StartRound();
  CHECK_FALSE(plan.MayUse(Server(0)));
  plan.OnSent(Server(4));
  plan.OnNotRun(Server(4), NotRunReason::kNoCapacity, kAlways);
  CHECK(plan.AllowMore(false));
  CHECK(plan.MayUse(Server(0)));
  CHECK_FALSE(plan.MayUse(Server(4))); // it was asked in this round
  CHECK_FALSE(plan.AllowMore(true));
  CHECK_FALSE(plan.LastResort());
}

TEST_CASE("A server that rejected the request itself is not asked again")
{
  // Each such request counts as a retry.
  AttemptPlan plan(false, kLongInRounds);
  plan.OnSent(Server(1));
  plan.OnNotRun(Server(1), NotRunReason::kOverloaded, kAlways);
  CHECK(plan.MayRepeatRound());
  plan.StartRound();
  CHECK(plan.AllowMore(false));
  CHECK_FALSE(plan.MayUse(Server(1)));
}

TEST_CASE("A request that may have run is not sent in another round")
{
  // The oracle counts the attempts that may have been run.
  const bool ok = rc::check([] {
    AttemptPlan plan(false, kLongInRounds);
    int maybeRun = 0;
    for (int round = 0; round < 5; ++round) {
      int asked = 0;
      while (plan.MayAttempt()) {
        const auto server = Server(Draw(0, 30));
        if (!plan.MayUse(server)) {
          if (!plan.AllowMore(false)) {
            break;
          }
          continue;
        }
        RC_ASSERT(++asked <= 18); // a round, or the last resort after it
        plan.OnSent(server);
        if (Draw(0, 30) == 0) {
          ++maybeRun;
          plan.OnUnknown(kAlways);
          RC_ASSERT(!plan.MayAttempt());
          RC_ASSERT(!plan.MayRepeatRound());
          RC_ASSERT(plan.OutcomeWithoutAnswer() == Outcome::kUnknown);
        } else {
          plan.OnNotRun(server,
                        Draw(0, 2) == 0 ? NotRunReason::kDemoted
                                        : NotRunReason::kNoCapacity,
                        kAlways);
        }
      }
      if (!plan.MayRepeatRound()) {
        break;
      }
      if (round == 3) {
        plan.EndRounds();
      } else {
        plan.StartRound();
      }
    }
    RC_ASSERT(maybeRun <= 1);
  });
  CHECK(ok);
}
