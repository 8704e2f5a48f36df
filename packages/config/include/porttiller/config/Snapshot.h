// The configuration in force: typed, with checked references, and replaced
// atomically.
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
  // The longest latency target of the routes to this service; null if none has
  // one.
  std::optional<Millis> mLongestTarget;
};

// An invalid version of an object. The last valid version stays in force.
struct Rejection
{
  ObjectKey mKey;
  std::uint64_t mVersion = 0;
  FieldErrors mErrors;

  friend bool operator==(const Rejection&, const Rejection&) = default;
};

// Immutable; shared by all threads.
struct Snapshot
{
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  // Unique among the snapshots of a builder, even at the same revision; 0 if
  // not made by a builder.
  std::uint64_t mSerial = 0;
  std::map<ServiceName, ServiceEntry> mServices;
  std::map<BoxName, BoxSpec> mBoxes;
  RouteTable mRoutes;
  // Never null; shared with earlier snapshots while unchanged.
  std::shared_ptr<const WorkspaceTable> mWorkspaces =
    std::make_shared<const WorkspaceTable>();
  std::vector<Rejection> mRejections;
  std::optional<LimitsSpec> mLimits;
  // Incarnations of the boxes that registered themselves.
  std::map<BoxName, Incarnation> mIncarnations;

  const ServiceEntry* FindService(const ServiceName& aName) const;
  const BoxSpec* FindBox(const BoxName& aName) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Keeps the last valid typed form of each object and builds snapshots from
// them. Owned by the configuration controller, under its lock.
class SnapshotBuilder
{
public:
  // Parses the objects of aObjects with the keys in aChanged, and no others.
  // aDirectory adds the boxes and servers that registered themselves.
  SnapshotPtr Build(const ObjectSet& aObjects,
                    const std::vector<ObjectKey>& aChanged,
                    const std::vector<BoxRecord>& aDirectory = {});

private:
  void Take(const ObjectSet& aObjects, const ObjectKey& aKey);
  std::optional<Resource> Parse(const Object& aObject);
  void TakeWorkspaces(const ObjectSet& aObjects,
                      const std::vector<ObjectKey>& aChanged);

  std::map<ObjectKey, Resource> mLastValid; // without workspaces
  std::shared_ptr<const WorkspaceTable> mWorkspaces =
    std::make_shared<const WorkspaceTable>();
  std::map<ObjectKey, Rejection> mRejected;
  std::uint64_t mLastSerial = 0; // of the newest snapshot
};

} // namespace porttiller
