// The records of all boxes that this node knows of. Merging is a maximum by
// revision, so the order and number of messages do not matter.
#pragma once

#include "porttiller/config/BoxRecord.h"

#include <cstdint>
#include <map>
#include <vector>

namespace porttiller {

// Which version of a box's record a node holds.
struct RecordVersion
{
  BoxName mBox;
  std::uint64_t mRevision = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

// Owned by the directory controller, under its lock.
class Directory
{
public:
  // True when it is newer than what is held.
  bool Merge(const BoxRecord& aRecord);
  const BoxRecord* Find(const BoxName& aBox) const;
  // Those that may be used: an address belongs to the newest life that claims
  // it, and the platform gives addresses of boxes that are gone to others.
  std::vector<BoxRecord> InUse() const;
  std::vector<RecordVersion> Versions() const;
  // Equal on nodes that hold the same versions.
  std::uint64_t Digest() const { return mDigest; }
  std::size_t Size() const { return mRecords.size(); }

  // Records that are newer here than in aTheirs.
  std::vector<BoxRecord> NewerThan(
    const std::vector<RecordVersion>& aTheirs) const;
  // True when aTheirs has something newer than this directory.
  bool LacksAnyOf(const std::vector<RecordVersion>& aTheirs) const;

private:
  std::map<BoxName, BoxRecord> mRecords;
  std::uint64_t mDigest = 0;
};

} // namespace porttiller
