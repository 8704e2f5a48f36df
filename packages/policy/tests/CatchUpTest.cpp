#include "porttiller/policy/CatchUp.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace porttiller;

using Peers = std::vector<std::string>;

TEST_CASE("A revision announced during a request is asked for afterwards")
{
  CatchUp catchUp;
  catchUp.OnAnnounced("a", 5);
  REQUIRE(catchUp.Next(1) == Peers{ "a" });
  catchUp.OnAnnounced("a", 6);
  CHECK(catchUp.Next(1).empty());
  catchUp.OnEnded("a", true, 5);
  CHECK(catchUp.Next(5) == Peers{ "a" });
  catchUp.OnEnded("a", true, 6);
  CHECK(catchUp.Next(6).empty());
}

TEST_CASE("A revision is asked for again if its delta no longer applies")
{
  CatchUp catchUp;
  catchUp.OnAnnounced("a", 5);
  catchUp.OnAnnounced("b", 6);
  REQUIRE(catchUp.Next(1) == Peers{ "b", "a" });
  catchUp.OnEnded("a", true, 5);
  // The delta of b starts at revision 1 and does not apply.
  catchUp.OnEnded("b", true, 5);
  CHECK(catchUp.Next(5) == Peers{ "b" });
}

TEST_CASE("A peer that does not answer does not keep others from being asked")
{
  CatchUp catchUp({ .mMaxPending = 2 });
  catchUp.OnAnnounced("silent", 9);
  catchUp.OnAnnounced("a", 5);
  catchUp.OnAnnounced("b", 4);
  CHECK(catchUp.Next(1) == Peers{ "silent", "a" });
  CHECK(catchUp.Next(1).empty());
  catchUp.OnEnded("silent", false, 1);
  CHECK(catchUp.Next(1) == Peers{ "b" });
}

TEST_CASE("A peer whose answers make no progress is not asked forever")
{
  CatchUp catchUp;
  catchUp.OnAnnounced("a", 5);
  int asked = 0;
  while (!catchUp.Next(1).empty()) {
    ++asked;
    catchUp.OnEnded("a", true, 1);
  }
  CHECK(asked == 2);
}

TEST_CASE(
  "Of many peers that are ahead, those with the newest revisions are kept")
{
  CatchUp catchUp({ .mMaxPending = 2, .mMaxCandidates = 2 });
  for (std::uint64_t i = 1; i <= 100; ++i) {
    catchUp.OnAnnounced(std::to_string(i), i);
  }
  CHECK(catchUp.Newest() == 100);
  CHECK(catchUp.Next(0) == Peers{ "100", "99" });
}

TEST_CASE("A node catches up by its requests alone while changes go on")
{
  // Peers answer in any order, or not at all, with the revision that they held
  // when asked. A peer with the newest revision announces it until it is asked,
  // as probes do.
  rc::check([] {
    struct Request
    {
      std::string mPeer;
      std::uint64_t mFrom = 0;
      std::uint64_t mTo = 0;
    };
    CatchUp catchUp;
    std::uint64_t newest = 1;
    std::uint64_t held = 1;
    std::vector<Request> pending;
    const auto sendRequests = [&] {
      for (const auto& peer : catchUp.Next(held)) {
        pending.push_back({ peer, held, newest });
      }
    };
    const auto answer = [&](std::size_t aIndex, bool aAnswered) {
      const auto request = pending[aIndex];
      pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(aIndex));
      // A delta applies only to the revision that it starts at.
      if (aAnswered && request.mFrom == held) {
        held = request.mTo;
      }
      catchUp.OnEnded(request.mPeer, aAnswered, held);
      sendRequests();
    };
    for (const auto step :
         *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 8))) {
      if (step < 4) {
        catchUp.OnAnnounced("peer-" + std::to_string(step), ++newest);
        sendRequests();
      } else if (!pending.empty()) {
        answer(static_cast<std::size_t>(step) % pending.size(), step != 7);
      }
    }
    catchUp.OnAnnounced("peer-0", newest);
    sendRequests();
    while (!pending.empty()) {
      answer(0, true);
    }
    RC_ASSERT(held == newest);
  });
}
