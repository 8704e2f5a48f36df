#include "LinkSilencePriv.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr TimePoint kStart{ Micros(1'000'000'000) };

TimePoint
At(std::int64_t aMillis)
{
  return kStart + Millis(aMillis);
}

// Requests over one link each kEvery, each answered after what aReplyTime
// says for it; null: never. Counts how often the link is found silent.
template<typename ReplyTime>
int
Replay(int aRequests, ReplyTime aReplyTime)
{
  constexpr std::int64_t kEvery = 1000;
  LinkSilence silence;
  silence.OnMade("1", At(0));
  int found = 0;
  std::multimap<std::int64_t, std::int64_t> replies; // by time: what they took
  for (std::int64_t now = 0; now < aRequests * kEvery; ++now) {
    if (now % kEvery == 0) {
      silence.OnRequest("1", At(now));
      if (const auto time = aReplyTime(static_cast<int>(now / kEvery))) {
        replies.emplace(now + *time, *time);
      }
    }
    for (auto it = replies.begin(); it != replies.end() && it->first <= now;
         it = replies.erase(it)) {
      silence.OnHeard("1", At(now));
      silence.OnReplyTime("1", Millis(it->second));
    }
    if (!silence.TakeSilent(At(now)).empty()) {
      ++found;
      silence.OnClosed("1");
      silence.OnMade("1", At(now));
    }
  }
  return found;
}

using Time = std::optional<std::int64_t>;

} // namespace

TEST_CASE("A link that answered is silent 350 ms after a request")
{
  LinkSilence silence;
  silence.OnMade("1", At(0));
  silence.OnRequest("1", At(0));
  silence.OnHeard("1", At(3));
  silence.OnReplyTime("1", Millis(3));
  silence.OnRequest("1", At(1000));
  silence.OnRequest("1", At(1300)); // the first one counts
  CHECK(silence.TakeSilent(At(1349)).empty());
  REQUIRE(silence.NextLook());
  CHECK(*silence.NextLook() <= At(1350));
  const auto silent = silence.TakeSilent(At(1350));
  REQUIRE(silent.contains("1"));
  CHECK(silent.at("1") == Millis(350));
}

TEST_CASE("All links that go silent at one moment are found within 350 ms")
{
  LinkSilence silence;
  constexpr int kLinks = 60;
  for (int i = 0; i < kLinks; ++i) {
    const auto route = std::to_string(i);
    silence.OnMade(route, At(0));
    silence.OnRequest(route, At(0));
    silence.OnHeard(route, At(5));
    silence.OnReplyTime(route, Millis(5));
    silence.OnRequest(route, At(1000 + i));
  }
  std::size_t found = 0;
  for (std::int64_t now = 1000; now <= 1000 + kLinks + 350; ++now) {
    for (const auto& [route, time] : silence.TakeSilent(At(now))) {
      ++found;
      CHECK(time <= Millis(350));
      silence.OnClosed(route);
    }
  }
  CHECK(found == kLinks);
  CHECK(silence.TakeSilent(At(5000)).empty()); // all are closed
  CHECK_FALSE(silence.NextLook().has_value());
}

TEST_CASE("Lost packets and slow replies are not taken for silence")
{
  // Every fifth reply needs TCP to send again.
  CHECK(Replay(200, [](int aNumber) {
          return Time(aNumber % 5 == 4 ? 215 : 5);
        }) == 0);
  // A slow peer, or a far region, answers late to everything.
  CHECK(Replay(200, [](int) { return Time(330); }) == 0);
  // One that becomes slower bit by bit.
  CHECK(Replay(200, [](int aNumber) { return Time(5 + aNumber * 4); }) == 0);
}

TEST_CASE("A link over which nothing comes is replaced again and again")
{
  const auto never = [](int aNumber) {
    return aNumber == 0 ? Time(5) : Time();
  };
  const int found = Replay(200, never);
  // After the first time it has never answered, and has 3 s each time.
  CHECK(found > 40);
  CHECK(found < 70);
}

TEST_CASE("A link that nobody has answered over yet has 3 s")
{
  LinkSilence silence;
  silence.OnMade("1", At(0));
  silence.OnRequest("1", At(10));
  CHECK(silence.TakeSilent(At(2999)).empty());
  CHECK(silence.TakeSilent(At(3000)).contains("1"));
  // Made long ago, for messages without a reply: the request has its time.
  silence.OnMade("2", At(0));
  silence.OnRequest("2", At(10'000));
  CHECK(silence.TakeSilent(At(10'349)).empty());
  CHECK(silence.TakeSilent(At(10'350)).contains("2"));
}

TEST_CASE("A link is quiet when it has carried replies, but none of late")
{
  LinkSilence silence;
  silence.OnMade("1", At(0));
  CHECK_FALSE(silence.IsQuiet("1", At(5000)));
  silence.OnHeard("1", At(5000));
  CHECK_FALSE(silence.IsQuiet("1", At(6000)));
  CHECK(silence.IsQuiet("1", At(6001)));
  CHECK(silence.SinceHeard("1", At(5500)) == Millis(500));
}
