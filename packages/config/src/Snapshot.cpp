#include "porttiller/config/Snapshot.h"

#include <cassert>

namespace porttiller {

namespace {

// Adds a resource to a snapshot. Services must be added before the objects that
// refer to them. An object that refers to a missing service is reported and
// skipped.
class ResourceAdder
{
public:
  ResourceAdder(Snapshot& aSnapshot, const ObjectKey& aKey)
    : mSnapshot(aSnapshot)
    , mKey(aKey)
  {
  }

  void operator()(const ServiceSpec& aSpec) const
  {
    mSnapshot.mServices[aSpec.mName].mSpec = aSpec;
  }

  void operator()(const BoxSpec& aSpec) const
  {
    mSnapshot.mBoxes.emplace(aSpec.mName, aSpec);
  }

  void operator()(const BackendServerSpec& aSpec) const
  {
    const auto it = mSnapshot.mServices.find(aSpec.mService);
    if (it == mSnapshot.mServices.end()) {
      RejectMissingService();
      return;
    }
    it->second.mServers.push_back(aSpec);
  }

  void operator()(const RouteSpec& aSpec) const
  {
    for (const auto& target : aSpec.mTargets) {
      if (!mSnapshot.mServices.contains(target.mService)) {
        RejectMissingService();
        return;
      }
    }
    for (const auto& target : aSpec.mTargets) {
      auto& longest = mSnapshot.mServices[target.mService].mLongestTarget;
      longest = std::max(longest, aSpec.mTarget);
    }
    mSnapshot.mRoutes.Add(aSpec);
  }

  void operator()(const LimitsSpec& aSpec) const { mSnapshot.mLimits = aSpec; }

  // SnapshotBuilder keeps workspaces in a separate table.
  void operator()(const WorkspaceSpec&) const { assert(false); }

private:
  void RejectMissingService() const
  {
    mSnapshot.mRejections.push_back(
      { .mKey = mKey,
        .mVersion = 0,
        .mErrors = {
          { "spec.service", "refers to a service that is not in force" } } });
  }

  Snapshot& mSnapshot;
  const ObjectKey& mKey;
};

// Adds the box, and its server if the server's service is configured.
void
AddBoxRecord(Snapshot& aSnapshot, const BoxRecord& aRecord)
{
  const auto& box = aRecord.mBox;
  aSnapshot.mBoxes.insert_or_assign(box.mName, box);
  aSnapshot.mIncarnations[box.mName] = aRecord.mIncarnation;
  if (!aRecord.mServer) {
    return;
  }
  const auto it = aSnapshot.mServices.find(aRecord.mServer->mService);
  if (it != aSnapshot.mServices.end()) {
    it->second.mServers.push_back(SpecOf(aRecord));
  }
}

// Reports the workspaces that list an API key of another one. Such a key stays
// with its first holder.
void
AddKeyConflicts(Snapshot& aSnapshot)
{
  for (const auto& conflict : aSnapshot.mWorkspaces->Conflicts()) {
    aSnapshot.mRejections.push_back(
      { .mKey = { kWorkspaceKind, conflict.mOther.Value() },
        .mErrors = { { "spec.keys",
                       "one of them is held by workspace " +
                         conflict.mHolder.Value() } } });
  }
}

} // namespace

const ServiceEntry*
Snapshot::FindService(const ServiceName& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

const BoxSpec*
Snapshot::FindBox(const BoxName& aName) const
{
  const auto it = mBoxes.find(aName);
  return it == mBoxes.end() ? nullptr : &it->second;
}

void
SnapshotBuilder::Take(const ObjectSet& aObjects, const ObjectKey& aKey)
{
  const auto* object = aObjects.Find(aKey);
  if (object == nullptr) {
    mRejected.erase(aKey);
    mLastValid.erase(aKey);
  } else if (auto resource = Parse(*object)) {
    mLastValid.insert_or_assign(aKey, std::move(*resource));
  }
}

// Records a rejection and returns null if the object is invalid.
std::optional<Resource>
SnapshotBuilder::Parse(const Object& aObject)
{
  const auto& key = aObject.mKey;
  mRejected.erase(key);
  auto resource = ParseResource(key.mKind, key.mName, aObject.mSpecJson);
  if (resource) {
    return std::move(*resource);
  }
  mRejected[key] = { .mKey = key,
                     .mVersion = aObject.mVersion,
                     .mErrors = resource.error() };
  return std::nullopt;
}

void
SnapshotBuilder::TakeWorkspaces(const ObjectSet& aObjects,
                                const std::vector<ObjectKey>& aChanged)
{
  std::shared_ptr<WorkspaceTable> table;
  for (const auto& key : aChanged) {
    if (key.mKind != kWorkspaceKind) {
      continue;
    }
    if (!table) {
      table = std::make_shared<WorkspaceTable>(*mWorkspaces);
    }
    const auto* object = aObjects.Find(key);
    if (object == nullptr) {
      mRejected.erase(key);
      table->Remove(WorkspaceName(key.mName));
    } else if (const auto resource = Parse(*object)) {
      table->Put(std::get<WorkspaceSpec>(*resource));
    }
  }
  if (table) {
    mWorkspaces = std::move(table);
  }
}

SnapshotPtr
SnapshotBuilder::Build(const ObjectSet& aObjects,
                       const std::vector<ObjectKey>& aChanged,
                       const std::vector<BoxRecord>& aDirectory)
{
  for (const auto& key : aChanged) {
    if (key.mKind != kWorkspaceKind) {
      Take(aObjects, key);
    }
  }
  TakeWorkspaces(aObjects, aChanged);
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mRevision = aObjects.Revision();
  snapshot->mDigest = aObjects.Digest();
  snapshot->mSerial = ++mLastSerial;
  snapshot->mWorkspaces = mWorkspaces;
  for (const auto& [key, resource] : mLastValid) {
    if (std::holds_alternative<ServiceSpec>(resource)) {
      std::visit(ResourceAdder(*snapshot, key), resource);
    }
  }
  for (const auto& [key, resource] : mLastValid) {
    if (!std::holds_alternative<ServiceSpec>(resource)) {
      std::visit(ResourceAdder(*snapshot, key), resource);
    }
  }
  for (const auto& record : aDirectory) {
    AddBoxRecord(*snapshot, record);
  }
  for (const auto& [key, rejection] : mRejected) {
    snapshot->mRejections.push_back(rejection);
  }
  AddKeyConflicts(*snapshot);
  return snapshot;
}

} // namespace porttiller
