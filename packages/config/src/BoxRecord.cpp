#include "porttiller/config/BoxRecord.h"

#include "porttiller/config/JsonText.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>
#include <tuple>

namespace porttiller {

namespace {

constexpr const char* kSpareSuffix = "~1";
constexpr std::array kStates = { "ready", "draining", "left" };
// Leaves the box 2^32 further revisions for its own changes.
constexpr std::uint64_t kMaxRevision =
  std::numeric_limits<std::uint64_t>::max() - (std::uint64_t{ 1 } << 32);
constexpr IntegerRange kSlots{ .mMin = 1, .mMax = 100'000 };

std::optional<ServerState>
ParseState(const std::string& aText)
{
  for (std::size_t i = 0; i < kStates.size(); ++i) {
    if (aText == kStates.at(i)) {
      return static_cast<ServerState>(i);
    }
  }
  return std::nullopt;
}

// 64-bit numbers are strings, because JSON parsers may lose their precision.
std::uint64_t
ReadNumber(FieldReader& aReader, const std::string& aName)
{
  const auto number = ParseUnsigned(aReader.String(aName));
  if (!number) {
    aReader.Fail(aName, "must be a string with a decimal number");
  }
  return number.value_or(0);
}

std::int64_t
ReadStart(FieldReader& aReader)
{
  const auto start = ReadNumber(aReader, "start_ms");
  if (start > std::numeric_limits<std::int64_t>::max()) {
    aReader.Fail("start_ms", "is out of range");
    return 0;
  }
  return static_cast<std::int64_t>(start);
}

ServerRecord
ReadServer(FieldReader aReader)
{
  const BackendServerName id(aReader.String("id"));
  if (!id.Empty() && !IsToken(id.Value())) {
    aReader.Fail("id", "must be printable ASCII without spaces");
  }
  // Absent if the server does not report it.
  const auto start =
    aReader.Has("start_ms") ? std::optional(ReadStart(aReader)) : std::nullopt;
  ServerRecord server{ .mIncarnation = ServerIncarnation(id, start) };
  server.mService = ServiceName(aReader.String("service"));
  server.mAddress = aReader.Endpoint("address");
  server.mSlots = static_cast<int>(aReader.Integer("slots", kSlots));
  const auto state = ParseState(aReader.String("state"));
  if (!state) {
    aReader.Fail("state", "must be \"ready\", \"draining\" or \"left\"");
  }
  server.mState = state.value_or(ServerState::kReady);
  server.mSequence = ReadNumber(aReader, "sequence");
  if (aReader.Has("reinstatements")) {
    server.mReinstatements = ReadNumber(aReader, "reinstatements");
  }
  return server;
}

} // namespace

const char*
ToText(ServerState aState)
{
  return kStates.at(static_cast<std::size_t>(aState));
}

ServerRecord
JoinStates(ServerRecord aRecord, const ServerRecord& aOther)
{
  assert(aRecord.mIncarnation == aOther.mIncarnation);
  if (std::tie(aRecord.mReinstatements, aRecord.mState) <
      std::tie(aOther.mReinstatements, aOther.mState)) {
    aRecord.mReinstatements = aOther.mReinstatements;
    aRecord.mState = aOther.mState;
  }
  aRecord.mSequence = std::max(aRecord.mSequence, aOther.mSequence);
  return aRecord;
}

BoxRecord
Join(const BoxRecord& aLeft, const BoxRecord& aRight)
{
  if (aLeft == aRight) {
    return aLeft;
  }
  const bool sameRevision = aLeft.mRevision == aRight.mRevision;
  const bool rightIsNewer = sameRevision
                              ? ToJsonText(aLeft) < ToJsonText(aRight)
                              : aLeft.mRevision < aRight.mRevision;
  const auto& newer = rightIsNewer ? aRight : aLeft;
  const auto& older = rightIsNewer ? aLeft : aRight;
  auto joined = newer;
  const auto& held = older.mServer;
  if (held && held->mState != ServerState::kReady) {
    if (!newer.mServer) {
      joined.mServer = held;
    } else if (newer.mServer->mIncarnation == held->mIncarnation) {
      const auto states = JoinStates(*newer.mServer, *held);
      if (states.mState != newer.mServer->mState) {
        joined.mServer = states;
      }
    }
  }
  if (joined != newer || sameRevision) {
    ++joined.mRevision;
  }
  return joined;
}

BackendServerSpec
SpecOf(const BoxRecord& aRecord)
{
  assert(aRecord.mServer);
  const auto& server = *aRecord.mServer;
  return { .mName = server.mIncarnation.Id(),
           .mService = server.mService,
           .mBox = aRecord.mBox.mName,
           .mAddress = server.mAddress,
           .mSlots = server.mSlots,
           .mConnections = server.mSlots,
           .mLeaving = server.mState != ServerState::kReady,
           .mStartMs = server.mIncarnation.StartMs() };
}

std::string
ToJsonText(const BoxRecord& aRecord)
{
  Poco::JSON::Object document;
  document.set("box", aRecord.mBox.mName.Value());
  document.set("zone", aRecord.mBox.mZone.Value());
  document.set("home", aRecord.mBox.mHomeAddress);
  document.set("control", aRecord.mBox.mControlAddress);
  document.set("leaving", aRecord.mBox.mState == BoxState::kLeaving);
  document.set("incarnation", std::to_string(aRecord.mIncarnation.Value()));
  document.set("revision", std::to_string(aRecord.mRevision));
  if (aRecord.mServer) {
    Poco::JSON::Object server;
    const auto& incarnation = aRecord.mServer->mIncarnation;
    server.set("id", incarnation.Id().Value());
    if (incarnation.StartMs()) {
      server.set("start_ms", std::to_string(*incarnation.StartMs()));
    }
    server.set("service", aRecord.mServer->mService.Value());
    server.set("address", aRecord.mServer->mAddress);
    server.set("slots", aRecord.mServer->mSlots);
    server.set("state", ToText(aRecord.mServer->mState));
    server.set("sequence", std::to_string(aRecord.mServer->mSequence));
    if (aRecord.mServer->mReinstatements > 0) {
      server.set("reinstatements",
                 std::to_string(aRecord.mServer->mReinstatements));
    }
    document.set("server", server);
  }
  return ToJsonText(document);
}

ObjectKey
BoxRecordKey(const BoxName& aBox, BoxRecordPlace aPlace)
{
  return { kBoxRecordKind,
           aBox.Value() +
             (aPlace == BoxRecordPlace::kSpare ? kSpareSuffix : "") };
}

tl::expected<BoxRecord, UnreadableObject>
ReadBoxRecord(const Object& aObject)
{
  UnreadableObject unreadable{ .mKind = aObject.mKey.mKind,
                               .mName = aObject.mKey.mName,
                               .mVersion = aObject.mVersion,
                               .mReason = UnreadableReason::kSpec };
  auto record = ParseBoxRecord(aObject.mSpecJson);
  if (!record) {
    unreadable.mDetail = ToText(record.error());
    return tl::make_unexpected(std::move(unreadable));
  }
  const auto& box = record->mBox.mName;
  if (aObject.mKey != BoxRecordKey(box, BoxRecordPlace::kUsual) &&
      aObject.mKey != BoxRecordKey(box, BoxRecordPlace::kSpare)) {
    unreadable.mReason = UnreadableReason::kOwner;
    unreadable.mDetail = "the contents belong to box " + box.Value();
    return tl::make_unexpected(std::move(unreadable));
  }
  return *record;
}

BoxRecordList
ReadBoxRecords(const ObjectDelta& aList)
{
  BoxRecordList list{ .mUnreadable = aList.mUnreadable };
  list.mRecords.reserve(aList.mObjects.size());
  for (const auto& object : aList.mObjects) {
    if (auto record = ReadBoxRecord(object)) {
      list.mRecords.push_back(std::move(*record));
    } else {
      list.mUnreadable.push_back(std::move(record.error()));
    }
  }
  return list;
}

tl::expected<BoxRecord, FieldErrors>
ParseBoxRecord(const std::string& aText)
{
  auto document = ParseJsonObject(aText);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  FieldErrors errors;
  FieldReader reader(*document, "record", errors);
  BoxRecord record;
  record.mBox.mName = BoxName(reader.String("box"));
  record.mBox.mZone = AvailabilityZone(reader.String("zone"));
  record.mBox.mHomeAddress = reader.Endpoint("home");
  record.mBox.mControlAddress = reader.Endpoint("control");
  if (reader.OptionalBool("leaving").value_or(false)) {
    record.mBox.mState = BoxState::kLeaving;
  }
  record.mIncarnation = Incarnation(ReadNumber(reader, "incarnation"));
  record.mRevision = ReadNumber(reader, "revision");
  if (record.mRevision > kMaxRevision) {
    reader.Fail("revision", "is too high for the box to increment it");
  }
  if (reader.Has("server")) {
    record.mServer = ReadServer(reader.Child("server"));
  }
  // Unknown keys are ignored, because later versions may add keys.
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return record;
}

} // namespace porttiller
