#include "porttiller/policy/Balancer.h"

#include "porttiller/policy/RetryBudget.h"

#include <array>
#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

TEST_CASE("ChooseServer stays in the zone until its load costs more")
{
  std::array<Candidate, 3> servers;
  servers[1].mSameZone = true;
  std::mt19937_64 random(1);
  for (int i = 0; i < 100; ++i) {
    CHECK(ChooseServer(servers, {}, random(), random()) == 1U);
  }
  servers[1].mReportedLoad = 2.0;
  int away = 0;
  for (int i = 0; i < 100; ++i) {
    away += ChooseServer(servers, {}, random(), random()) != 1U ? 1 : 0;
  }
  CHECK(away > 40);
}

TEST_CASE("ChooseServer uses avoided servers only when no other is left")
{
  std::array<Candidate, 3> servers;
  servers[0].mStanding = Standing::kAvoid;
  servers[1].mStanding = Standing::kClosed;
  servers[2].mStanding = Standing::kOpen;
  CHECK(ChooseServer(servers, {}, 3, 5) == 2U);
  servers[2].mStanding = Standing::kTried;
  CHECK(ChooseServer(servers, {}, 3, 5) == 0U);
  servers[0].mStanding = Standing::kTried;
  CHECK_FALSE(ChooseServer(servers, {}, 3, 5).has_value());
}

TEST_CASE("RetryBudget keeps retries to its share")
{
  RetryBudget budget({ .mShare = 0.1, .mBurst = 2.0 });
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries >= 95);
  CHECK(retries <= 102);
}
