#include "porttiller/policy/Balancer.h"

#include <array>
#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

TEST_CASE("ChooseServer prefers its zone until its load outweighs the zone "
          "penalty")
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

TEST_CASE("ChooseServer uses avoided servers only when none is open")
{
  std::array<Candidate, 3> servers;
  servers[0].mEligibility = Eligibility::kAvoid;
  servers[1].mEligibility = Eligibility::kClosed;
  servers[2].mEligibility = Eligibility::kOpen;
  CHECK(ChooseServer(servers, {}, 3, 5) == 2U);
  servers[2].mEligibility = Eligibility::kExcluded;
  CHECK(ChooseServer(servers, {}, 3, 5) == 0U);
  servers[0].mEligibility = Eligibility::kExcluded;
  CHECK_FALSE(ChooseServer(servers, {}, 3, 5).has_value());
}

TEST_CASE("ChooseServer never chooses a server on an unreachable box")
{
  // Guards against choosing an unreachable server over an avoided one, which
  // costs the request a timeout of 150 ms for each dead box.
  std::array<Candidate, 3> servers;
  servers[0].mEligibility = Eligibility::kUnreachable;
  servers[1].mEligibility = Eligibility::kAvoid;
  servers[2].mEligibility = Eligibility::kExcluded;
  for (std::uint64_t draw = 0; draw < 6; ++draw) {
    CHECK(ChooseServer(servers, {}, draw, draw + 1) == 1U);
  }
  servers[1].mEligibility = Eligibility::kExcluded;
  CHECK_FALSE(ChooseServer(servers, {}, 3, 5).has_value());
}
