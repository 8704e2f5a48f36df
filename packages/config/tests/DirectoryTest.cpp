#include "porttiller/config/Directory.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

BoxRecord
Record(const std::string& aBox, std::uint64_t aRevision)
{
  BoxRecord record{ .mIncarnation = Incarnation(5), .mRevision = aRevision };
  record.mBox = { .mName = BoxName(aBox),
                  .mZone = AvailabilityZone("z"),
                  .mHomeAddress = "10.0.0.1:1",
                  .mControlAddress = "10.0.0.1:2" };
  return record;
}

} // namespace

TEST_CASE("A record survives its text, and a broken text says what is wrong")
{
  auto record = Record("b", 18'000'000'000'000'000'000U);
  record.mBox.mState = BoxState::kLeaving;
  record.mServer =
    ServerRecord{ .mIncarnation = ServerIncarnation(BackendServerName("i")),
                  .mService = ServiceName("s"),
                  .mAddress = "10.0.0.1:3",
                  .mSlots = 4,
                  .mState = ServerState::kDraining,
                  .mSequence = 12 };
  const auto text = ToJsonText(record);
  const auto read = ParseBoxRecord(text);
  REQUIRE(read);
  CHECK(*read == record);
  record.mServer->mIncarnation =
    ServerIncarnation(BackendServerName("i"), 1'700'000'000'123);
  CHECK(*ParseBoxRecord(ToJsonText(record)) == record);
  CHECK_FALSE(ParseBoxRecord("{}"));
  CHECK_FALSE(ParseBoxRecord("no"));
  auto broken = text;
  broken.replace(broken.find("draining"), 8, "sleeping");
  REQUIRE_FALSE(ParseBoxRecord(broken).has_value());
}

TEST_CASE("Directories that saw the same records agree, whatever the order")
{
  const bool ok = rc::check([] {
    Directory left;
    Directory right;
    std::vector<BoxRecord> records;
    const int count = Draw(1, 20);
    records.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      records.push_back(
        Record(std::string(1, static_cast<char>('a' + Draw(0, 4))),
               static_cast<std::uint64_t>(Draw(1, 9))));
    }
    for (const auto& record : records) {
      left.Merge(record);
    }
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
      right.Merge(*it);
      right.Merge(*it);
    }
    RC_ASSERT(left.Digest() == right.Digest());
    RC_ASSERT(left.Versions() == right.Versions());
  });
  CHECK(ok);
}

TEST_CASE("Two directories find out what each lacks")
{
  Directory mine;
  Directory theirs;
  mine.Merge(Record("a", 2));
  mine.Merge(Record("b", 1));
  theirs.Merge(Record("a", 1));
  theirs.Merge(Record("c", 1));
  CHECK(mine.LacksAnyOf(theirs.Versions()));
  const auto news = mine.NewerThan(theirs.Versions());
  REQUIRE(news.size() == 2);
  for (const auto& record : news) {
    theirs.Merge(record);
  }
  CHECK_FALSE(theirs.LacksAnyOf(mine.Versions()));
  CHECK(theirs.Digest() != mine.Digest());
  for (const auto& record : theirs.NewerThan(mine.Versions())) {
    mine.Merge(record);
  }
  CHECK(theirs.Digest() == mine.Digest());
}

TEST_CASE("An address belongs to the newest life that claims it")
{
  // Found on the grown fleets: the record of a box that was gone for good kept
  // sending requests to the box that had its address, 12,000 in a day.
  Directory directory;
  auto gone = Record("gone", 9);
  directory.Merge(gone);
  auto other = Record("other", 1);
  other.mBox.mHomeAddress = "10.0.0.2:1";
  directory.Merge(other);
  CHECK(directory.InUse().size() == 2);
  auto next = Record("next", 3);
  next.mIncarnation = Incarnation(6);
  directory.Merge(next);
  const auto used = directory.InUse();
  REQUIRE(used.size() == 2);
  CHECK(used[0].mBox.mName == BoxName("next"));
  CHECK(used[1].mBox.mName == BoxName("other"));
  CHECK(directory.Size() == 3); // peers must still agree on what they hold
}
