#include "porttiller/policy/CatchUp.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace porttiller;

using Peers = std::vector<std::string>;

TEST_CASE("What a peer announces while it is asked is asked for afterwards")
{
  CatchUp catchUp;
  catchUp.OnHeard("a", 5);
  REQUIRE(catchUp.Next(1) == Peers{ "a" });
  catchUp.OnHeard("a", 6);
  CHECK(catchUp.Next(1).empty());
  catchUp.OnEnded("a", true, 5);
  CHECK(catchUp.Next(5) == Peers{ "a" });
  catchUp.OnEnded("a", true, 6);
  CHECK(catchUp.Next(6).empty());
}

TEST_CASE("A delta that another one has overtaken is asked for again")
{
  CatchUp catchUp;
  catchUp.OnHeard("a", 5);
  catchUp.OnHeard("b", 6);
  REQUIRE(catchUp.Next(1) == Peers{ "b", "a" });
  catchUp.OnEnded("a", true, 5);
  catchUp.OnEnded("b", true, 5); // it was of revision 1, and did not join
  CHECK(catchUp.Next(5) == Peers{ "b" });
}

TEST_CASE("A peer that does not answer keeps no other one from being asked")
{
  CatchUp catchUp({ .mMaxOpen = 2 });
  catchUp.OnHeard("silent", 9);
  catchUp.OnHeard("a", 5);
  catchUp.OnHeard("b", 4);
  CHECK(catchUp.Next(1) == Peers{ "silent", "a" });
  CHECK(catchUp.Next(1).empty());
  catchUp.OnEnded("silent", false, 1);
  CHECK(catchUp.Next(1) == Peers{ "b" });
}

TEST_CASE("A peer whose answers do not help is not asked for ever")
{
  CatchUp catchUp;
  catchUp.OnHeard("a", 5);
  int asked = 0;
  while (!catchUp.Next(1).empty()) {
    ++asked;
    catchUp.OnEnded("a", true, 1);
  }
  CHECK(asked == 2);
}

TEST_CASE("Of many peers that are ahead the furthest are remembered")
{
  CatchUp catchUp({ .mMaxOpen = 2, .mMaxKnown = 2 });
  for (std::uint64_t i = 1; i <= 100; ++i) {
    catchUp.OnHeard(std::to_string(i), i);
  }
  CHECK(catchUp.Newest() == 100);
  CHECK(catchUp.Next(0) == Peers{ "100", "99" });
}

TEST_CASE("A node catches up by questions alone while changes go on")
{
  // Peers answer with what they held when they were asked, in any order, some
  // not at all; one that holds the newest goes on announcing it until it has
  // been asked, as probes do.
  rc::check([] {
    struct Question
    {
      std::string mPeer;
      std::uint64_t mFrom = 0;
      std::uint64_t mTo = 0;
    };
    CatchUp catchUp;
    std::uint64_t newest = 1;
    std::uint64_t held = 1;
    std::vector<Question> open;
    const auto ask = [&] {
      for (const auto& peer : catchUp.Next(held)) {
        open.push_back({ peer, held, newest });
      }
    };
    const auto answer = [&](std::size_t aIndex, bool aAnswered) {
      const auto question = open[aIndex];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(aIndex));
      // A delta of a document joins only at the revision it was asked from.
      if (aAnswered && question.mFrom == held) {
        held = question.mTo;
      }
      catchUp.OnEnded(question.mPeer, aAnswered, held);
      ask();
    };
    for (const auto step :
         *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 8))) {
      if (step < 4) {
        catchUp.OnHeard("peer-" + std::to_string(step), ++newest);
        ask();
      } else if (!open.empty()) {
        answer(static_cast<std::size_t>(step) % open.size(), step != 7);
      }
    }
    catchUp.OnHeard("peer-0", newest);
    ask();
    while (!open.empty()) {
      answer(0, true);
    }
    RC_ASSERT(held == newest);
  });
}
