// Converts policy and configuration values to control messages and back.
#pragma once

#include "porttiller/config/Directory.h"
#include "porttiller/config/ObjectSet.h"
#include "porttiller/policy/CrashTable.h"
#include "porttiller/policy/Membership.h"
#include "porttiller/policy/RequestLimit.h"

#include <porttiller.pb.h>

#include <vector>

namespace porttiller {

void
EncodeMembers(const std::vector<MemberUpdate>& aUpdates,
              google::protobuf::RepeatedPtrField<wire::Member>& aMembers);

// Skips members with an unknown state.
std::vector<MemberUpdate>
DecodeMembers(const google::protobuf::RepeatedPtrField<wire::Member>& aMembers);

wire::Delta
EncodeDelta(const ObjectDelta& aDelta);

ObjectDelta
DecodeDelta(const wire::Delta& aDelta);

wire::BoxRecords
EncodeRecords(const std::vector<BoxRecord>& aRecords);

// Records that cannot be parsed are listed as unreadable.
BoxRecordList
DecodeRecords(const wire::BoxRecords& aMessage);

void
EncodeVersions(const std::vector<RecordVersion>& aVersions,
               google::protobuf::RepeatedPtrField<wire::RecordVersion>& aHeld);

std::vector<RecordVersion>
DecodeVersions(
  const google::protobuf::RepeatedPtrField<wire::RecordVersion>& aHeld);

void
EncodeUses(const WorkspaceUses& aUses, wire::WorkspaceReport& aReport);

// Skips uses with implausibly large counts or a wrong number of priorities.
WorkspaceUses
DecodeUses(const wire::WorkspaceReport& aReport);

void
EncodeGrants(const WorkspaceGrants& aGrants, wire::WorkspaceGrants& aMessage);

// Skips grants without a share for each priority.
WorkspaceGrants
DecodeGrants(const wire::WorkspaceGrants& aMessage);

wire::CrashReport
EncodeCrashRecords(const std::vector<CrashRecord>& aRecords, TimePoint aNow);

// Skips records without a digest or with too many events.
std::vector<CrashRecord>
DecodeCrashRecords(const wire::CrashReport& aReport, TimePoint aNow);

} // namespace porttiller
