#include "LinkSilenceDetectorPriv.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr TimePoint kStart{ Micros(1'000'000'000) };

TimePoint
At(std::int64_t aMillis)
{
  return kStart + Millis(aMillis);
}

// Sends a request over one link every kPeriodMs. aReplyTime returns the time to
// the reply of each request by its number, in ms; null for no reply. Returns
// how often the link is detected as silent; it is then replaced.
template<typename ReplyTime>
int
CountSilences(int aRequests, ReplyTime aReplyTime)
{
  constexpr std::int64_t kPeriodMs = 1000;
  LinkSilenceDetector detector;
  detector.OnOpened("1", At(0));
  int found = 0;
  std::multimap<std::int64_t, std::int64_t> replies; // reply times, by arrival
  for (std::int64_t now = 0; now < aRequests * kPeriodMs; ++now) {
    if (now % kPeriodMs == 0) {
      detector.OnRequest("1", At(now));
      if (const auto time = aReplyTime(static_cast<int>(now / kPeriodMs))) {
        replies.emplace(now + *time, *time);
      }
    }
    for (auto it = replies.begin(); it != replies.end() && it->first <= now;
         it = replies.erase(it)) {
      detector.OnReply("1", At(now));
      detector.OnReplyTime("1", Millis(it->second));
    }
    if (!detector.TakeSilent(At(now)).empty()) {
      ++found;
      detector.OnClosed("1");
      detector.OnOpened("1", At(now));
    }
  }
  return found;
}

using ReplyDelay = std::optional<std::int64_t>;

} // namespace

TEST_CASE("A link that has carried replies is silent 350 ms after a request")
{
  LinkSilenceDetector detector;
  detector.OnOpened("1", At(0));
  detector.OnRequest("1", At(0));
  detector.OnReply("1", At(3));
  detector.OnReplyTime("1", Millis(3));
  detector.OnRequest("1", At(1000));
  detector.OnRequest("1", At(1300)); // the oldest one counts
  CHECK(detector.TakeSilent(At(1349)).empty());
  REQUIRE(detector.NextCheck());
  CHECK(*detector.NextCheck() <= At(1350));
  const auto silent = detector.TakeSilent(At(1350));
  REQUIRE(silent.contains("1"));
  CHECK(silent.at("1") == Millis(350));
}

TEST_CASE("All links that fail at one moment are detected within 350 ms")
{
  LinkSilenceDetector detector;
  constexpr int kLinks = 60;
  for (int i = 0; i < kLinks; ++i) {
    const auto route = std::to_string(i);
    detector.OnOpened(route, At(0));
    detector.OnRequest(route, At(0));
    detector.OnReply(route, At(5));
    detector.OnReplyTime(route, Millis(5));
    detector.OnRequest(route, At(1000 + i));
  }
  std::size_t found = 0;
  for (std::int64_t now = 1000; now <= 1000 + kLinks + 350; ++now) {
    for (const auto& [route, time] : detector.TakeSilent(At(now))) {
      ++found;
      CHECK(time <= Millis(350));
      detector.OnClosed(route);
    }
  }
  CHECK(found == kLinks);
  CHECK(detector.TakeSilent(At(5000)).empty()); // all are closed
  CHECK_FALSE(detector.NextCheck().has_value());
}

TEST_CASE("Lost packets and slow replies do not count as silence")
{
  // Every fifth reply is retransmitted by TCP.
  CHECK(CountSilences(200, [](int aNumber) {
          return ReplyDelay(aNumber % 5 == 4 ? 215 : 5);
        }) == 0);
  // Every reply is slow: a slow peer, or one in a distant region.
  CHECK(CountSilences(200, [](int) { return ReplyDelay(330); }) == 0);
  // A peer that becomes slower with each reply.
  CHECK(CountSilences(
          200, [](int aNumber) { return ReplyDelay(5 + aNumber * 4); }) == 0);
}

TEST_CASE("A link to a peer that stays unresponsive is replaced repeatedly")
{
  const auto never = [](int aNumber) {
    return aNumber == 0 ? ReplyDelay(5) : ReplyDelay();
  };
  const int found = CountSilences(200, never);
  // Each replacement has carried no reply, so it is given 3 s.
  CHECK(found > 40);
  CHECK(found < 70);
}

TEST_CASE("A link that has carried no reply yet is given 3 s")
{
  LinkSilenceDetector detector;
  detector.OnOpened("1", At(0));
  detector.OnRequest("1", At(10));
  CHECK(detector.TakeSilent(At(2999)).empty());
  CHECK(detector.TakeSilent(At(3000)).contains("1"));
  // Opened long ago for one-way messages: the request still gets 350 ms.
  detector.OnOpened("2", At(0));
  detector.OnRequest("2", At(10'000));
  CHECK(detector.TakeSilent(At(10'349)).empty());
  CHECK(detector.TakeSilent(At(10'350)).contains("2"));
}

TEST_CASE("A link is quiet when its last reply is more than a second old")
{
  LinkSilenceDetector detector;
  detector.OnOpened("1", At(0));
  CHECK_FALSE(detector.IsQuiet("1", At(5000)));
  detector.OnReply("1", At(5000));
  CHECK_FALSE(detector.IsQuiet("1", At(6000)));
  CHECK(detector.IsQuiet("1", At(6001)));
  CHECK(detector.TimeSinceReply("1", At(5500)) == Millis(500));
}
