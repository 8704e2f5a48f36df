#include "porttiller/control/ControlCodec.h"

#include <algorithm>
#include <cstdlib>

namespace porttiller {

namespace {

// Plausible number of requests of one workspace between two reports.
constexpr std::int64_t kMaxUses = 1'000'000;
constexpr double kPermille = 1000.0;
constexpr int kMaxCrashEvents = 64; // of one record

} // namespace

void
EncodeMembers(const std::vector<MemberUpdate>& aUpdates,
              google::protobuf::RepeatedPtrField<wire::Member>& aMembers)
{
  for (const auto& update : aUpdates) {
    auto* member = aMembers.Add();
    member->set_box(update.mBox.Value());
    member->set_incarnation(update.mIncarnation.Value());
    member->set_refutation(update.mRefutation);
    member->set_state(static_cast<std::uint32_t>(update.mState));
  }
}

std::vector<MemberUpdate>
DecodeMembers(const google::protobuf::RepeatedPtrField<wire::Member>& aMembers)
{
  std::vector<MemberUpdate> updates;
  for (const auto& member : aMembers) {
    if (member.state() > static_cast<std::uint32_t>(MemberState::kDead)) {
      continue;
    }
    updates.push_back({ .mBox = BoxName(member.box()),
                        .mIncarnation = Incarnation(member.incarnation()),
                        .mRefutation = member.refutation(),
                        .mState = static_cast<MemberState>(member.state()) });
  }
  return updates;
}

wire::Delta
EncodeDelta(const ObjectDelta& aDelta)
{
  wire::Delta delta;
  delta.set_from(aDelta.mFrom);
  delta.set_to(aDelta.mTo);
  delta.set_full(aDelta.mFull);
  delta.set_of_document(aDelta.mOfDocument);
  for (const auto& object : aDelta.mObjects) {
    auto* item = delta.add_objects();
    item->set_kind(object.mKey.mKind);
    item->set_name(object.mKey.mName);
    item->set_version(object.mVersion);
    item->set_deleted(object.mDeleted);
    item->set_spec_json(object.mSpecJson);
  }
  return delta;
}

ObjectDelta
DecodeDelta(const wire::Delta& aDelta)
{
  ObjectDelta delta{ .mFrom = aDelta.from(),
                     .mTo = aDelta.to(),
                     .mFull = aDelta.full(),
                     .mOfDocument = aDelta.of_document() };
  for (const auto& item : aDelta.objects()) {
    delta.mObjects.push_back({ .mKey = { item.kind(), item.name() },
                               .mVersion = item.version(),
                               .mDeleted = item.deleted(),
                               .mSpecJson = item.spec_json() });
  }
  return delta;
}

wire::BoxRecords
EncodeRecords(const std::vector<BoxRecord>& aRecords)
{
  wire::BoxRecords message;
  for (const auto& record : aRecords) {
    message.add_records(ToJsonText(record));
  }
  return message;
}

BoxRecordList
DecodeRecords(const wire::BoxRecords& aMessage)
{
  BoxRecordList decoded;
  for (const auto& text : aMessage.records()) {
    if (auto record = ParseBoxRecord(text)) {
      decoded.mRecords.push_back(std::move(*record));
    } else {
      decoded.mUnreadable.push_back({ .mKind = kBoxRecordKind,
                                      .mReason = UnreadableReason::kMessage,
                                      .mDetail = ToText(record.error()) });
    }
  }
  return decoded;
}

void
EncodeVersions(const std::vector<RecordVersion>& aVersions,
               google::protobuf::RepeatedPtrField<wire::RecordVersion>& aHeld)
{
  for (const auto& version : aVersions) {
    auto* held = aHeld.Add();
    held->set_box(version.mBox.Value());
    held->set_revision(version.mRevision);
  }
}

std::vector<RecordVersion>
DecodeVersions(
  const google::protobuf::RepeatedPtrField<wire::RecordVersion>& aHeld)
{
  std::vector<RecordVersion> versions;
  for (const auto& held : aHeld) {
    versions.push_back(
      { .mBox = BoxName(held.box()), .mRevision = held.revision() });
  }
  return versions;
}

void
EncodeUses(const WorkspaceUses& aUses, wire::WorkspaceReport& aReport)
{
  for (const auto& use : aUses) {
    auto* item = aReport.add_uses();
    item->set_workspace(use.mWorkspace.Value());
    for (const auto offered : use.mOffered) {
      item->add_offered(offered);
    }
    item->set_admitted(use.mAdmitted);
  }
}

WorkspaceUses
DecodeUses(const wire::WorkspaceReport& aReport)
{
  WorkspaceUses uses;
  for (const auto& item : aReport.uses()) {
    WorkspaceUse use{ .mWorkspace = WorkspaceName(item.workspace()),
                      .mAdmitted = item.admitted() };
    bool plausible = item.offered_size() == kPriorityCount &&
                     std::abs(std::int64_t{ use.mAdmitted }) <= kMaxUses;
    for (int i = 0; i < item.offered_size() && plausible; ++i) {
      use.mOffered.at(static_cast<std::size_t>(i)) = item.offered(i);
      plausible = item.offered(i) <= kMaxUses;
    }
    if (plausible) {
      uses.push_back(std::move(use));
    }
  }
  return uses;
}

void
EncodeGrants(const WorkspaceGrants& aGrants, wire::WorkspaceGrants& aMessage)
{
  for (const auto& grant : aGrants) {
    auto* item = aMessage.add_grants();
    item->set_workspace(grant.mWorkspace.Value());
    for (const auto share : grant.mShares) {
      item->add_permille(
        static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * kPermille));
    }
  }
}

WorkspaceGrants
DecodeGrants(const wire::WorkspaceGrants& aMessage)
{
  WorkspaceGrants grants;
  for (const auto& item : aMessage.grants()) {
    if (item.permille_size() != kPriorityCount) {
      continue;
    }
    WorkspaceGrant grant{ .mWorkspace = WorkspaceName(item.workspace()) };
    for (int i = 0; i < kPriorityCount; ++i) {
      grant.mShares.at(static_cast<std::size_t>(i)) =
        std::min(1.0, item.permille(i) / kPermille);
    }
    grants.push_back(std::move(grant));
  }
  return grants;
}

wire::CrashReport
EncodeCrashRecords(const std::vector<CrashRecord>& aRecords, TimePoint aNow)
{
  wire::CrashReport report;
  for (const auto& record : aRecords) {
    auto* item = report.add_records();
    item->set_digest_high(record.mDigest.High());
    item->set_digest_low(record.mDigest.Low());
    for (const auto& event : record.mEvents) {
      const auto age =
        std::chrono::duration_cast<Millis>(aNow - event.mAt).count();
      auto* crash = item->add_events();
      crash->set_id(event.mId);
      crash->set_age_ms(
        static_cast<std::uint64_t>(std::max<Millis::rep>(0, age)));
      crash->set_after_crash(event.mAfterCrash);
      crash->set_cleared(event.mCleared);
    }
  }
  return report;
}

std::vector<CrashRecord>
DecodeCrashRecords(const wire::CrashReport& aReport, TimePoint aNow)
{
  std::vector<CrashRecord> records;
  for (const auto& item : aReport.records()) {
    CrashRecord record{ .mDigest = RequestDigest(item.digest_high(),
                                                 item.digest_low()) };
    if (record.mDigest.Empty() || item.events_size() > kMaxCrashEvents) {
      continue;
    }
    for (const auto& event : item.events()) {
      const auto age = std::min<std::uint64_t>(
        event.age_ms(), static_cast<std::uint64_t>(kMaxCrashAge.count()));
      record.mEvents.push_back({ .mId = event.id(),
                                 .mAt = aNow - Millis(age),
                                 .mAfterCrash = event.after_crash(),
                                 .mCleared = event.cleared() });
    }
    records.push_back(std::move(record));
  }
  return records;
}

} // namespace porttiller
