#include "porttiller/policy/SilenceDetector.h"

#include "porttiller/policy/LatencyModel.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
constexpr Millis kTypicalTime{ 400 };
constexpr Millis kOverdueTime{ 4000 };
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
      mModel.Observe(kTypicalTime / 2);
      mModel.Observe(kTypicalTime * 2);
    }
  }

  bool Alarms(Millis aAfter) const
  {
    return mDetector.Alarms(
      [this](const std::string&, Micros aAge) { return mModel.Survival(aAge); },
      kStart + aAfter);
  }

  void Start(std::uint64_t aNumber, Millis aAfter = Millis(0))
  {
    mDetector.OnStarted(Attempt(aNumber), "route", kStart + aAfter);
  }

  SilenceDetector mDetector;

private:
  LatencyModel mModel;
};

} // namespace

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "Requests of a typical age raise no alarm")
{
  Start(1);
  Start(2);
  CHECK_FALSE(Alarms(kTypicalTime));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "Several unanswered requests raise an alarm sooner than one")
{
  Start(1);
  CHECK_FALSE(Alarms(kTypicalTime * 5 / 2));
  CHECK(Alarms(kOverdueTime));
  Start(2);
  Start(3);
  CHECK(Alarms(kTypicalTime * 5 / 2));
}

TEST_CASE_FIXTURE(
  SilenceDetectorFixture,
  "A long request raises no alarm while later ones are answered")
{
  Start(1);
  for (std::uint64_t i = 2; i < 6; ++i) {
    Start(i, Millis(100) * i);
    mDetector.OnAnswered(Attempt(i));
  }
  CHECK_FALSE(Alarms(kOverdueTime));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture,
                  "An answer to the overdue request ends the alarm")
{
  Start(1);
  REQUIRE(Alarms(kOverdueTime));
  mDetector.OnAnswered(Attempt(1));
  CHECK_FALSE(Alarms(kOverdueTime));
}

TEST_CASE_FIXTURE(
  SilenceDetectorFixture,
  "Two answers end the alarm of any number of unanswered requests")
{
  for (std::uint64_t i = 1; i < 6; ++i) {
    Start(i);
    mDetector.OnAbandoned(Attempt(i), kStart + kOverdueTime);
  }
  REQUIRE(Alarms(kOverdueTime));
  Start(7, kOverdueTime);
  mDetector.OnAnswered(Attempt(7));
  CHECK(Alarms(kOverdueTime));
  Start(8, kOverdueTime);
  mDetector.OnAnswered(Attempt(8));
  CHECK_FALSE(Alarms(kOverdueTime));
}

TEST_CASE_FIXTURE(SilenceDetectorFixture, "A forgotten request raises no alarm")
{
  Start(1);
  mDetector.Forget(Attempt(1));
  CHECK_FALSE(Alarms(kOverdueTime));
}
