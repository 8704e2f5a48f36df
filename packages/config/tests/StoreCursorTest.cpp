#include "porttiller/config/StoreCursor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace porttiller;

namespace {

const tl::expected<void, ApplyError> kNoError;

Object
Service(std::uint64_t aVersion)
{
  return { .mKey = { "Service", "s" },
           .mVersion = aVersion,
           .mSpecJson = std::to_string(aVersion) };
}

// Changes of a store whose odd revisions change the configuration and whose
// even revisions change other objects.
ObjectDelta
ChangesAfter(std::uint64_t aFrom, std::uint64_t aRevision)
{
  ObjectDelta delta{ .mFrom = aFrom, .mTo = aRevision, .mCursor = aRevision };
  const auto newest = aRevision % 2 == 1 ? aRevision : aRevision - 1;
  if (newest > aFrom) {
    delta.mObjects.push_back(Service(newest));
  }
  return delta;
}

ObjectDelta
Whole(std::uint64_t aRevision)
{
  auto whole = ChangesAfter(0, aRevision);
  whole.mFull = true;
  return whole;
}

// Processes an answer of the store as a node does.
void
Take(StoreCursor& aCursor,
     ObjectSet& aSet,
     std::uint64_t aHeld,
     ObjectDelta aAnswer)
{
  const auto delta = StoreCursor::RebasedOn(aHeld, std::move(aAnswer));
  tl::expected<void, ApplyError> result;
  if (!delta.mObjects.empty() || delta.mFull) {
    if (const auto applied = aSet.Apply(delta); !applied) {
      result = tl::make_unexpected(applied.error());
    }
  }
  aCursor.OnRead(delta, result);
}

} // namespace

TEST_CASE("An empty set requires the complete list")
{
  CHECK_FALSE(StoreCursor().From(0).has_value());
  CHECK(StoreCursor().From(7) == 7);
}

TEST_CASE("A change after writes of other kinds applies to the set")
{
  StoreCursor cursor;
  ObjectSet set;
  Take(cursor, set, 0, Whole(7));
  Take(cursor, set, 7, ChangesAfter(7, 8));
  CHECK(set.Revision() == 7);
  CHECK(cursor.From(set.Revision()) == 8);
  Take(cursor, set, 7, ChangesAfter(8, 9));
  CHECK(set.Revision() == 9);
}

TEST_CASE(
  "A rejected delta does not advance the cursor and requires the full list")
{
  StoreCursor cursor;
  cursor.OnRead({ .mCursor = 5 }, kNoError);
  cursor.OnRead({ .mCursor = 9 }, tl::make_unexpected(ApplyError::kGap));
  CHECK_FALSE(cursor.From(5).has_value());
  CHECK(cursor.Read() == 5);
  cursor.OnRead(Whole(9), kNoError);
  CHECK(cursor.From(9) == 9);
}

TEST_CASE("A set advanced by the store and by peers matches the store")
{
  rc::check([] {
    StoreCursor cursor;
    ObjectSet set;
    std::uint64_t revision = 1;
    for (const auto step :
         *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 4))) {
      if (step < 2) {
        ++revision; // a write
      } else if (step == 2) {
        // The set of a peer, which may be behind or ahead.
        const auto at = *rc::gen::inRange<std::uint64_t>(1, revision + 1);
        static_cast<void>(set.Apply(Whole(at)));
      } else {
        const auto held = set.Revision();
        const auto from = cursor.From(held);
        Take(cursor,
             set,
             held,
             from ? ChangesAfter(*from, revision) : Whole(revision));
        const auto* service = set.Find({ "Service", "s" });
        RC_ASSERT(service != nullptr);
        RC_ASSERT(service->mVersion ==
                  (revision % 2 == 1 ? revision : revision - 1));
      }
    }
  });
}
