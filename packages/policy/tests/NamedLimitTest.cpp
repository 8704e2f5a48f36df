#include "porttiller/policy/NamedLimit.h"

#include "porttiller/policy/RecentCount.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr std::optional<double> kNone;
const TimePoint kStart{ Millis(1'000'000) };

TimePoint
At(int aMillis)
{
  return kStart + Millis(aMillis);
}

} // namespace

TEST_CASE("A limit is in force at the first answer that names it")
{
  NamedLimit limit;
  CHECK_FALSE(limit.OnAnswer(kNone, At(0), At(10)));
  CHECK(limit.OnAnswer(5.0, At(20), At(30)));
  CHECK_FALSE(limit.OnAnswer(5.0, At(40), At(50)));
  CHECK(limit.OnAnswer(1.4, At(60), At(70)));
  CHECK(limit.Rate() == 1.4);
}

TEST_CASE("A limit ends or rises when two answers agree")
{
  NamedLimit limit;
  limit.OnAnswer(1.0, At(0), At(10));
  CHECK_FALSE(limit.OnAnswer(kNone, At(20), At(30)));
  CHECK(limit.Rate() == 1.0);
  CHECK(limit.OnAnswer(kNone, At(40), At(50)));
  CHECK(limit.Rate() == kNone);

  limit.OnAnswer(1.0, At(60), At(70));
  CHECK_FALSE(limit.OnAnswer(kNone, At(80), At(90)));
  CHECK(limit.OnAnswer(4.0, At(100), At(110)));
  CHECK(limit.Rate() == 4.0);
}

TEST_CASE("One answer without the limit among others does not end it")
{
  NamedLimit limit;
  for (int i = 0; i < 100; i += 2) {
    limit.OnAnswer(1.0, At(20 * i), At(20 * i + 10));
    limit.OnAnswer(kNone, At(20 * i + 20), At(20 * i + 30));
    CHECK(limit.Rate() == 1.0);
  }
}

TEST_CASE("Answers of requests sent before the limit was named do not end it")
{
  NamedLimit limit;
  limit.OnAnswer(1.0, At(50), At(60));
  for (int i = 0; i < 8; ++i) {
    CHECK_FALSE(limit.OnAnswer(kNone, At(40 + i), At(70 + i)));
  }
  CHECK(limit.Rate() == 1.0);
}

TEST_CASE("Reports of other boxes count until the server answers")
{
  NamedLimit limit;
  CHECK(limit.OnReport(2.0, At(0)));
  CHECK(limit.OnReport(1.0, At(10)));
  CHECK_FALSE(limit.OnReport(3.0, At(5)));
  CHECK(limit.Rate() == 1.0);
  CHECK_FALSE(limit.OnAnswer(kNone, At(20), At(30)));
  CHECK_FALSE(limit.OnReport(0.5, At(40)));
  CHECK(limit.OnAnswer(kNone, At(50), At(60)));
  CHECK(limit.Rate() == kNone);
}

TEST_CASE("Events of the last four seconds are counted")
{
  RecentCount count;
  for (int i = 0; i < 10; ++i) {
    count.Add(At(1000 * i));
  }
  CHECK(count.Count(At(9000)) >= 4);
  CHECK(count.Count(At(9000)) <= 5);
  CHECK(count.Count(At(20'000)) == 0);
}
