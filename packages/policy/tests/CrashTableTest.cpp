#include "porttiller/policy/CrashTable.h"

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace porttiller;

namespace {

constexpr TimePoint kStart{ Millis(1'000'000) };
const RequestDigest kRequest(1, 2);

CrashRecord
Crash(const RequestDigest& aDigest,
      std::uint64_t aId,
      TimePoint aAt,
      bool aAfterCrash)
{
  return { .mDigest = aDigest,
           .mEvents = {
             { .mId = aId, .mAt = aAt, .mAfterCrash = aAfterCrash } } };
}

// Three crashes, the later ones after the first was known.
void
CrashThrice(CrashTable& aTable,
            TimePoint aNow,
            const RequestDigest& aDigest = kRequest)
{
  for (std::uint64_t id = 1; id <= 3; ++id) {
    aTable.Merge(Crash(aDigest, id, aNow, id > 1), aNow);
  }
}

CrashVerdict
VerdictOf(const CrashTable& aTable, TimePoint aNow)
{
  return aTable.StateOf(kRequest, aNow).mVerdict;
}

} // namespace

TEST_CASE("A request is quarantined at its third crash")
{
  CrashTable table;
  CHECK(VerdictOf(table, kStart) == CrashVerdict::kClear);
  CHECK(table.Merge(Crash(kRequest, 1, kStart, false), kStart));
  CHECK_FALSE(table.Merge(Crash(kRequest, 1, kStart, false), kStart));
  table.Merge(Crash(kRequest, 2, kStart, true), kStart);
  CHECK(table.StateOf(kRequest, kStart) ==
        CrashState{ CrashVerdict::kSuspect, 2 });
  table.Merge(Crash(kRequest, 3, kStart, true), kStart);
  CHECK(VerdictOf(table, kStart) == CrashVerdict::kQuarantined);
  CHECK(table.Quarantined(kStart) == 1);
}

TEST_CASE("Copies of a request that ran when many servers ended at once")
{
  CrashTable table;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    table.Merge(Crash(kRequest, id, kStart, false), kStart);
  }
  CHECK(VerdictOf(table, kStart) == CrashVerdict::kSuspect);
  SUBCASE("it is answered")
  {
    CHECK(table.OnAnswered(kRequest, kStart + Millis(1)));
    CHECK(VerdictOf(table, kStart + Millis(1)) == CrashVerdict::kClear);
  }
  SUBCASE("it crashes a server afterwards")
  {
    table.Merge(Crash(kRequest, 11, kStart, true), kStart);
    CHECK(VerdictOf(table, kStart) == CrashVerdict::kQuarantined);
  }
}

TEST_CASE("An answer clears the crashes before it, in any order of arrival")
{
  CrashTable table;
  table.OnAnswered(kRequest, kStart + Millis(10));
  CrashThrice(table, kStart);
  CHECK(VerdictOf(table, kStart + Millis(20)) == CrashVerdict::kClear);
  table.Merge(Crash(kRequest, 4, kStart + Millis(11), true),
              kStart + Millis(20));
  CHECK(table.StateOf(kRequest, kStart + Millis(20)).mCrashes == 1);

  CrashTable other;
  CrashThrice(other, kStart);
  CHECK(VerdictOf(other, kStart) == CrashVerdict::kQuarantined);
  for (const auto& record : table.SharedRecords(10, kStart + Millis(20))) {
    CHECK(other.Merge(record, kStart + Millis(20)));
  }
  CHECK(other.StateOf(kRequest, kStart + Millis(20)).mCrashes == 1);
}

TEST_CASE(
  "A quarantined request is tried after ever longer pauses, three times")
{
  const CrashTableOptions options;
  CrashTable table(options);
  CrashThrice(table, kStart);
  auto now = kStart;
  std::uint64_t id = 3;
  for (const auto pause : options.mPauses) {
    CHECK(VerdictOf(table, now + pause - Millis(1)) ==
          CrashVerdict::kQuarantined);
    now += pause;
    CHECK(VerdictOf(table, now) == CrashVerdict::kTrial);
    table.Merge(Crash(kRequest, ++id, now, true), now);
    CHECK(VerdictOf(table, now) == CrashVerdict::kQuarantined);
  }
  const auto end = now + options.mQuarantineMemory;
  CHECK(VerdictOf(table, end - Millis(1)) == CrashVerdict::kQuarantined);
  CHECK(VerdictOf(table, end) == CrashVerdict::kClear);
}

TEST_CASE("Copies under way at the quarantining crash are no failed trials")
{
  const CrashTableOptions options;
  CrashTable table(options);
  CrashThrice(table, kStart);
  for (std::uint64_t id = 4; id <= 8; ++id) {
    table.Merge(Crash(kRequest, id, kStart + Millis(id), true),
                kStart + Millis(id));
  }
  CHECK(VerdictOf(table, kStart + Millis(8) + options.mPauses[0]) ==
        CrashVerdict::kTrial);
}

TEST_CASE("A flood of crashing requests does not displace a quarantined one")
{
  CrashTable table({ .mMaxRecords = 50 });
  CrashThrice(table, kStart);
  for (std::uint64_t i = 100; i < 1000; ++i) {
    const auto now = kStart + Millis(i);
    table.Merge(Crash({ i, i }, i, now, true), now);
  }
  CHECK(table.Size() == 50);
  CHECK(VerdictOf(table, kStart + Millis(1000)) == CrashVerdict::kQuarantined);
  CHECK(table.SharedRecords(10, kStart + Millis(1000)).size() == 1);
}

TEST_CASE("An operator clears a request")
{
  CrashTable table;
  CrashThrice(table, kStart);
  CHECK(table.Clear(kRequest, kStart));
  CHECK_FALSE(table.Clear(kRequest, kStart));
  CHECK(VerdictOf(table, kStart) == CrashVerdict::kClear);
}

TEST_CASE("Old records are dropped and no longer accepted")
{
  const CrashTableOptions options;
  CrashTable table(options);
  const auto record = Crash(kRequest, 1, kStart, false);
  table.Merge(record, kStart);
  const auto later = kStart + options.mSuspectMemory;
  CHECK(VerdictOf(table, later) == CrashVerdict::kClear);
  table.DropOld(later);
  CHECK(table.Size() == 0);
  CHECK_FALSE(table.Merge(record, later));
}

TEST_CASE("Boxes that merge the same records in any order decide alike")
{
  const auto agrees = [](unsigned aSeed) {
    std::mt19937_64 random(aSeed);
    std::vector<CrashRecord> records;
    for (int i = 0; i < 60; ++i) {
      auto record = Crash({ 0, random() % 5 + 1 },
                          random() % 12 + 1,
                          kStart + Millis(random() % 100),
                          random() % 2 == 0);
      record.mEvents[0].mCleared = random() % 5 == 0;
      // One crash has one time.
      record.mEvents[0].mAt = kStart + Millis(record.mEvents[0].mId);
      records.push_back(record);
    }
    CrashTable one;
    CrashTable two;
    for (const auto& record : records) {
      one.Merge(record, kStart + Millis(200));
    }
    std::shuffle(records.begin(), records.end(), random);
    for (const auto& record : records) {
      two.Merge(record, kStart + Millis(200));
      two.Merge(record, kStart + Millis(200));
    }
    const auto now = kStart + Millis(300);
    return one.SharedDigest(now) == two.SharedDigest(now) &&
           one.SharedRecords(100, now).size() ==
             two.SharedRecords(100, now).size();
  };
  CHECK(rc::check("merging commutes", agrees));
}
