#include "porttiller/policy/AttemptRegistry.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>
#include <set>

using namespace porttiller;

namespace {

AttemptId
Id(std::uint64_t aSequence, std::uint64_t aIncarnation = 1)
{
  return { BoxName("entry"), Incarnation(aIncarnation), aSequence };
}

const TimePoint kStart{ Micros(1) };

} // namespace

TEST_CASE("An attempt that arrives after its revocation is not admitted")
{
  AttemptRegistry registry;
  CHECK(registry.Revoke(Id(5), kStart).mState == AttemptState::kNotRun);
  CHECK(registry.Admit(Id(5), kStart) == AdmitVerdict::kRevoked);
}

TEST_CASE("A running attempt is never confirmed as not run")
{
  AttemptRegistry registry;
  CHECK(registry.Admit(Id(5), kStart) == AdmitVerdict::kAdmitted);
  CHECK(registry.Revoke(Id(5), kStart).mState == AttemptState::kRunning);
  CHECK(registry.Admit(Id(5), kStart) == AdmitVerdict::kDuplicate);
  registry.Finish(Id(5), Outcome::kRun, nullptr);
  CHECK(registry.Revoke(Id(5), kStart).mState == AttemptState::kFinished);
}

TEST_CASE("Kept answers stay within their byte limit")
{
  AttemptRegistry registry({ .mMaxAnswerBytes = 100 });
  for (std::uint64_t i = 1; i <= 10; ++i) {
    registry.Admit(Id(i), kStart);
    auto answer = std::make_shared<RecordedAnswer>();
    answer->mBody.assign(40, 'x');
    registry.Finish(Id(i), Outcome::kRun, answer);
    CHECK(registry.AnswerBytes() <= 100);
  }
  CHECK(registry.Query(Id(10)).mAnswer != nullptr);
  CHECK(registry.Query(Id(1)).mAnswer == nullptr);
  CHECK(registry.Query(Id(1)).mState == AttemptState::kFinished);
}

TEST_CASE("An answer above the byte limit is not kept and evicts no others")
{
  AttemptRegistry registry({ .mMaxAnswerBytes = 100 });
  for (std::uint64_t i = 1; i <= 2; ++i) {
    registry.Admit(Id(i), kStart);
    auto answer = std::make_shared<RecordedAnswer>();
    answer->mBody.assign(i == 1 ? 40 : 101, 'x');
    registry.Finish(Id(i), Outcome::kRun, answer);
  }
  CHECK(registry.Query(Id(1)).mAnswer != nullptr);
  CHECK(registry.Query(Id(2)).mAnswer == nullptr);
  CHECK(registry.Query(Id(2)).mState == AttemptState::kFinished);
}

TEST_CASE("Attempts of an entry incarnation dropped as idle stay stale")
{
  // Guards against dropping an idle incarnation together with its watermark,
  // after which its attempts would be admitted again.
  AttemptRegistry registry({ .mMaxRecords = 1 });
  registry.Admit(Id(1, 1), kStart);
  registry.Finish(Id(1, 1), Outcome::kRun, nullptr);
  registry.Admit(Id(1, 2), kStart); // evicts the first incarnation's record
  const auto later = kStart + Millis(2 * 3'600'000);
  CHECK(registry.Admit(Id(1, 1), later) == AdmitVerdict::kStale);
  CHECK(registry.Admit(Id(2, 1), later) == AdmitVerdict::kStale);
  CHECK(registry.Admit(Id(2, 2), later) == AdmitVerdict::kAdmitted);
}

TEST_CASE("No attempt runs twice, and none that runs is reported as not run")
{
  // The oracle keeps every record; the registry keeps four.
  const bool ok = rc::check([] {
    AttemptRegistry registry({ .mMaxRecords = 4 });
    std::set<AttemptId> admitted;
    std::set<AttemptId> reportedNotRun;
    auto now = kStart;
    const auto steps = Draw(1, 120);
    for (int step = 0; step < steps; ++step) {
      const auto id = Id(Draw<std::uint64_t>(1, 14), Draw<std::uint64_t>(1, 3));
      now += Millis(Draw(0, 100'000));
      switch (Draw(0, 5)) {
        case 0:
        case 1:
          if (registry.Admit(id, now) == AdmitVerdict::kAdmitted) {
            RC_ASSERT(!admitted.contains(id));
            RC_ASSERT(!reportedNotRun.contains(id));
            if (Draw(0, 4) == 0) {
              registry.Reject(id);
              reportedNotRun.insert(id);
            } else {
              admitted.insert(id);
            }
          }
          break;
        case 2:
          registry.Finish(id, Outcome::kRun, nullptr);
          break;
        case 3:
          if (registry.Revoke(id, now).mState == AttemptState::kNotRun) {
            RC_ASSERT(!admitted.contains(id));
            reportedNotRun.insert(id);
          }
          break;
        default:
          if (registry.Query(id).mState == AttemptState::kNotRun) {
            RC_ASSERT(!admitted.contains(id));
          }
          break;
      }
    }
  });
  CHECK(ok);
}
