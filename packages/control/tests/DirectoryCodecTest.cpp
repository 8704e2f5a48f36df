#include "porttiller/control/DirectoryCodec.h"

#include "Mutate.h"
#include "porttiller/config/Directory.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

BoxRecord
Record(int aBox, std::uint64_t aRevision)
{
  BoxRecord record{ .mIncarnation = Incarnation(5), .mRevision = aRevision };
  record.mBox = { .mName = BoxName("box-" + std::to_string(aBox)),
                  .mZone = AvailabilityZone("z"),
                  .mHomeAddress = "10.0.0.1:1",
                  .mControlAddress = "10.0.0.1:2" };
  return record;
}

struct ExchangeCost
{
  std::size_t mBytes = 0;
  int mMessages = 0;
};

// Bytes of all messages of an exchange between two directories of aBoxes
// records, of which each has aNewer that are newer than the other's.
ExchangeCost
CostOf(int aBoxes, int aNewer)
{
  Directory left;
  Directory right;
  for (int box = 0; box < aBoxes; ++box) {
    left.Merge(Record(box, 1));
    right.Merge(Record(box, 1));
  }
  for (int i = 0; i < aNewer; ++i) {
    left.Merge(Record(2 * i, 2));
    right.Merge(Record(2 * i + 1, 2));
  }
  ExchangeCost cost;
  auto message = left.BeginExchange();
  for (bool toRight = true; message.NeedsAnswer() || !message.mRecords.empty();
       toRight = !toRight) {
    const auto encoded = EncodeExchange(message);
    cost.mBytes += encoded.ByteSizeLong();
    ++cost.mMessages;
    auto& receiver = toRight ? right : left;
    const auto received = DecodeExchange(encoded).mExchange;
    for (const auto& record : received.mRecords) {
      receiver.Merge(record);
    }
    message = receiver.Answer(received);
  }
  CHECK(left.Digest() == right.Digest());
  return cost;
}

} // namespace

TEST_CASE("An exchange costs what differs, whatever the size of the fleet")
{
  for (const int newer : { 1, 5, 20 }) {
    CAPTURE(newer);
    const auto small = CostOf(500, newer);
    const auto thousand = CostOf(1000, newer);
    const auto twice = CostOf(2000, newer);
    // At most one more level of the tree for each record that differs.
    const auto perLevel =
      static_cast<std::size_t>(2 * newer) * HashRange::kParts * 12;
    CHECK(thousand.mBytes <= small.mBytes + perLevel);
    CHECK(twice.mBytes <= thousand.mBytes + perLevel);
    CHECK(twice.mMessages <= 7);
  }
  CHECK(CostOf(2000, 1).mBytes < 3000);
}

TEST_CASE("DecodeExchange restores an encoded exchange")
{
  const DirectoryExchange exchange{
    .mNodes = { { .mRange = { .mFirst = 5ULL << 60U, .mBits = 4 },
                  .mParts = { 1, 2, 3 } } },
    .mListed = { { .mFirst = 0, .mBits = 8 } },
    .mHeld = { { .mBox = BoxName("a"), .mRevision = 7 } },
    .mWanted = { BoxName("b") },
    .mRecords = { Record(1, 3) }
  };
  CHECK(DecodeExchange(EncodeExchange(exchange)).mExchange == exchange);
}

TEST_CASE("An unreadable record of an exchange is reported, and a node with a "
          "wrong number of parts skipped")
{
  auto message = EncodeExchange({ .mRecords = { Record(1, 3) } });
  message.add_records("{}");
  message.add_nodes()->add_children(1);
  const auto decoded = DecodeExchange(message);
  CHECK(decoded.mExchange.mRecords == std::vector<BoxRecord>{ Record(1, 3) });
  CHECK(decoded.mExchange.mNodes.empty());
  CHECK(decoded.mUnreadable.size() == 1);
}

TEST_CASE("Mutated exchanges are answered without harm")
{
  Directory directory;
  for (int box = 0; box < 50; ++box) {
    directory.Merge(Record(box, 1));
  }
  auto exchange = directory.BeginExchange();
  exchange.mListed.push_back({});
  const auto text = EncodeExchange(exchange).SerializeAsString();
  const bool ok = rc::check([&] {
    wire::DirectoryExchange read;
    if (read.ParseFromString(Mutated(text))) {
      const auto answer = directory.Answer(DecodeExchange(read).mExchange);
      RC_ASSERT(answer.mRecords.size() <= 16 * directory.Size());
    }
  });
  CHECK(ok);
}
