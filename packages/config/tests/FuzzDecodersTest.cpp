// Fuzz tests: decoders of records, objects and settings must not throw.
#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/JsonText.h"
#include "porttiller/config/Settings.h"

#include "Mutate.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const std::string kRecord =
  R"({"box":"b","zone":"z","home":"10.0.0.1:1","control":"10.0.0.1:2",
  "leaving":false,"incarnation":"7","revision":"9","server":{"id":"i-1",
  "start_ms":"1764753600123","service":"s","address":"10.0.0.1:3","slots":4,
  "state":"ready","sequence":"12"}})";
const std::string kRoute =
  R"({"path_prefix":"/a","methods":["GET"],"split":[{"service":"s","weight":2}],
  "priority":"critical","timeout_ms":100,"max_attempts":3})";
const std::string kSettings =
  R"({ "box": "box-a", "zone": "z", "platform_address": "127.0.0.1:7000",
  "retries": { "share": 0.2, "burst": 25.2 }, "timing": { "grace_s": 6 } })";

} // namespace

TEST_CASE("Decoders accept or reject mutated text without exceptions")
{
  const bool ok = rc::check([] {
    const auto record = ParseBoxRecord(Mutated(kRecord));
    if (record && record->mServer) {
      RC_ASSERT(IsToken(record->mServer->mIncarnation.Id().Value()));
    }
    ParseResource(kRouteKind, "r", Mutated(kRoute));
    ParseResource(kServiceKind, "s", Mutated(R"({"floor_slots":9})"));
    ParseResource(kLimitsKind, "callers", Mutated(R"({"max_body_bytes":9})"));
    ParseSettings(Mutated(kSettings));
  });
  CHECK(ok);
}

TEST_CASE("ReadBoxRecord rejects a record under the name of another box")
{
  const Object own{ .mKey = { kBoxRecordKind, "b" }, .mSpecJson = kRecord };
  CHECK(ReadBoxRecord(own));
  const auto spare = BoxRecordKey(BoxName("b"), BoxRecordPlace::kSpare);
  CHECK(ReadBoxRecord({ .mKey = spare, .mSpecJson = kRecord }));
  const auto copied =
    ReadBoxRecord({ .mKey = { kBoxRecordKind, "c" }, .mSpecJson = kRecord });
  REQUIRE_FALSE(copied);
  CHECK(copied.error().mReason == UnreadableReason::kOwner);
  const auto broken =
    ReadBoxRecord({ .mKey = own.mKey, .mVersion = 3, .mSpecJson = "{}" });
  REQUIRE_FALSE(broken);
  CHECK(broken.error().mReason == UnreadableReason::kSpec);
  CHECK(broken.error().mVersion == 3);
}

TEST_CASE("A record whose revision its box cannot increment is rejected")
{
  auto text = kRecord;
  text.replace(text.find("\"9\""), 3, "\"18446744073709551615\"");
  CHECK_FALSE(ParseBoxRecord(text));
}
