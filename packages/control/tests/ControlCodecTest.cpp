#include "porttiller/control/ControlCodec.h"

#include "Mutate.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

BoxRecord
Record(const std::string& aBox)
{
  BoxRecord record{ .mIncarnation = Incarnation(7), .mRevision = 9 };
  record.mBox = { .mName = BoxName(aBox),
                  .mZone = AvailabilityZone("z"),
                  .mHomeAddress = "10.0.0.1:1",
                  .mControlAddress = "10.0.0.1:2" };
  record.mServer = ServerRecord{ .mIncarnation = ServerIncarnation(
                                   BackendServerName("i-" + aBox), 1000),
                                 .mService = ServiceName("s"),
                                 .mAddress = "10.0.0.1:3" };
  return record;
}

} // namespace

TEST_CASE("DecodeRecords returns valid records and reports unreadable ones")
{
  auto message = EncodeRecords({ Record("a"), Record("b") });
  message.add_records("{}");
  message.add_records(std::string("\xff\x00", 2));
  message.add_records(
    R"({"box":"c","zone":"z","home":"10.0.0.1:1","control":"10.0.0.1:2",)"
    R"("incarnation":"1","revision":"1","server":{"id":"i","service":"s",)"
    R"("address":"10.0.0.1:3","slots":9223372036854775808,"state":"ready",)"
    R"("sequence":"1"}})");
  const auto decoded = DecodeRecords(message);
  CHECK(decoded.mRecords == std::vector<BoxRecord>{ Record("a"), Record("b") });
  REQUIRE(decoded.mUnreadable.size() == 3);
  CHECK(decoded.mUnreadable[2].mReason == UnreadableReason::kMessage);
  CHECK(decoded.mUnreadable[2].mDetail.find("slots") != std::string::npos);
}

TEST_CASE("Mutated control messages do not affect valid records")
{
  wire::Envelope envelope;
  envelope.set_from_box("a");
  *envelope.mutable_box_records() = EncodeRecords({ Record("a") });
  const auto text = envelope.SerializeAsString();
  const bool ok = rc::check([&] {
    wire::Envelope read;
    if (read.ParseFromString(Mutated(text)) && read.has_box_records()) {
      DecodeRecords(read.box_records());
      DecodeVersions(read.box_records().held());
    }
    wire::BoxRecords records;
    records.add_records(Mutated(ToJsonText(Record("a"))));
    *records.add_records() = ToJsonText(Record("b"));
    const auto decoded = DecodeRecords(records);
    RC_ASSERT(!decoded.mRecords.empty());
    RC_ASSERT(decoded.mRecords.back() == Record("b"));
  });
  CHECK(ok);
}

TEST_CASE("Workspace uses and grants survive a round trip through the codec")
{
  const WorkspaceUses uses = {
    { .mWorkspace = WorkspaceName("a"),
      .mOffered = { 1, 2, 3 },
      .mAdmitted = 4 },
    { .mWorkspace = WorkspaceName("b"), .mOffered = {}, .mAdmitted = -1 }
  };
  wire::WorkspaceReport report;
  EncodeUses(uses, report);
  CHECK(DecodeUses(report) == uses);
  report.mutable_uses(0)->set_admitted(INT32_MIN);
  report.mutable_uses(1)->add_offered(1);
  CHECK(DecodeUses(report).empty());
  const WorkspaceGrants grants = { { .mWorkspace = WorkspaceName("a"),
                                     .mShares = { 1.0, 0.5, 0.25 } } };
  wire::WorkspaceGrants message;
  EncodeGrants(grants, message);
  CHECK(DecodeGrants(message) == grants);
  message.mutable_grants(0)->clear_permille();
  CHECK(DecodeGrants(message).empty());
}
