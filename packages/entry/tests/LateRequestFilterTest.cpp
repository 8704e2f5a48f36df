#include "porttiller/entry/Filters.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

std::optional<CallerAnswer>
Apply(const ShutdownDeadline& aShutdownDeadline, TimePoint aDeadline)
{
  const Settings settings;
  const EdgeHeaders names;
  RequestContext context{ .mSettings = settings,
                          .mNames = names,
                          .mDeadline = aDeadline };
  return LateRequestFilter(aShutdownDeadline).Apply(context);
}

} // namespace

TEST_CASE("A request is too late once callers' connections are closed and its "
          "deadline is behind the end of the stop")
{
  const auto end = Now() + Millis(5000);
  const auto before = end - Millis(1);
  const auto after = end + Millis(1);
  ShutdownDeadline shutdown;
  CHECK_FALSE(Apply(shutdown, after));
  shutdown.Set(end);
  CHECK_FALSE(Apply(shutdown, after));
  shutdown.CloseToCallers();
  CHECK_FALSE(Apply(shutdown, before));
  CHECK_FALSE(Apply(shutdown, end));
  const auto rejected = Apply(shutdown, after);
  REQUIRE(rejected);
  CHECK(rejected->mStatus == 503);
  CHECK(rejected->mOutcome == Outcome::kNotRun);
  CHECK(rejected->mReason == "leaving");
  CHECK(rejected->mCloseConnection);
}
