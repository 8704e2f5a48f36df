// The configuration in force: typed, cross-checked, and switched in one step.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/Resources.h"
#include "porttiller/config/RouteTable.h"
#include "porttiller/config/WorkspaceTable.h"

#include <map>
#include <memory>
#include <vector>

namespace porttiller {

struct ServiceEntry
{
  ServiceSpec mSpec;
  std::vector<BackendServerSpec> mServers;
};

// A version that did not pass; the object's last good version stays in force.
struct Rejection
{
  ObjectKey mKey;
  std::uint64_t mVersion = 0;
  FieldErrors mErrors;

  friend bool operator==(const Rejection&, const Rejection&) = default;
};

// Immutable and shared by const reference between all threads.
struct Snapshot
{
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  // Tells snapshots of a builder apart, also of one revision; 0: none.
  std::uint64_t mSerial = 0;
  std::map<ServiceName, ServiceEntry> mServices;
  std::map<BoxName, BoxSpec> mBoxes;
  RouteTable mRoutes;
  // Never null; shared with earlier snapshots while it is the same.
  std::shared_ptr<const WorkspaceTable> mWorkspaces =
    std::make_shared<const WorkspaceTable>();
  std::vector<Rejection> mRejections;
  std::optional<LimitsSpec> mLimits;
  // Boxes that told about themselves, by their incarnations.
  std::map<BoxName, Incarnation> mIncarnations;

  const ServiceEntry* FindService(const ServiceName& aName) const;
  const BoxSpec* FindBox(const BoxName& aName) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Keeps each object's last good typed form and builds snapshots from them.
// Owned by the configuration controller, under its lock.
class SnapshotBuilder
{
public:
  // Takes over the keys that changed in aObjects; parses nothing else.
  // aDirectory adds the boxes and servers that told about themselves.
  SnapshotPtr Build(const ObjectSet& aObjects,
                    const std::vector<ObjectKey>& aChanged,
                    const std::vector<BoxRecord>& aDirectory = {});

private:
  void Take(const ObjectSet& aObjects, const ObjectKey& aKey);
  std::optional<Resource> Parse(const Object& aObject);
  void TakeWorkspaces(const ObjectSet& aObjects,
                      const std::vector<ObjectKey>& aChanged);

  std::map<ObjectKey, Resource> mGood; // but for workspaces
  std::shared_ptr<const WorkspaceTable> mWorkspaces =
    std::make_shared<const WorkspaceTable>();
  std::map<ObjectKey, Rejection> mRejected;
  std::uint64_t mSerials = 0; // given out
};

} // namespace porttiller
