#include "porttiller/config/MemoryPlan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace porttiller;

namespace {

constexpr double kMb = 1 << 20;

MemoryPlan
PlanFor(double aMemoryMb)
{
  // As Settings derives the memory for unread answers.
  return PlanMemory({ .mMemoryMb = aMemoryMb, .mUnsentMb = aMemoryMb / 8 });
}

} // namespace

TEST_CASE("All bodies together leave an eighth of the memory to the process")
{
  CHECK(rc::check([] {
    const auto memory = *rc::gen::inRange(1, 65'536);
    const auto plan = PlanFor(memory);
    const auto bodies = plan.mCallerRequests + plan.mPeerRequests +
                        plan.mHomeAnswers + plan.mServerAnswers;
    const double unsent = memory * kMb / 8;
    RC_ASSERT(static_cast<double>(bodies) + unsent <= 0.875 * memory * kMb);
    RC_ASSERT(plan.mCallerRequests > 0U);
    RC_ASSERT(plan.mServerAnswers > 0U);
  }));
}

TEST_CASE("A machine of 260 MB has room for requests of 64 MiB at both ends")
{
  const auto plan = PlanFor(260.0);
  CHECK(static_cast<double>(plan.mCallerRequests) >= 69 * kMb);
  CHECK(plan.mPeerRequests == plan.mCallerRequests);
  CHECK(static_cast<double>(plan.mHomeAnswers) >= 17 * kMb);
}

TEST_CASE("Without a known memory a small machine is assumed")
{
  CHECK(PlanMemory({}) == PlanMemory({ .mMemoryMb = 256.0 }));
}
