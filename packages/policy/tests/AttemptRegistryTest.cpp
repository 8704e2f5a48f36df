#include "porttiller/policy/AttemptRegistry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
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

TEST_CASE("A revoked attempt that arrives late is refused")
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

TEST_CASE("Answers are kept within their bytes")
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

TEST_CASE("No attempt runs twice and no not-run is said of one that runs")
{
  // The oracle keeps everything for ever; the registry keeps four records.
  const bool ok = rc::check([] {
    AttemptRegistry registry({ .mMaxRecords = 4 });
    std::set<AttemptId> handedOver;
    std::set<AttemptId> saidNotRun;
    auto now = kStart;
    const auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const auto id = Id(*rc::gen::inRange<std::uint64_t>(1, 14),
                         *rc::gen::inRange<std::uint64_t>(1, 3));
      now += Millis(*rc::gen::inRange(0, 100'000));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          if (registry.Admit(id, now) == AdmitVerdict::kAdmitted) {
            RC_ASSERT(!handedOver.contains(id));
            RC_ASSERT(!saidNotRun.contains(id));
            if (*rc::gen::inRange(0, 4) == 0) {
              registry.Refuse(id);
              saidNotRun.insert(id);
            } else {
              handedOver.insert(id);
            }
          }
          break;
        case 2:
          registry.Finish(id, Outcome::kRun, nullptr);
          break;
        case 3:
          if (registry.Revoke(id, now).mState == AttemptState::kNotRun) {
            RC_ASSERT(!handedOver.contains(id));
            saidNotRun.insert(id);
          }
          break;
        default:
          if (registry.Query(id).mState == AttemptState::kNotRun) {
            RC_ASSERT(!handedOver.contains(id));
          }
          break;
      }
    }
  });
  CHECK(ok);
}
