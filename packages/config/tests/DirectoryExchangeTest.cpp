#include "porttiller/config/Directory.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

BoxRecord
Record(int aBox, int aRevision)
{
  return { .mBox = { .mName = BoxName("box-" + std::to_string(aBox)) },
           .mIncarnation = Incarnation(1),
           .mRevision = static_cast<std::uint64_t>(aRevision) };
}

void
MergeAll(Directory& aDirectory, const std::vector<BoxRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    aDirectory.Merge(record);
  }
}

// Returns the number of messages until one is empty.
int
Exchange(Directory& aFirst, Directory& aSecond)
{
  int messages = 1;
  auto message = aFirst.BeginExchange();
  for (bool toSecond = true; message.NeedsAnswer() || !message.mRecords.empty();
       toSecond = !toSecond) {
    auto& receiver = toSecond ? aSecond : aFirst;
    // Records may be merged later than the message is answered.
    const auto answer = receiver.Answer(message);
    MergeAll(receiver, message.mRecords);
    message = answer;
    ++messages;
  }
  return messages;
}

} // namespace

TEST_CASE("After an exchange both directories hold the newest records of each")
{
  const bool ok = rc::check([] {
    Directory left;
    Directory right;
    Directory all;
    const int common = Draw(0, 400);
    for (int box = 0; box < common; ++box) {
      left.Merge(Record(box, 1));
      right.Merge(Record(box, 1));
      all.Merge(Record(box, 1));
    }
    const int changes = Draw(0, 40);
    for (int i = 0; i < changes; ++i) {
      const auto record = Record(Draw(0, 500), Draw(1, 5));
      (Draw(0, 1) == 0 ? left : right).Merge(record);
      all.Merge(record);
    }
    const int messages = Exchange(left, right);
    RC_ASSERT(left.Digest() == all.Digest());
    RC_ASSERT(right.Versions() == all.Versions());
    RC_ASSERT(messages <= 10);
  });
  CHECK(ok);
}

TEST_CASE("Directories that agree exchange one message and its answer")
{
  Directory left;
  Directory right;
  for (int box = 0; box < 1000; ++box) {
    left.Merge(Record(box, 1));
    right.Merge(Record(box, 1));
  }
  const auto first = left.BeginExchange();
  CHECK(first.mHeld.empty());
  CHECK(right.Answer(first) == DirectoryExchange{});
}

TEST_CASE("An empty directory gets all records with the first answer")
{
  Directory empty;
  Directory full;
  for (int box = 0; box < 1000; ++box) {
    full.Merge(Record(box, 1));
  }
  const auto answer = full.Answer(empty.BeginExchange());
  CHECK(answer.mRecords.size() == 1000);
  CHECK_FALSE(answer.NeedsAnswer());
}

TEST_CASE("Ranges that are not valid are ignored")
{
  Directory directory;
  directory.Merge(Record(1, 1));
  for (const auto& range : { HashRange{ .mFirst = 0, .mBits = 3 },
                             HashRange{ .mFirst = 0, .mBits = 64 },
                             HashRange{ .mFirst = 0, .mBits = 4'000'000'000U },
                             HashRange{ .mFirst = 1, .mBits = 4 } }) {
    CHECK_FALSE(range.IsValid());
    const auto answer = directory.Answer(
      { .mNodes = { { .mRange = range } }, .mListed = { range } });
    CHECK(answer == DirectoryExchange{});
  }
}
