#include "porttiller/policy/SilenceDetector.h"

#include "porttiller/policy/LatencyModel.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
constexpr Millis kUsual{ 400 };
constexpr Millis kLate{ 4000 };
constexpr int kAnswers = 50;

AttemptId
Attempt(std::uint64_t aNumber)
{
  return { BoxName("a"), Incarnation(1), aNumber };
}

// A route whose requests take 200 to 800 ms.
class SilenceDetectorFixture
{
public:
  SilenceDetectorFixture()
  {
    for (int i = 0; i < kAnswers; ++i) {
      mModel.Observe(kUsual / 2);
      mModel.Observe(kUsual * 2);
    }
  }

  bool Alarms(Millis aAfter) const
  {
    return mDetector.Alarms(
      [this](const std::string&, Micros aAge) { return mModel.Survival(aAge); },
      kStart + aAfter);
  }

  void Begin(std::uint64_t aNumber, Millis aAfter = Millis(0))
  {
    mDetector.OnStarted(Attempt(aNumber), "route", kStart + aAfter);
  }

  SilenceDetector mDetector;

private:
  LatencyModel mModel;
};

} // namespace

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "Requests of a usual age are no alarm")
{
  Begin(1);
  Begin(2);
  CHECK_FALSE(Alarms(kUsual));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "Several silent requests tell sooner than one")
{
  Begin(1);
  CHECK_FALSE(Alarms(kUsual * 5 / 2));
  CHECK(Alarms(kLate));
  Begin(2);
  Begin(3);
  CHECK(Alarms(kUsual * 5 / 2));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "A long request is no alarm while later ones are answered")
{
  Begin(1);
  for (std::uint64_t i = 2; i < 6; ++i) {
    Begin(i, Millis(100) * i);
    mDetector.OnAnswered(Attempt(i));
  }
  CHECK_FALSE(Alarms(kLate));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "The suspected request's own answer ends the alarm")
{
  Begin(1);
  REQUIRE(Alarms(kLate));
  mDetector.OnAnswered(Attempt(1));
  CHECK_FALSE(Alarms(kLate));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "Two answers end the alarm of any number of silent requests")
{
  for (std::uint64_t i = 1; i < 6; ++i) {
    Begin(i);
    mDetector.OnGivenUp(Attempt(i), kStart + kLate);
  }
  REQUIRE(Alarms(kLate));
  Begin(7, kLate);
  mDetector.OnAnswered(Attempt(7));
  CHECK(Alarms(kLate));
  Begin(8, kLate);
  mDetector.OnAnswered(Attempt(8));
  CHECK_FALSE(Alarms(kLate));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture, "A request may say nothing")
{
  Begin(1);
  mDetector.Forget(Attempt(1));
  CHECK_FALSE(Alarms(kLate));
}
